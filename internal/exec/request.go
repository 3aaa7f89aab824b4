package exec

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

const (
	// primaryPatience bounds the wait of one request for a primary to stand.
	primaryPatience = 2 * time.Second
	unknownRetry    = time.Second
	refusedRetry    = 250 * time.Millisecond
)

// request is one batch on its way.
type request struct {
	s     *callerSession
	core  Core
	batch *callers.Batch
	a     *callers.Answer
	place place
	tags  tags.Tags
	seen  inspection

	// query and single are the message of a simple query on its way.
	query  pgproto3.Query
	single [1]pgproto3.FrontendMessage

	ctx requestContext
	// rejectedAt is when a server first refused the request for its role.
	rejectedAt tables.Time
	arrived    tables.Time
	route      route.Request
	attempt    int
	exposed    bool
	servedBy   metrics.ServedBy
	asOf       tables.Time
	// pass is the right to use the upstream of the present attempt.
	pass gate.Pass
}

func (s *callerSession) newRequest(b *callers.Batch, a *callers.Answer) (*request, error) {
	place, ok := s.exec.directory.Load().find(s.database)
	if !ok {
		return nil, codes.New(codes.UnknownService, codes.NotRun, 0, s.database)
	}
	merged, err := s.merge(s.sql(b), place)
	if err != nil {
		return nil, err
	}
	seen, err := inspectAll(s.statements(b), s.status != statusIdle, len(s.pending) > 0)
	if err != nil {
		return nil, err
	}
	if err := s.settings.admits(append(s.pending, seen.changes...)); err != nil {
		return nil, err
	}
	core := s.exec.core
	s.exec.touch(place.group)
	r := &request{
		s: s, core: core, batch: b, a: a, place: place, tags: merged,
		arrived: core.Now(), servedBy: metrics.ServedByNone, seen: seen,
	}
	r.route = route.Request{
		Group:         place.group,
		Tags:          &r.tags,
		ArrivedAt:     r.arrived,
		Deadline:      r.arrived.Add(merged.Deadline),
		InTransaction: seen.opens,
		Load:          core.Load(),
	}
	r.route.ForSession(s.session)
	return r, nil
}

func (s *callerSession) merge(sql string, place place) (tags.Tags, error) {
	fromStatement, err := tags.FromComment(sql)
	if err != nil {
		return tags.Tags{}, err
	}
	connection, err := s.tags.Resolve(place.service)
	if err != nil {
		return tags.Tags{}, err
	}
	merged := connection
	if fromStatement.Declared != 0 {
		statement, err := fromStatement.Resolve(place.service)
		if err != nil {
			return tags.Tags{}, err
		}
		merged = tags.Merge(connection, statement)
	}
	if merged.Deadline <= 0 {
		merged.Deadline = defaultDeadline
	}
	return merged, nil
}

// run serves the request: on the transaction's connection if one is open, else
// on the upstream that route chooses.
func (r *request) run(ctx context.Context) error {
	if r.s.pinned != nil {
		return r.runPinned(ctx)
	}
	for {
		r.attempt++
		d, err := r.choose(ctx)
		if err != nil {
			return r.mark(err)
		}
		again, err := r.attemptOn(ctx, d)
		if !again {
			return err
		}
	}
}

// mark says "unknown" about a refusal that follows an attempt which may have run.
func (r *request) mark(err error) error {
	if e, ok := codes.From(err); ok && r.exposed && e.Ran == codes.NotRun {
		return codes.New(e.Code, codes.Unknown, e.RetryAfter, e.Detail)
	}
	return err
}

