package fleet

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// recordReadTimeout bounds one read of the records for evidence.
	recordReadTimeout = 500 * time.Millisecond
	// recordReadHedgeDelay is how long a read of the records may take before
	// replicas are queried as well.
	recordReadHedgeDelay = 60 * time.Millisecond
	// queryTimeout bounds one query that the proxy sends to a server on its own
	// behalf.
	queryTimeout = 400 * time.Millisecond
	// busyRetryDelay is the pause before a query that was rejected because the
	// server's queue is full is sent again: about the time that one statement
	// occupies a slot.
	busyRetryDelay = 15 * time.Millisecond
	// evidenceRetryDelay is the pause between two tries to get evidence.
	evidenceRetryDelay = 15 * time.Millisecond
	// evidenceTries bounds the tries to get evidence for one request.
	evidenceTries = 3
)

// Leader is a group's primary as of one record.
type Leader struct {
	Upstream *Upstream
	group    *group
	record   tables.Version
}

// Leader returns the primary of a group. While there is none, expected is the
// estimated time until there is one; 0 means that it is unknown.
func (f *Fleet) Leader(id tables.GroupID) (l Leader, changed <-chan struct{}, expected time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	g.usedAt = f.Now()
	u, found := f.upstreams[g.Primary]
	if g.Primary == "" || !found || f.drainExpired(u) {
		return Leader{}, g.leaderChanged, g.expectedGap(f.Now()), false
	}
	return Leader{Upstream: u, group: g, record: g.version}, g.leaderChanged, 0, true
}

// drainExpired reports whether a leaving server must get no new work, even if
// it is the primary and has no replacement yet. The lock must be held.
func (f *Fleet) drainExpired(u *Upstream) bool {
	return u.leaving && f.Now().Sub(u.leavingSince) > f.DrainLimit-drainWorkMargin
}

// drainWorkMargin is the part of the drain limit that is left for work under
// way.
const drainWorkMargin = 1500 * time.Millisecond

// unknownDrainTime is how long a server that this proxy finds leaving, for instance at its
// start, may get new work as a primary: about the time until it is replaced. It is less
// than the time after a start for which the users' platform excuses a proxy (4 s).
const unknownDrainTime = 3 * time.Second

// defaultPromoteTime is the estimated duration of a promotion before one was
// observed.
const defaultPromoteTime = time.Second

// maxLateness is how late a new primary may be before its time counts as
// unknown.
const maxLateness = 500 * time.Millisecond

// expectedGap returns the estimated remaining time of the replacement under way;
// 0 means that it is unknown.
func (g *group) expectedGap(now tables.Time) time.Duration {
	if !g.record.Replacing {
		return 0
	}
	took := g.promoteTook
	if took == 0 {
		took = defaultPromoteTime
	}
	left := g.announcedAt.Add(freshness.Lease + took).Sub(now)
	if left < -maxLateness {
		return 0
	}
	return max(left, minExpectedGap)
}

// minExpectedGap is the least time that callers wait for a primary that is due.
const minExpectedGap = 50 * time.Millisecond

// LeaderStatus returns, for the log, a group's primary as this proxy sees it, the
// version of its record, and the age of the lease evidence; 0 means that there
// is none.
func (f *Fleet) LeaderStatus(id tables.GroupID) (primary tables.UpstreamID, record tables.Version, provenAge time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	if g.ProvenAt != 0 {
		provenAge = f.Now().Sub(g.ProvenAt)
	}
	return g.Primary, g.Record, provenAge
}

// Observe records a position that the primary reported; at is a moment before
// its statement was sent.
func (f *Fleet) Observe(l Leader, at tables.Time, p tables.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.group.AddPoint(l.Upstream.entry.ID, l.record, freshness.Point{At: at, Position: p})
}

// Committed records that a commit was acknowledged after a replica had received it; at is a
// moment before the commit was sent, and p the primary's position after it. It becomes
// lease evidence once a known replica shows that it has received it.
func (f *Fleet) Committed(l Leader, at tables.Time, p tables.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.replicatesCommits(l.group.id) {
		return
	}
	l.group.AddCommit(l.Upstream.entry.ID, l.record, freshness.Point{At: at, Position: p})
}

// recordReached takes the position that a server reported as applied as proof of what a
// known replica has received, and as lease evidence for its group's primary. A server that
// may have restarted since the last evidence of the store may have lost a hold, and one
// without an entry may not be held.
func (u *Upstream) recordReached(p tables.Position) {
	f := u.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(u.entry.Group)
	if u.entry.ID == g.Primary || u.missingSince != 0 {
		return
	}
	if primary, ok := f.upstreams[g.Primary]; ok {
		primary.recordReceived(p)
	}
	if !g.AwaitsReplica(p) || u.mayHaveRestartedSince(g.storeEvidenceAt) {
		return
	}
	g.AddReached(p)
}

// Replaced reports whether another server has replaced l, or was ordered to:
// that server may lack a commit that l acknowledges now.
func (f *Fleet) Replaced(l Leader) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := l.group
	return g.version != l.record && (g.record.Ordered != "" || g.record.Primary != l.Upstream.entry.ID)
}
