package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// defaultTimeout bounds a statement where its route names no bound.
	defaultTimeout = 5 * time.Second
	// busyPause is the mean pause before a server that was busy is asked again.
	busyPause = 15 * time.Millisecond
	// leastPatience is how long a request is tried at least.
	leastPatience = 60 * time.Millisecond
)

// request is one statement on its way.
type request struct {
	s       *session
	route   tables.Route
	st      statement.Statement
	writes  bool
	arrived tables.Time
	ctx     context.Context
	cancel  context.CancelFunc
	// deadline is when the statement's time is over.
	deadline time.Time
	tried    []tables.UpstreamID
	// last names the server that was tried last, and how that ended.
	last tables.UpstreamID
	how  string
	// tries counts the servers asked; behind says that one lacked the position.
	tries  int
	behind bool
	// need is the position that a read must have seen.
	need tables.Position
	// primary says that the request went to the primary as such.
	primary bool
}

func newRequest(ctx context.Context, s *session, route tables.Route, st statement.Statement, writes bool) *request {
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	q := &request{s: s, route: route, st: st, writes: writes, arrived: s.fleet.Now(), deadline: time.Now().Add(timeout)}
	q.ctx, q.cancel = context.WithDeadline(ctx, q.deadline)
	s.last = q
	return q
}

// outcome is how one try ended.
type outcome struct {
	stage retry.Stage
	reply statement.Reply
	err   error
	// refused says that the proxy itself had no room.
	refused bool
}

func (q *request) admission() admit.Request {
	return admit.Request{
		Weight:   1,
		Priority: -q.route.Priority,
		Deadline: q.s.fleet.Now().Add(time.Until(q.deadline)),
		Patience: min(q.route.Target/5, max(q.route.Target-q.s.fleet.Now().Sub(q.arrived), 1)),
	}
}

// once runs the statement outside a transaction at one server.
func (q *request) once(u *fleet.Upstream, after tables.Position) outcome {
	out := q.try(u, after)
	q.note(u, out)
	return out
}

// note keeps what the log is to say of a try.
func (q *request) note(u *fleet.Upstream, out outcome) {
	q.last = u.ID()
	q.tries++
	q.behind = q.behind || out.reply.Code == statement.Behind
	q.how = out.reply.Code.String()
	if out.err != nil {
		q.how = out.err.Error()
	}
}

func (q *request) try(u *fleet.Upstream, after tables.Position) outcome {
	pass, err := u.Enter(q.ctx, q.admission())
	if err != nil {
		return outcome{err: err, refused: true}
	}
	defer u.Leave(&pass)
	c, err := u.Connect(q.ctx)
	if err != nil {
		return outcome{err: err}
	}
	st, out := q.prepare(u, c, false)
	if out.err != nil || out.reply.Code != statement.OK {
		u.Discard(c)
		return out
	}
	st.After = after
	r, err := u.Exchange(c, q.deadline, q.writes, st)
	if err != nil {
		u.Discard(c)
		return outcome{stage: retry.StageWritten, err: err}
	}
	if r.Code == statement.NoStatement {
		c.State.Lacks()
	}
	giveBack(u, c, r)
	return outcome{stage: retry.StageAnswered, reply: r}
}

// giveBack returns a connection after an answer, unless a transaction is open on it.
func giveBack(u *fleet.Upstream, c *links.Conn, r statement.Reply) {
	if r.State == statement.Idle {
		u.Release(c)
		return
	}
	u.Discard(c)
}

// prepare tells the connection what it lacks for the statement, which it
// returns under the connection's names.
func (q *request) prepare(u *fleet.Upstream, c *links.Conn, inTransaction bool) (statement.Statement, outcome) {
	list, st := preparation.Plan(&c.State, &q.s.state, q.st, inTransaction)
	r, err := u.Prepare(c, q.deadline, list, inTransaction)
	return st, outcome{reply: r, err: err}
}

// read serves a read that replicas may answer.
func (q *request) read() statement.Reply {
	q.primary = false
	need, ok := q.s.need(q.ctx, q.route, q.arrived)
	q.need = need
	if !ok {
		return q.refuse(codes.NoFreshReplica, "no primary tells how fresh the replicas are")
	}
	for {
		u, ok := q.s.fleet.Reader(q.route.Group, need, q.tried)
		if !ok {
			if !q.pause() {
				return q.refuse(q.whyNoServer(), "no server can answer")
			}
			q.tried = q.tried[:0]
			continue
		}
		out := q.once(u, need)
		if out.stage == retry.StageAnswered && out.reply.Code == statement.OK {
			return out.reply
		}
		if q.ctx.Err() != nil {
			return q.timeout(out)
		}
		q.tried = append(q.tried, u.ID())
	}
}

