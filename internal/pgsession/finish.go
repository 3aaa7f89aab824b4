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

// finish returns nil once the response may go out: for a write when its commit
// is acknowledged, for a read of the primary when the primary's term is
// confirmed.
func (r *request) finish(ctx context.Context, d route.Decision, reply statement.Reply) error {
	r.recordServer(d)
	if err := r.s.reportServedBy(r.response, r.servedBy); err != nil {
		return err
	}
	if (reply.Position != tables.Position{}) {
		return r.acknowledge(ctx, d, reply.Position)
	}
	if reply.Code == statement.OK && r.s.status == statement.Idle && d.Kind == route.KindPrimary && r.batch.Executes() {
		if err := r.confirmSince(ctx, r.confirmFrom(r.startedAt), d.Term); err != nil {
			return err
		}
	}
	r.s.exec.budgets.success(r.db.group)
	return nil
}

func (r *request) recordServer(d route.Decision) {
	r.servedBy = metrics.ServedByPrimary
	if d.Kind == route.KindReplica {
		r.servedBy = metrics.ServedByReplica
	}
	r.asOf = d.AsOf
}

// acknowledge waits until the commit is acknowledged.
func (r *request) acknowledge(ctx context.Context, d route.Decision, at tables.Position) error {
	c := ack.Commit{Primary: d.Upstream, Term: d.Term, Position: at}
	outcome, err := r.core.Acknowledge(ctx, r.db.group, c)
	switch {
	case err != nil:
		return codes.New(codes.NotConfirmed, codes.Unknown, unknownRetryAfter, "")
	case outcome == ack.Replaced:
		return codes.New(codes.PrimaryChanged, codes.Unknown, refusedRetryAfter, "")
	}
	r.s.exec.budgets.success(r.db.group)
	r.s.exec.tally.writeAcknowledged(r.db.group, r.core.Now())
	return r.s.recordWrite(r.response, r.db.group, at)
}

// confirmFrom returns the moment since which the primary's term must have been
// confirmed before its response goes out. A read that declares an age may rely
// on an older freshness point.
func (r *request) confirmFrom(started tables.Time) tables.Time {
	if r.route.Tags.MaxAge == nil {
		return started
	}
	return min(started, r.core.Now().Add(-*r.route.Tags.MaxAge))
}

// needsConfirm reports whether a response of the primary has to be confirmed
// after execution: reads that declare no age promise the newest data.
func needsConfirm(d route.Decision, t *tags.Tags) bool {
	return d.Kind == route.KindPrimary && t.MaxAge == nil
}

// confirmSince waits for a freshness point of term that was requested at
// started or later.
func (r *request) confirmSince(ctx context.Context, started tables.Time, term tables.Term) error {
	for {
		changed := r.core.Changed()
		point, current := r.newestPoint()
		if current != term {
			return codes.New(codes.PrimaryChanged, codes.Unknown, refusedRetryAfter, "")
		}
		if point.Term == term && point.SentAt >= started {
			return nil
		}
		r.core.Confirm(r.db.group)
		if err := wait(ctx, changed, time.Second); err != nil {
			return codes.New(codes.NotConfirmed, codes.Unknown, unknownRetryAfter, "")
		}
	}
}

func (r *request) newestPoint() (tables.ConfirmedPoint, tables.Term) {
	g, ok := r.core.Snapshot().Group(r.db.group)
	if !ok {
		return tables.ConfirmedPoint{}, 0
	}
	if len(g.Points) == 0 {
		return tables.ConfirmedPoint{}, g.Term
	}
	return g.Points[0], g.Term
}

// observe records the finished request in the metrics.
func (r *request) observe(err error) {
	kind := metrics.KindWrite
	if r.tags.MaxAge != nil {
		kind = metrics.KindRead
	}
	took := r.core.Now().Sub(r.arrivedAt)
	r.s.exec.metrics.ObserveRequest(metrics.Request{
		Service:  r.db.service.Name,
		Database: r.db.database,
		Kind:     kind,
		ServedBy: r.servedBy,
		Code:     codeOf(err),
		Took:     took,
	})
	if err != nil {
		r.s.exec.tally.countRefusal(r.db.group, codeOf(err))
	}
	if kind == metrics.KindWrite && indicatesNoPrimary(codeOf(err)) {
		r.s.exec.tally.writeFailed(r.db.group, r.arrivedAt)
	}
}

// indicatesNoPrimary reports whether a failure with this code means that the
// group has no primary that can acknowledge writes.
func indicatesNoPrimary(c codes.Code) bool {
	switch c {
	case codes.NoPrimary, codes.PrimaryChanged, codes.UpstreamLost, codes.NotConfirmed:
		return true
	default:
		return false
	}
}
