package fleet

import (
	"context"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// holds are the servers held, by id.
type holds map[tables.UpstreamID]replace.Held

func (h holds) list() []replace.Held {
	out := make([]replace.Held, 0, len(h))
	for _, held := range h {
		out = append(out, held)
	}
	return out
}

// holdAll holds every server that may count for the old primary's commits and
// is not held yet. It retries for up to holdTimeout. A leaving server that doesn't answer
// is passed over once the primary is demoted.
func (a *attempt) holdAll(ctx context.Context, held holds) error {
	f := a.f
	deadline := f.Now().Add(holdTimeout)
	for {
		missing, err := a.holdRemaining(ctx, held)
		if missing == 0 && err == nil {
			return nil
		}
		if errors.As(err, new(unrecordedPrimary)) {
			return err
		}
		if f.Now() > deadline || ctx.Err() != nil {
			return errors.Errorf("%d replicas can't be held: %v", missing, err)
		}
		_ = sleep.For(ctx, holdRetryDelay) // the loop checks ctx
	}
}

// holdRemaining tries once to hold the servers that are not held yet.
func (a *attempt) holdRemaining(ctx context.Context, held holds) (missing int, err error) {
	f := a.f
	replicas := a.replicas()
	f.mu.Lock()
	validUntil := f.coordinator.validUntil
	leaving, unlisted := make(map[tables.UpstreamID]bool), make(map[tables.UpstreamID]bool)
	for _, u := range replicas {
		leaving[u.entry.ID], unlisted[u.entry.ID] = u.leaving, u.missingSince != 0
	}
	f.mu.Unlock()
	if len(replicas) == 0 {
		return 1, errors.New("no replica is known")
	}
	a.chooseTerm(ctx, replicas)
	replicas = slices.DeleteFunc(replicas, func(u *Upstream) bool {
		_, ok := held[u.entry.ID]
		return ok
	})
	if len(replicas) > 0 && f.Now() >= validUntil {
		// Nobody would release a hold that outlasts the claim.
		return len(replicas), errors.Wrap(errNotCoordinator, "the coordinator lease expired before all replicas were held")
	}
	term := a.term
	for i, r := range runControlOnAll(ctx, replicas, statement.Statement{Kind: statement.Hold, Term: term}) {
		u := replicas[i]
		switch {
		case r.err != nil && a.demotes && leaving[u.entry.ID]:
			f.mu.Lock()
			a.passOver(u.entry.ID)
			f.mu.Unlock()
		case r.err != nil:
			missing, err = missing+1, r.err
		case r.status.Leads && a.leadsUnrecorded(r.status.Term):
			return missing + 1, unrecordedPrimary{id: u.ID(), term: r.status.Term}
		case r.status.Leads:
			missing, err = missing+1, errors.Errorf("%s leads term %d", u.ID(), r.status.Term)
			a.demote(ctx, u, r.status)
		case r.status.Held == 0:
			missing, err = missing+1, errors.Errorf("%s is not held at term %d", u.ID(), term)
			a.term = max(a.term, replace.NextTerm(a.record.Term, r.status))
		default:
			a.laterTerm = a.laterTerm || a.isLater(r.status)
			held[u.entry.ID] = replace.Held{ID: u.entry.ID, Leaving: leaving[u.entry.ID], Unlisted: unlisted[u.entry.ID], Status: r.status}
		}
	}
	return missing, err
}

// replicas returns the servers that may count for the old primary's commits, but for those
// that are passed over.
func (a *attempt) replicas() []*Upstream {
	f := a.f
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.stoppedMembers(f.group(a.id), a.record.Primary) {
		a.passOver(id)
	}
	return f.serversWhere(a.id, func(u *Upstream) bool {
		if a.demotes && u.leaving && u.entry.ID != a.record.Primary && u.Unreachable() {
			a.passOver(u.entry.ID)
		}
		return u.entry.ID != a.record.Primary && !f.hasTerminated(u) && !a.passedOver[u.entry.ID]
	})
}

// passOver records that a server is not held, as it ended. The lock must be held.
func (a *attempt) passOver(id tables.UpstreamID) {
	if a.passedOver == nil {
		a.passedOver = make(map[tables.UpstreamID]bool)
	}
	a.passedOver[id] = true
}

// isLater reports whether a server knows of a term after the primary's, or that one is not
// known.
func (a *attempt) isLater(s statement.ServerStatus) bool {
	known := max(a.primaryTerm, a.record.Term)
	return known == 0 || max(s.Term, s.Received.LogTerm) > known
}

// chooseTerm determines the term of the holds, which is that of the promotion, unless it is
// known already.
func (a *attempt) chooseTerm(ctx context.Context, replicas []*Upstream) {
	if a.term != 0 {
		return
	}
	f := a.f
	f.mu.Lock()
	known := max(f.group(a.id).term, a.record.Term)
	f.mu.Unlock()
	statuses := make([]statement.ServerStatus, 0, len(replicas))
	for _, r := range runControlOnAll(ctx, replicas, statement.Statement{Kind: statement.Status}) {
		if r.err == nil {
			statuses = append(statuses, r.status)
		}
	}
	a.term = replace.NextTerm(known, statuses...)
}

// leadsUnrecorded reports whether a server other than the recorded primary, which leads a
// term, is the group's primary. In the record's own term it is that primary under a new
// id, which must not go on while an order is pending.
func (a *attempt) leadsUnrecorded(term tables.Term) bool {
	return term > a.record.Term || term == a.record.Term && a.pending == ""
}

// demote turns a primary that must not go on into a replica, so that it can be held.
func (a *attempt) demote(ctx context.Context, u *Upstream, status statement.ServerStatus) {
	if _, err := u.runControlWithRetry(ctx, statement.Statement{Kind: statement.Demote, Term: a.term}); err != nil {
		a.f.log.Info("Could not demote a primary that must not go on.", "group", a.id, "upstream", u.ID(), "term", status.Term, "error", err)
	}
}

// candidateUnchanged reports whether best is still the server to promote and
// has received nothing since it was chosen.
func (a *attempt) candidateUnchanged(held holds, best replace.Held) bool {
	now, ok := replace.Candidate(held.list(), best.ID)
	return ok && now.Status.Received == best.Status.Received && held[best.ID].Status.Received == best.Status.Received
}

// dropLostHolds removes the servers whose hold was lost, for instance by a
// restart. They have to be held again, as they may have received more since.
func (a *attempt) dropLostHolds(ctx context.Context, held holds) {
	f := a.f
	var replicas []*Upstream
	f.mu.Lock()
	for id := range held {
		if u, ok := f.upstreams[id]; ok {
			replicas = append(replicas, u)
		} else {
			delete(held, id)
		}
	}
	f.mu.Unlock()
	for i, r := range runControlOnAll(ctx, replicas, statement.Statement{Kind: statement.Status}) {
		if r.err != nil || r.status.Held == 0 {
			id := replicas[i].entry.ID
			f.log.Info("A replica lost its hold.", "group", a.id, "upstream", id, "error", r.err)
			delete(held, id)
		}
	}
}

// demotePrimary turns the old primary into a replica, if it is reachable. It returns
// where its log ends, or zero if it is not known to be demoted.
func (a *attempt) demotePrimary(ctx context.Context) tables.Position {
	f := a.f
	f.mu.Lock()
	u, ok := f.upstreams[a.record.Primary]
	f.mu.Unlock()
	if !ok || u.Unreachable() {
		return tables.Position{}
	}
	if before, err := u.runControlWithRetry(ctx, statement.Statement{Kind: statement.Status}); err == nil {
		a.primaryTerm = before.Term
	}
	status, err := u.runControlWithRetry(ctx, statement.Statement{Kind: statement.Demote, Term: a.term})
	if err != nil || status.Leads {
		f.log.Info("Could not demote the old primary.", "group", a.id, "upstream", u.ID(), "leads", status.Leads, "error", err)
		return tables.Position{}
	}
	f.log.Info("Demoted the old primary.", "group", a.id, "upstream", u.ID(), "received", status.Received)
	return status.Received
}
