package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/systems/confirm"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/systems/place"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// ExpectedHoldTime is the estimated time from the announcement of a replacement
// until the group's replicas are held; from then on reads are possible again.
const ExpectedHoldTime = 60 * time.Millisecond

// RequiredPosition returns the log position that a server must have applied for a
// read that may miss only commits acknowledged after cut. If no freshness point
// is cached, it queries the primary for one, until ctx ends.
func (f *Fleet) RequiredPosition(ctx context.Context, id tables.GroupID, cut tables.Time) (tables.Position, bool) {
	for try := 0; ; try++ {
		f.mu.Lock()
		need, ok := f.group(id).RequiredPosition(cut)
		f.mu.Unlock()
		if ok {
			return need, true
		}
		if try > 0 && f.fetchCoveringPoint(ctx, id) {
			continue
		}
		l, changed, expected, led := f.Leader(id)
		switch {
		case led:
			f.tryGetPoint(ctx, l)
		case f.Frozen(id):
			f.tryGetFrozenPoint(ctx)
		case !WaitFor(ctx, changed, min(expected, ExpectedHoldTime)):
			return tables.Position{}, false
		}
		if ctx.Err() != nil || try >= evidenceTries {
			f.recordNoEvidence()
			return tables.Position{}, false
		}
	}
}

// tryGetPoint tries once to get a point with evidence from a primary, and from
// peers if that fails.
func (f *Fleet) tryGetPoint(ctx context.Context, l Leader) {
	if f.fetchPoint(ctx, l) == nil || f.queryPeers(ctx, l.group.id) {
		return
	}
	_ = sleep.For(ctx, evidenceRetryDelay) // the caller checks ctx
}

// coveringRetryDelay is the pause after a server did not answer before all servers of
// a group are asked again.
const coveringRetryDelay = 300 * time.Millisecond

// fetchCoveringPoint asks all servers of a group for what they have received and
// records the answer as a covering point. Concurrent calls for a group share one
// query. It returns false if a server doesn't answer, or did not shortly before.
func (f *Fleet) fetchCoveringPoint(ctx context.Context, id tables.GroupID) bool {
	f.mu.Lock()
	wait := f.Now() < f.group(id).nextCoveringAt
	f.mu.Unlock()
	if wait || ctx.Err() != nil {
		return false
	}
	ok, _, _ := f.lookups.Do("covering/"+string(id), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout)
		defer cancel()
		at := f.Now()
		position, ok := confirm.NewestReceived(f.queryServers(ctx, id))
		f.mu.Lock()
		defer f.mu.Unlock()
		g := f.group(id)
		if !ok {
			g.nextCoveringAt = f.Now().Add(coveringRetryDelay)
			return false, nil
		}
		g.AddCovering(freshness.Point{At: at, Position: position})
		return true, nil
	})
	return ok.(bool)
}

// queryPeers queries peers for the freshness of a group. Concurrent calls for a
// group share one query.
func (f *Fleet) queryPeers(ctx context.Context, id tables.GroupID) bool {
	ok, _, _ := f.lookups.Do("peers/"+string(id), func() (any, error) {
		requestedAt := f.Now()
		report, ok := f.Peers.Query(ctx, id)
		if ok {
			f.mu.Lock()
			f.group(id).Receive(requestedAt, report)
			f.mu.Unlock()
		}
		return ok, nil
	})
	return ok.(bool)
}

// FreshnessReport returns this proxy's cached state of a group, for other
// proxies; ok is false if there is none.
func (f *Fleet) FreshnessReport(id tables.GroupID) (report freshness.Report, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, found := f.groups[id]
	if !found {
		return freshness.Report{}, false
	}
	g.usedAt = f.Now()
	return g.Leadership.Report(g.usedAt)
}

// fetchPoint queries a primary for a point and fetches the evidence for it.
func (f *Fleet) fetchPoint(ctx context.Context, l Leader) error {
	sentAt := f.Now()
	if err := f.queryPoint(ctx, l); err != nil {
		return err
	}
	f.LedAt(ctx, l, sentAt)
	return nil
}

// tryGetFrozenPoint tries once to get a frozen group's point from the store.
func (f *Fleet) tryGetFrozenPoint(ctx context.Context) {
	if err := f.readRecords(ctx); err != nil {
		_ = sleep.For(ctx, evidenceRetryDelay) // the caller checks ctx
	}
}

// Frozen reports whether a group is frozen: it has no primary, but a position
// that covers all acknowledged commits.
func (f *Fleet) Frozen(id tables.GroupID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(id).Leadership.Frozen != tables.Position{}
}

// WaitFor waits for a change that is expected within the time expected. It
// returns false at once if that is after ctx's deadline or if nothing is
// expected, and maxLateness after the expected time if the change does not
// come.
func WaitFor(ctx context.Context, changed <-chan struct{}, expected time.Duration) bool {
	deadline, bounded := ctx.Deadline()
	if expected == 0 || bounded && time.Until(deadline) < expected {
		return false
	}
	timer := time.NewTimer(expected + maxLateness)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Reader chooses a server of a group, except those in tried, for a read that
// needs a position.
func (f *Fleet) Reader(id tables.GroupID, need tables.Position, tried []tables.UpstreamID) (*Upstream, bool) {
	f.mu.Lock()
	now := f.Now()
	g := f.group(id)
	g.usedAt = now
	servers := f.serversWhere(id, func(u *Upstream) bool { return !u.leaving && !f.isGone(u) })
	f.mu.Unlock()
	list := make([]place.Candidate, len(servers))
	for i, u := range servers {
		list[i] = u.candidate(now, need, slices.Contains(tried, u.entry.ID))
	}
	if len(list) == 0 {
		return nil, false
	}
	i, ok := place.Choose(list, rand.Uint32())
	if !ok {
		return nil, false
	}
	return servers[i], true
}
