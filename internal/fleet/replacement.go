package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/confirm"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	// holdTimeout bounds the retries to hold all replicas.
	holdTimeout = 1200 * time.Millisecond
	// feedCheckInterval is the time between two status queries that show whether
	// a primary still feeds its replicas.
	feedCheckInterval = 150 * time.Millisecond
	// holdRetryDelay is the pause between two tries to hold a replica.
	holdRetryDelay = 30 * time.Millisecond
	// leadPollInterval is the pause between two queries whether a promoted server
	// leads.
	leadPollInterval = 40 * time.Millisecond
	// replaceRetryDelay is the pause after a failed replacement before the next
	// try.
	replaceRetryDelay = 400 * time.Millisecond
	// attemptSpread is the time per proxy over which the attempts of all proxies are
	// spread, up to maxAttemptSpread.
	attemptSpread    = 12 * time.Millisecond
	maxAttemptSpread = 300 * time.Millisecond
	// writeTries bounds the tries of one conditional write.
	writeTries = 4
)

// replacePrimary replaces the primary of a group. Another proxy can repeat
// every step from the state in the store and at the servers.
func (f *Fleet) replacePrimary(ctx context.Context, id tables.GroupID, cause replace.Cause, l Leader) {
	if !f.beginAttempt(id) {
		return
	}
	startedAt := f.Now()
	ctx, cancel := context.WithTimeout(ctx, 3*replace.CoordinatorLeaseTime)
	defer cancel()
	log := f.log.With("group", id, "cause", cause.String())
	err := f.tryReplacePrimary(ctx, id, cause, l)
	f.endAttempt(id, cause, err)
	if err != nil {
		log.Warn("Did not replace a primary.", "error", err, "took", f.Now().Sub(startedAt))
		return
	}
	took := f.Now().Sub(startedAt)
	f.Metrics.ObserveWriteGap(id, took)
	if cause == replace.CauseHeld {
		log.Info("Released the replicas of a group.", "took", took)
		return
	}
	log.Info("Replaced a primary.", "took", took)
}

func (f *Fleet) beginAttempt(id tables.GroupID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	if g.attemptRunning {
		return false
	}
	g.attemptRunning = true
	return true
}

func (f *Fleet) endAttempt(id tables.GroupID, cause replace.Cause, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	g.attemptRunning = false
	g.nextReplaceAt = f.Now().Add(randomDelay())
	if err == nil {
		g.failedAttempts = 0
	} else {
		g.leaderless.reason = err.Error()
		g.nextReplaceAt = f.Now().Add(f.retryDelay(g, cause, err) + randomDelay())
	}
}

// silentReplica is the error of a replica that does not answer.
type silentReplica struct {
	id  tables.UpstreamID
	err error
}

// Error implements error.
func (e silentReplica) Error() string {
	return "replica " + string(e.id) + " does not answer: " + e.err.Error()
}

// Unwrap returns the cause.
func (e silentReplica) Unwrap() error { return e.err }

// maxRetryDoublings bounds the doublings of the pause between attempts that fail.
const maxRetryDoublings = 3

// retryDelay returns the pause after a failed attempt. It doubles with each attempt in a
// row that failed because a replica did not answer, if there are several regions or
// another proxy may finish the replacement: while the link between regions is full, every
// proxy of a region finds the same, and its queries use that link; and a proxy that
// can't reach a replica must leave the coordinator lease to one that can. The lock must
// be held.
func (f *Fleet) retryDelay(g *group, cause replace.Cause, err error) time.Duration {
	var silent silentReplica
	if !f.SeveralRegions && cause != replace.CauseUnfinished || !errors.As(err, &silent) {
		g.failedAttempts = 0
		return replaceRetryDelay
	}
	delay := replaceRetryDelay << min(g.failedAttempts, maxRetryDoublings)
	g.failedAttempts++
	return delay
}

