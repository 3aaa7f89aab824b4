package pgsession

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
)

// finish decides whether the answer may go out: a write once it is safe, a
// read of the primary once its term was confirmed.
func (r *request) finish(ctx context.Context, d route.Decision, reply statement.Reply) error {
	r.served(d)
	if err := r.s.reportServedBy(r.a, r.servedBy); err != nil {
		return err
	}
	if (reply.Position != tables.Position{}) {
		return r.acknowledge(ctx, d, reply.Position)
	}
	if reply.Code == statement.OK && r.s.status == statement.Idle && d.Kind == route.KindPrimary && r.batch.Executes() {
		if err := r.confirmSince(ctx, r.confirmFrom(r.started), d.Term); err != nil {
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
func (r *request) acknowledge(ctx context.Context, d route.Decision, at tables.Position) error {
	c := ack.Commit{Primary: d.Upstream, Term: d.Term, Position: at}
	outcome, err := r.core.Acknowledge(ctx, r.place.group, c)
	switch {
	case err != nil:
		return codes.New(codes.NotConfirmed, codes.Unknown, unknownRetry, "")
	case outcome == ack.Replaced:
		return codes.New(codes.PrimaryChanged, codes.Unknown, refusedRetry, "")
	}
	r.s.exec.budgets.success(r.place.group)
	r.s.exec.tally.writeDone(r.place.group, r.core.Now())
	return r.s.wrote(r.a, r.place.group, at)
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
