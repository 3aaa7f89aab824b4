package configure

import (
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// firstTerm is the term of a group's declared first primary.
const firstTerm = 1

// Apply fills the tables with everything that doc declares and drops what it
// does not. The caller checks that version is newer.
func Apply(w *tables.World, version uint64, doc config.Document) {
	keep := make(map[tables.GroupID]bool)
	for _, g := range doc.Groups {
		keep[g.ID] = true
		Fill(w, g)
	}
	for _, id := range w.Groups.Keys() {
		if !keep[id] {
			Forget(w, id)
		}
	}
	enterVersion(w, version, doc)
}

// enterVersion records the document's version and its word on leaving VMs.
func enterVersion(w *tables.World, version uint64, doc config.Document) {
	w.LeavingVMs = slices.Sorted(slices.Values(doc.LeavingVMs))
	w.ConfigVersion = version
}

// Fill enters a declared group and its servers, keeps what was observed of
// those that stay, and drops servers that the group no longer has. A new group
// starts under its first primary, which the first status of any of its servers
// corrects.
func Fill(w *tables.World, g config.Group) {
	old, _ := w.Groups.Get(g.ID)
	applyGroup(w, g)
	keep := make(map[tables.UpstreamID]bool)
	for _, u := range g.Upstreams {
		keep[u.ID] = true
		applyUpstream(w, g.ID, u)
	}
	for _, id := range old.Members {
		if !keep[id] {
			dropUpstream(w, id)
		}
	}
}

// Forget removes a group with everything that hangs on it.
func Forget(w *tables.World, id tables.GroupID) {
	g, ok := w.Groups.Get(id)
	if !ok {
		return
	}
	for _, u := range g.Members {
		dropUpstream(w, u)
	}
	w.Groups.Delete(id)
	w.Coordinations.Delete(id)
	w.Rows.Delete(id)
}

func dropUpstream(w *tables.World, id tables.UpstreamID) {
	if u, ok := w.Upstreams.Get(id); !ok || u.ID != id {
		return
	}
	w.Upstreams.Delete(id)
	for _, key := range w.Observations.Keys() {
		if seen, _ := w.Observations.Get(key); seen.Upstream == id {
			w.Observations.Delete(key)
		}
	}
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
