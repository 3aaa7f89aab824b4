package failover

import (
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/detect"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// start begins an attempt under a term that is granted to this VM alone.
func (s *System) start(now tables.Time, w *tables.World, g tables.Group, term tables.Term, planned bool) []action.Action {
	c := tables.Coordination{
		Group:     g.ID,
		Term:      term,
		Step:      tables.StepFence,
		StartedAt: now,
		StepAt:    now,
		Fenced:    tables.NewTable[tables.UpstreamID, tables.Status](),
		Planned:   planned,
	}
	w.Coordinations.Put(g.ID, c)
	return s.send(now, g, c)
}

// advance ends an attempt that a higher term superseded or that timed out, and
// repeats requests that were not answered.
func (s *System) advance(now tables.Time, w *tables.World, g tables.Group) []action.Action {
	c, ok := w.Coordinations.Get(g.ID)
	if !ok {
		return nil
	}
	if highestFenced(w, g) > c.Term || g.Term >= c.Term || now.Sub(c.StartedAt) >= s.options.AttemptTimeout {
		w.Coordinations.Delete(g.ID)
		return nil
	}
	if now < s.state(g.ID).resendAt {
		return nil
	}
	return s.send(now, g, c)
}

// send returns the requests of the current step that are not completed.
func (s *System) send(now tables.Time, g tables.Group, c tables.Coordination) []action.Action {
	st := s.state(g.ID)
	st.resendAt = now.Add(s.options.RetryInterval)
	s.groups.Put(g.ID, st)
	if c.Step == tables.StepPromote {
		return []action.Action{action.Promote{Group: g.ID, Upstream: c.Candidate, Term: c.Term}}
	}
	var out []action.Action
	for _, m := range g.Members {
		if _, done := c.Fenced.Get(m); !done {
			out = append(out, action.Fence{Group: g.ID, Upstream: m, Term: c.Term})
		}
	}
	return out
}

func (s *System) controlDone(now tables.Time, w *tables.World, e event.ControlDone) []action.Action {
	c, ok := w.Coordinations.Get(e.Group)
	if !ok || e.Term != c.Term || e.Step != c.Step {
		return nil
	}
	g, _ := w.Groups.Get(e.Group)
	switch {
	case e.Outcome == event.OutcomeFenced:
		return s.superseded(now, w, c)
	case e.Outcome != event.OutcomeOK:
		return nil
	case e.Step == tables.StepFence:
		c.Fenced.Put(e.Upstream, e.Status)
		return s.choose(now, w, g, c)
	case e.Step == tables.StepPromote && e.Upstream == c.Candidate:
		return s.promoted(now, w, g, c)
	default:
		return nil
	}
}

// superseded ends an attempt because a server promised a higher term.
func (s *System) superseded(now tables.Time, w *tables.World, c tables.Coordination) []action.Action {
	st := s.state(c.Group)
	st.contended = max(st.contended, c.Term+1)
	st.contendedAt = now
	s.groups.Put(c.Group, st)
	w.Coordinations.Delete(c.Group)
	return nil
}

// choose moves to the promotion once the fenced servers allow a choice. The
// server chosen for a term never changes, because two primaries of one term
// must not exist.
func (s *System) choose(now tables.Time, w *tables.World, g tables.Group, c tables.Coordination) []action.Action {
	if _, ok := c.Fenced.Get(g.Primary); c.Planned && !ok {
		return nil
	}
	candidate, ok := s.options.Choose(fencedOf(w, c), len(g.Members), c.Planned)
	if !ok {
		return nil
	}
	c.Step = tables.StepPromote
	c.StepAt = now
	c.Candidate = candidate
	w.Coordinations.Put(g.ID, c)
	return s.send(now, g, c)
}

func fencedOf(w *tables.World, c tables.Coordination) []Fenced {
	var out []Fenced
	for id, status := range c.Fenced.All() {
		u, _ := w.Upstreams.Get(id)
		out = append(out, Fenced{Upstream: id, Status: status, Leaving: u.Leaving})
	}
	return out
}

// promoted announces the new primary to the servers and the other proxies. A
// server that misses the request gets it again when a probe shows that it does
// not follow the new primary.
func (s *System) promoted(now tables.Time, w *tables.World, g tables.Group, c tables.Coordination) []action.Action {
	w.Coordinations.Delete(g.ID)
	out := detect.RecordPrimary(w, g.ID, c.Term, c.Candidate)
	for _, m := range g.Members {
		if m != c.Candidate {
			out = append(out, action.Follow{Group: g.ID, Upstream: m, Primary: c.Candidate, Term: c.Term})
		}
	}
	if to := detect.Peers(w); len(to) > 0 {
		m := peer.GroupState{Group: g.ID, Term: c.Term, Primary: c.Candidate}
		out = append(out, action.Publish{To: to, Topic: peer.TopicGroup, Message: m})
	}
	st := s.state(g.ID)
	st.rowState.writeAt = now
	s.groups.Put(g.ID, st)
	return out
}
