package configure

import (
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// firstTerm is the term of a group's declared first primary.
const firstTerm = 1

// Apply updates the tables to everything that doc declares and removes groups that
// it does not declare. The caller checks that version is newer.
func Apply(w *tables.World, version uint64, doc config.Document) {
	declared := make(map[tables.GroupID]bool)
	for _, g := range doc.Groups {
		declared[g.ID] = true
		PutGroup(w, g)
	}
	for _, id := range w.Groups.Keys() {
		if !declared[id] {
			RemoveGroup(w, id)
		}
	}
	setVersion(w, version, doc)
}

// setVersion records the document's version and its leaving VMs.
func setVersion(w *tables.World, version uint64, doc config.Document) {
	w.LeavingVMs = slices.Sorted(slices.Values(doc.LeavingVMs))
	w.ConfigVersion = version
}

// PutGroup stores a declared group and its servers in the tables. It keeps the
// observed state of servers that stay and removes servers that the group no longer
// has. A new group starts with its declared first primary; statuses of its servers
// correct this if another server is primary.
func PutGroup(w *tables.World, g config.Group) {
	old, _ := w.Groups.Get(g.ID)
	applyGroup(w, g)
	declared := make(map[tables.UpstreamID]bool)
	for _, u := range g.Upstreams {
		declared[u.ID] = true
		applyUpstream(w, g.ID, u)
	}
	for _, id := range old.Members {
		if !declared[id] {
			removeUpstream(w, id)
		}
	}
}

// RemoveGroup removes a group with its upstreams, its coordination and its row.
func RemoveGroup(w *tables.World, id tables.GroupID) {
	g, ok := w.Groups.Get(id)
	if !ok {
		return
	}
	for _, u := range g.Members {
		removeUpstream(w, u)
	}
	w.Groups.Delete(id)
	w.Coordinations.Delete(id)
	w.Rows.Delete(id)
}

func removeUpstream(w *tables.World, id tables.UpstreamID) {
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

// applyGroup stores a group; a new one starts with its declared first primary.
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

// applyUpstream stores a server. A server with a changed address is treated as new,
// without its observed state.
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
