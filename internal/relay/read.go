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

// reading serves a read, or the begin of a transaction that only reads, at any
// server that has reached a position. A server that failed is passed over
// until all were tried.
type reading struct {
	q *request
	// tx is the transaction to begin; nil for a single read.
	tx *transaction
}

// read serves a read that replicas may answer.
func (q *request) read() statement.Reply {
	q.primary = false
	return q.readAny(q.arrived, nil)
}

// readAny runs the request at any server that has the commits which a read of
// arrived must see.
func (q *request) readAny(arrived tables.Time, tx *transaction) statement.Reply {
	need, ok := q.s.need(q.ctx, q.route, arrived)
	q.need = need
	if !ok {
		return q.refuse(codes.NoFreshReplica, "no primary tells how fresh the replicas are")
	}
	return exec.Serve(q.ctx, &reading{q: q, tx: tx})
}

// Choose implements exec.Plan.
func (p *reading) Choose(context.Context) (exec.Attempt, statement.Reply) {
	q := p.q
	for {
		u, ok := q.s.fleet.Reader(q.route.Group, q.need, q.tried)
		switch {
		case ok && p.tx != nil:
			return &opening{attempt: *q.at(u, q.need), tx: p.tx}, statement.Reply{}
		case ok:
			return q.at(u, q.need), statement.Reply{}
		case !q.pause():
			return nil, q.refuse(q.whyNoServer(), "no server can answer")
		}
		q.tried = q.tried[:0]
	}
}

// Judge implements exec.Plan.
func (p *reading) Judge(ctx context.Context, a exec.Attempt, o exec.Outcome) (statement.Reply, bool) {
	q := p.q
	q.note(a, o)
	switch {
	case o.Served():
		return o.Reply, true
	case ctx.Err() != nil && p.tx != nil:
		return q.refuse(q.whyNoServer(), "no server takes the transaction"), true
	case ctx.Err() != nil:
		return q.timeout(o), true
	}
	q.tried = append(q.tried, q.last)
	return statement.Reply{}, false
}

// newestReading serves a read at the primary, which needs every commit acknowledged
// before the read arrived.
type newestReading struct {
	q      *request
	leader fleet.Leader
	// at is when the statement was sent.
	at tables.Time
	// proof gets whether the primary led when the request arrived.
	proof <-chan bool
}

// Choose implements exec.Plan.
func (p *newestReading) Choose(ctx context.Context) (exec.Attempt, statement.Reply) {
	q := p.q
	for {
		if q.s.fleet.Frozen(q.route.Group) {
			return nil, q.read()
		}
		l, changed, expected, ok := q.s.fleet.Leader(q.route.Group)
		if ok {
			return p.choose(l)
		}
		// The group is about to be frozen, or stays without a primary.
		if !fleet.WaitFor(ctx, changed, min(expected, fleet.ExpectedHoldTime)) {
			return nil, q.refuseFor(codes.NoPrimary, "no primary", expected)
		}
	}
}

func (p *newestReading) choose(l fleet.Leader) (exec.Attempt, statement.Reply) {
	q := p.q
	if l.Upstream.Unreachable() {
		return nil, q.refuse(codes.UpstreamLost, "the primary does not answer")
	}
	q.primary = true
	p.leader = l
	p.proof = q.prove(l)
	p.at = q.s.fleet.Now()
	return q.at(l.Upstream, tables.Position{}), statement.Reply{}
}

// Judge implements exec.Plan.
func (p *newestReading) Judge(ctx context.Context, a exec.Attempt, o exec.Outcome) (statement.Reply, bool) {
	q := p.q
	q.note(a, o)
	unproven := o.Served() && !<-p.proof
	switch {
	case o.Served() && !unproven:
		q.s.fleet.Observe(p.leader, p.at, o.Reply.Position)
		return o.Reply, true
	case o.Refused:
		return q.refuse(reasonOf(o.Err, codes.NoSlot), "the primary has no room"), true
	case ctx.Err() != nil:
		return q.timeout(o), true
	case unproven:
		return q.refuse(codes.NotConfirmed, "nothing shows that the primary still leads"), true
	case !q.pause():
		return q.refuse(codes.UpstreamLost, "the primary does not answer"), true
	}
	return statement.Reply{}, false
}

// prove finds evidence, while the statement runs, that l led when the request
// arrived.
func (q *request) prove(l fleet.Leader) <-chan bool {
	proof := make(chan bool, 1)
	if q.s.fleet.LedNow(l, q.arrived) {
		proof <- true
		return proof
	}
	go func() { proof <- q.s.fleet.LedAt(q.ctx, l, q.arrived) }()
	return proof
}

// timeout answers a read whose time is over.
func (q *request) timeout(o exec.Outcome) statement.Reply {
	if o.Stage == retry.StageWaiting {
		return q.refuse(reasonOf(o.Err, codes.NoSlot), "no room in time")
	}
	return statement.Refuse(statement.Timeout, codes.DeadlinePassed, q.s.status, "no answer in time")
}
