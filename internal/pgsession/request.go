package pgsession

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/statement"
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
	// primaryMaxWait limits how long one request waits for its group to have a
	// primary.
	primaryMaxWait = 2 * time.Second
	// unknownRetryAfter is the retry hint after a lost response or a missing
	// confirmation, refusedRetryAfter that of the other errors.
	unknownRetryAfter = time.Second
	refusedRetryAfter = 250 * time.Millisecond
)

// request is one batch and the state of its execution.
type request struct {
	s        *callerSession
	core     Core
	batch    *callers.Batch
	response *callers.Response
	db       serviceDatabase
	tags     tags.Tags
	effects  inspection

	// query and queryMessages hold the message that is sent for a simple query.
	query         pgproto3.Query
	queryMessages [1]pgproto3.FrontendMessage

	ctx requestContext
	// rejectedAt is when a server first rejected the request because it is not
	// the primary; 0 if none did.
	rejectedAt tables.Time
	arrivedAt  tables.Time
	route      route.Request
	// attempt is the number of the current attempt, from 1.
	attempt int
	// exposed is set once an attempt may have reached a server.
	exposed  bool
	servedBy metrics.ServedBy
	// asOf is the moment since which a replica's data may lack commits; 0 for a
	// response of the primary.
	asOf tables.Time
	// startedAt is when the last attempt was sent.
	startedAt tables.Time
}

func (s *callerSession) newRequest(b *callers.Batch, resp *callers.Response) (*request, error) {
	db, ok := s.exec.directory.Load().find(s.database)
	if !ok {
		return nil, codes.New(codes.UnknownService, codes.NotRun, 0, s.database)
	}
	merged, err := s.merge(s.sql(b), db)
	if err != nil {
		return nil, err
	}
	seen, err := inspectAll(s.statements(b), s.status != statement.Idle, len(s.pending) > 0)
	if err != nil {
		return nil, err
	}
	if err := s.settings.checkLimits(append(s.pending, seen.changes...)); err != nil {
		return nil, err
	}
	core := s.exec.core
	s.exec.reportUse(db.group)
	r := &request{
		s: s, core: core, batch: b, response: resp, db: db, tags: merged,
		arrivedAt: core.Now(), servedBy: metrics.ServedByNone, effects: seen,
	}
	r.route = route.Request{
		Group:         db.group,
		Tags:          &r.tags,
		ArrivedAt:     r.arrivedAt,
		Deadline:      r.arrivedAt.Add(merged.Deadline),
		InTransaction: seen.opens,
		Load:          core.Load(),
	}
	r.route.ForSession(s.session)
	return r, nil
}

