// Package catchup estimates when a replica that lacks a log position will have applied it.
// It is designed for replicas that are behind for seconds while reads need newer data: a
// read that is tried there first costs a round trip and a connection, which the servers
// that can answer need, and changes nothing for the caller. The estimate only chooses
// where a read is tried first; the server itself checks the position.
package catchup

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// MinPause and MaxPause bound the time without reads after a replica replied that it
	// lacks a position. Replicas apply in steps, so that a shorter pause gains nothing;
	// and one that catches up does so faster than it progressed before.
	MinPause = 60 * time.Millisecond
	MaxPause = 400 * time.Millisecond
	// minSample is the least time over which progress is measured.
	minSample = 20 * time.Millisecond
	// smoothing is the reciprocal of the weight of a new sample in the moving average.
	smoothing = 4
)

// Replica is the progress of one replica as of its replies. The zero value is a replica
// of which nothing is known. It is not safe for concurrent use.
type Replica struct {
	// applied is the newest position that it reported as applied.
	applied tables.Position
	// sampled is the position of the last sample of its rate, taken at sampledAt.
	sampled   tables.Position
	sampledAt tables.Time
	// rate is the moving average of its progress, in records per second; valid with
	// measured.
	rate     float64
	measured bool
	// pausedUntil is when reads that need a later position than applied are tried again.
	pausedUntil tables.Time
}

// Reported records a position that the replica reported as applied. Replies may arrive
// out of order.
func (r *Replica) Reported(now tables.Time, p tables.Position) {
	if p == (tables.Position{}) || r.applied.LogTerm == p.LogTerm && r.applied.Index > p.Index {
		return
	}
	r.applied = p
	if r.sampled.LogTerm != p.LogTerm || r.sampled.Index > p.Index {
		// Progress in an earlier log says nothing.
		r.sampled, r.sampledAt, r.measured = p, now, false
		return
	}
	if took := now.Sub(r.sampledAt); took >= minSample {
		r.sample(float64(p.Index-r.sampled.Index) / took.Seconds())
		r.sampled, r.sampledAt = p, now
	}
}

func (r *Replica) sample(rate float64) {
	if !r.measured {
		r.rate, r.measured = rate, true
		return
	}
	r.rate += (rate - r.rate) / smoothing
}

// Lacked records the reply of a replica at position p that need is not applied yet. It
// corrects an applied position that a promotion took back.
func (r *Replica) Lacked(now tables.Time, p, need tables.Position) {
	r.Reported(now, p)
	if r.applied.AtLeast(need) {
		r.applied, r.measured = p, false
	}
	r.pausedUntil = now.Add(r.pause(need))
}

// pause returns the estimated time until need is applied, within bounds.
func (r *Replica) pause(need tables.Position) time.Duration {
	if !r.measured || need.LogTerm != r.applied.LogTerm || need.Index <= r.applied.Index {
		return MinPause
	}
	missing := float64(need.Index - r.applied.Index)
	if missing >= r.rate*MaxPause.Seconds() {
		return MaxPause
	}
	return max(MinPause, time.Duration(missing/r.rate*float64(time.Second)))
}

// Lacks reports whether the replica probably still lacks need, so that a read is better
// tried elsewhere.
func (r *Replica) Lacks(now tables.Time, need tables.Position) bool {
	return now < r.pausedUntil && !r.applied.AtLeast(need)
}
