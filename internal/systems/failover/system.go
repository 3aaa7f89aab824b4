package failover

import (
	"math/rand/v2"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/detect"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// System replaces primaries. It is not safe for concurrent use.
type System struct {
	options Options
	random  *rand.Rand
	groups  *tables.Table[tables.GroupID, state]
	repairs *tables.Table[tables.UpstreamID, repair]
}

// state is the system's state of one group.
type state struct {
	// term is the group's term at which trigger was observed.
	term      tables.Term
	trigger   Trigger
	triggerAt tables.Time
	// quorum means that a majority, not counting a failing primary, has been
	// reached without interruption since quorumAt.
	quorum   bool
	quorumAt tables.Time
	// ownTerm is the term of this process's last attempt.
	ownTerm tables.Term
	// contended is the highest observed term of another coordinator, first
	// observed at contendedAt.
	contended   tables.Term
	contendedAt tables.Time
	plannedAt   tables.Time
	resendAt    tables.Time
	rowState    rowState
}

// New returns a system that uses random for its jitter and transaction ids.
func New(options Options, random *rand.Rand) *System {
	return &System{
		options: options,
		random:  random,
		groups:  tables.NewTable[tables.GroupID, state](),
		repairs: tables.NewTable[tables.UpstreamID, repair](),
	}
}

// Handle processes one event.
func (s *System) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	switch e := ev.(type) {
	case event.ControlDone:
		return s.controlDone(now, w, e)
	case event.GroupRowRead:
		return s.rowRead(now, w, e)
	case event.GroupRowWritten:
		s.rowWritten(now, e)
	}
	return nil
}

// Tick advances the attempts in progress, starts new ones, and returns the
// Follow and row requests that are due.
func (s *System) Tick(now tables.Time, w *tables.World) []action.Action {
	var out []action.Action
	for _, id := range w.Groups.Keys() {
		out = append(out, s.tickGroup(now, w, id)...)
	}
	return out
}

func (s *System) tickGroup(now tables.Time, w *tables.World, id tables.GroupID) []action.Action {
	g, _ := w.Groups.Get(id)
	rank := slices.Index(s.options.Candidates(w, id), w.Self)
	out := s.advance(now, w, g)
	if rank < 0 {
		return out
	}
	s.updateTrigger(now, w, g)
	if _, busy := w.Coordinations.Get(id); !busy {
		out = append(out, s.maybeStart(now, w, g, rank)...)
		out = append(out, s.repair(now, w, g, rank)...)
	}
	return append(out, s.maintainRow(now, w, g)...)
}

// updateTrigger records the current trigger, whether a majority is reached and the
// highest term of another coordinator, each with the time it was first observed.
func (s *System) updateTrigger(now tables.Time, w *tables.World, g tables.Group) {
	st := s.state(g.ID)
	if t := diagnose(now, w, g); t != st.trigger || g.Term != st.term {
		st.trigger = t
		st.triggerAt = now
		st.term = g.Term
	}
	quorum := detect.CountReached(now, w, g, exceptFailing(g, st.trigger)) >= tables.Majority(len(g.Members))
	if quorum && !st.quorum {
		st.quorumAt = now
	}
	st.quorum = quorum
	high := highestFenced(w, g)
	if high > g.Term && high > st.contended && high != st.ownTerm {
		st.contended = high
		st.contendedAt = now
	}
	s.groups.Put(g.ID, st)
}

// maybeStart starts an attempt if Decide says so and a grant is available.
func (s *System) maybeStart(now tables.Time, w *tables.World, g tables.Group, rank int) []action.Action {
	st := s.state(g.ID)
	if w.Leaving || !Decide(s.decisionInput(now, w, g, rank), s.options) {
		return nil
	}
	if st.trigger == TriggerPlanned && st.plannedAt > 0 && now.Sub(st.plannedAt) < s.options.PlannedInterval {
		return nil
	}
	term, ok := st.rowState.takeGrant(highestFenced(w, g))
	if !ok {
		return nil
	}
	st.ownTerm = term
	if st.trigger == TriggerPlanned {
		st.plannedAt = now
	}
	s.groups.Put(g.ID, st)
	return s.start(now, w, g, term, st.trigger.planned())
}

func (s *System) decisionInput(now tables.Time, w *tables.World, g tables.Group, rank int) DecisionInput {
	st := s.state(g.ID)
	e := DecisionInput{
		Rank:         rank,
		Trigger:      st.trigger,
		TriggeredFor: now.Sub(st.triggerAt),
		Members:      len(g.Members),
		Contended:    st.contended > g.Term,
		ContendedFor: now.Sub(st.contendedAt),
	}
	if p, ok := w.Upstreams.Get(g.Primary); ok && st.trigger.failing() {
		e.TriggeredFor = now.Sub(p.FailingSince)
		countObservers(now, w, p, s.options, &e)
	}
	e.TriggeredFor = min(e.TriggeredFor, now.Sub(st.quorumAt))
	e.Reached = detect.CountReached(now, w, g, exceptFailing(g, st.trigger))
	return e
}

// exceptFailing returns the primary if t means that it fails, or "".
func exceptFailing(g tables.Group, t Trigger) tables.UpstreamID {
	if t.failing() {
		return g.Primary
	}
	return ""
}

func (s *System) state(id tables.GroupID) state {
	st, _ := s.groups.Get(id)
	return st
}
