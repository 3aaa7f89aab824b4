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
	// defaultTimeout bounds a statement whose route has no timeout.
	defaultTimeout = 5 * time.Second
	// busyRetryDelay is the mean delay before a statement is tried again.
	busyRetryDelay = 15 * time.Millisecond
	// minRetryTime is the minimum time during which a request is retried.
	minRetryTime = 60 * time.Millisecond
)

// request is one statement being served.
type request struct {
	s        *session
	route    tables.Route
	st       statement.Statement
	writes   bool
	arrived  tables.Time
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
	// tried are the servers to skip.
	tried []tables.UpstreamID
	// lastUpstream is the server that was tried last; lastOutcome says how that ended.
	lastUpstream tables.UpstreamID
	lastOutcome  string
	// holder is the proxy that the read was last forwarded to; empty if it never was.
	holder tables.VMID
	// tries counts the attempts; behind is true if a server lacked the position.
	tries  int
	behind bool
	// need is the position that a server must have reached to serve the read.
	need tables.Position
	// primary is true if the request was sent to the primary because of its role.
	primary bool
}

func newRequest(ctx context.Context, s *session, route tables.Route, st statement.Statement, writes bool) *request {
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	q := &request{s: s, route: route, st: st, writes: writes, arrived: s.fleet.Now(), deadline: time.Now().Add(timeout)}
	q.ctx, q.cancel = context.WithDeadline(ctx, q.deadline)
	s.lastRequest = q
	return q
}

// priorityStep is the distance between two route priorities, so that the begin of a
// transaction can rank just below other statements of its route.
const priorityStep = 2

func (q *request) admission() admit.Request {
	return admit.Request{
		Weight:   1,
		Priority: -q.route.Priority * priorityStep,
		Deadline: q.s.fleet.Now().Add(time.Until(q.deadline)),
		MaxWait:  min(q.route.TargetLatency/5, max(q.route.TargetLatency-q.s.fleet.Now().Sub(q.arrived), 1)),
	}
}

// recordOutcome records the outcome of an attempt for the log and for refusals.
func (q *request) recordOutcome(a exec.Attempt, o exec.Outcome) {
	q.tries++
	q.lastUpstream = a.Upstream()
	q.behind = q.behind || o.Reply.Code == statement.Behind
	q.lastOutcome = o.Reply.Code.String()
	if o.Err != nil {
		q.lastOutcome = o.Err.Error()
	}
}

// waitToRetry waits before the next attempt. It returns false if a further attempt
// would leave the caller too little time to try another proxy.
func (q *request) waitToRetry() bool {
	if q.s.fleet.Now().Sub(q.arrived) > max(q.route.TargetLatency*2/5, minRetryTime) {
		return false
	}
	return sleep.For(q.ctx, busyRetryDelay/2+rand.N(busyRetryDelay)) == nil
}

// refuse returns the reply to a statement that did not run.
func (q *request) refuse(reason codes.Code, why string) statement.Reply {
	return q.refuseWithRetry(reason, why, 0)
}

// refuseWithRetry is refuse with a minimum time after which the caller may retry.
func (q *request) refuseWithRetry(reason codes.Code, why string, after time.Duration) statement.Reply {
	after = max(after, minRetryAfter)
	after += rand.N(after/2 + 1)
	if q.tries > 0 {
		why = fmt.Sprintf("%s after %d tries, %s last: %s", why, q.tries, q.lastUpstream, q.lastOutcome)
	}
	r := statement.Refuse(statement.Busy, reason, q.s.status, why)
	r.RetryAfter = after
	return r
}

// codeOf returns the result code in err's chain, or other if there is none.
func codeOf(err error, other codes.Code) codes.Code {
	if e, ok := codes.From(err); ok {
		return e.Code
	}
	return other
}

// noServerCode returns the result code for a read that no server answered.
func (q *request) noServerCode() codes.Code {
	switch {
	case q.tries == 0:
		return codes.UpstreamLost
	case q.behind:
		return codes.NoFreshReplica
	default:
		return codes.NoSlot
	}
}
