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

// Bounds of the lines about requests: an overload refuses some hundred requests
// a second, and each line costs the processor about as much as a statement.
const (
	requestLines = 100
	requestBurst = 300
)

// journal writes the log lines and counts of requests.
type journal struct {
	log     *slog.Logger
	metrics *metrics.Metrics
	limit   *rate.Limiter
	leftOut atomic.Uint64
}

func newJournal(log *slog.Logger, m *metrics.Metrics) *journal {
	return &journal{log: logging.For(log, "relay"), metrics: m, limit: rate.NewLimiter(requestLines, requestBurst)}
}

// line writes a line about a request unless there are too many.
func (j *journal) line(message string, attributes ...any) {
	if !j.limit.Allow() {
		j.leftOut.Add(1)
		return
	}
	if n := j.leftOut.Swap(0); n > 0 {
		j.log.Warn("Left out lines about requests.", "lines", n)
	}
	j.log.Info(message, attributes...)
}

// answered takes note of an answer. Results that came in time are only counted.
func (j *journal) answered(s *session, st statement.Statement, r statement.Reply, took time.Duration) {
	q := s.last
	if q != nil {
		j.count(q, r, took)
	}
	switch {
	case r.Code != statement.OK:
		j.line("Refused a statement.", j.story(s, st, r, took)...)
	case q != nil && q.route.TargetLatency > 0 && took > q.route.TargetLatency:
		j.line("Answered a statement late.", j.story(s, st, r, took)...)
	}
}

func (j *journal) count(q *request, r statement.Reply, took time.Duration) {
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
	j.metrics.ObserveRequest(out)
}

// story returns what decided an answer, with ages and versions.
func (j *journal) story(s *session, st statement.Statement, r statement.Reply, took time.Duration) []any {
	out := []any{
		"request", st.ID, "kind", st.Kind.String(), "database", s.database, "code", r.Code.String(),
		"reason", int(r.Reason), "detail", r.Detail, "retryAfter", r.RetryAfter, "took", took,
	}
	if routing := s.fleet.Routing(); routing != nil {
		out = append(out, "config", routing.Version)
	}
	q := s.last
	if q == nil {
		return out
	}
	primary, record, provenAge := s.fleet.LeaderStatus(q.route.Group)
	return append(out, "group", q.route.Group, "freshness", q.route.Freshness.String(), "need", q.need.String(),
		"upstream", q.last, "how", q.how, "tries", q.tries, "primary", primary, "record", record, "provenAge", provenAge)
}

func (j *journal) ended(s *session, why string) {
	j.line("Ended a transaction.", "database", s.database, "why", why)
}

func (j *journal) malformed(err error) {
	j.line("Ended a connection that can't be understood.", "error", err)
}

func (j *journal) rejected(database string, r statement.Reply) {
	j.line("Rejected a session.", "database", database, "code", r.Code.String(), "reason", int(r.Reason), "retryAfter", r.RetryAfter)
}
