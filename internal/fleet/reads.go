package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/systems/place"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// ExpectedHoldTime is how long the replicas of a group take to be held after the
// announcement of a replacement; reads go on from then.
const ExpectedHoldTime = 60 * time.Millisecond

// RequiredPosition returns the position that a read of a group must have seen which
// accepts to miss what was acknowledged after cut. It asks the primary for a
// point if none is at hand, until ctx ends.
func (f *Fleet) RequiredPosition(ctx context.Context, id tables.GroupID, cut tables.Time) (tables.Position, bool) {
	for try := 0; ; try++ {
		f.mu.Lock()
		need, ok := f.group(id).RequiredPosition(cut)
		f.mu.Unlock()
		if ok {
			return need, true
		}
		l, changed, expected, led := f.Leader(id)
		switch {
		case led:
			f.seekPoint(ctx, l)
		case f.Frozen(id):
			f.seekFrozen(ctx)
		case !WaitFor(ctx, changed, min(expected, ExpectedHoldTime)):
			return tables.Position{}, false
		}
		if ctx.Err() != nil || try >= proofTries {
			f.unproven()
			return tables.Position{}, false
		}
	}
}

// seekPoint makes one try to get a proven point from a primary, and from peers
// if it gives none.
func (f *Fleet) seekPoint(ctx context.Context, l Leader) {
	if f.takePoint(ctx, l) == nil || f.hear(ctx, l.group.id) {
		return
	}
	_ = sleep.For(ctx, proofPause) // the caller looks at ctx
}

// hear asks peers how fresh a group is. Calls at the same time share one.
func (f *Fleet) hear(ctx context.Context, id tables.GroupID) bool {
	ok, _, _ := f.looks.Do("peers/"+string(id), func() (any, error) {
		asked := f.Now()
		k, ok := f.Peers.Ask(ctx, id)
		if ok {
			f.mu.Lock()
			f.group(id).Receive(asked, k)
			f.mu.Unlock()
		}
		return ok, nil
	})
	return ok.(bool)
}

// FreshnessReport returns what this proxy can tell others of a group; ok is false if nothing.
func (f *Fleet) FreshnessReport(id tables.GroupID) (k freshness.Report, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, there := f.groups[id]
	if !there {
		return freshness.Report{}, false
	}
	g.usedAt = f.Now()
	return g.Leadership.Report(g.usedAt)
}

// takePoint asks a primary for a point and looks for the evidence for it.
func (f *Fleet) takePoint(ctx context.Context, l Leader) error {
	at := f.Now()
	if err := f.refreshPoint(ctx, l); err != nil {
		return err
	}
	f.LedAt(ctx, l, at)
	return nil
}

// seekFrozen makes one try to get a point from the store.
func (f *Fleet) seekFrozen(ctx context.Context) {
	if err := f.look(ctx); err != nil {
		_ = sleep.For(ctx, proofPause) // the caller looks at ctx
	}
}

// Frozen reports whether a group has no primary and a position that covers all
// acknowledged commits.
func (f *Fleet) Frozen(id tables.GroupID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(id).Leadership.Frozen != tables.Position{}
}

// WaitFor waits for a change that is expected within a time. It returns false
// at once if that is beyond ctx's end, or if nothing is expected, and soon
// after the time if the change does not come.
func WaitFor(ctx context.Context, changed <-chan struct{}, expected time.Duration) bool {
	deadline, bounded := ctx.Deadline()
	if expected == 0 || bounded && time.Until(deadline) < expected {
		return false
	}
	late := time.NewTimer(expected + overdue)
	defer late.Stop()
	select {
	case <-changed:
		return true
	case <-late.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Reader chooses the server of a group for a read that needs a position,
// leaving out those tried.
func (f *Fleet) Reader(id tables.GroupID, need tables.Position, tried []tables.UpstreamID) (*Upstream, bool) {
	f.mu.Lock()
	now := f.Now()
	g := f.group(id)
	g.usedAt = now
	members := f.members(id, func(u *Upstream) bool { return !u.leaving && !f.gone(u) })
	f.mu.Unlock()
	list := make([]place.Candidate, len(members))
	for i, u := range members {
		list[i] = u.candidate(now, need, slices.Contains(tried, u.entry.ID))
	}
	if len(list) == 0 {
		return nil, false
	}
	i, ok := place.Choose(list, rand.Uint32())
	if !ok {
		return nil, false
	}
	return members[i], true
}
