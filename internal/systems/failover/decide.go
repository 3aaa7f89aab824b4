package failover

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/detect"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Trigger is a reason to give a group a new primary.
type Trigger uint8

const (
	// TriggerNone means that the primary stands.
	TriggerNone Trigger = iota
	// TriggerRefused means that the primary's connections are refused or reset.
	TriggerRefused
	// TriggerSilent means that the primary answers nothing.
	TriggerSilent
	// TriggerUnknown means that no primary was ever learnt.
	TriggerUnknown
	// TriggerDeposed means that the primary no longer leads, or a majority promised a higher term.
	TriggerDeposed
	// TriggerStray means that a minority promised a higher term and can't rejoin below it.
	TriggerStray
	// TriggerPlanned means that the primary is leaving and another server can lead.
	TriggerPlanned
)

// String returns the label used in logs and metrics.
func (t Trigger) String() string {
	return [...]string{"none", "refused", "silent", "unknown", "deposed", "stray", "planned"}[t]
}

// planned reports whether the primary answers and takes part in the change.
func (t Trigger) planned() bool { return t == TriggerPlanned || t == TriggerStray }

// failing reports whether other proxies' observations of the primary count.
func (t Trigger) failing() bool { return t == TriggerRefused || t == TriggerSilent }

// Evidence is what a decision is based on.
type Evidence struct {
	// Rank is this VM's place among the candidates, from 0.
	Rank int
	// Trigger is the reason.
	Trigger Trigger
	// For is how long the reason has been present and a majority reached all the while.
	For time.Duration
	// Members is the size of the group.
	Members int
	// Reached is how many members answer, without a failing primary.
	Reached int
	// Observers is how many other proxies were heard from about the primary lately.
	Observers int
	// Failing is how many of them see the primary fail.
	Failing int
	// Reaching is how many of them reached the primary and a majority since it fails here.
	Reaching int
	// Contended says that another coordinator's term was seen.
	Contended bool
	// ContendedFor is how long ago that term was first seen.
	ContendedFor time.Duration
}

// Decide reports whether this process starts an attempt.
func Decide(e Evidence, o Options) bool {
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
	return e.For >= patience(e, o)+stagger
}

// patience is how long the trigger must last for the first candidate.
func patience(e Evidence, o Options) time.Duration {
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

// diagnose returns why the group needs a new primary by what this process sees.
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
	strays := countAbove(now, w, g)
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

// countAbove returns how many reached members promised a term above the group's.
func countAbove(now tables.Time, w *tables.World, g tables.Group) int {
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

// countObservers fills in what other proxies lately saw of the primary. An
// answer that they got before the primary began to fail here says nothing.
func countObservers(now tables.Time, w *tables.World, p tables.Upstream, o Options, e *Evidence) {
	for _, ob := range w.Observations.All() {
		if ob.Upstream != p.ID || now.Sub(ob.ReceivedAt) > o.ObservationWindow {
			continue
		}
		e.Observers++
		answeredAt := ob.ReceivedAt.Add(-ob.Age)
		switch {
		case ob.Cause.Failing():
			e.Failing++
		case ob.Quorum && answeredAt > p.FailingSince.Add(o.EvidenceMargin):
			e.Reaching++
		}
	}
}

// Choose picks the fenced server with the highest last position, so that the
// new primary holds every acknowledged write. For a planned change it prefers a
// server that is not leaving: one at the highest position, or the highest of
// the staying servers if they are a majority by themselves.
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

// highest returns the server with the highest last position; among equals one
// that is not leaving, then the first.
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
