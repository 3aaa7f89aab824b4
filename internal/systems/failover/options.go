// Package failover replaces a group's primary. It decides when this process
// acts, coordinates the replacement under a term granted to it alone, makes
// returning servers follow the current primary and keeps the group's row in the
// platform up to date.
package failover

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Fenced is a server that promised the new term, with its status after the promise.
type Fenced struct {
	// Upstream is the server.
	Upstream tables.UpstreamID
	// Status was returned by the fence.
	Status tables.Status
	// Leaving means that servers that stay are preferred over this one.
	Leaving bool
}

// Options are the settings of a System.
type Options struct {
	// SilentTimeout is how long a primary is unresponsive before it counts as failed.
	SilentTimeout time.Duration
	// SoleObserverDelay is how long a primary must fail before a proxy acts that
	// has no recent observations from other proxies. It also delays the choice of
	// a primary for a group of which none is known.
	SoleObserverDelay time.Duration
	// Stagger is the additional delay per rank, so that candidates act one after another.
	Stagger time.Duration
	// AttemptTimeout ends an attempt that has not promoted a server.
	AttemptTimeout time.Duration
	// StrayAfter is how long a server may stay fenced above the primary's term
	// before the group's term is raised.
	StrayAfter time.Duration
	// PlannedInterval is the minimum time between planned moves of one group.
	PlannedInterval time.Duration
	// RetryInterval is the time after which an unanswered request is repeated.
	RetryInterval time.Duration
	// FollowInterval is the time between Follow requests to a server that follows
	// the wrong primary.
	FollowInterval time.Duration
	// ObservationWindow is the maximum age of another proxy's observation.
	ObservationWindow time.Duration
	// AnswerMargin is the minimum time from this process's first failed probe to
	// another proxy's answered one for that answer to count.
	AnswerMargin time.Duration
	// GrantReserve is how many unused terms this VM keeps per group.
	GrantReserve int
	// RowInterval is the minimum time between reads of a platform row that is
	// cached and needs no write. A write that conflicts causes an earlier read.
	RowInterval time.Duration
	// WriteInterval is the mean delay from a write of a platform row to the next
	// one. A write that conflicted is made again sooner, and a new primary is
	// written at once.
	WriteInterval time.Duration
	// PlatformTimeout limits the wait for a response of the platform.
	PlatformTimeout time.Duration
	// Candidates returns the VMs that may coordinate a failover of a group, in order of rank.
	Candidates func(w *tables.World, group tables.GroupID) []tables.VMID
	// Choose picks the server to promote from the fenced ones of a group of n
	// members. False means that more servers must be fenced first.
	Choose func(fenced []Fenced, n int, planned bool) (tables.UpstreamID, bool)
}

// DefaultOptions returns the settings used in production.
func DefaultOptions(candidates func(*tables.World, tables.GroupID) []tables.VMID) Options {
	return Options{
		SilentTimeout:     800 * time.Millisecond,
		SoleObserverDelay: 3 * time.Second,
		Stagger:           100 * time.Millisecond,
		AttemptTimeout:    time.Second,
		StrayAfter:        3 * time.Second,
		PlannedInterval:   5 * time.Second,
		RetryInterval:     200 * time.Millisecond,
		FollowInterval:    500 * time.Millisecond,
		ObservationWindow: 1500 * time.Millisecond,
		AnswerMargin:      20 * time.Millisecond,
		GrantReserve:      3,
		RowInterval:       10 * time.Minute,
		WriteInterval:     500 * time.Millisecond,
		PlatformTimeout:   2 * time.Second,
		Candidates:        candidates,
		Choose:            Choose,
	}
}
