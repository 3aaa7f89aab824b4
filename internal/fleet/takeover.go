package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// dutyTime is how long one claim of the duty lasts. Another proxy waits it
	// out after its holder died.
	dutyTime = 2500 * time.Millisecond
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

// duty is this proxy's claim of the duty to replace primaries.
type duty struct {
	token   uint64
	claim   string
	version uint64
	// until is when the claim ends, by this proxy's clock.
	until tables.Time
	users int
}

// errLostDuty means that another proxy has the duty or its row changed.
var errLostDuty = errors.New("fleet: another proxy has the duty")

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
	a := &attempt{f: f, id: id, claim: string(f.VM) + "/" + uuid.NewString()}
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
	if err == nil && replace.AllLeave(held.list()) && cause == replace.CauseLeaving {
		err = errors.New("all replicas are leaving too")
	}
	if err != nil {
		a.abandon(ctx)
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
	first := make(map[*Upstream]statement.Account)
	for _, u := range replicas {
		account, err := u.ask(ctx, statement.Statement{Kind: statement.Status})
		if err != nil && (l.Upstream != nil || u.entry.ID != f.primaryOf(id)) {
			return errors.Wrapf(err, "replica %s does not answer", u.ID())
		}
		first[u] = account
	}
	if !cause.NeedsProof() {
		return nil
	}
	if err := sleep.For(ctx, feedSpan); err != nil {
		return err
	}
	for u, before := range first {
		after, err := u.ask(ctx, statement.Statement{Kind: statement.Status})
		if err == nil && replace.Feeds(before, after) {
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

// announce claims the duty and says in the store that the replacement begins.
// No proxy uses the old primary's answers a lease later.
func (a *attempt) announce(ctx context.Context) error {
	f := a.f
	for try := 0; try < writeTries; try++ {
		at := f.Now()
		rows, err := f.Store.ReadTable(ctx, RecordTable)
		if err != nil {
			return errors.Wrap(err, "read the records")
		}
		at = at.Add(-rows.Age)
		f.takeRecords(rows, true, at)
		d, err := a.plan(rows, at)
		if err != nil {
			return err
		}
		err = a.write(ctx, rows, d, at)
		switch {
		case err == nil:
			f.log.Info("Announced the replacement of a primary.", "group", a.id, "primary", a.record.Primary,
				"record", a.version, "token", f.token())
			return nil
		case errors.Is(err, platform.ErrConflict):
			return errors.Wrap(errLostDuty, "announce")
		case errors.Is(err, platform.ErrUnknown):
			// The next look shows whether it was done: the claim's name tells.
			continue
		}
		return errors.Wrap(err, "announce")
	}
	return errors.New("announce: no answer from the store")
}

// claimed is what an announcement writes beside the group's record.
type claimed struct {
	record  tables.DutyRecord
	version uint64
	// mine says that the present claim is this proxy's own and goes on.
	mine bool
}

// plan works out the announcement from the rows as read.
func (a *attempt) plan(rows platform.Rows, at tables.Time) (claimed, error) {
	f := a.f
	var d claimed
	a.clock = rows.Clock
	a.record, a.version = tables.PrimaryRecord{}, 0
	for _, r := range rows.Rows {
		switch {
		case r.Key == dutyKey:
			if err := json.Unmarshal(r.Value, &d.record); err != nil {
				f.log.Error("The duty's row can't be read and is written anew.", "rowVersion", r.Version, "error", err)
			}
			d.version = r.Version
		case r.Key == groupPrefix+string(a.id):
			if err := json.Unmarshal(r.Value, &a.record); err != nil {
				f.log.Error("A group's row can't be read and is written anew.", "rowVersion", r.Version, "error", err)
			}
			a.version = r.Version
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.record.Claim == a.claim && f.duty.claim != a.claim {
		// An earlier try was done and its answer lost.
		f.duty.token, f.duty.claim = d.version, a.claim
		f.duty.until = at.Add(d.record.Until - rows.Clock - dutyMargin)
	}
	d.mine = d.record.Claim != "" && d.record.Claim == f.duty.claim && f.Now() < f.duty.until
	if !d.mine && rows.Clock < d.record.Until {
		return d, errors.Wrapf(errLostDuty, "held by %s", d.record.Holder)
	}
	if a.version == 0 {
		a.record.Primary = f.group(a.id).Primary
	}
	if lost, ok := f.lostMember(f.group(a.id)); ok {
		return d, errLostMember(lost)
	}
	return d, nil
}

// write makes the announcement; at is when the rows were read.
func (a *attempt) write(ctx context.Context, rows platform.Rows, d claimed, at tables.Time) error {
	f := a.f
	next := tables.DutyRecord{Holder: f.VM, Claim: d.record.Claim, Until: rows.Clock + dutyTime}
	if !d.mine {
		next.Claim = a.claim
	}
	a.record.Replacing = true
	row, err := json.Marshal(a.record)
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	dutyRow, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the duty")
	}
	done, err := f.Store.Apply(ctx, platform.Change{
		Table:  RecordTable,
		Expect: []platform.Expectation{{Key: groupPrefix + string(a.id), Version: a.version}, {Key: dutyKey, Version: d.version}},
		Writes: []platform.Write{{Key: groupPrefix + string(a.id), Value: row}, {Key: dutyKey, Value: dutyRow}},
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !d.mine {
		// The store's counter grows with every write, so a later claim has a higher token.
		f.duty.token = done.Version
	}
	f.duty.claim, f.duty.version = next.Claim, done.Version
	f.duty.users++
	f.duty.until = at.Add(dutyTime - dutyMargin)
	a.version, a.announced = done.Version, f.Now()
	return nil
}

func (f *Fleet) token() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duty.token
}

// finishDuty gives the duty back once no replacement of this proxy needs it,
// so that another proxy need not wait the claim out.
func (a *attempt) finishDuty(ctx context.Context) {
	f := a.f
	f.mu.Lock()
	f.duty.users--
	d := f.duty
	if d.users > 0 {
		f.mu.Unlock()
		return
	}
	f.duty = duty{}
	f.mu.Unlock()
	row, err := json.Marshal(tables.DutyRecord{Holder: f.VM})
	if err != nil {
		f.log.Error("The duty can't be encoded.", "error", err)
		return
	}
	_, err = f.Store.Apply(context.WithoutCancel(ctx), platform.Change{
		Table:  RecordTable,
		Expect: []platform.Expectation{{Key: dutyKey, Version: d.version}},
		Writes: []platform.Write{{Key: dutyKey, Value: row}},
	})
	if err != nil {
		f.log.Info("The duty was not given back and runs out.", "until", d.until, "error", err)
	}
}

// update writes the group's row under the condition that it is as this attempt
// left it, and, for an order, that the duty is still this proxy's.
func (a *attempt) update(ctx context.Context, next tables.PrimaryRecord) error {
	row, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	for try := 0; ; try++ {
		done, err := a.f.Store.Apply(ctx, platform.Change{
			Table:  RecordTable,
			Expect: []platform.Expectation{{Key: groupPrefix + string(a.id), Version: a.version}},
			Writes: []platform.Write{{Key: groupPrefix + string(a.id), Value: row}},
		})
		if err == nil {
			a.version, a.record = done.Version, next
			return nil
		}
		if try >= writeTries || errors.Is(err, platform.ErrConflict) && try == 0 {
			return errors.Wrap(err, "write a record")
		}
		if applied, rerr := a.applied(ctx, row); rerr == nil && applied {
			a.record = next
			return nil
		}
		if serr := sleep.For(ctx, watchPause); serr != nil {
			return errors.Wrap(err, "write a record")
		}
	}
}

// applied reads back whether a write without an answer took effect.
func (a *attempt) applied(ctx context.Context, row []byte) (bool, error) {
	rows, err := a.f.Store.ReadTable(ctx, RecordTable)
	if err != nil {
		return false, err
	}
	for _, r := range rows.Rows {
		if r.Key == groupPrefix+string(a.id) && string(r.Value) == string(row) {
			a.version = r.Version
			return true, nil
		}
	}
	return false, nil
}

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
		accounts := make([]statement.Account, 0, len(members))
		for _, u := range members {
			if account, err := u.ask(ctx, statement.Statement{Kind: statement.Status}); err == nil {
				accounts = append(accounts, account)
			}
		}
		a.term = replace.NextTerm(known, accounts...)
	}
	for _, u := range members {
		if _, ok := held[u.entry.ID]; ok {
			continue
		}
		account, askErr := u.ask(ctx, statement.Statement{Kind: statement.Hold, Term: a.term})
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
			held[u.entry.ID] = replace.Held{ID: u.entry.ID, Leaving: leaving[u.entry.ID], Account: account}
		}
	}
	return missing, err
}

// demote makes a primary that was replaced earlier a replica, so that it can be
// held. One that leads a newer term than the record is left alone.
func (a *attempt) demote(ctx context.Context, u *Upstream, account statement.Account) {
	if account.Term >= a.record.Term {
		return
	}
	if _, err := u.ask(ctx, statement.Statement{Kind: statement.Demote, Term: a.record.Term}); err != nil {
		a.f.log.Info("A primary that was replaced earlier was not told.", "group", a.id, "upstream", u.ID(), "error", err)
	}
}

// gone reports whether a server has surely ended. The lock must be held.
func (f *Fleet) gone(u *Upstream) bool {
	since := f.missingWhileStoreAnswers(u)
	return since != 0 && f.Now().Sub(since) >= replace.GoneAfter
}

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

// kept reports whether best is still the one to promote and nothing newer was received.
func (a *attempt) kept(held holds, best replace.Held) bool {
	now, ok := replace.Candidate(held.list())
	return ok && now.Account.Received == best.Account.Received && held[best.ID].Account.Received == best.Account.Received
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
		account, err := u.ask(ctx, statement.Statement{Kind: statement.Status})
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
	if _, err := u.ask(ctx, statement.Statement{Kind: statement.Demote, Term: a.term}); err != nil {
		f.log.Info("The old primary was not stopped.", "group", a.id, "upstream", u.ID(), "error", err)
	}
}

// choose records who is to be promoted.
func (a *attempt) choose(ctx context.Context, best replace.Held) error {
	next := a.record
	next.Ordered, next.OrderedAt, next.Safe = best.ID, a.clock, best.Account.Received
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
	f.log.Info("Ordered a promotion.", "group", a.id, "upstream", best.ID, "token", d.token,
		"received", best.Account.Received, "held", held, "before", a.record.Primary)
	orderCtx, cancel := context.WithTimeout(ctx, d.until.Sub(f.Now()))
	err := f.Promoter.Promote(orderCtx, d.token, a.id, best.ID)
	cancel()
	if errors.Is(err, f.Codec.NotRunning) || errors.Is(err, platform.ErrUnavailable) {
		next := a.record
		next.Ordered, next.OrderedAt, next.Safe = "", 0, tables.Position{}
		if uerr := a.update(ctx, next); uerr != nil {
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
	for f.Now().Sub(began) < replace.OrderSettles {
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
	account, err := u.ask(ctx, statement.Statement{Kind: statement.Status})
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
	value, _ := json.Marshal(a.record) // it was encoded a moment ago
	if g := f.group(a.id); a.version > g.version {
		f.takeRecord(g, platform.TableRow{Key: groupPrefix + string(a.id), Value: value, Version: a.version})
	}
	u, ok := f.upstreams[old]
	f.mu.Unlock()
	if !ok || old == id {
		return nil
	}
	if _, err := u.ask(ctx, statement.Statement{Kind: statement.Demote, Term: term}); err != nil {
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
	if a.clock < a.record.OrderedAt+dutyTime+replace.OrderSettles {
		return false, errors.Errorf("the order for %s may still take effect", a.record.Ordered)
	}
	next := a.record
	next.Ordered, next.OrderedAt, next.Safe = "", 0, tables.Position{}
	return false, a.update(ctx, next)
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
		if _, err := u.ask(ctx, statement.Statement{Kind: statement.Resume}); err != nil {
			f.log.Warn("A replica was not let go.", "group", a.id, "upstream", u.ID(), "error", err)
		}
	}
	next := a.record
	next.Replacing, next.Ordered, next.OrderedAt, next.Safe = false, "", 0, tables.Position{}
	if err := a.update(ctx, next); err != nil {
		f.log.Warn("A replacement that was given up stays announced.", "group", a.id, "error", err)
	}
}
