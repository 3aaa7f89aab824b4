// Package detect observes the upstreams of all groups: it sends probes, tells
// a failed upstream from a lost path or a slow answer, learns which primary
// stands, confirms its position and exchanges observations with other proxies.
package detect

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Options are the settings of a System.
type Options struct {
	// CandidateInterval is the time between probes of a group for which this VM may coordinate a failover.
	CandidateInterval time.Duration
	// Interval is the time between probes of other groups.
	Interval time.Duration
	// FreshAfter is how long a probe stays unanswered before a new connection is tried beside it.
	FreshAfter time.Duration
	// PathLostAfter is how long a connection stays silent beside a new one that answers before it counts as lost.
	PathLostAfter time.Duration
	// PauseAfter is the time between ticks beyond which this process itself was paused.
	PauseAfter time.Duration
	// PublishInterval is the time between publications of an unchanged observation of a primary.
	PublishInterval time.Duration
	// MinPublishInterval is the least time between two publications about one upstream.
	MinPublishInterval time.Duration
	// Candidates returns the VMs that may coordinate a failover of a group, in order of rank.
	Candidates func(w *tables.World, group tables.GroupID) []tables.VMID
}

// DefaultOptions returns the settings used in production.
func DefaultOptions(candidates func(*tables.World, tables.GroupID) []tables.VMID) Options {
	return Options{
		CandidateInterval:  50 * time.Millisecond,
		Interval:           250 * time.Millisecond,
		FreshAfter:         250 * time.Millisecond,
		PathLostAfter:      time.Second,
		PauseAfter:         250 * time.Millisecond,
		PublishInterval:    500 * time.Millisecond,
		MinPublishInterval: 20 * time.Millisecond,
		Candidates:         candidates,
	}
}
