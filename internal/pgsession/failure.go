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

// notSent handles an attempt that ended before the batch was sent.
func (r *request) notSent(ctx context.Context, d route.Decision, err error) (bool, error) {
	if ctx.Err() != nil {
		return false, r.mark(codes.New(codes.NoSlot, codes.NotRun, refusedRetry, string(d.Upstream)))
	}
	if e, ok := codes.From(err); ok {
		return false, r.mark(e)
	}
	r.reportLoss(d.Upstream, err)
	return r.failed(retry.StageWaiting, d, err)
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
