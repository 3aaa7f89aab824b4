package pgsession

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"github.com/jackc/pgx/v5/pgproto3"
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
