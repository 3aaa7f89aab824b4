package fleet

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// The project's own table in the store: one row a group that ever had its
// primary replaced, one for its members, and one for the duty.
const (
	// RecordTable is its name.
	RecordTable   = "cranberrystage"
	groupPrefix   = "group/"
	membersPrefix = "members/"
	dutyKey       = "duty"
)

const (
	// lookTimeout bounds one look at the store for evidence.
	lookTimeout = 500 * time.Millisecond
	// slowLook is the time of a look beyond which replicas are asked beside the store.
	slowLook = 60 * time.Millisecond
	// askTimeout bounds one question of the proxy's own to a server.
	askTimeout = 400 * time.Millisecond
	// askPause is the pause before a question that found the server's queue full
	// is put again: about what one statement takes a slot.
	askPause = 15 * time.Millisecond
	// proofPause is the pause between two tries to get evidence.
	proofPause = 15 * time.Millisecond
	// proofTries bounds the tries to get evidence for one request.
	proofTries = 3
)

// Leader is a group's primary as of one record.
type Leader struct {
	Upstream *Upstream
	group    *group
	record   uint64
}

// Leader returns the primary of a group. While there is none, expected is how
// long that is expected to last; 0 means that nothing is known.
func (f *Fleet) Leader(id tables.GroupID) (l Leader, changed <-chan struct{}, expected time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	g.usedAt = f.Now()
	u, there := f.upstreams[g.Primary]
	if g.Primary == "" || !there || f.leftTooLong(u) {
		return Leader{}, g.leaderChanged, g.expectedGap(f.Now()), false
	}
	return Leader{Upstream: u, group: g, record: g.version}, g.leaderChanged, 0, true
}

// leftTooLong reports whether a leaving server must get no new work, even if it
// is the primary and none has taken its place. The lock must be held.
func (f *Fleet) leftTooLong(u *Upstream) bool {
	return u.leaving && f.Now().Sub(u.leavingSince) > f.DrainLimit-drainMargin
}

// drainMargin is the part of the drain limit that work under way may need.
const drainMargin = 1500 * time.Millisecond

// firstPromote is how long an order is assumed to take before one was seen.
const firstPromote = time.Second

// overdue is how long a new primary may be late until its time is unknown.
const overdue = 500 * time.Millisecond

// expectedGap returns how long the replacement under way still takes; 0 means
// that nothing is known.
func (g *group) expectedGap(now tables.Time) time.Duration {
	if !g.record.Replacing {
		return 0
	}
	took := g.promoteTook
	if took == 0 {
		took = firstPromote
	}
	left := g.announcedAt.Add(freshness.Lease + took).Sub(now)
	if left < -overdue {
		return 0
	}
	return max(left, minGap)
}

// minGap is the least time that callers wait for a primary that is due.
const minGap = 50 * time.Millisecond

// LeaderStatus returns, for the log, whom this proxy takes for a group's primary, by
// which record, and how old the evidence is; 0 means that there is none.
func (f *Fleet) LeaderStatus(id tables.GroupID) (primary tables.UpstreamID, record uint64, provenAge time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	if g.ProvenAt != 0 {
		provenAge = f.Now().Sub(g.ProvenAt)
	}
	return g.Primary, g.Record, provenAge
}

// Observe takes note of a position that the primary reported; at is a moment
// before its statement was sent.
func (f *Fleet) Observe(l Leader, at tables.Time, p tables.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.group.AddPoint(l.Upstream.entry.ID, l.record, freshness.Point{At: at, Position: p})
}

// Committed takes note of a commit that was acknowledged after a replica had
// received it; at is a moment before it was sent.
func (f *Fleet) Committed(l Leader, at tables.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.routing.Load(); r == nil || r.Groups[l.group.id].SyncReplicas < 1 {
		return
	}
	l.group.AddEvidence(l.Upstream.entry.ID, l.record, at)
}

// Replaced reports whether another server has taken l's place, or was ordered
// to: a commit that l acknowledges now may be missing there.
func (f *Fleet) Replaced(l Leader) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := l.group
	return g.version != l.record && (g.record.Ordered != "" || g.record.Primary != l.Upstream.entry.ID)
}