// readPrimary serves a read that needs every commit acknowledged before it.
func (q *request) readPrimary() statement.Reply {
	unproven := false
	for {
		if q.s.fleet.Frozen(q.route.Group) {
			return q.read()
		}
		l, changed, expected, ok := q.s.fleet.Leader(q.route.Group)
		if !ok {
			// The group is about to be frozen, or stays without a primary.
			if !fleet.WaitFor(q.ctx, changed, min(expected, fleet.FreezeTime)) {
				return q.refuseFor(codes.NoPrimary, "no primary", expected)
			}
			continue
		}
		if l.Upstream.Unreachable() {
			return q.refuse(codes.UpstreamLost, "the primary does not answer")
		}
		q.primary = true
		proof := q.prove(l)
		at := q.s.fleet.Now()
		out := q.once(l.Upstream, tables.Position{})
		switch {
		case out.stage == retry.StageAnswered && out.reply.Code == statement.OK:
			if <-proof {
				q.s.fleet.Observe(l, at, out.reply.Position)
				return out.reply
			}
			unproven = true
		case out.refused:
			return q.refuse(reasonOf(out.err, codes.NoSlot), "the primary has no room")
		}
		if q.ctx.Err() != nil {
			return q.timeout(out)
		}
		if unproven {
			return q.refuse(codes.NotConfirmed, "nothing shows that the primary still leads")
		}
		if !q.pause() {
			return q.refuse(codes.UpstreamLost, "the primary does not answer")
		}
	}
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

// write serves a single write. It is sent again only after a server's word
// that it did not run.
func (q *request) write() statement.Reply {
	for {
		l, reply, ok := q.leader()
		if !ok {
			return reply
		}
		at := q.s.fleet.Now()
		out := q.once(l.Upstream, tables.Position{})
		switch {
		case out.stage == retry.StageWritten:
			return q.unsure(out.err)
		case out.stage == retry.StageAnswered && out.reply.Code == statement.OK:
			return q.committed(l, at, out.reply)
		case out.stage == retry.StageAnswered && !out.reply.Code.NotRun():
			return out.reply
		case out.refused:
			return q.refuse(reasonOf(out.err, codes.NoSlot), "the primary has no room")
		}
		if q.ctx.Err() != nil || !q.pause() {
			return q.refuse(codes.UpstreamFailed, "the primary does not take the write")
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

// pause waits a moment before the next try; false means that trying on takes
// more of the request's time than the caller can spare: another proxy may serve it.
func (q *request) pause() bool {
	if q.s.fleet.Now().Sub(q.arrived) > max(q.route.Target*2/5, leastPatience) {
		return false
	}
	return sleep.For(q.ctx, busyPause/2+rand.N(busyPause)) == nil
}

// refuse says that the statement did not run.
func (q *request) refuse(reason codes.Code, why string) statement.Reply {
	return q.refuseFor(reason, why, 0)
}

// refuseFor is refuse with the time after which it is worth to come back.
func (q *request) refuseFor(reason codes.Code, why string, after time.Duration) statement.Reply {
	after = max(after, comeBack)
	after += rand.N(after/2 + 1)
	if q.tries > 0 {
		why = fmt.Sprintf("%s after %d tries, %s last: %s", why, q.tries, q.last, q.how)
	}
	return statement.Refuse(statement.Busy, reason, q.s.status, fmt.Sprintf("%s, retry after %d ms", why, after.Milliseconds()))
}

// reasonOf returns the number inside err, or other.
func reasonOf(err error, other codes.Code) codes.Code {
	if e, ok := codes.From(err); ok {
		return e.Code
	}
	return other
}

// whyNoServer returns the number for a read that no server answered.
func (q *request) whyNoServer() codes.Code {
	switch {
	case q.tries == 0:
		return codes.UpstreamLost
	case q.behind:
		return codes.NoFreshReplica
	default:
		return codes.NoSlot
	}
}

// timeout answers a read whose time is over.
func (q *request) timeout(out outcome) statement.Reply {
	if out.stage == retry.StageWaiting {
		return q.refuse(reasonOf(out.err, codes.NoSlot), "no room in time")
	}
	return statement.Refuse(statement.Timeout, codes.DeadlinePassed, q.s.status, "no answer in time")
}

func (q *request) unsure(err error) statement.Reply {
	return statement.Refuse(statement.Unsure, codes.UpstreamLost, statement.Idle, "the outcome was not learnt: "+err.Error())
}
