package failover

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/detect"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Trigger is a reason to give a group a new primary.
type Trigger uint8

const (
	// TriggerNone means that the primary is kept.
	TriggerNone Trigger = iota
	// TriggerRefused means that the primary's connections are refused or reset.
	TriggerRefused
	// TriggerSilent means that the primary does not answer.
	TriggerSilent
	// TriggerUnknown means that no primary is known.
	TriggerUnknown
	// TriggerDeposed means that the primary is no longer primary of the group's
	// term, or that a majority promised a higher term.
	TriggerDeposed
	// TriggerStray means that a minority promised a higher term. These servers
	// cannot rejoin the group until it has a term at least as high.
	TriggerStray
	// TriggerPlanned means that the primary is leaving and another server can lead.
	TriggerPlanned
)

// String returns the label used in logs and metrics.
func (t Trigger) String() string {
	return [...]string{"none", "refused", "silent", "unknown", "deposed", "stray", "planned"}[t]
}

// planned reports whether the change is a planned move, in which the old
// primary answers and takes part.
func (t Trigger) planned() bool { return t == TriggerPlanned || t == TriggerStray }

// failing reports whether other proxies' observations of the primary count.
func (t Trigger) failing() bool { return t == TriggerRefused || t == TriggerSilent }

// DecisionInput is the input of Decide.
type DecisionInput struct {
	// Rank is this VM's rank among the candidates, from 0.
	Rank int
	// Trigger is the reason to replace the primary.
	Trigger Trigger
	// TriggeredFor is how long the trigger has been present while a majority was reached
	// without interruption.
	TriggeredFor time.Duration
	// Members is the size of the group.
	Members int
	// Reached is how many members answer, not counting a failing primary.
	Reached int
	// Observers is how many other proxies sent a recent observation of the primary.
	Observers int
	// Failing is how many of the observers report the primary as failing.
	Failing int
	// Reaching is how many of the observers reached the primary and a majority
	// after the primary began to fail here.
	Reaching int
	// Contended means that another coordinator's term was observed.
	Contended bool
	// ContendedFor is the time since that term was first observed.
	ContendedFor time.Duration
}

// Decide reports whether this process starts an attempt to replace the primary. It
// does not replace a failing primary while at least as many other proxies reach it
// as proxies, including this one, see it fail. If another coordinator's term was
// observed, it waits until that coordinator's attempt has timed out.
func Decide(e DecisionInput, o Options) bool {
	if e.Trigger == TriggerNone || e.Reached < tables.Majority(e.Members) {
		return false
	}
	if e.Trigger.failing() && 1+e.Failing <= e.Reaching {
		return false
	}
	stagger := time.Duration(e.Rank) * o.Stagger
	if e.Contended && e.ContendedFor < o.AttemptTimeout+stagger {
		return false
	}
	return e.TriggeredFor >= triggerDelay(e, o)+stagger
}

// triggerDelay returns how long the trigger must persist before the candidate of
// rank 0 acts.
func triggerDelay(e DecisionInput, o Options) time.Duration {
	if e.Trigger.failing() && e.Observers == 0 {
		return o.SoleObserverDelay
	}
	switch e.Trigger {
	case TriggerSilent:
		return o.SilentTimeout
	case TriggerUnknown:
		return o.SoleObserverDelay
	case TriggerDeposed:
		return o.AttemptTimeout
	case TriggerStray:
		return o.StrayAfter
	default:
		return 0
	}
}

// diagnose returns the trigger that applies to the group in this process's view.
func diagnose(now tables.Time, w *tables.World, g tables.Group) Trigger {
	if g.Primary == "" {
		return TriggerUnknown
	}
	p, ok := w.Upstreams.Get(g.Primary)
	if !ok {
		return TriggerNone
	}
	switch p.Cause {
	case tables.CauseRefused, tables.CauseReset:
		return TriggerRefused
	case tables.CauseSilent:
		return TriggerSilent
	}
	if !p.HasStatus {
		return TriggerNone
	}
	if p.Status.Role != tables.RolePrimary || p.Status.Fenced != g.Term {
		return TriggerDeposed
	}
	strays := countFencedAbove(now, w, g)
	switch {
	case strays >= tables.Majority(len(g.Members)):
		return TriggerDeposed
	case strays > 0:
		return TriggerStray
	case p.Leaving && hasSuccessor(now, w, g):
		return TriggerPlanned
	default:
		return TriggerNone
	}
}

// countFencedAbove returns how many reached members promised a term above the
// group's.
func countFencedAbove(now tables.Time, w *tables.World, g tables.Group) int {
	n := 0
	for _, m := range g.Members {
		if u, ok := w.Upstreams.Get(m); ok && detect.Reached(now, u) && u.Status.Fenced > g.Term {
			n++
		}
	}
	return n
}

// hasSuccessor reports whether a reached member that is not leaving follows the primary.
func hasSuccessor(now tables.Time, w *tables.World, g tables.Group) bool {
	for _, m := range g.Members {
		u, ok := w.Upstreams.Get(m)
		if !ok || m == g.Primary || u.Leaving || !detect.Reached(now, u) {
			continue
		}
		if u.Status.Following == g.Primary && u.Status.Last.LogTerm == g.Term {
			return true
		}
	}
	return false
}

// highestFenced returns the highest term that any member is known to have promised.
func highestFenced(w *tables.World, g tables.Group) tables.Term {
	high := g.Term
	for _, m := range g.Members {
		if u, ok := w.Upstreams.Get(m); ok && u.HasStatus {
			high = max(high, u.Status.Fenced)
		}
	}
	return high
}

// countObservers adds the recent observations of the primary by other proxies to
// e. It ignores answers that they received before the primary began to fail here.
func countObservers(now tables.Time, w *tables.World, p tables.Upstream, o Options, e *DecisionInput) {
	for _, ob := range w.Observations.All() {
		if ob.Upstream != p.ID || now.Sub(ob.ReceivedAt) > o.ObservationWindow {
			continue
		}
		e.Observers++
		answeredAt := ob.ReceivedAt.Add(-ob.Age)
		switch {
		case ob.Cause.Failing():
			e.Failing++
		case ob.Quorum && answeredAt > p.FailingSince.Add(o.AnswerMargin):
			e.Reaching++
		}
	}
}

// Choose picks the fenced server with the highest last position, so that the
// new primary has every acknowledged write. For a planned move it prefers a
// server that is not leaving: one at the highest position, or the highest of
// the servers that are not leaving if they form a majority by themselves.
func Choose(fenced []Fenced, n int, planned bool) (tables.UpstreamID, bool) {
	if len(fenced) < tables.Majority(n) {
		return "", false
	}
	best := highest(fenced)
	if !planned || !best.Leaving {
		return best.Upstream, true
	}
	staying := stayingOf(fenced)
	if len(staying) == 0 {
		return best.Upstream, len(fenced) == n
	}
	next := highest(staying)
	if len(staying) >= tables.Majority(n) || next.Status.Last == best.Status.Last {
		return next.Upstream, true
	}
	return best.Upstream, len(fenced) == n
}

// highest returns the server with the highest last position. A tie goes to a
// server that is not leaving, then to the first one.
func highest(fenced []Fenced) Fenced {
	best := fenced[0]
	for _, f := range fenced[1:] {
		c := f.Status.Last.Compare(best.Status.Last)
		if c > 0 || c == 0 && best.Leaving && !f.Leaving {
			best = f
		}
	}
	return best
}

func stayingOf(fenced []Fenced) []Fenced {
	var out []Fenced
	for _, f := range fenced {
		if !f.Leaving {
			out = append(out, f)
		}
	}
	return out
}
