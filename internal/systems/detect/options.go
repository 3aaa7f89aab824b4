// Package detect observes the upstreams of all groups. It sends probes,
// distinguishes a failed upstream from a lost path or a slow answer, finds the
// current primary, confirms its position and exchanges observations with other
// proxies.
package detect

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Options are the settings of a System.
type Options struct {
	// PrimaryInterval is the minimum time between probes of the primary of a group
	// for which this VM may coordinate a failover.
	PrimaryInterval time.Duration
	// PrimaryProbes limits the probes of all those primaries together, per second.
	PrimaryProbes int
	// LargePrimaryProbes is the same limit for more VMs than FullMesh.
	LargePrimaryProbes int
	// RoundInterval is the time between probes of all servers of such a group.
	RoundInterval time.Duration
	// IdleInterval is the time between probes of all servers of other groups.
	IdleInterval time.Duration
	// FreshAfter is how long a probe may stay unanswered before a second probe is
	// sent on a new connection.
	FreshAfter time.Duration
	// PathLostAfter is how long a probe on the persistent connection may stay
	// unanswered, while a new connection is answered, before that path counts as lost.
	PathLostAfter time.Duration
	// PauseAfter is the time between two ticks at or above which this process counts
	// as having been paused.
	PauseAfter time.Duration
	// PublishInterval is the time between publications of an unchanged observation of
	// a healthy primary.
	PublishInterval time.Duration
	// FailingInterval is the same for a failing primary.
	FailingInterval time.Duration
	// ReplyAfter is the minimum age of this proxy's last publication for it to reply
	// immediately to another proxy's failing observation.
	ReplyAfter time.Duration
	// MinPublishInterval is the minimum time between two publications about one upstream.
	MinPublishInterval time.Duration
	// FullMesh is the largest number of VMs that all receive every publication.
	// With more VMs only the group's candidates receive it.
	FullMesh int
	// Candidates returns the VMs that may coordinate a failover of a group, in order of rank.
	Candidates func(w *tables.World, group tables.GroupID) []tables.VMID
}

// DefaultOptions returns the settings used in production.
func DefaultOptions(candidates func(*tables.World, tables.GroupID) []tables.VMID) Options {
	return Options{
		PrimaryInterval:    50 * time.Millisecond,
		PrimaryProbes:      60,
		LargePrimaryProbes: 10,
		RoundInterval:      time.Second,
		IdleInterval:       2 * time.Second,
		FreshAfter:         250 * time.Millisecond,
		PathLostAfter:      time.Second,
		PauseAfter:         250 * time.Millisecond,
		PublishInterval:    5 * time.Second,
		FailingInterval:    500 * time.Millisecond,
		ReplyAfter:         200 * time.Millisecond,
		MinPublishInterval: 20 * time.Millisecond,
		FullMesh:           16,
		Candidates:         candidates,
	}
}
