package fleet

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// leaderlessLogInterval is the time between two log lines about a group without a
// primary, and the time after which the first is written. It exceeds the time of an
// ordinary replacement.
const leaderlessLogInterval = 5 * time.Second

// leaderless is the state of a group that has no primary in this proxy's view.
type leaderless struct {
	// since is when the group was first found without a primary; 0 if it has one.
	since tables.Time
	// reportedAt is when the last log line about it was written.
	reportedAt tables.Time
	// reason is why the last attempt to replace the primary failed.
	reason string
}

// reportLeaderless updates the metric of groups without a primary and logs each that has
// had none for long. Groups without any server are left out.
func (f *Fleet) reportLeaderless() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	longest := time.Duration(0)
	for id, g := range f.groups {
		if _, ok := f.upstreams[g.Primary]; ok || !f.hasServers(id) {
			g.leaderless = leaderless{}
			continue
		}
		l := &g.leaderless
		if l.since == 0 {
			l.since, l.reportedAt = now, now
		}
		longest = max(longest, now.Sub(l.since))
		if now.Sub(l.reportedAt) < leaderlessLogInterval {
			continue
		}
		l.reportedAt = now
		f.log.Warn("A group has no primary.", "group", id, "for", now.Sub(l.since), "replacing", g.record.Replacing,
			"ordered", g.record.Ordered, "lastPrimary", g.lastPrimary, "reason", f.leaderlessReason(g))
	}
	f.Metrics.SetLeaderlessTime(longest)
}

// leaderlessReason returns why a group still has no primary. The lock must be held.
func (f *Fleet) leaderlessReason(g *group) string {
	switch {
	case f.storeLostAt != 0:
		return "the store is lost"
	case !f.confirmed(g):
		return "not confirmed: " + g.confirmation.reason
	case g.leaderless.reason != "":
		return g.leaderless.reason
	case g.record.Replacing:
		return "another proxy replaces it"
	default:
		return "no server is known to lead"
	}
}
