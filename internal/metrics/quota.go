package metrics

import (
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// TeamOperationsTotal counts operations of teams with a limit, by team and result:
	// admitted or refused.
	TeamOperationsTotal = "cranberrystage_team_operations_total"
	// TeamTokensTotal counts the tokens that this proxy asked allocators for and those
	// that it was granted, by team and result.
	TeamTokensTotal = "cranberrystage_team_tokens_total"
)

// LabelTeam is the label with a team's name. With more than maxTeamLabels teams, the
// later ones share otherTeams.
const (
	LabelTeam     = "team"
	otherTeams    = "other"
	maxTeamLabels = 200
)

// TeamQuota holds the counters of one team.
type TeamQuota struct {
	// Admitted and Refused count operations.
	Admitted, Refused prometheus.Counter
	// Asked and Granted count tokens.
	Asked, Granted prometheus.Counter
}

// quotaMetrics are the metrics of limits.
type quotaMetrics struct {
	operations *prometheus.CounterVec
	tokens     *prometheus.CounterVec

	mu     sync.Mutex
	labels map[tables.TeamID]struct{}
}

func newQuotaMetrics(reg prometheus.Registerer) *quotaMetrics {
	q := &quotaMetrics{
		operations: prometheus.NewCounterVec(
			prometheus.CounterOpts{Name: TeamOperationsTotal, Help: "Operations of teams with a limit by result."},
			[]string{LabelTeam, LabelResult}),
		tokens: prometheus.NewCounterVec(
			prometheus.CounterOpts{Name: TeamTokensTotal, Help: "Tokens of teams with a limit that allocators were asked for or granted."},
			[]string{LabelTeam, LabelResult}),
		labels: make(map[tables.TeamID]struct{}),
	}
	reg.MustRegister(q.operations, q.tokens)
	return q
}

// TeamQuota returns the counters of a team.
func (m *Metrics) TeamQuota(team tables.TeamID) TeamQuota {
	label := m.quota.label(team)
	return TeamQuota{
		Admitted: m.quota.operations.WithLabelValues(label, "admitted"),
		Refused:  m.quota.operations.WithLabelValues(label, "refused"),
		Asked:    m.quota.tokens.WithLabelValues(label, "asked"),
		Granted:  m.quota.tokens.WithLabelValues(label, "granted"),
	}
}

// label returns the team's name, or otherTeams if there are too many.
func (q *quotaMetrics) label(team tables.TeamID) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.labels[team]; !ok {
		if len(q.labels) >= maxTeamLabels {
			return otherTeams
		}
		q.labels[team] = struct{}{}
	}
	return string(team)
}