// attempt is one try to replace a primary.
type attempt struct {
	f  *Fleet
	id tables.GroupID
	// era is the store's era in which the attempt began; it ends with that era.
	era    uint64
	record tables.PrimaryRecord
	// recordVersion is the version of the group's row.
	recordVersion tables.Version
	// claimID identifies this attempt's claim to the coordinator lease, if it
	// needs a new one.
	claimID string
	// failedLeader is the primary that failed, as of its record; its Upstream is
	// nil if no primary was known.
	failedLeader Leader
	// storeClock is the store's clock when the rows were read.
	storeClock time.Duration
	// announcedAt is a moment at which the announcement was surely stored.
	announcedAt tables.Time
	// heldAt is when the last replica was held.
	heldAt tables.Time
	term   tables.Term
	// pending is the server of an earlier order that may still take effect; empty if
	// there is none.
	pending tables.UpstreamID
	// keepsPrimary means that the attempt promotes no server, so it needs no member's log.
	keepsPrimary bool
	// demotes means that the primary can be reached: it is demoted before the replicas are
	// held, and its log shows which of them has all commits.
	demotes bool
	// passedOver are the servers that may have received commits and are not held, because
	// they ended. The demoted primary's log must prove that another one has what they had.
	passedOver map[tables.UpstreamID]bool
	// primaryTerm is the term of the primary before it was demoted; 0 if it is not known.
	primaryTerm tables.Term
	// laterTerm means that a server knows of a term after the primary's.
	laterTerm bool
}

func (f *Fleet) tryReplacePrimary(ctx context.Context, id tables.GroupID, cause replace.Cause, l Leader) error {
	if err := sleep.For(ctx, f.attemptDelay()); err != nil {
		return err
	}
	if cause == replace.CauseHeld {
		return f.tryRelease(ctx, id, l)
	}
	f.queryUnlisted(ctx, id)
	// Once a replacement is announced, only the holder of the coordinator lease queries
	// the replicas: queries of all proxies would take the slots and connections that the
	// replacement needs.
	announced := cause == replace.CauseUnfinished
	if !announced {
		if f.replacing(id) {
			return errors.New("another proxy has announced the replacement")
		}
		if err := f.checkReplicas(ctx, id, cause, l); err != nil {
			return err
		}
	}
	a := f.newAttempt(id, l)
	a.keepsPrimary = announced && f.keptPrimary(ctx, id)
	a.demotes = f.demotesFirst(id, cause)
	if err := a.announce(ctx); err != nil {
		return err
	}
	defer a.releaseCoordinator(ctx)
	if a.record.Ordered != "" {
		// An order may have taken effect at a server that does not answer.
		if err := f.checkReplicas(ctx, id, cause, l); err != nil {
			return err
		}
		if done, err := a.finishOrder(ctx); done || err != nil {
			return err
		}
	}
	if a.record.Primary == "" {
		if err := a.identifyPrimary(ctx); err != nil {
			return err
		}
	}
	// Without a failed primary there may be one that appeared meanwhile. Commits that it
	// acknowledges would be lost if a pending order took effect.
	if (announced || l.Upstream == nil) && a.pending == "" && a.primaryStillLeads(ctx) {
		if err := a.cancelReplacement(ctx, a.othersThanPrimary()); err != nil {
			return err
		}
		return errors.Errorf("%s still leads, so the replacement was cancelled", a.record.Primary)
	}
	if announced {
		if err := f.checkReplicas(ctx, id, cause, l); err != nil {
			return err
		}
	}
	held := make(holds)
	best, err := a.prepareOrder(ctx, cause, held)
	var led unrecordedPrimary
	if errors.As(err, &led) {
		return a.adoptPrimary(ctx, led)
	}
	if err != nil {
		a.withdraw(ctx)
		return err
	}
	return a.orderPromotion(ctx, best, len(held))
}