// choose waits until route names an upstream or refuses.
func (r *request) choose(ctx context.Context) (route.Decision, error) {
	for {
		changed := r.core.Changed()
		now := r.core.Now()
		r.route.Random = rand.Uint64()
		d := route.Choose(now, r.core.Snapshot(), &r.route)
		switch d.Kind {
		case route.KindReplica, route.KindPrimary:
			return d, nil
		case route.KindNeedConfirm:
			r.core.Confirm(r.place.group)
		case route.KindWaitReplica:
			r.core.Confirm(r.place.group)
		case route.KindRefuse:
			if d.Err.Code == codes.UnknownService {
				r.core.Report(event.GroupUsed{Group: r.place.group})
			}
			if !r.worthWaiting(now, d) {
				return d, d.Err
			}
			if r.tags.MaxAge == nil {
				r.s.exec.tally.writeFailed(r.place.group, r.arrived)
			}
			d.Until = r.arrived.Add(primaryPatience)
		}
		if err := wait(ctx, changed, d.Until.Sub(now)); err != nil {
			return d, codes.New(codes.DeadlinePassed, codes.NotRun, refusedRetry, d.Kind.String())
		}
	}
}

// worthWaiting reports whether a refused request may wait for a primary, or
// for its group to be watched: for a part of its deadline, so that the answer
// comes well before it.
func (r *request) worthWaiting(now tables.Time, d route.Decision) bool {
	if d.Err.Code != codes.NoPrimary && d.Err.Code != codes.UnknownService {
		return false
	}
	patience := min(primaryPatience, r.tags.Deadline/2)
	return now.Sub(r.arrived) < patience
}

func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// attemptOn makes one attempt; again asks for another.
func (r *request) attemptOn(ctx context.Context, d route.Decision) (again bool, err error) {
	pool, ok := r.core.Pool(d.Upstream)
	if !ok {
		return r.failed(retry.StageWaiting, d, errors.New("upstream is not configured"))
	}
	if err := r.enter(ctx, d); err != nil {
		return r.notAcquired(ctx, d, err)
	}
	defer r.pass.Leave()
	term := tables.Term(0)
	if d.Kind == route.KindPrimary {
		term = d.Term
	}
	c, err := pool.Acquire(ctx, term)
	if err != nil {
		return r.notAcquired(ctx, d, err)
	}
	if r.tooOld(d) {
		pool.Release(c)
		return true, nil
	}
	if err := c.Adopt(ctx, r.s.settings.text); err != nil {
		pool.Discard(c)
		return r.notAdopted(ctx, d, err)
	}
	r.core.Load().Add(d.Upstream, 1)
	defer r.core.Load().Add(d.Upstream, -1)
	started := r.core.Now()
	if needsConfirm(d, r.route.Tags) {
		r.core.Confirm(r.place.group)
	}
	res, err := r.exchange(ctx, c, r.ageCheck(d))
	if errors.Is(err, errTooOld) {
		pool.Discard(c)
		return r.readNewest(), nil
	}
	if err != nil {
		pool.Discard(c)
		return r.broken(ctx, res.stage, d, err)
	}
	if r.refusedByRole(d, res) {
		pool.Discard(c)
		return r.rejected(d)
	}
	r.s.settle(c, r.seen, res)
	r.keep(pool, c, res)
	return false, r.finish(ctx, d, res, started)
}

// enter waits for the admission queue of the chosen upstream.
func (r *request) enter(ctx context.Context, d route.Decision) error {
	g, ok := r.core.Gate(d.Upstream)
	if !ok {
		return errors.New("upstream is not configured")
	}
	pass, err := g.Enter(ctx, admit.Request{
		Service:  r.place.service.Name,
		Weight:   r.place.service.Weight,
		Priority: r.tags.Priority,
		Deadline: r.route.Deadline,
	})
	r.pass = pass
	return err
}

// errTooOld means that a replica's first result came when its age bound had passed.
var errTooOld = errors.New("the answer is older than stated")

// tooOld reports whether the replica's data may by now be older than stated.
func (r *request) tooOld(d route.Decision) bool {
	if d.Kind != route.KindReplica {
		return false
	}
	oldest := min(r.arrived, r.core.Now().Add(-*r.tags.MaxAge))
	return d.AsOf < oldest
}

