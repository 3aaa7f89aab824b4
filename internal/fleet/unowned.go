package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// A hold ends by a promotion, by RESUME, or with the replica's process. If the proxy that
// cancels a replacement can't resume a replica, nobody owns that hold any more: the replica
// receives nothing, and once it is the last one, no commit is acknowledged. So after each
// change of a group's record the proxies ask its replicas, a few of them at a time, until
// each has found none held.

const (
	// holdCheckInterval is the mean time between two moments at which a proxy may check
	// for holds without a replacement; a random part of up to half is added or taken away.
	holdCheckInterval = 500 * time.Millisecond
	// holdCheckers is the mean number of proxies, out of all, that check in one interval.
	holdCheckers = 3
)

// mayBeHeld reports whether this proxy is to ask a group's replicas now whether they are
// held. The lock must be held.
func (f *Fleet) mayBeHeld(g *group, now tables.Time) bool {
	if g.version.IsZero() || g.record.Replacing || g.unheldRecord == g.version || now < g.nextHoldCheckAt {
		return false
	}
	g.nextHoldCheckAt = now.Add(holdCheckInterval/2 + rand.N(holdCheckInterval))
	return rand.Float64() < holdCheckers/float64(max(f.Proxies(), 1))
}

// releaseUnowned resumes the replicas of l that are held although no replacement is under
// way.
func (f *Fleet) releaseUnowned(ctx context.Context, l Leader) {
	held, all := f.unownedHolds(ctx, l)
	if len(held) > 0 {
		f.replacePrimary(ctx, l.group.id, replace.CauseHeld, l)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if all && l.group.version == l.record {
		l.group.unheldRecord = l.record
	}
}

// unownedHolds returns the replicas that are held and follow l's term; all reports whether
// every replica and l answered. A replica of an earlier term may be held against a primary
// of that term, and follows l once it learns of it.
func (f *Fleet) unownedHolds(ctx context.Context, l Leader) (held []*Upstream, all bool) {
	status := statement.Statement{Kind: statement.Status}
	leader, err := l.Upstream.queryStatus(ctx, status)
	if err != nil || !leader.Leads {
		return nil, false
	}
	f.mu.Lock()
	replicas := f.serversWhere(l.group.id, func(u *Upstream) bool { return u != l.Upstream && !f.hasTerminated(u) })
	f.mu.Unlock()
	all = true
	for _, u := range replicas {
		s, err := u.queryStatus(ctx, status)
		all = all && err == nil && s.Term == leader.Term
		if err == nil && s.Held != 0 && s.Term == leader.Term {
			f.log.Warn("A replica is held although no replacement is under way.", "group", l.group.id, "upstream", u.ID(),
				"held", s.Held, "term", s.Term, "record", l.record)
			held = append(held, u)
		}
	}
	return held, all
}

// tryRelease announces a replacement of l and cancels it, which resumes the replicas that
// are held. The announcement keeps other proxies from holding them meanwhile.
func (f *Fleet) tryRelease(ctx context.Context, id tables.GroupID, l Leader) error {
	if f.replacing(id) {
		return errors.New("another proxy has announced a replacement")
	}
	a := f.newAttempt(id, l)
	a.keepsPrimary = true
	if err := a.announce(ctx); err != nil {
		return err
	}
	defer a.releaseCoordinator(ctx)
	held, _ := f.unownedHolds(ctx, l)
	return a.cancelReplacement(ctx, held)
}

// newAttempt returns an attempt that has not begun yet.
func (f *Fleet) newAttempt(id tables.GroupID, l Leader) *attempt {
	return &attempt{f: f, id: id, era: f.currentEra(), claimID: string(f.VM) + "/" + uuid.NewString(), failedLeader: l}
}

// keptPrimary reports whether a replacement that was announced can only be cancelled: a
// member whose log it needs has ended, and the primary leads.
func (f *Fleet) keptPrimary(ctx context.Context, id tables.GroupID) bool {
	f.mu.Lock()
	g := f.group(id)
	lost, record := f.checkMembers(g), g.record
	f.mu.Unlock()
	if lost == nil || record.Primary == "" || record.Ordered != "" {
		return false
	}
	_, leads := f.queryLeads(ctx, record.Primary)
	return leads
}
