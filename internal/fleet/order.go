package fleet

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// order stops the old primary if it can be reached, waits until the order may
// be given, gives it and waits for its effect. A server that joins meanwhile
// may receive commits of the old primary, so it is held too.
func (a *attempt) order(ctx context.Context, held holds) error {
	f := a.f
	a.stopPrimary(ctx)
	var best replace.Held
	for {
		if err := a.holdAll(ctx, held); err != nil {
			return err
		}
		heldAt, members := f.Now(), len(held)
		var ok bool
		if best, ok = replace.Candidate(held.list()); !ok {
			return errors.New("no replica is held")
		}
		if err := a.choose(ctx, best); err != nil {
			return err
		}
		if err := sleep.For(ctx, replace.OrderAt(a.announced, heldAt).Sub(f.Now())); err != nil {
			return err
		}
		a.checkHolds(ctx, held)
		if missing, err := a.holdRest(ctx, held); err == nil && missing == 0 && len(held) == members && a.kept(held, best) {
			a.held = heldAt
			break
		}
	}
	return a.give(ctx, best, len(held))
}

// choose records who is to be promoted.
func (a *attempt) choose(ctx context.Context, best replace.Held) error {
	next := a.record
	next.Ordered, next.OrderedAt, next.Safe = best.ID, a.clock, best.Status.Received
	if next == a.record {
		return nil
	}
	return a.update(ctx, next)
}

// give gives the order, if this proxy still has the duty.
func (a *attempt) give(ctx context.Context, best replace.Held, held int) error {
	f := a.f
	f.mu.Lock()
	d := f.duty
	f.mu.Unlock()
	if !replace.MayOrder(f.Now(), a.announced, a.held, d.until) {
		return errors.Wrap(errLostDuty, "the claim ran out before the order")
	}
	f.mu.Lock()
	f.duty.orderedAt = f.Now()
	f.mu.Unlock()
	f.log.Info("Ordered a promotion.", "group", a.id, "upstream", best.ID, "token", d.token,
		"received", best.Status.Received, "held", held, "before", a.record.Primary)
	orderCtx, cancel := context.WithTimeout(ctx, d.until.Sub(f.Now()))
	err := f.Promoter.Promote(orderCtx, d.token, a.id, best.ID)
	cancel()
	if errors.Is(err, f.Codec.NotRunning) || errors.Is(err, platform.ErrUnavailable) {
		if uerr := a.update(ctx, a.record.WithoutOrder()); uerr != nil {
			f.log.Warn("An order that was refused stays on record.", "group", a.id, "error", uerr)
		}
		return errors.Wrap(err, "order")
	}
	if err != nil {
		f.log.Warn("An order's answer was lost.", "group", a.id, "upstream", best.ID, "error", err)
	}
	return a.awaitLead(ctx, best.ID)
}

// awaitLead waits until the ordered server leads and records it.
func (a *attempt) awaitLead(ctx context.Context, id tables.UpstreamID) error {
	f := a.f
	began := f.Now()
	for f.Now().Sub(began) < replace.OrderTimeout {
		if term, ok := f.leads(ctx, id); ok {
			f.mu.Lock()
			f.group(a.id).promoteTook = f.Now().Sub(began)
			f.mu.Unlock()
			return a.settle(ctx, id, term)
		}
		if err := sleep.For(ctx, leadPause); err != nil {
			return err
		}
	}
	return errors.Errorf("%s does not lead after the order", id)
}

// leads asks a server whether it leads, and under which term.
func (f *Fleet) leads(ctx context.Context, id tables.UpstreamID) (tables.Term, bool) {
	f.mu.Lock()
	u, ok := f.upstreams[id]
	f.mu.Unlock()
	if !ok {
		return 0, false
	}
	account, err := u.insist(ctx, statement.Statement{Kind: statement.Status})
	return account.Term, err == nil && account.Leads
}

// settle records the new primary and tells the old one, if it listens.
func (a *attempt) settle(ctx context.Context, id tables.UpstreamID, term tables.Term) error {
	old := a.record.Primary
	if err := a.update(ctx, tables.PrimaryRecord{Primary: id, Term: term}); err != nil {
		return err
	}
	f := a.f
	f.mu.Lock()
	if g := f.group(a.id); a.version > g.version {
		f.setRecord(g, a.record, a.version)
	}
	u, ok := f.upstreams[old]
	f.mu.Unlock()
	if !ok || old == id {
		return nil
	}
	if _, err := u.insist(ctx, statement.Statement{Kind: statement.Demote, Term: term}); err != nil {
		f.log.Info("The old primary was not told of its replacement.", "group", a.id, "upstream", old, "error", err)
	}
	return nil
}

// finishOrder ends what another attempt ordered: done is true if its server
// leads. While the order may still take effect it returns an error, so that the
// caller comes again; afterwards the replacement begins anew.
func (a *attempt) finishOrder(ctx context.Context) (done bool, err error) {
	if term, ok := a.f.leads(ctx, a.record.Ordered); ok && term > a.record.Term {
		return true, a.settle(ctx, a.record.Ordered, term)
	}
	if a.clock < a.record.OrderedAt+dutyTime+replace.OrderTimeout {
		return false, errors.Errorf("the order for %s may still take effect", a.record.Ordered)
	}
	return false, a.update(ctx, a.record.WithoutOrder())
}

// settleFor records the server that another proxy ordered, if it leads by now.
// No order is given, so the duty is not needed: the holder may have ended.
func (f *Fleet) settleFor(ctx context.Context, id tables.GroupID) {
	if !f.enter(id) {
		return
	}
	defer f.leave(id, nil)
	f.mu.Lock()
	g := f.group(id)
	a := &attempt{f: f, id: id, record: g.record, version: g.version}
	f.mu.Unlock()
	if a.record.Ordered == "" {
		return
	}
	term, ok := f.leads(ctx, a.record.Ordered)
	if !ok || term <= a.record.Term {
		return
	}
	ordered := a.record.Ordered
	err := a.settle(ctx, ordered, term)
	f.log.Info("Recorded a primary that another proxy had ordered.", "group", id, "upstream", ordered, "term", term, "error", err)
}
