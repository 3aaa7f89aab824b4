// Package failover replaces a group's primary. It decides when this process
// acts, coordinates the change under a term granted to it alone, brings
// returning servers back in line and keeps the platform's row up to date.
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
	// Leaving says that the server must not be preferred.
	Leaving bool
}

// Options are the settings of a System.
type Options struct {
	// SilentTimeout is how long a primary is silent before it counts as failed.
	SilentTimeout time.Duration
	// SoleObserverDelay is how long a primary fails before a proxy that hears no other observer acts.
	SoleObserverDelay time.Duration
	// Stagger is the delay of each rank behind the one before.
	Stagger time.Duration
	// AttemptTimeout ends an attempt that has not promoted a server.
	AttemptTimeout time.Duration
	// StrayAfter is how long a server stays fenced above the primary's term before the term is raised.
	StrayAfter time.Duration
	// PlannedInterval is the least time between planned changes of one group.
	PlannedInterval time.Duration
	// RetryInterval is the time after which an unanswered request is repeated.
	RetryInterval time.Duration
	// FollowInterval is the time between instructions to a server that follows the wrong primary.
	FollowInterval time.Duration
	// ObservationWindow is the age beyond which another proxy's observation counts no more.
	ObservationWindow time.Duration
	// EvidenceMargin is how much later than the first failed probe an answer seen elsewhere must be.
	EvidenceMargin time.Duration
	// GrantReserve is how many unused terms this VM keeps per group.
	GrantReserve int
	// RowInterval is the least time between reads of a platform row that is
	// known and needs no write; a write that finds it changed reads it sooner.
	RowInterval time.Duration
	// WriteInterval is the least time between two writes of a platform row.
	WriteInterval time.Duration
	// PlatformTimeout is how long an answer of the platform is waited for.
	PlatformTimeout time.Duration
	// Candidates returns the VMs that may coordinate a failover of a group, in order of rank.
	Candidates func(w *tables.World, group tables.GroupID) []tables.VMID
	// Choose picks the server to promote among the fenced ones of a group of n;
	// false means that more servers must be fenced first.
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
		EvidenceMargin:    20 * time.Millisecond,
		GrantReserve:      3,
		RowInterval:       10 * time.Minute,
		WriteInterval:     500 * time.Millisecond,
		PlatformTimeout:   2 * time.Second,
		Candidates:        candidates,
		Choose:            Choose,
	}
}
