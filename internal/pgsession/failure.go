package pgsession

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/pkg/errors"
)

// handleNotSent handles an attempt that ended before the batch was sent. Like
// the other handlers it reports whether to make another attempt.
func (r *request) handleNotSent(ctx context.Context, d route.Decision, err error) (bool, error) {
	if ctx.Err() != nil {
		return false, r.markUnknownIfExposed(codes.New(codes.NoSlot, codes.NotRun, refusedRetryAfter, string(d.Upstream)))
	}
	if e, ok := codes.From(err); ok {
		return false, r.markUnknownIfExposed(e)
	}
	r.reportLoss(d.Upstream, err)
	return r.retryOrFail(retry.StageWaiting, d, err)
}

// handleRejection handles a server's reply that it is not the primary of the
// term.
func (r *request) handleRejection(d route.Decision) (bool, error) {
	if r.rejectedAt == 0 {
		r.rejectedAt = r.core.Now()
	}
	r.response.Drop()
	r.response.Reset()
	r.core.Confirm(r.db.group)
	return r.retryOrFail(retry.StageRejected, d, errors.New("the server does not lead at the term"))
}

// handleBrokenConnection handles a connection that broke during the exchange.
func (r *request) handleBrokenConnection(ctx context.Context, stage retry.Stage, d route.Decision, err error) (bool, error) {
	if _, ok := codes.From(err); ok {
		return false, r.markUnknownIfExposed(err)
	}
	if ctx.Err() != nil || r.response.Started() {
		return false, r.lostResponseError(ctx, stage, err)
	}
	r.reportLoss(d.Upstream, err)
	r.response.Reset()
	return r.retryOrFail(stage, d, err)
}

// retryOrFail decides whether to make another attempt, and waits until its
// start or returns the final error.
func (r *request) retryOrFail(stage retry.Stage, d route.Decision, err error) (bool, error) {
	exposure := retry.Classify(stage, err)
	declaredRead := r.tags.MaxAge != nil
	dec := r.s.exec.budgets.decide(r.core.Now(), r.db.group, retry.Attempt{
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
		return false, r.finalError(dec, err)
	}
	if d.Kind == route.KindReplica {
		r.route.Tried = append(r.route.Tried, d.Upstream)
	}
	if pause := dec.At.Sub(r.core.Now()); pause > 0 {
		time.Sleep(pause)
	}
	return true, nil
}

func (r *request) finalError(dec retry.Decision, err error) error {
	code := codes.UpstreamLost
	if dec.Exhausted {
		code = codes.RetryBudget
	}
	return codes.New(code, dec.Ran, refusedRetryAfter, err.Error())
}

// lostResponseError returns the final error of a request whose connection broke
// or whose deadline passed while it ran.
func (r *request) lostResponseError(ctx context.Context, stage retry.Stage, err error) error {
	if e, ok := codes.From(err); ok {
		return e
	}
	ran := retry.Ran(retry.Classify(stage, err), r.exposed)
	if ctx.Err() != nil {
		return codes.New(codes.DeadlinePassed, ran, unknownRetryAfter, "")
	}
	return codes.New(codes.UpstreamLost, ran, unknownRetryAfter, err.Error())
}

// reportLoss reports to the core that a statement lost its connection.
func (r *request) reportLoss(u tables.UpstreamID, err error) {
	if cause, ok := upstream.CauseOf(err); ok {
		r.core.Report(event.StatementFailed{Upstream: u, Cause: cause})
	}
}