// ageCheck returns the check of a replica's first result. Execution began
// before the result arrived, so a result in time is as young as stated; one
// from a server that was frozen meanwhile is not.
func (r *request) ageCheck(d route.Decision) func() error {
	if d.Kind != route.KindReplica {
		return nil
	}
	return func() error {
		within := !r.tooOld(d)
		age := r.core.Now().Sub(d.AsOf)
		r.s.exec.metrics.ObserveReadAge(r.place.service.Name, age, within)
		if !within {
			return errTooOld
		}
		return nil
	}
}

// readNewest sends a declared read to the primary, where its answer is
// confirmed after it ran; it returns true, for another attempt.
func (r *request) readNewest() bool {
	r.a.Reset()
	newest := r.tags
	newest.MaxAge = nil
	r.route.Tags = &newest
	return true
}

// confirmFrom returns since when the primary's term must have been confirmed
// before its answer goes out. A declared read may rest on an older point.
func (r *request) confirmFrom(started tables.Time) tables.Time {
	if r.route.Tags.MaxAge == nil {
		return started
	}
	return min(started, r.core.Now().Add(-*r.route.Tags.MaxAge))
}

// needsConfirm reports whether an answer of the primary has to be confirmed
// after it: reads that declare no age promise the newest data.
func needsConfirm(d route.Decision, t *tags.Tags) bool {
	return d.Kind == route.KindPrimary && t.MaxAge == nil
}

// keep releases the connection, or pins it while a transaction or a batch is open.
func (r *request) keep(pool *upstream.Pool, c *upstream.Conn, res exchangeResult) {
	r.s.advance(r.batch, res)
	if !r.batch.Partial && res.status == statusIdle {
		pool.Release(c)
		r.pass.Leave()
		return
	}
	r.s.pin(pool, c)
	r.s.pass = r.pass
	r.pass = gate.Pass{}
}

// exchange runs the batch on c within the deadline; at its end the connection
// is cut off and the upstream asked to cancel.
func (r *request) exchange(ctx context.Context, c *upstream.Conn, onResult func() error) (exchangeResult, error) {
	if !r.s.setRunning(c) {
		return exchangeResult{stage: retry.StageWaiting}, errCancelled
	}
	defer r.s.setRunning(nil)
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	res, err := exchange(c, r.outgoing(c), r.a, onResult)
	if err != nil && ctx.Err() != nil {
		go cancelQuietly(c)
	}
	return res, err
}

func cancelQuietly(c *upstream.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.Cancel(ctx)
}

func (r *request) outgoing(c *upstream.Conn) outgoing {
	if r.batch.Simple {
		r.query.String = r.batch.Query
		r.single[0] = &r.query
		return outgoing{messages: r.single[:]}
	}
	return r.s.prepared.translate(r.batch.Messages, r.batch.Partial, c.Prepared)
}

// runPinned runs the batch on the open transaction's connection.
func (r *request) runPinned(ctx context.Context) error {
	c := r.s.pinned
	d := route.Decision{Kind: route.KindPrimary, Upstream: c.Upstream(), Term: c.Term}
	if c.Term == 0 {
		d.Kind = route.KindReplica
	}
	started := r.core.Now()
	res, err := r.exchange(ctx, c, nil)
	if err != nil {
		r.reportLoss(d.Upstream, err)
		return r.lostAnswer(ctx, res.stage, err)
	}
	r.s.settle(c, r.seen, res)
	r.s.advance(r.batch, res)
	if !r.batch.Partial && res.status == statusIdle {
		r.s.unpin(true)
	}
	return r.finish(ctx, d, res, started)
}

