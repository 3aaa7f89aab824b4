package fleet

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// holds are the servers held, by name.
type holds map[tables.UpstreamID]replace.Held

func (h holds) list() []replace.Held {
	out := make([]replace.Held, 0, len(h))
	for _, held := range h {
		out = append(out, held)
	}
	return out
}

// holdAll holds every server that may count for the old primary's commits and
// is not held yet.
func (a *attempt) holdAll(ctx context.Context, held holds) error {
	f := a.f
	deadline := f.Now().Add(holdTimeout)
	for {
		missing, err := a.holdRest(ctx, held)
		if missing == 0 && err == nil {
			return nil
		}
		if f.Now() > deadline || ctx.Err() != nil {
			return errors.Errorf("%d replicas can't be held: %v", missing, err)
		}
		_ = sleep.For(ctx, holdPause) // the loop looks at ctx
	}
}

// holdRest tries once to hold the servers that are not held yet.
func (a *attempt) holdRest(ctx context.Context, held holds) (missing int, err error) {
	f := a.f
	f.mu.Lock()
	members := f.members(a.id, func(u *Upstream) bool {
		return u.entry.ID != a.record.Primary && !f.gone(u)
	})
	leaving := make(map[tables.UpstreamID]bool)
	for _, u := range members {
		leaving[u.entry.ID] = u.leaving
	}
	known := max(a.term, f.group(a.id).term, a.record.Term)
	f.mu.Unlock()
	if len(members) == 0 {
		return 1, errors.New("no replica is known")
	}
	if a.term == 0 {
		accounts := make([]statement.ServerStatus, 0, len(members))
		for _, u := range members {
			if account, err := u.insist(ctx, statement.Statement{Kind: statement.Status}); err == nil {
				accounts = append(accounts, account)
			}
		}
		a.term = replace.NextTerm(known, accounts...)
	}
	for _, u := range members {
		if _, ok := held[u.entry.ID]; ok {
			continue
		}
		account, askErr := u.insist(ctx, statement.Statement{Kind: statement.Hold, Term: a.term})
		switch {
		case askErr != nil:
			missing, err = missing+1, askErr
		case account.Leads:
			missing, err = missing+1, errors.Errorf("%s leads term %d", u.ID(), account.Term)
			a.demote(ctx, u, account)
		case account.Held == 0:
			missing, err = missing+1, errors.Errorf("%s is not held at term %d", u.ID(), a.term)
			a.term = replace.NextTerm(a.term, account)
		default:
			held[u.entry.ID] = replace.Held{ID: u.entry.ID, Leaving: leaving[u.entry.ID], Status: account}
		}
	}
	return missing, err
}

// demote makes a primary that was replaced earlier a replica, so that it can be
// held. One that leads a newer term than the record is left alone.
func (a *attempt) demote(ctx context.Context, u *Upstream, account statement.ServerStatus) {
	if account.Term >= a.record.Term {
		return
	}
	if _, err := u.insist(ctx, statement.Statement{Kind: statement.Demote, Term: a.record.Term}); err != nil {
		a.f.log.Info("A primary that was replaced earlier was not told.", "group", a.id, "upstream", u.ID(), "error", err)
	}
}

// kept reports whether best is still the one to promote and nothing newer was received.
func (a *attempt) kept(held holds, best replace.Held) bool {
	now, ok := replace.Candidate(held.list())
	return ok && now.Status.Received == best.Status.Received && held[best.ID].Status.Received == best.Status.Received
}

// checkHolds leaves out the servers that forgot that they are held, as one does
// that started again. What they received since counts anew.
func (a *attempt) checkHolds(ctx context.Context, held holds) {
	f := a.f
	for id := range held {
		f.mu.Lock()
		u, ok := f.upstreams[id]
		f.mu.Unlock()
		if !ok {
			delete(held, id)
			continue
		}
		account, err := u.insist(ctx, statement.Statement{Kind: statement.Status})
		if err != nil || account.Held == 0 {
			f.log.Info("A hold was lost.", "group", a.id, "upstream", id, "error", err)
			delete(held, id)
		}
	}
}

// stopPrimary makes the old primary a replica. It may not be there to listen.
func (a *attempt) stopPrimary(ctx context.Context) {
	f := a.f
	f.mu.Lock()
	u, ok := f.upstreams[a.record.Primary]
	f.mu.Unlock()
	if !ok || u.Unreachable() {
		return
	}
	if _, err := u.insist(ctx, statement.Statement{Kind: statement.Demote, Term: a.term}); err != nil {
		f.log.Info("The old primary was not stopped.", "group", a.id, "upstream", u.ID(), "error", err)
	}
}
