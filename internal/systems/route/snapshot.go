// Package route decides which server runs a request. A Snapshot is built from
// the tables once per tick and never changes; Choose is a pure function over
// it that the statement path calls without waiting for the core.
//
// # Positions without asking
//
// The statement path knows a replica only by its last status, which is older
// than the statement. That is safe, because what a replica has once applied it
// keeps: under one term its position never decreases, and after a change of
// term it loses only records that the new primary does not hold. A write is
// acknowledged only when a majority holds it, and the new primary is the
// longest log of a majority, so no acknowledged write is ever among the lost.
//
// A status from before a change of term therefore counts exactly as far as its
// position, compared by log term and then index, covers what is required. A
// point of the new term has the new log term, so no old status covers it; a
// point of the old term still bounds every write acknowledged before it was
// read.
package route

import (
	"sort"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// maxPoints bounds the confirmed points kept for one group.
	maxPoints = 96
	// maxPointAge is the age after which a confirmed point is dropped.
	maxPointAge = 10 * time.Minute
	// spacingDivisor thins the points: neighbours are kept about a fifth of their age apart.
	spacingDivisor = 5
)

// Member is one server of a group as last observed.
type Member struct {
	// ID names the server.
	ID tables.UpstreamID
	// DataCentre is where it runs.
	DataCentre tables.DataCentreID
	// Position is the last position it reported; valid when Known.
	Position tables.Position
	// Known says that a position was reported.
	Known bool
	// StatusSentAt is when the probe that gave Position was sent.
	StatusSentAt tables.Time
	// Fenced is the term that it had promised.
	Fenced tables.Term
	// Slots is how many statements it runs at once.
	Slots int
	// Leaving says that it must receive no new work.
	Leaving bool
	// Failing says that its last probe failed.
	Failing bool
	// ClaimsPrimary says that it believed itself to be a primary.
	ClaimsPrimary bool
	// Local says that it runs in this process's data centre.
	Local bool
}

// Group is one database group as last observed.
type Group struct {
	// ID names the group.
	ID tables.GroupID
	// Term is the highest term under which a primary is known to stand.
	Term tables.Term
	// Primary stands at Term; empty while unknown.
	Primary tables.UpstreamID
	// Members are the servers in ascending order.
	Members []Member
	// Points are the confirmed points, newest first.
	Points []tables.ConfirmedPoint
}

// Snapshot is the state that Choose reads. It never changes once built.
type Snapshot struct {
	// BuiltAt is when it was built.
	BuiltAt tables.Time
	groups  []Group // in ascending order of ID
}

// Build returns a snapshot of w. The confirmed points of previous, which may
// be nil, are carried over.
func Build(now tables.Time, w *tables.World, previous *Snapshot) *Snapshot {
	s := &Snapshot{BuiltAt: now, groups: make([]Group, 0, w.Groups.Len())}
	for id, g := range w.Groups.All() {
		s.groups = append(s.groups, buildGroup(now, w, g, previous.points(id)))
	}
	return s
}

// Group returns the group called id.
func (s *Snapshot) Group(id tables.GroupID) (*Group, bool) {
	i := sort.Search(len(s.groups), func(i int) bool { return s.groups[i].ID >= id })
	if i == len(s.groups) || s.groups[i].ID != id {
		return nil, false
	}
	return &s.groups[i], true
}

func (s *Snapshot) points(id tables.GroupID) []tables.ConfirmedPoint {
	if s == nil {
		return nil
	}
	g, ok := s.Group(id)
	if !ok {
		return nil
	}
	return g.Points
}

func buildGroup(now tables.Time, w *tables.World, g tables.Group, old []tables.ConfirmedPoint) Group {
	out := Group{
		ID:      g.ID,
		Term:    g.Term,
		Primary: g.Primary,
		Members: make([]Member, 0, len(g.Members)),
		Points:  addPoint(now, old, g.Confirmed),
	}
	for _, id := range g.Members {
		if u, ok := w.Upstreams.Get(id); ok {
			out.Members = append(out.Members, buildMember(w, u))
		}
	}
	return out
}

func buildMember(w *tables.World, u tables.Upstream) Member {
	return Member{
		ID:            u.ID,
		DataCentre:    u.DataCentre,
		Position:      u.Status.Last,
		Known:         u.HasStatus,
		StatusSentAt:  u.StatusSentAt,
		Fenced:        u.Status.Fenced,
		Slots:         u.Slots,
		Leaving:       u.Leaving,
		Failing:       failing(u.Cause),
		ClaimsPrimary: u.HasStatus && u.Status.Role == tables.RolePrimary,
		Local:         u.DataCentre == w.DataCentre,
	}
}

// failing tells causes that speak against the server from those that speak
// against one connection or against its speed.
func failing(c tables.Cause) bool {
	return c == tables.CauseRefused || c == tables.CauseReset || c == tables.CauseSilent
}

// addPoint returns old with p in front. An older point at the same position
// says less than p and is dropped, and older points are thinned.
func addPoint(now tables.Time, old []tables.ConfirmedPoint, p tables.ConfirmedPoint) []tables.ConfirmedPoint {
	if p.Term == 0 || len(old) > 0 && (old[0] == p || old[0].SentAt > p.SentAt) {
		return old
	}
	out := append(make([]tables.ConfirmedPoint, 0, len(old)+1), p)
	for i, q := range old {
		last := out[len(out)-1]
		gap := now.Sub(last.SentAt) / spacingDivisor
		redundant := q.Position == last.Position
		crowded := i+1 < len(old) && last.SentAt.Sub(old[i+1].SentAt) < gap
		if !redundant && !crowded && now.Sub(q.SentAt) <= maxPointAge && len(out) < maxPoints {
			out = append(out, q)
		}
	}
	return out
}

// primaryMember returns the server that stands as primary.
func (g *Group) primaryMember() (*Member, bool) {
	if g.Primary == "" {
		return nil, false
	}
	for i := range g.Members {
		if g.Members[i].ID == g.Primary {
			return &g.Members[i], true
		}
	}
	return nil, false
}

// pointSince returns the oldest confirmed point sent at or after cut: of all
// that are young enough it asks the least of a replica.
func (g *Group) pointSince(cut tables.Time) (tables.ConfirmedPoint, bool) {
	n := 0
	for n < len(g.Points) && g.Points[n].SentAt >= cut {
		n++
	}
	if n == 0 {
		return tables.ConfirmedPoint{}, false
	}
	return g.Points[n-1], true
}

// reachedAt returns when the newest confirmed point was sent that position has
// reached; 0 if it has reached none.
func (g *Group) reachedAt(position tables.Position) tables.Time {
	for _, p := range g.Points {
		if position.AtLeast(p.Position) {
			return p.SentAt
		}
	}
	return 0
}
