package detect

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// ReachWindow is the age of a status beyond which its upstream no longer counts as reached.
	ReachWindow = 2500 * time.Millisecond
	// LateAfter is how long a probe stays unanswered before its upstream no longer counts as reached.
	LateAfter = 100 * time.Millisecond
)

// Learn records that primary stands at term and closes connections that were
// opened below it. A term older than the known one changes nothing.
func Learn(w *tables.World, id tables.GroupID, term tables.Term, primary tables.UpstreamID) []action.Action {
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

// Reached reports whether u answered within ReachWindow, is not failing and
// owes no late answer.
func Reached(now tables.Time, u tables.Upstream) bool {
	return u.HasStatus && !u.Cause.Failing() && now.Sub(u.StatusAt) <= ReachWindow && !late(now, u)
}

// late reports whether an answer of u is overdue.
func late(now tables.Time, u tables.Upstream) bool {
	return u.Unanswered && now.Sub(u.UnansweredAt) > LateAfter
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

// confirm moves the group's confirmed point forward if the statuses allow it.
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
