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

// writing serves a single write at the primary. It is sent again only after a
// server's word that it did not run.
type writing struct {
	q      *request
	leader fleet.Leader
	// at is when the statement was sent.
	at tables.Time
}

// Choose implements exec.Plan.
func (p *writing) Choose(context.Context) (exec.Attempt, statement.Reply) {
	l, refusal, ok := p.q.leader()
	if !ok {
		return nil, refusal
	}
	p.leader = l
	p.at = p.q.s.fleet.Now()
	return p.q.at(l.Upstream, tables.Position{}), statement.Reply{}
}

// Judge implements exec.Plan.
func (p *writing) Judge(ctx context.Context, a exec.Attempt, o exec.Outcome) (statement.Reply, bool) {
	q := p.q
	q.note(a, o)
	switch {
	case o.Stage == retry.StageWritten:
		return q.unsure(o.Err), true
	case o.Served():
		return q.committed(p.leader, p.at, o.Reply), true
	case o.Answered() && !o.Reply.Code.NotRun():
		return o.Reply, true
	case o.Refused:
		return q.refuse(reasonOf(o.Err, codes.NoSlot), "the primary has no room"), true
	case ctx.Err() != nil || !q.pause():
		return q.refuse(codes.UpstreamFailed, "the primary does not take the write"), true
	}
	return statement.Reply{}, false
}

// beginning begins a transaction at the primary.
type beginning struct {
	q      *request
	tx     *transaction
	leader fleet.Leader
}

// Choose implements exec.Plan.
func (p *beginning) Choose(context.Context) (exec.Attempt, statement.Reply) {
	l, refusal, ok := p.q.leader()
	if !ok {
		return nil, refusal
	}
	p.leader = l
	return &opening{attempt: *p.q.at(l.Upstream, tables.Position{}), tx: p.tx}, statement.Reply{}
}

// Judge implements exec.Plan.
func (p *beginning) Judge(ctx context.Context, a exec.Attempt, o exec.Outcome) (statement.Reply, bool) {
	q := p.q
	q.note(a, o)
	switch {
	case o.Served():
		p.tx.leader = &p.leader
		return o.Reply, true
	case ctx.Err() != nil || !q.pause():
		return q.refuse(codes.UpstreamFailed, "the primary does not take the transaction"), true
	}
	return statement.Reply{}, false
}

// leader returns the primary, waiting for one if it is expected in time. If ok
// is false, the reply is the answer.
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
			return l, q.refuseFor(codes.NoPrimary, "no primary", expected), false
		}
	}
}

// committed takes note of a commit that l acknowledged; at is when it was sent.
func (q *request) committed(l fleet.Leader, at tables.Time, r statement.Reply) statement.Reply {
	f := q.s.fleet
	if f.Replaced(l) {
		return statement.Refuse(statement.Unsure, codes.PrimaryChanged, statement.Idle, "the primary was replaced meanwhile")
	}
	f.Observe(l, at, r.Position)
	f.Committed(l, at)
	q.s.acknowledged(r.Position)
	return r
}

func (q *request) unsure(err error) statement.Reply {
	return statement.Refuse(statement.Unsure, codes.UpstreamLost, statement.Idle, "the outcome was not learnt: "+err.Error())
}