// finish decides whether the answer may go out: a write once it is safe, a
// read of the primary once its term was confirmed.
func (r *request) finish(ctx context.Context, d route.Decision, res exchangeResult, started tables.Time) error {
	r.served(d)
	if err := r.s.reportServedBy(r.a, r.servedBy); err != nil {
		return err
	}
	if res.committed {
		return r.acknowledge(ctx, d, res)
	}
	if res.failure == "" && r.s.status == statusIdle && d.Kind == route.KindPrimary && r.batch.Executes() {
		if err := r.confirmSince(ctx, r.confirmFrom(started), d.Term); err != nil {
			return err
		}
	}
	r.s.exec.budgets.success(r.place.group)
	return nil
}

func (r *request) served(d route.Decision) {
	r.servedBy = metrics.ServedByPrimary
	if d.Kind == route.KindReplica {
		r.servedBy = metrics.ServedByReplica
	}
	r.asOf = d.AsOf
}

// acknowledge waits until the commit is safe.
func (r *request) acknowledge(ctx context.Context, d route.Decision, res exchangeResult) error {
	c := ack.Commit{Primary: d.Upstream, Term: d.Term, Position: res.position}
	outcome, err := r.core.Acknowledge(ctx, r.place.group, c)
	switch {
	case err != nil:
		return codes.New(codes.NotConfirmed, codes.Unknown, unknownRetry, "")
	case outcome == ack.Replaced:
		return codes.New(codes.PrimaryChanged, codes.Unknown, refusedRetry, "")
	}
	r.s.exec.budgets.success(r.place.group)
	r.s.exec.tally.writeDone(r.place.group, r.core.Now())
	return r.s.wrote(r.a, r.place.group, res.position)
}

// confirmSince waits for a confirmed point of term that was sent after started.
func (r *request) confirmSince(ctx context.Context, started tables.Time, term tables.Term) error {
	for {
		changed := r.core.Changed()
		point, current := r.newestPoint()
		if current != term {
			return codes.New(codes.PrimaryChanged, codes.Unknown, refusedRetry, "")
		}
		if point.Term == term && point.SentAt >= started {
			return nil
		}
		r.core.Confirm(r.place.group)
		if err := wait(ctx, changed, time.Second); err != nil {
			return codes.New(codes.NotConfirmed, codes.Unknown, unknownRetry, "")
		}
	}
}

func (r *request) newestPoint() (tables.ConfirmedPoint, tables.Term) {
	g, ok := r.core.Snapshot().Group(r.place.group)
	if !ok {
		return tables.ConfirmedPoint{}, 0
	}
	if len(g.Points) == 0 {
		return tables.ConfirmedPoint{}, g.Term
	}
	return g.Points[0], g.Term
}

// notAcquired handles an attempt that got no connection.
func (r *request) notAcquired(ctx context.Context, d route.Decision, err error) (bool, error) {
	if ctx.Err() != nil {
		return false, r.mark(codes.New(codes.NoSlot, codes.NotRun, refusedRetry, string(d.Upstream)))
	}
	if e, ok := codes.From(err); ok {
		return false, r.mark(e)
	}
	r.reportLoss(d.Upstream, err)
	return r.failed(retry.StageWaiting, d, err)
}

// notAdopted handles a connection that did not take the session's settings; the
// request was not sent.
func (r *request) notAdopted(ctx context.Context, d route.Decision, err error) (bool, error) {
	var answered *upstream.ServerError
	if errors.As(err, &answered) {
		return false, r.mark(refuseState("the server refuses the session's settings: " + answered.Error()))
	}
	return r.notAcquired(ctx, d, err)
}

// refusedByRole reports whether the answer says that the server does not lead
// at the term. A server that was confirmed to lead since the request's first
// rejection refuses for the statement's own sake, such as a read-only setting;
// its error then goes to the caller.
func (r *request) refusedByRole(d route.Decision, res exchangeResult) bool {
	if res.failure != sqlStateReadOnly || d.Kind != route.KindPrimary || res.status != statusIdle || res.committed {
		return false
	}
	point, current := r.newestPoint()
	confirmed := current == d.Term && point.Term == d.Term && point.SentAt >= r.rejectedAt
	return r.rejectedAt == 0 || !confirmed
}

