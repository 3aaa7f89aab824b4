package plan

import (
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// State is the state of the running system, as reported by the proxies when a
// plan is made.
type State struct {
	// Proxies is the number of proxies that answered.
	Proxies int
	// DataCentres is the number of data centres in which these proxies run.
	DataCentres int
	// Primaries holds the known primary of each group.
	Primaries []Primary
	// Connections are the open pooled connections, summed over all proxies.
	Connections []UpstreamConnections
	// Callers are the open caller connections, summed over all proxies.
	Callers []ServiceCallers
	// Counted reports whether at least one proxy reported its connections.
	Counted bool
}

// Primary is the primary of a group.
type Primary struct {
	// Group is the id of the group.
	Group tables.GroupID
	// Term is the term in which Upstream is the primary.
	Term tables.Term
	// Upstream is the id of the primary.
	Upstream tables.UpstreamID
}

// UpstreamConnections counts the open connections to one upstream.
type UpstreamConnections struct {
	// Upstream is the id of the server.
	Upstream tables.UpstreamID
	// Open is the number of connections.
	Open int
}

// ServiceCallers counts the caller connections of one service.
type ServiceCallers struct {
	// Service is the name of the service.
	Service tables.ServiceID
	// Open is the number of connections.
	Open int
}

// Observe merges the statuses of several proxies. Where they report different
// primaries of a group, the one with the highest term is taken.
func Observe(statuses []statusapi.Status) State {
	s := State{Proxies: len(statuses)}
	var dataCentres []tables.DataCentreID
	for _, st := range statuses {
		if !slices.Contains(dataCentres, st.DataCentre) {
			dataCentres = append(dataCentres, st.DataCentre)
		}
		for _, g := range st.Groups {
			s.addGroup(g)
		}
		for _, c := range st.Callers {
			s.addCallers(c)
		}
		s.Counted = s.Counted || st.Callers != nil
	}
	s.DataCentres = len(dataCentres)
	return s
}

func (s *State) addGroup(g statusapi.Group) {
	s.addPrimary(Primary{Group: g.Group, Term: g.Term, Upstream: g.Primary})
	for _, u := range g.Upstreams {
		s.addConnections(u.Upstream, u.Connections)
	}
}

func (s *State) addPrimary(p Primary) {
	if p.Upstream == "" {
		return
	}
	i := slices.IndexFunc(s.Primaries, func(q Primary) bool { return q.Group == p.Group })
	if i < 0 {
		s.Primaries = append(s.Primaries, p)
		return
	}
	if p.Term > s.Primaries[i].Term {
		s.Primaries[i] = p
	}
}

func (s *State) addConnections(upstream tables.UpstreamID, n int) {
	i := slices.IndexFunc(s.Connections, func(c UpstreamConnections) bool { return c.Upstream == upstream })
	if i < 0 {
		s.Connections = append(s.Connections, UpstreamConnections{Upstream: upstream, Open: n})
		return
	}
	s.Connections[i].Open += n
}

func (s *State) addCallers(c statusapi.ServiceCallers) {
	i := slices.IndexFunc(s.Callers, func(sc ServiceCallers) bool { return sc.Service == c.Service })
	if i < 0 {
		s.Callers = append(s.Callers, ServiceCallers{Service: c.Service, Open: c.Open})
		return
	}
	s.Callers[i].Open += c.Open
}

// primary returns the reported primary of group, or first if no proxy reported one.
func (s State) primary(group tables.GroupID, first tables.UpstreamID) tables.UpstreamID {
	for _, p := range s.Primaries {
		if p.Group == group {
			return p.Upstream
		}
	}
	return first
}

// openConnections returns the number of open connections to upstream; ok is
// false if no proxy reported it.
func (s State) openConnections(upstream tables.UpstreamID) (n int, ok bool) {
	if !s.Counted {
		return 0, false
	}
	for _, c := range s.Connections {
		if c.Upstream == upstream {
			return c.Open, true
		}
	}
	return 0, false
}

func (s State) callers(service tables.ServiceID) int {
	for _, c := range s.Callers {
		if c.Service == service {
			return c.Open
		}
	}
	return 0
}
