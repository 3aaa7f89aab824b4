package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
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

// priorityStep is the distance of two priorities of routes, so that statements
// of one priority can be ordered between them.
const priorityStep = 2

func (q *request) admission() admit.Request {
	return admit.Request{
		Weight:   1,
		Priority: -q.route.Priority * priorityStep,
		Deadline: q.s.fleet.Now().Add(time.Until(q.deadline)),
		MaxWait:  min(q.route.TargetLatency/5, max(q.route.TargetLatency-q.s.fleet.Now().Sub(q.arrived), 1)),
	}
}

// note keeps what the log is to say of an attempt.
func (q *request) note(a exec.Attempt, o exec.Outcome) {
	q.tries++
	q.last = a.Upstream()
	q.behind = q.behind || o.Reply.Code == statement.Behind
	q.how = o.Reply.Code.String()
	if o.Err != nil {
		q.how = o.Err.Error()
	}
}

// pause waits a moment before the next try; false means that trying on takes
// more of the request's time than the caller can spare: another proxy may serve it.
func (q *request) pause() bool {
	if q.s.fleet.Now().Sub(q.arrived) > max(q.route.TargetLatency*2/5, leastPatience) {
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
	r := statement.Refuse(statement.Busy, reason, q.s.status, why)
	r.RetryAfter = after
	return r
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
