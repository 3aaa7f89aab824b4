package relay

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/statement"
)

// journal writes the log lines of requests.
type journal struct {
	log    *slog.Logger
	served atomic.Uint64
}

func newJournal(log *slog.Logger) *journal {
	return &journal{log: logging.For(log, "relay")}
}

// answered takes note of an answer. Results that came in time are only counted.
func (j *journal) answered(s *session, st statement.Statement, r statement.Reply, took time.Duration) {
	if r.Code == statement.OK {
		j.served.Add(1)
		return
	}
	j.log.Info("Refused a statement.", "request", st.ID, "kind", st.Kind.String(), "database", s.database,
		"code", r.Code.String(), "detail", r.Detail, "took", took)
}

func (j *journal) ended(s *session, why string) {
	j.log.Info("Ended a transaction.", "database", s.database, "why", why)
}

func (j *journal) malformed(err error) {
	j.log.Debug("A caller's connection ended.", "error", err)
}

func (j *journal) rejected(database string) {
	j.log.Info("Rejected a session.", "database", database, "code", statement.NoDatabase.String())
}
