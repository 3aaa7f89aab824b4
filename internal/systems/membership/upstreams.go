package membership

import (
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// mergeUpstream records whether the list marks an upstream as leaving. The state
// is kept outside the tables, because it may arrive before the configuration that
// declares the upstream.
func (s *System) mergeUpstream(w *tables.World, id tables.UpstreamID, leaving bool) {
	if old, _ := s.upstreams.Get(id); old == leaving {
		return
	}
	s.upstreams.Put(id, leaving)
	setListedLeaving(w, id, leaving)
	s.queue.add(tables.VMID(id))
}

// refreshUpstreams copies the leaving states of the list to upstreams whose rows are
// new.
func (s *System) refreshUpstreams(w *tables.World) {
	for id, leaving := range s.upstreams.All() {
		setListedLeaving(w, id, leaving)
	}
}

func setListedLeaving(w *tables.World, id tables.UpstreamID, leaving bool) {
	row, ok := w.Upstreams.Get(id)
	if !ok || row.ListedLeaving == leaving {
		return
	}
	row.ListedLeaving = leaving
	row.Leaving = row.DeclaredLeaving || row.ListedLeaving
	w.Upstreams.Put(id, row)
}

// leavingUpstreams returns the upstreams that the list marks as leaving, as members
// to pass on.
func (s *System) leavingUpstreams() []peer.Member {
	var members []peer.Member
	for id, leaving := range s.upstreams.All() {
		if leaving {
			members = append(members, upstreamMember(id, leaving))
		}
	}
	return members
}

func upstreamMember(id tables.UpstreamID, leaving bool) peer.Member {
	return peer.Member{VM: tables.VMID(id), ListedLeaving: leaving, LastSeenMillis: -1}
}