// prepareOrder holds the replicas, demotes the old primary if it is reachable, and
// returns the replica to promote once its promotion may be ordered.
func (a *attempt) prepareOrder(ctx context.Context, cause replace.Cause, held holds) (replace.Held, error) {
	var demoted tables.Position
	if a.demotes {
		// A primary that works is demoted before the replicas are held. They receive its
		// last commits, so these complete and the newest log is known to have them.
		replicas := a.replicas()
		if cause == replace.CauseLeaving && a.allLeaving(replicas) {
			return replace.Held{}, errAllLeaving
		}
		a.chooseTerm(ctx, replicas)
		if demoted = a.demotePrimary(ctx); demoted == (tables.Position{}) {
			a.demotes = false // nothing proves that a server may be passed over
		}
	}
	if err := a.holdAll(ctx, held); err != nil {
		return replace.Held{}, err
	}
	if demoted == (tables.Position{}) {
		demoted = a.demotePrimary(ctx)
	}
	return a.chooseReplica(ctx, held, demoted)
}

// errAllLeaving means that a new primary would soon have to be replaced too.
var errAllLeaving = errors.New("all replicas are leaving too")

// allLeaving reports whether every server in the list is going to stop.
func (a *attempt) allLeaving(list []*Upstream) bool {
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	return !slices.ContainsFunc(list, func(u *Upstream) bool { return !u.leaving })
}

// withdraw ends an attempt that has ordered no promotion. It cancels the replacement if
// the primary leads, and otherwise leaves it to the next attempt, which need not wait for
// an order that was recorded and not sent. A pending order stays on record.
func (a *attempt) withdraw(ctx context.Context) {
	if a.pending == "" && a.primaryLeads(ctx) {
		if err := a.cancelReplacement(ctx, a.othersThanPrimary()); err != nil {
			a.f.log.Warn("Could not cancel a replacement.", "group", a.id, "error", err)
		}
		return
	}
	next := a.record.WithoutOrder()
	if a.pending != "" {
		next = a.record
		next.Ordered = a.pending
	}
	if next == a.record {
		return
	}
	if err := a.updateRecord(ctx, next); err != nil {
		a.f.log.Info("Could not remove an order that was not sent from the record.", "group", a.id, "error", err)
	}
}

// primaryLeads reports whether the primary leads. One that was not known before may have
// appeared since.
func (a *attempt) primaryLeads(ctx context.Context) bool {
	if a.record.Primary == "" {
		if err := a.identifyPrimary(ctx); err != nil {
			a.f.log.Info("Could not identify the primary of a group.", "group", a.id, "error", err)
			return false
		}
	}
	_, leads := a.f.queryLeads(ctx, a.record.Primary)
	return leads
}

// identifyPrimary determines the primary of a group whose record names none, from the
// servers' own status: the one that leads or, if none does, the only one without an
// answer, which has ended. Orders of earlier attempts must have lapsed.
func (a *attempt) identifyPrimary(ctx context.Context) error {
	f := a.f
	record, err := confirm.Decide(confirm.View{Known: a.record, Servers: f.queryServers(ctx, a.id)})
	if err != nil {
		return errors.Wrap(err, "identify the primary")
	}
	f.mu.Lock()
	err = f.checkMembersBeside(f.group(a.id), record.Primary)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	if record.Primary != "" {
		f.log.Info("Identified the primary of a group.", "group", a.id, "upstream", record.Primary, "term", record.Term)
	}
	a.record.Primary, a.record.Term = record.Primary, record.Term
	return nil
}

// attemptDelay returns a random delay before an attempt. Without a primary, callers
// load the replicas heavily; queries of all proxies at once would take the slots
// and connections that the replacement needs.
func (f *Fleet) attemptDelay() time.Duration {
	return rand.N(min(attemptSpread*time.Duration(f.Proxies()), maxAttemptSpread))
}

// replacing reports whether the group's record announces a replacement.
func (f *Fleet) replacing(id tables.GroupID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(id).record.Replacing
}

