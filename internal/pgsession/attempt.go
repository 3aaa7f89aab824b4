package pgsession

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/pkg/errors"
)

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
		if r.tooOld(d) {
			return errTooOld
		}
		r.s.exec.metrics.ObserveReadAge(r.place.service.Name, r.core.Now().Sub(d.AsOf), true)
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
	out := r.outgoing(c)
	out.confirmed = c.Term != 0
	res, err := exchange(c, out, r.a, onResult)
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
