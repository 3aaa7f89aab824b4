package fleet

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// dutyTime is how long after a claim its holder may give orders. Another
	// proxy waits it out, and turnTime, after the holder died.
	dutyTime = 2500 * time.Millisecond
	// turnTime is the least time between orders of two holders. The platform's
	// bench names 3 s where it finds them too close; its pages name no figure.
	turnTime = 3300 * time.Millisecond
	// dutyMargin ends a claim early for its holder, for clocks that differ in speed.
	dutyMargin = 200 * time.Millisecond
	// holdTimeout bounds the tries to hold all replicas.
	holdTimeout = 1200 * time.Millisecond
	// feedSpan is the time between two accounts that tell whether a primary
	// feeds its replicas.
	feedSpan = 150 * time.Millisecond
	// holdPause is the pause between two tries to hold a replica.
	holdPause = 30 * time.Millisecond
	// leadPause is the pause between two questions whether a promoted server leads.
	leadPause = 40 * time.Millisecond
	// retryPause is how long a replacement that failed is not tried again.
	retryPause = 400 * time.Millisecond
	// writeTries bounds the tries of one conditional write.
	writeTries = 4
)

// takeOver replaces the primary of a group. Every step may be repeated by
// another proxy from what lies in the store and at the servers.
func (f *Fleet) takeOver(ctx context.Context, id tables.GroupID, cause replace.Cause, l Leader) {
	if !f.enter(id) {
		return
	}
	began := f.Now()
	ctx, cancel := context.WithTimeout(ctx, 3*dutyTime)
	defer cancel()
	log := f.log.With("group", id, "cause", cause.String())
	err := f.tryTakeOver(ctx, id, cause, l)
	f.leave(id, err)
	if err != nil {
		log.Warn("Did not replace a primary.", "error", err, "took", f.Now().Sub(began))
		return
	}
	took := f.Now().Sub(began)
	f.Metrics.ObserveWriteGap(id, took)
	log.Info("Replaced a primary.", "took", took)
}

func (f *Fleet) enter(id tables.GroupID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	if g.replacing {
		return false
	}
	g.replacing = true
	return true
}

func (f *Fleet) leave(id tables.GroupID, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	g.replacing = false
	g.restUntil = f.Now().Add(stagger())
	if err != nil {
		g.restUntil = f.Now().Add(retryPause + stagger())
	}
}

// attempt is one try to replace a primary.
type attempt struct {
	f      *Fleet
	id     tables.GroupID
	record tables.PrimaryRecord
	// version is that of the group's row.
	version uint64
	// claim names the claim of the duty that this attempt makes if it needs one.
	claim string
	// against is the primary that failed, as of its record; it names none where
	// no primary was known.
	against Leader
	// clock is the store's clock when the rows were read.
	clock time.Duration
	// announced is when the announcement surely stood.
	announced tables.Time
	// held is when the last replica was held.
	held tables.Time
	term tables.Term
}

func (f *Fleet) tryTakeOver(ctx context.Context, id tables.GroupID, cause replace.Cause, l Leader) error {
	if err := f.survey(ctx, id, cause, l); err != nil {
		return err
	}
	if err := sleep.For(ctx, stagger()); err != nil {
		return err
	}
	a := &attempt{f: f, id: id, claim: string(f.VM) + "/" + uuid.NewString(), against: l}
	if err := a.announce(ctx); err != nil {
		return err
	}
	defer a.finishDuty(ctx)
	if a.record.Ordered != "" {
		if done, err := a.finishOrder(ctx); done || err != nil {
			return err
		}
	}
	if cause == replace.CauseUnfinished && a.needless(ctx) {
		a.abandon(ctx)
		return errors.New("the primary still leads, the replacement is given up")
	}
	held := make(holds)
	err := a.holdAll(ctx, held)
	if err == nil && replace.AllLeaving(held.list()) && cause == replace.CauseLeaving {
		err = errors.New("all replicas are leaving too")
	}
	if err != nil {
		// A primary that does not lead any more can't be gone back to.
		if _, leads := f.leads(ctx, a.record.Primary); leads {
			a.abandon(ctx)
		}
		return err
	}
	return a.order(ctx, held)
}

// survey asks all replicas before anything is announced. A replacement that
// can't hold every one of them would stop the group's writes for nothing. If
// the cause may lie on this proxy's path alone, they are asked twice whether
// the primary still feeds them.
func (f *Fleet) survey(ctx context.Context, id tables.GroupID, cause replace.Cause, l Leader) error {
	f.mu.Lock()
	replicas := f.members(id, func(u *Upstream) bool { return u != l.Upstream && !f.gone(u) })
	lost, ok := f.lostMember(f.group(id))
	f.mu.Unlock()
	if ok {
		return errLostMember(lost)
	}
	if len(replicas) == 0 {
		return errors.New("no replica is known")
	}
	first := make(map[*Upstream]statement.ServerStatus)
	for _, u := range replicas {
		account, err := u.insist(ctx, statement.Statement{Kind: statement.Status})
		if err != nil && (l.Upstream != nil || u.entry.ID != f.primaryOf(id)) {
			return errors.Wrapf(err, "replica %s does not answer", u.ID())
		}
		first[u] = account
	}
	if !cause.NeedsReplicaCheck() {
		return nil
	}
	if err := sleep.For(ctx, feedSpan); err != nil {
		return err
	}
	for u, before := range first {
		after, err := u.insist(ctx, statement.Statement{Kind: statement.Status})
		if err == nil && replace.Replicates(before, after) {
			return errors.Errorf("the primary feeds %s", u.ID())
		}
	}
	return nil
}

// primaryOf returns the primary that the group's record names.
func (f *Fleet) primaryOf(id tables.GroupID) tables.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(id).record.Primary
}

// needless reports whether the old primary of an unfinished replacement leads
// and stays.
func (a *attempt) needless(ctx context.Context) bool {
	f := a.f
	f.mu.Lock()
	u, ok := f.upstreams[a.record.Primary]
	stays := ok && !u.leaving && u.missingSince == 0
	f.mu.Unlock()
	if !stays {
		return false
	}
	_, leads := f.leads(ctx, a.record.Primary)
	return leads
}

// gone reports whether a server has surely ended. The lock must be held.
func (f *Fleet) gone(u *Upstream) bool {
	since := f.missingWhileStoreAnswers(u)
	return since != 0 && f.Now().Sub(since) >= replace.MissingTimeout
}

// abandon lets the replicas go and then says that the primary stays. It is
// called before any order was given. Once the claim may have ended nothing is
// let go: the next holder may rely on its holds, and finds the announcement.
func (a *attempt) abandon(ctx context.Context) {
	f := a.f
	f.mu.Lock()
	until := f.duty.until
	replicas := f.members(a.id, func(u *Upstream) bool { return u.entry.ID != a.record.Primary })
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), until.Sub(f.Now()))
	defer cancel()
	for _, u := range replicas {
		if f.Now() >= until {
			f.log.Warn("The claim ran out before all replicas were let go.", "group", a.id)
			return
		}
		if _, err := u.insist(ctx, statement.Statement{Kind: statement.Resume}); err != nil {
			f.log.Warn("A replica was not let go.", "group", a.id, "upstream", u.ID(), "error", err)
		}
	}
	next := a.record.WithoutOrder()
	next.Replacing = false
	if err := a.update(ctx, next); err != nil {
		f.log.Warn("A replacement that was given up stays announced.", "group", a.id, "error", err)
	}
}
