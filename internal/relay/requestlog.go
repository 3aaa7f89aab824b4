package relay

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"golang.org/x/time/rate"
)

// Limits of log lines about requests: an overloaded proxy refuses hundreds of
// requests a second, and a line costs about as much CPU time as a statement.
const (
	maxRequestLinesPerSecond = 100
	maxRequestLineBurst      = 300
)

// requestLog writes log lines about requests and counts requests in the metrics.
type requestLog struct {
	log        *slog.Logger
	metrics    *metrics.Metrics
	limit      *rate.Limiter
	suppressed atomic.Uint64
}

func newRequestLog(log *slog.Logger, m *metrics.Metrics) *requestLog {
	return &requestLog{log: logging.For(log, "relay"), metrics: m, limit: rate.NewLimiter(maxRequestLinesPerSecond, maxRequestLineBurst)}
}

// line writes a log line about a request, unless the rate limit is exceeded.
func (l *requestLog) line(message string, attributes ...any) {
	if !l.limit.Allow() {
		l.suppressed.Add(1)
		return
	}
	if n := l.suppressed.Swap(0); n > 0 {
		l.log.Warn("Left out lines about requests.", "lines", n)
	}
	l.log.Info(message, attributes...)
}

// replied counts a reply. It logs refusals and replies later than the route's
// target.
func (l *requestLog) replied(s *session, st statement.Statement, r statement.Reply, took time.Duration) {
	q := s.lastRequest
	if q != nil {
		l.count(q, r, took)
	}
	switch {
	case r.Code != statement.OK:
		l.line("Refused a statement.", l.attributes(s, st, r, took)...)
	case q != nil && q.route.TargetLatency > 0 && took > q.route.TargetLatency:
		l.line("Answered a statement late.", l.attributes(s, st, r, took)...)
	}
}

func (l *requestLog) count(q *request, r statement.Reply, took time.Duration) {
	out := metrics.Request{
		Service:  tables.ServiceID(q.route.Group),
		Database: q.route.Database,
		Kind:     metrics.KindRead,
		ServedBy: metrics.ServedByNone,
		Code:     r.Reason,
		Took:     took,
	}
	if q.writes {
		out.Kind = metrics.KindWrite
	}
	switch {
	case r.Code == statement.OK && q.primary:
		out.ServedBy = metrics.ServedByPrimary
	case r.Code == statement.OK:
		out.ServedBy = metrics.ServedByReplica
	case out.Code == codes.OK:
		out.Code = codes.UpstreamFailed
	}
	l.metrics.ObserveRequest(out)
}

// attributes returns log attributes that explain a reply: the routing decision and
// the ages and versions of the state it is based on.
func (l *requestLog) attributes(s *session, st statement.Statement, r statement.Reply, took time.Duration) []any {
	out := []any{
		"request", st.ID, "kind", st.Kind.String(), "database", s.database, "code", r.Code.String(),
		"reason", int(r.Reason), "detail", r.Detail, "retryAfter", r.RetryAfter, "took", took,
	}
	if s.team != nil {
		out = append(out, "team", s.team.ID)
	}
	if routing := s.fleet.Routing(); routing != nil {
		out = append(out, "config", routing.Version)
	}
	q := s.lastRequest
	if q == nil {
		return out
	}
	if q.holder != "" {
		out = append(out, "holder", q.holder)
	}
	primary, record, provenAge := s.fleet.LeaderStatus(q.route.Group)
	return append(out, "group", q.route.Group, "freshness", q.route.Freshness.String(), "need", q.need.String(),
		"upstream", q.lastUpstream, "how", q.lastOutcome, "tries", q.tries, "primary", primary, "record", record, "provenAge", provenAge)
}

func (l *requestLog) transactionEnded(s *session, why string) {
	l.line("Ended a transaction.", "database", s.database, "why", why)
}

func (l *requestLog) readFailed(err error) {
	l.line("Closed a connection after a failure to read a message.", "error", err)
}

func (l *requestLog) sessionRejected(database string, r statement.Reply) {
	l.line("Rejected a session.", "database", database, "code", r.Code.String(), "reason", int(r.Reason), "retryAfter", r.RetryAfter)
}