// checkReplicas queries all replicas before the replacement is announced: a
// replacement that can't hold every replica would stop the group's writes for
// nothing. If the cause may lie only on the path between this proxy and the
// primary, it queries them twice to see whether the primary still feeds them.
func (f *Fleet) checkReplicas(ctx context.Context, id tables.GroupID, cause replace.Cause, l Leader) error {
	f.mu.Lock()
	demotes := f.demotesPrimary(f.group(id), cause)
	replicas := f.serversWhere(id, func(u *Upstream) bool { return u != l.Upstream && !f.hasTerminated(u) })
	lost := f.checkMembers(f.group(id))
	f.mu.Unlock()
	if lost != nil && !demotes {
		return lost
	}
	if len(replicas) == 0 {
		return errors.New("no replica is known")
	}
	before := runControlOnAll(ctx, replicas, statement.Statement{Kind: statement.Status})
	for i, u := range replicas {
		if err := before[i].err; err != nil && !(demotes && f.isLeaving(u)) && (l.Upstream != nil || u.entry.ID != f.primaryOf(id)) && !f.replacedByNewID(u) {
			return silentReplica{id: u.ID(), err: err}
		}
	}
	if !cause.NeedsReplicaCheck() {
		return nil
	}
	if err := sleep.For(ctx, feedCheckInterval); err != nil {
		return err
	}
	after := runControlOnAll(ctx, replicas, statement.Statement{Kind: statement.Status})
	for i, u := range replicas {
		if after[i].err == nil && replace.Replicates(before[i].status, after[i].status) {
			return errors.Errorf("the primary feeds %s", u.ID())
		}
	}
	return nil
}

// isLeaving reports whether a server is going to stop.
func (f *Fleet) isLeaving(u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return u.leaving
}

// replacedByNewID reports whether a server runs under another id.
func (f *Fleet) replacedByNewID(u *Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.successor(u) != nil
}

// primaryOf returns the primary named by the group's record.
func (f *Fleet) primaryOf(id tables.GroupID) tables.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(id).record.Primary
}

// primaryStillLeads reports whether the old primary of an unfinished
// replacement leads and is not leaving.
func (a *attempt) primaryStillLeads(ctx context.Context) bool {
	f := a.f
	f.mu.Lock()
	u, ok := f.upstreams[a.record.Primary]
	stays := ok && !u.leaving && u.missingSince == 0
	f.mu.Unlock()
	if !stays {
		return false
	}
	_, leads := f.queryLeads(ctx, a.record.Primary)
	return leads
}

// othersThanPrimary returns the servers of the group but the recorded primary.
func (a *attempt) othersThanPrimary() []*Upstream {
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	return a.f.serversWhere(a.id, func(u *Upstream) bool { return u.entry.ID != a.record.Primary })
}

// cancelReplacement resumes replicas and then records that the primary
// stays. It is called before any promotion was ordered. Once the claim may have
// expired it resumes no more replicas: the next coordinator may rely on its own
// holds, and finds the announcement. A replica that can't be resumed is found by
// releaseUnowned.
func (a *attempt) cancelReplacement(ctx context.Context, replicas []*Upstream) error {
	f := a.f
	f.mu.Lock()
	validUntil := f.coordinator.validUntil
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), validUntil.Sub(f.Now()))
	defer cancel()
	for i, r := range runControlOnAll(ctx, replicas, statement.Statement{Kind: statement.Resume}) {
		if r.err != nil {
			f.log.Warn("Could not resume a replica.", "group", a.id, "upstream", replicas[i].ID(), "error", r.err)
		}
	}
	if f.Now() >= validUntil {
		return errors.Wrap(errNotCoordinator, "the coordinator lease expired before all replicas were resumed")
	}
	next := a.record.WithoutOrder()
	next.Replacing = false
	return errors.Wrap(a.updateRecord(ctx, next), "withdraw the announcement of a cancelled replacement")
}
