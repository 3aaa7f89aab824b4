package relay

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// writePlan serves a single write at the primary. A write is sent again only if the
// server reported that it did not run.
type writePlan struct {
	q      *request
	leader fleet.Leader
	// at is when the statement was sent.
	at tables.Time
}

// Choose implements exec.Plan.
func (p *writePlan) Choose(context.Context) (exec.Attempt, statement.Reply) {
	l, refusal, ok := p.q.leader()
	if !ok {
		return nil, refusal
	}
	if !p.q.s.fleet.MayCommit(p.q.ctx, l) {
		return nil, p.q.refuse(codes.NotConfirmed, "the primary may have been replaced")
	}
	p.leader = l
	p.at = p.q.s.fleet.Now()
	return p.q.attemptAt(l.Upstream, tables.Position{}), statement.Reply{}
}

// Judge implements exec.Plan.
func (p *writePlan) Judge(ctx context.Context, a exec.Attempt, o exec.Outcome) (statement.Reply, bool) {
	q := p.q
	q.recordOutcome(a, o)
	switch {
	case o.Stage == retry.StageWritten:
		return q.outcomeUnknown(o.Err), true
	case o.Served():
		return q.confirmCommit(p.leader, p.at, o.Reply), true
	case o.Answered() && !o.Reply.Code.NotRun():
		return o.Reply, true
	case o.Refused:
		return q.refuse(codeOf(o.Err, codes.NoSlot), "the primary has no room"), true
	case ctx.Err() != nil || !q.waitToRetry():
		return q.refuse(codes.UpstreamFailed, "the primary does not take the write"), true
	}
	return statement.Reply{}, false
}

// beginPlan begins a transaction at the primary.
type beginPlan struct {
	q      *request
	tx     *transaction
	leader fleet.Leader
}

// Choose implements exec.Plan.
func (p *beginPlan) Choose(context.Context) (exec.Attempt, statement.Reply) {
	l, refusal, ok := p.q.leader()
	if !ok {
		return nil, refusal
	}
	p.leader = l
	return &beginAttempt{attempt: *p.q.attemptAt(l.Upstream, tables.Position{}), tx: p.tx}, statement.Reply{}
}

// Judge implements exec.Plan.
func (p *beginPlan) Judge(ctx context.Context, a exec.Attempt, o exec.Outcome) (statement.Reply, bool) {
	q := p.q
	q.recordOutcome(a, o)
	switch {
	case o.Served():
		p.tx.leader = &p.leader
		return o.Reply, true
	case ctx.Err() != nil || !q.waitToRetry():
		return q.refuse(codes.UpstreamFailed, "the primary does not take the transaction"), true
	}
	return statement.Reply{}, false
}

// leader returns the primary. If there is none, it waits for one that is expected
// before the deadline. If ok is false, the reply is to be returned to the caller.
func (q *request) leader() (fleet.Leader, statement.Reply, bool) {
	for {
		l, changed, expected, ok := q.s.fleet.Leader(q.route.Group)
		if ok && l.Upstream.Unreachable() {
			return l, q.refuse(codes.UpstreamLost, "the primary does not answer"), false
		}
		if ok {
			q.primary = true
			return l, statement.Reply{}, true
		}
		if !fleet.WaitFor(q.ctx, changed, expected) {
			return l, q.refuseWithRetry(codes.NoPrimary, "no primary", expected), false
		}
	}
}

// confirmCommit records a commit that l acknowledged and returns its reply. at is when
// the commit was sent. If l was replaced meanwhile, the outcome is unknown.
func (q *request) confirmCommit(l fleet.Leader, at tables.Time, r statement.Reply) statement.Reply {
	f := q.s.fleet
	if f.Replaced(l) {
		return statement.Refuse(statement.Unsure, codes.PrimaryChanged, statement.Idle, "the primary was replaced meanwhile")
	}
	if !f.MayAcknowledge(q.ctx, l, at, r.Position) {
		return statement.Refuse(statement.Unsure, codes.PrimaryChanged, statement.Idle, "the primary may have been replaced meanwhile")
	}
	f.Observe(l, at, r.Position)
	f.Committed(l, at, r.Position)
	q.s.recordCommit(r.Position)
	return r
}

func (q *request) outcomeUnknown(err error) statement.Reply {
	return statement.Refuse(statement.Unsure, codes.UpstreamLost, statement.Idle, "the outcome was not learnt: "+err.Error())
}
