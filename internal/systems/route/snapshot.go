// Package route decides which server runs a request. An immutable Snapshot is
// built from the tables once per tick. Choose is a pure function of a Snapshot,
// so the statement path calls it without waiting for the main loop.
//
// # Use of cached replica positions
//
// The statement path has only the last status of a replica, which is older than
// the statement. This is safe because a replica keeps what it has applied: within
// a term its position never decreases, and after a change of term it loses only
// records that the new primary does not have. A write is acknowledged only when a
// majority holds it, and the new primary has the longest log of a majority, so an
// acknowledged write is never lost.
//
// A status from before a change of term is therefore valid as long as its
// position, compared by log term and then index, covers the required position. A
// point of the new term has the new log term, so no old status covers it. A point
// of the old term still covers every write acknowledged before it was read.
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
	// spacingDivisor sets how points are thinned out: the distance between
	// neighbouring points is about a fifth of their age.
	spacingDivisor = 5
)

// Member is one server of a group as last observed.
type Member struct {
	// ID identifies the server.
	ID tables.UpstreamID
	// DataCentre is the data centre in which it runs.
	DataCentre tables.DataCentreID
	// Position is the last log position that it reported; valid when Known.
	Position tables.Position
	// Known reports whether Position is valid.
	Known bool
	// StatusSentAt is when the probe that returned Position was sent.
	StatusSentAt tables.Time
	// Fenced is the term that the server had promised to follow.
	Fenced tables.Term
	// Slots is how many statements it runs concurrently.
	Slots int
	// Leaving reports whether the server is leaving: it must receive no new requests.
	Leaving bool
	// Failing reports whether its last probe failed.
	Failing bool
	// ClaimsPrimary reports whether its last status had the role of a primary.
	ClaimsPrimary bool
	// Local reports whether it runs in this process's data centre.
	Local bool
}

// Group is one database group as last observed.
type Group struct {
	// ID identifies the group.
	ID tables.GroupID
	// Term is the highest term in which a primary is known.
	Term tables.Term
	// Primary is the primary of Term; empty while unknown.
	Primary tables.UpstreamID
	// Members are the servers in ascending order of ID.
	Members []Member
	// Points are the confirmed points, newest first.
	Points []tables.ConfirmedPoint
}

// Snapshot is the immutable state that Choose reads.
type Snapshot struct {
	// BuiltAt is when it was built.
	BuiltAt tables.Time
	groups  []Group // in ascending order of ID
}

// Build returns a snapshot of w. It keeps the confirmed points of previous,
// which may be nil.
func Build(now tables.Time, w *tables.World, previous *Snapshot) *Snapshot {
	s := &Snapshot{BuiltAt: now, groups: make([]Group, 0, w.Groups.Len())}
	for id, g := range w.Groups.All() {
		s.groups = append(s.groups, buildGroup(now, w, g, previous.points(id)))
	}
	return s
}

// Group returns the group with the given id.
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

// failing reports whether c means that the server is failing, as opposed to a
// fault of a single connection or a slow server.
func failing(c tables.Cause) bool {
	return c == tables.CauseRefused || c == tables.CauseReset || c == tables.CauseSilent
}

// addPoint returns old with p in front. An older point at the same position is
// redundant and is dropped, and older points are thinned out.
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

// primaryMember returns the member that is the primary.
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

// pointSince returns the oldest confirmed point sent at or after notBefore. Of the
// points that are recent enough, it has the lowest position for a replica to reach.
func (g *Group) pointSince(notBefore tables.Time) (tables.ConfirmedPoint, bool) {
	n := 0
	for n < len(g.Points) && g.Points[n].SentAt >= notBefore {
		n++
	}
	if n == 0 {
		return tables.ConfirmedPoint{}, false
	}
	return g.Points[n-1], true
}

// reachedAt returns the SentAt of the newest confirmed point that position has
// reached; 0 if it has reached none.
func (g *Group) reachedAt(position tables.Position) tables.Time {
	for _, p := range g.Points {
		if position.AtLeast(p.Position) {
			return p.SentAt
		}
	}
	return 0
}
