package detect

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// ReachWindow is the maximum age of the last status of an upstream that counts
	// as reached.
	ReachWindow = 2500 * time.Millisecond
	// OverdueAfter is how long a probe may stay unanswered before its upstream no
	// longer counts as reached.
	OverdueAfter = 100 * time.Millisecond
)

// RecordPrimary records primary as the primary of term and closes connections to
// the old primary that were opened under a lower term. It ignores a term that is
// not above the recorded one.
func RecordPrimary(w *tables.World, id tables.GroupID, term tables.Term, primary tables.UpstreamID) []action.Action {
	g, ok := w.Groups.Get(id)
	if !ok || term <= g.Term || !slices.Contains(g.Members, primary) {
		return nil
	}
	old := g.Primary
	g.Term = term
	g.Primary = primary
	w.Groups.Put(id, g)
	if old == "" {
		return nil
	}
	return []action.Action{action.CloseConnections{Upstream: old, BelowTerm: term}}
}

// Reached reports whether u answered within ReachWindow, is not failing and has
// no overdue answer.
func Reached(now tables.Time, u tables.Upstream) bool {
	return u.HasStatus && !u.Cause.Failing() && now.Sub(u.StatusAt) <= ReachWindow && !overdue(now, u)
}

// overdue reports whether a probe of u is unanswered for longer than OverdueAfter.
func overdue(now tables.Time, u tables.Upstream) bool {
	return u.Unanswered && now.Sub(u.UnansweredAt) > OverdueAfter
}

// CountReached returns how many members of g other than except are reached.
func CountReached(now tables.Time, w *tables.World, g tables.Group, except tables.UpstreamID) int {
	n := 0
	for _, m := range g.Members {
		if u, ok := w.Upstreams.Get(m); ok && m != except && Reached(now, u) {
			n++
		}
	}
	return n
}

// confirm advances the group's confirmed point if the statuses allow it.
func confirm(w *tables.World, id tables.GroupID) {
	g, ok := w.Groups.Get(id)
	if !ok || g.Primary == "" {
		return
	}
	p, ok := w.Upstreams.Get(g.Primary)
	if !ok || !p.HasStatus || p.Status.Fenced != g.Term || p.StatusSentAt <= g.Confirmed.SentAt {
		return
	}
	point, ok := ack.Confirm(report(p), g.Members, reports(w, g))
	if !ok {
		return
	}
	g.Confirmed = point
	w.Groups.Put(id, g)
}

func reports(w *tables.World, g tables.Group) []ack.Report {
	out := make([]ack.Report, 0, len(g.Members))
	for _, m := range g.Members {
		if u, ok := w.Upstreams.Get(m); ok && u.HasStatus {
			out = append(out, report(u))
		}
	}
	return out
}

func report(u tables.Upstream) ack.Report {
	return ack.Report{Upstream: u.ID, SentAt: u.StatusSentAt, Status: u.Status}
}
