package fleet

import (
	"context"
	"fmt"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/confirm"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// chooseReplica chooses and records which replica is to be promoted, and waits until
// the promotion may be ordered. A server that joins meanwhile may receive commits of the
// old primary, so it is held too. demoted is where the old primary's log ends if it was
// demoted, and otherwise zero.
func (a *attempt) chooseReplica(ctx context.Context, held holds, demoted tables.Position) (replace.Held, error) {
	f := a.f
	for {
		if err := a.holdAll(ctx, held); err != nil {
			return replace.Held{}, err
		}
		heldAt, heldCount := f.Now(), len(held)
		best, ok := replace.Candidate(held.list(), a.pending)
		if !ok {
			return replace.Held{}, errors.New("no replica is held")
		}
		if err := a.checkPending(best); err != nil {
			return replace.Held{}, err
		}
		if replace.HasAllCommits(best, demoted) {
			// Reads need not wait for the order.
			if err := a.recordOrder(ctx, best); err != nil {
				return replace.Held{}, err
			}
		}
		if err := sleep.For(ctx, replace.OrderAt(a.announcedAt, heldAt).Sub(f.Now())); err != nil {
			return replace.Held{}, err
		}
		if err := a.readEntries(ctx); err != nil {
			return replace.Held{}, err
		}
		a.dropLostHolds(ctx, held)
		missing, err := a.holdRemaining(ctx, held)
		if err != nil || missing > 0 || len(held) != heldCount || !a.candidateUnchanged(held, best) {
			continue
		}
		if !replace.MayPassOver(len(a.passedOver), a.record.Lapsed, a.laterTerm) {
			return replace.Held{}, errors.New("a server that ended may have led after the primary")
		}
		if (len(a.passedOver) > 0 || !a.serversKnown()) && !replace.HasAllCommits(best, demoted) {
			return replace.Held{}, errors.New("a server that is not held may have commits that no other one has")
		}
		a.heldAt = heldAt
		return best, a.recordOrder(ctx, best)
	}
}

// serversKnown reports whether every server that may count for commits has an entry.
func (a *attempt) serversKnown() bool {
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	return a.f.serversKnown(a.f.Now())
}

// checkPending returns an error if another server than best may still be promoted by a
// pending order: it would lack the commits that best acknowledges.
func (a *attempt) checkPending(best replace.Held) error {
	if a.pending == "" || a.pending == best.ID {
		return nil
	}
	if len(a.passedOver) > 0 || a.storeClock < a.record.OrderedAt+replace.CoordinatorLeaseTime+replace.OrderTimeout {
		return errors.Errorf("the order for %s may still take effect, and %s has a newer log", a.pending, best.ID)
	}
	a.f.log.Warn("Chose another server than that of an earlier promotion order without effect.", "group", a.id,
		"ordered", a.pending, "upstream", best.ID, "received", best.Status.Received)
	return nil
}

// readEntries reads the entries of servers. A change may wait for entryBatchDelay before
// it is watched, and a server that joined meanwhile may have received commits that were
// acknowledged before the lease evidence of their proxies expired.
func (a *attempt) readEntries(ctx context.Context) error {
	f := a.f
	at := f.Now()
	rows, err := f.Store.ReadTable(ctx, f.Codec.EntryTable)
	if err != nil {
		return errors.Wrap(err, "read the entries of servers")
	}
	f.applyEntries(rows, false, at.Add(-rows.Age))
	return nil
}

// recordOrder records which server is to be promoted, and that its log contains all
// acknowledged commits.
func (a *attempt) recordOrder(ctx context.Context, best replace.Held) error {
	next := a.record
	next.Ordered, next.OrderedAt, next.Safe = best.ID, a.storeClock, best.Status.Received
	if next == a.record {
		return nil
	}
	return a.updateRecord(ctx, next)
}

// orderPromotion orders the promotion, if this proxy still holds the
// coordinator lease.
func (a *attempt) orderPromotion(ctx context.Context, best replace.Held, held int) error {
	f := a.f
	f.mu.Lock()
	lease := f.coordinator
	ended := f.era.number != a.era || lease.version.Era != a.era
	f.mu.Unlock()
	if ended {
		return errors.Wrap(errEraEnded, "order the promotion")
	}
	if !replace.MayOrder(f.Now(), a.announcedAt, a.heldAt, lease.validUntil) {
		return errors.Wrap(errNotCoordinator, "the coordinator lease expired before the promotion was ordered")
	}
	f.mu.Lock()
	f.coordinator.lastOrderAt = f.Now()
	f.mu.Unlock()
	f.log.Info("Ordered a promotion.", "group", a.id, "upstream", best.ID, "token", lease.fencingToken,
		"received", best.Status.Received, "held", held, "before", a.record.Primary)
	orderCtx, cancel := context.WithTimeout(ctx, lease.validUntil.Sub(f.Now()))
	err := f.Promoter.Promote(orderCtx, Order{
		Token: lease.fencingToken, Group: a.id, Upstream: best.ID, MayWrite: func() bool { return f.Now() < lease.validUntil },
	})
	cancel()
	switch {
	case errors.Is(err, f.Codec.NotRunning), errors.Is(err, platform.ErrUnavailable) && a.pending != best.ID:
		if updateErr := a.updateRecord(ctx, a.record.WithoutOrder()); updateErr != nil {
			f.log.Warn("Could not remove a refused promotion order from the record.", "group", a.id, "error", updateErr)
		}
		return errors.Wrap(err, "order the promotion")
	case errors.Is(err, platform.ErrUnavailable):
		return errors.Wrap(err, "order the promotion again")
	}
	if err != nil {
		f.log.Warn("No reply to a promotion order.", "group", a.id, "upstream", best.ID, "error", err)
	}
	return a.awaitPromotion(ctx, best.ID)
}

// awaitPromotion waits until the ordered server leads and records it.
func (a *attempt) awaitPromotion(ctx context.Context, id tables.UpstreamID) error {
	f := a.f
	startedAt := f.Now()
	for f.Now().Sub(startedAt) < replace.OrderTimeout {
		if term, ok := f.queryLeads(ctx, id); ok {
			f.mu.Lock()
			f.group(a.id).promoteTook = f.Now().Sub(startedAt)
			f.mu.Unlock()
			return a.recordPrimary(ctx, id, term)
		}
		if err := sleep.For(ctx, leadPollInterval); err != nil {
			return err
		}
	}
	return errors.Errorf("%s does not lead after the order", id)
}

// queryLeads queries whether a server leads, and its term.
func (f *Fleet) queryLeads(ctx context.Context, id tables.UpstreamID) (tables.Term, bool) {
	f.mu.Lock()
	u, ok := f.upstreams[id]
	f.mu.Unlock()
	if !ok {
		return 0, false
	}
	status, err := u.runControlWithRetry(ctx, statement.Statement{Kind: statement.Status})
	return status.Term, err == nil && status.Leads
}

// recordPrimary records the new primary and demotes the old one, if it is
// reachable.
func (a *attempt) recordPrimary(ctx context.Context, id tables.UpstreamID, term tables.Term) error {
	old := a.record.Primary
	if err := a.updateRecord(ctx, tables.PrimaryRecord{Primary: id, Term: term}); err != nil {
		return err
	}
	f := a.f
	f.mu.Lock()
	if g := f.group(a.id); a.recordVersion.Compare(g.version) > 0 {
		f.setRecord(g, a.record, a.recordVersion)
	}
	u, ok := f.upstreams[old]
	f.mu.Unlock()
	if !ok || old == id {
		return nil
	}
	if _, err := u.runControlWithRetry(ctx, statement.Statement{Kind: statement.Demote, Term: term}); err != nil {
		f.log.Info("Could not demote the old primary after its replacement.", "group", a.id, "upstream", old, "error", err)
	}
	return nil
}

// finishOrder completes the promotion that another attempt ordered: done is true if its
// server leads. Otherwise the order may take effect at any time, however long ago its
// sender gave it up: the server is then ordered again, as it has all acknowledged commits
// while no other one is promoted. Only for a server that has terminated the order is
// removed, once it can't take effect any more, so that the replacement starts over.
func (a *attempt) finishOrder(ctx context.Context) (done bool, err error) {
	if term, ok := a.f.queryLeads(ctx, a.record.Ordered); ok && term > a.record.Term {
		return true, a.recordPrimary(ctx, a.record.Ordered, term)
	}
	if !a.orderedTerminated() {
		a.pending = a.record.Ordered
		return false, nil
	}
	if a.storeClock < a.record.OrderedAt+replace.CoordinatorLeaseTime+replace.OrderTimeout {
		return false, errors.Errorf("the order for %s may still take effect", a.record.Ordered)
	}
	next := a.record.WithoutOrder()
	next.Lapsed = true
	return false, a.updateRecord(ctx, next)
}

// orderedTerminated reports whether the server whose promotion was ordered has surely
// terminated.
func (a *attempt) orderedTerminated() bool {
	f := a.f
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[a.record.Ordered]
	return !ok || f.hasTerminated(u)
}

// unrecordedPrimary is the error of a server that leads and is not recorded: it was promoted
// by an order that is not on record any more, or is the recorded primary under a new id.
type unrecordedPrimary struct {
	id   tables.UpstreamID
	term tables.Term
}

// Error implements error.
func (e unrecordedPrimary) Error() string {
	return fmt.Sprintf("%s leads term %d", e.id, e.term)
}

// adoptPrimary records a server that leads and is not recorded as the primary. The other
// servers follow it already, so none of them can be promoted beside it.
func (a *attempt) adoptPrimary(ctx context.Context, led unrecordedPrimary) error {
	f := a.f
	if err := sleep.For(ctx, replace.OrderAt(a.announcedAt, a.announcedAt).Sub(f.Now())); err != nil {
		return err
	}
	record, err := confirm.Decide(confirm.View{Known: a.record, Servers: f.queryServers(ctx, a.id)})
	if err != nil {
		return errors.Wrapf(err, "adopt %s", led.id)
	}
	if record.Primary != led.id {
		return errors.Errorf("%s does not lead the newest term any more", led.id)
	}
	f.log.Warn("A server leads that is not recorded; recording it as the primary.", "group", a.id,
		"upstream", record.Primary, "term", record.Term, "before", a.record.Primary, "ordered", a.record.Ordered)
	a.record.Primary, a.record.Term = record.Primary, record.Term
	return a.cancelReplacement(ctx, a.othersThanPrimary())
}

// recordOrderedPrimary records the server that another proxy ordered, if it
// leads by now. It needs no coordinator lease, as it orders nothing: the proxy
// that did may have failed.
func (f *Fleet) recordOrderedPrimary(ctx context.Context, id tables.GroupID) {
	if !f.beginAttempt(id) {
		return
	}
	defer f.endAttempt(id, replace.CauseNone, nil)
	f.mu.Lock()
	g := f.group(id)
	a := &attempt{f: f, id: id, era: g.version.Era, record: g.record, recordVersion: g.version}
	f.mu.Unlock()
	if a.record.Ordered == "" {
		return
	}
	term, ok := f.queryLeads(ctx, a.record.Ordered)
	if !ok || term <= a.record.Term {
		return
	}
	ordered := a.record.Ordered
	err := a.recordPrimary(ctx, ordered, term)
	f.log.Info("Recorded a primary whose promotion another proxy had ordered.", "group", id, "upstream", ordered, "term", term, "error", err)
}
