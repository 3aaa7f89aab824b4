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

// readPlan serves a read, or the begin of a read-only transaction, at any server
// that has reached a position. A server that failed is skipped until all servers
// have been tried.
type readPlan struct {
	q *request
	// tx is the transaction to begin; nil for a single read.
	tx *transaction
	// direct is the server that the read is tried at next without a holder, if not nil.
	direct *fleet.Upstream
	// holderLost says that a holder did not respond. The read has lost much of its time,
	// and must not lose more by another holder.
	holderLost bool
}

// read serves a read that replicas may answer.
func (q *request) read() statement.Reply {
	q.primary = false
	return q.readAny(q.arrived, nil)
}

// readAny runs the request at any server that has all commits which a read that
// arrived at the given time must see.
func (q *request) readAny(arrived tables.Time, tx *transaction) statement.Reply {
	need, ok := q.s.requiredPosition(q.ctx, q.route, arrived)
	q.need = need
	if !ok {
		return q.refuse(codes.NoFreshReplica, "no primary tells how fresh the replicas are")
	}
	return exec.Serve(q.ctx, &readPlan{q: q, tx: tx})
}

// Choose implements exec.Plan.
func (p *readPlan) Choose(context.Context) (exec.Attempt, statement.Reply) {
	q := p.q
	if u := p.direct; u != nil {
		p.direct = nil
		return q.attemptAt(u, q.need), statement.Reply{}
	}
	for {
		u, ok := q.s.fleet.Reader(q.route.Group, q.need, q.tried)
		switch {
		case ok && p.tx != nil:
			return &beginAttempt{attempt: *q.attemptAt(u, q.need), tx: p.tx}, statement.Reply{}
		case ok && p.holderLost:
			return q.attemptAt(u, q.need), statement.Reply{}
		case ok:
			return q.singleReadAt(u, q.need), statement.Reply{}
		case !q.waitToRetry():
			return nil, q.refuse(q.noServerCode(), "no server can answer")
		}
		q.tried = q.tried[:0]
	}
}

// Judge implements exec.Plan.
func (p *readPlan) Judge(ctx context.Context, a exec.Attempt, o exec.Outcome) (statement.Reply, bool) {
	q := p.q
	q.recordOutcome(a, o)
	switch {
	case o.Served():
		return o.Reply, true
	case ctx.Err() != nil && p.tx != nil:
		return q.refuse(q.noServerCode(), "no server takes the transaction"), true
	case ctx.Err() != nil:
		return q.timeout(o), true
	}
	if f, ok := a.(*forwardedAttempt); ok {
		p.holderLost = p.holderLost || f.unanswered
		if f.tryDirect {
			p.direct = f.u
			return statement.Reply{}, false
		}
	}
	q.tried = append(q.tried, q.lastUpstream)
	return statement.Reply{}, false
}

// newestReadPlan serves a read that must see every commit acknowledged before it
// arrived. It reads at the primary, or at held replicas if the group is frozen.
type newestReadPlan struct {
	q      *request
	leader fleet.Leader
	// at is when the statement was sent.
	at tables.Time
	// evidence receives whether the primary led when the request arrived.
	evidence <-chan bool
}

// Choose implements exec.Plan.
func (p *newestReadPlan) Choose(ctx context.Context) (exec.Attempt, statement.Reply) {
	q := p.q
	for {
		if q.s.fleet.Frozen(q.route.Group) {
			return nil, q.read()
		}
		l, changed, expected, ok := q.s.fleet.Leader(q.route.Group)
		if ok {
			return p.choose(l)
		}
		// Either the group is soon frozen, and replicas can serve the read, or it
		// stays without a primary.
		if !fleet.WaitFor(ctx, changed, min(expected, fleet.ExpectedHoldTime)) {
			return nil, q.refuseWithRetry(codes.NoPrimary, "no primary", expected)
		}
	}
}

func (p *newestReadPlan) choose(l fleet.Leader) (exec.Attempt, statement.Reply) {
	q := p.q
	if l.Upstream.Unreachable() {
		return nil, q.refuse(codes.UpstreamLost, "the primary does not answer")
	}
	q.primary = true
	p.leader = l
	p.evidence = q.leaseEvidence(l)
	p.at = q.s.fleet.Now()
	return q.attemptAt(l.Upstream, tables.Position{}), statement.Reply{}
}

// Judge implements exec.Plan.
func (p *newestReadPlan) Judge(ctx context.Context, a exec.Attempt, o exec.Outcome) (statement.Reply, bool) {
	q := p.q
	q.recordOutcome(a, o)
	unproven := o.Served() && !<-p.evidence
	switch {
	case o.Served() && !unproven:
		q.s.fleet.Observe(p.leader, p.at, o.Reply.Position)
		return o.Reply, true
	case o.Refused:
		return q.refuse(codeOf(o.Err, codes.NoSlot), "the primary has no room"), true
	case ctx.Err() != nil:
		return q.timeout(o), true
	case unproven:
		return q.read(), true
	case !q.waitToRetry():
		return q.refuse(codes.UpstreamLost, "the primary does not answer"), true
	}
	return statement.Reply{}, false
}

// leaseEvidence looks for evidence that l led when the request arrived, while the
// statement runs.
func (q *request) leaseEvidence(l fleet.Leader) <-chan bool {
	evidence := make(chan bool, 1)
	if q.s.fleet.LedNow(l, q.arrived) {
		evidence <- true
		return evidence
	}
	go func() { evidence <- q.s.fleet.LedAt(q.ctx, l, q.arrived) }()
	return evidence
}

// timeout returns the reply to a read whose deadline has passed.
func (q *request) timeout(o exec.Outcome) statement.Reply {
	if e, ok := codes.From(o.Err); o.Stage == retry.StageWaiting || ok && e.Ran == codes.NotRun {
		return q.refuse(codeOf(o.Err, codes.NoSlot), "no room in time")
	}
	return statement.Refuse(statement.Timeout, codes.DeadlinePassed, q.s.status, "no answer in time")
}