// rejected handles a primary that answered that it does not lead at the term.
func (r *request) rejected(d route.Decision) (bool, error) {
	if r.rejectedAt == 0 {
		r.rejectedAt = r.core.Now()
	}
	r.a.Drop()
	r.a.Reset()
	r.core.Confirm(r.place.group)
	return r.failed(retry.StageRejected, d, errors.New("the server does not lead at the term"))
}

// broken handles a connection that broke during the exchange.
func (r *request) broken(ctx context.Context, stage retry.Stage, d route.Decision, err error) (bool, error) {
	if _, ok := codes.From(err); ok {
		return false, r.mark(err)
	}
	if ctx.Err() != nil || r.a.Started() {
		return false, r.lostAnswer(ctx, stage, err)
	}
	r.reportLoss(d.Upstream, err)
	r.a.Reset()
	return r.failed(stage, d, err)
}

// failed decides about another attempt.
func (r *request) failed(stage retry.Stage, d route.Decision, err error) (bool, error) {
	exposure := retry.Classify(stage, err)
	declaredRead := r.tags.MaxAge != nil
	dec := r.s.exec.budgets.decide(r.core.Now(), r.place.group, retry.Attempt{
		Exposure:   exposure,
		Exposed:    r.exposed,
		Idempotent: r.tags.Idempotent || declaredRead,
		Number:     r.attempt,
		Deadline:   r.route.Deadline,
	})
	if exposure == retry.MayHaveReached {
		r.exposed = true
	}
	if !dec.Retry {
		return false, r.giveUp(dec, err)
	}
	if d.Kind == route.KindReplica {
		r.route.Tried = append(r.route.Tried, d.Upstream)
	}
	if pause := dec.At.Sub(r.core.Now()); pause > 0 {
		time.Sleep(pause)
	}
	return true, nil
}

func (r *request) giveUp(dec retry.Decision, err error) error {
	code := codes.UpstreamLost
	if dec.Exhausted {
		code = codes.RetryBudget
	}
	return codes.New(code, dec.Ran, refusedRetry, err.Error())
}

// lostAnswer is the final answer to a request whose connection broke or whose
// deadline passed while it ran.
func (r *request) lostAnswer(ctx context.Context, stage retry.Stage, err error) error {
	if e, ok := codes.From(err); ok {
		return e
	}
	ran := retry.Ran(retry.Classify(stage, err), r.exposed)
	if ctx.Err() != nil {
		return codes.New(codes.DeadlinePassed, ran, unknownRetry, "")
	}
	return codes.New(codes.UpstreamLost, ran, unknownRetry, err.Error())
}

// reportLoss tells the core that a statement lost its connection.
func (r *request) reportLoss(u tables.UpstreamID, err error) {
	if cause, ok := upstream.CauseOf(err); ok {
		r.core.Report(event.StatementFailed{Upstream: u, Cause: cause})
	}
}

// observe records the finished request.
func (r *request) observe(err error) {
	kind := metrics.KindWrite
	if r.tags.MaxAge != nil {
		kind = metrics.KindRead
	}
	took := r.core.Now().Sub(r.arrived)
	r.s.exec.metrics.ObserveRequest(metrics.Request{
		Service:  r.place.service.Name,
		Database: r.place.database,
		Kind:     kind,
		ServedBy: r.servedBy,
		Code:     refusalOf(err),
		Took:     took,
	})
	if err != nil {
		r.s.exec.tally.refuse(r.place.group, refusalOf(err))
	}
	if kind == metrics.KindWrite && cutsWrites(refusalOf(err)) {
		r.s.exec.tally.writeFailed(r.place.group, r.arrived)
	}
}

// cutsWrites reports whether a failure with this code means that the group has
// no primary that can acknowledge.
func cutsWrites(c codes.Code) bool {
	switch c {
	case codes.NoPrimary, codes.PrimaryChanged, codes.UpstreamLost, codes.NotConfirmed:
		return true
	default:
		return false
	}
}
