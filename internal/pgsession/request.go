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
	// started is when the last attempt was sent.
	started tables.Time
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
	seen, err := inspectAll(s.statements(b), s.status != statement.Idle, len(s.pending) > 0)
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
// on the upstreams that route chooses.
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
		return r.lostAnswer(ctx, o.Stage, o.Err)
	}
	r.s.settle(p.conn, r.seen, o.Reply, p.rolledBack)
	r.s.advance(r.batch, o.Reply)
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
		return nil, r.refusal(r.mark(err))
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
		return r.notSent(ctx, a.d, o.Err)
	case o.Err != nil:
		return r.broken(ctx, o.Stage, a.d, o.Err)
	case !o.Answered():
		return false, r.mark(o.Reply.Err())
	case a.rejected:
		return r.rejected(a.d)
	default:
		return false, r.finish(ctx, a.d, o.Reply)
	}
}

// refusal returns the reply that says err to the caller.
func (r *request) refusal(err error) statement.Reply { return statement.Refusal(err, r.s.status) }

// readNewest sends a declared read to the primary, where its answer is
// confirmed after it ran.
func (r *request) readNewest() {
	r.a.Reset()
	newest := r.tags
	newest.MaxAge = nil
	r.route.Tags = &newest
}

// outgoing returns the batch as it goes to c.
func (r *request) outgoing(c *upstream.Conn) outgoing {
	if r.batch.Simple {
		r.query.String = r.batch.Query
		r.single[0] = &r.query
		return outgoing{messages: r.single[:]}
	}
	return r.s.prepared.translate(r.batch.Messages, r.batch.Partial, c.Prepared)
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