// merge returns the tags that apply to a batch: those of its comment override
// those of the session.
func (s *callerSession) merge(sql string, db serviceDatabase) (tags.Tags, error) {
	fromStatement, err := tags.FromComment(sql)
	if err != nil {
		return tags.Tags{}, err
	}
	connection, err := s.tags.Resolve(db.service)
	if err != nil {
		return tags.Tags{}, err
	}
	merged := connection
	if fromStatement.Declared != 0 {
		statement, err := fromStatement.Resolve(db.service)
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

// run serves the request: on the open transaction's connection if there is one,
// else on the upstreams that route chooses.
func (r *request) run(ctx context.Context) error {
	if r.s.pinned != nil {
		return r.runPinned(ctx)
	}
	return exec.Serve(ctx, r).Err()
}

// runPinned runs the batch on the open transaction's connection.
func (r *request) runPinned(ctx context.Context) error {
	p := r.pinned()
	o := exec.Continue(ctx, p)
	if o.Err != nil {
		r.reportLoss(p.d.Upstream, o.Err)
		return r.lostResponseError(ctx, o.Stage, o.Err)
	}
	r.s.recordSettings(p.conn, r.effects, o.Reply, p.rolledBack)
	r.s.recordStatus(r.batch, o.Reply)
	if !r.batch.Partial && o.Reply.State == statement.Idle {
		r.s.unpin(true)
	}
	return r.finish(ctx, p.d, o.Reply)
}

// Choose implements exec.Plan.
func (r *request) Choose(ctx context.Context) (exec.Attempt, statement.Reply) {
	r.attempt++
	d, err := r.choose(ctx)
	if err != nil {
		return nil, r.refusal(r.markUnknownIfExposed(err))
	}
	return &attempt{r: r, d: d}, statement.Reply{}
}

// Judge implements exec.Plan.
func (r *request) Judge(ctx context.Context, tried exec.Attempt, o exec.Outcome) (statement.Reply, bool) {
	a := tried.(*attempt)
	again, err := r.judge(ctx, a, o)
	switch {
	case again:
		return statement.Reply{}, false
	case err != nil:
		return r.refusal(err), true
	default:
		return o.Reply, true
	}
}

func (r *request) judge(ctx context.Context, a *attempt, o exec.Outcome) (again bool, err error) {
	switch {
	case errors.Is(o.Err, errChooseAgain):
		return true, nil
	case errors.Is(o.Err, errTooOld):
		r.readNewest()
		return true, nil
	case o.Err != nil && o.Stage == retry.StageWaiting:
		return r.handleNotSent(ctx, a.d, o.Err)
	case o.Err != nil:
		return r.handleBrokenConnection(ctx, o.Stage, a.d, o.Err)
	case !o.Answered():
		return false, r.markUnknownIfExposed(o.Reply.Err())
	case a.rejected:
		return r.handleRejection(a.d)
	default:
		return false, r.finish(ctx, a.d, o.Reply)
	}
}

// refusal returns the reply that reports err to the caller.
func (r *request) refusal(err error) statement.Reply { return statement.Refusal(err, r.s.status) }

// readNewest redirects a read that declares an age to the primary, whose
// response is confirmed after execution.
func (r *request) readNewest() {
	r.response.Reset()
	newest := r.tags
	newest.MaxAge = nil
	r.route.Tags = &newest
}

// outgoing returns the batch as it is sent on c.
func (r *request) outgoing(c *upstream.Conn) outgoing {
	if r.batch.Simple {
		r.query.String = r.batch.Query
		r.queryMessages[0] = &r.query
		return outgoing{messages: r.queryMessages[:]}
	}
	return r.s.prepared.translate(r.batch.Messages, r.batch.Partial, c.Prepared)
}

// markUnknownIfExposed changes "not run" to "unknown" in a refusal that follows
// an attempt which may have run.
func (r *request) markUnknownIfExposed(err error) error {
	if e, ok := codes.From(err); ok && r.exposed && e.Ran == codes.NotRun {
		return codes.New(e.Code, codes.Unknown, e.RetryAfter, e.Detail)
	}
	return err
}

// choose waits until route selects an upstream or refuses the request.
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
			r.core.Confirm(r.db.group)
		case route.KindWaitReplica:
			r.core.Confirm(r.db.group)
		case route.KindRefuse:
			if d.Err.Code == codes.UnknownService {
				r.core.Report(event.GroupUsed{Group: r.db.group})
			}
			if !r.mayWaitForPrimary(now, d) {
				return d, d.Err
			}
			if r.tags.MaxAge == nil {
				r.s.exec.tally.writeFailed(r.db.group, r.arrivedAt)
			}
			d.Until = r.arrivedAt.Add(primaryMaxWait)
		}
		if err := wait(ctx, changed, d.Until.Sub(now)); err != nil {
			return d, codes.New(codes.DeadlinePassed, codes.NotRun, refusedRetryAfter, d.Kind.String())
		}
	}
}

// mayWaitForPrimary reports whether a refused request may wait for a primary,
// or for the proxy to start to watch the group, which is unknown to route until
// then. The wait takes only a part of the deadline, so that the error reaches
// the caller well before it.
func (r *request) mayWaitForPrimary(now tables.Time, d route.Decision) bool {
	if d.Err.Code != codes.NoPrimary && d.Err.Code != codes.UnknownService {
		return false
	}
	maxWait := min(primaryMaxWait, r.tags.Deadline/2)
	return now.Sub(r.arrivedAt) < maxWait
}

// wait waits until changed is closed or d has passed, for at least 1 ms; it
// returns an error if ctx ends first.
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
