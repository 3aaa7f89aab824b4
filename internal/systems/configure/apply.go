package configure

import (
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// firstTerm is the term of a group's declared first primary.
const firstTerm = 1

// Apply fills the tables from doc: it enters what is declared, keeps what was
// observed of upstreams and groups that stay, and drops those that are gone.
// The caller checks that version is newer.
func Apply(w *tables.World, version uint64, doc config.Document) {
	upstreams := make(map[tables.UpstreamID]bool)
	groups := make(map[tables.GroupID]bool)
	for _, g := range doc.Groups {
		groups[g.ID] = true
		applyGroup(w, g)
		for _, u := range g.Upstreams {
			upstreams[u.ID] = true
			applyUpstream(w, g.ID, u)
		}
	}
	dropGroups(w, groups)
	dropUpstreams(w, upstreams)
	w.LeavingVMs = slices.Sorted(slices.Values(doc.LeavingVMs))
	w.ConfigVersion = version
}

// applyGroup enters a group; a new one starts under its first primary.
func applyGroup(w *tables.World, g config.Group) {
	row, known := w.Groups.Get(g.ID)
	if !known {
		row = tables.Group{ID: g.ID, Term: firstTerm, Primary: g.FirstPrimary}
	}
	members := make([]tables.UpstreamID, 0, len(g.Upstreams))
	for _, u := range g.Upstreams {
		members = append(members, u.ID)
	}
	slices.Sort(members)
	row.Members = members
	w.Groups.Put(g.ID, row)
}

// applyUpstream enters a server; one that moved to another address counts as new.
func applyUpstream(w *tables.World, group tables.GroupID, u config.Upstream) {
	row, known := w.Upstreams.Get(u.ID)
	if known && row.Address != u.Address {
		row = tables.Upstream{ListedLeaving: row.ListedLeaving}
	}
	row.ID = u.ID
	row.Group = group
	row.DataCentre = u.DataCentre
	row.Address = u.Address
	row.Slots = u.Slots
	row.Connections = u.Connections
	row.DeclaredLeaving = u.Leaving
	row.Leaving = row.DeclaredLeaving || row.ListedLeaving
	w.Upstreams.Put(u.ID, row)
}

func dropGroups(w *tables.World, keep map[tables.GroupID]bool) {
	for _, id := range w.Groups.Keys() {
		if keep[id] {
			continue
		}
		w.Groups.Delete(id)
		w.Coordinations.Delete(id)
		w.Rows.Delete(id)
	}
}

func dropUpstreams(w *tables.World, keep map[tables.UpstreamID]bool) {
	for _, id := range w.Upstreams.Keys() {
		if !keep[id] {
			w.Upstreams.Delete(id)
		}
	}
	for _, key := range w.Observations.Keys() {
		seen, _ := w.Observations.Get(key)
		if !keep[seen.Upstream] {
			w.Observations.Delete(key)
		}
	}
}
