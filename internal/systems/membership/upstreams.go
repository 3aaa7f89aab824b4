package membership

import (
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// mergeUpstream takes the list's word on an upstream. The word is kept beside
// the tables: it may come before the configuration that declares the upstream.
func (s *System) mergeUpstream(w *tables.World, id tables.UpstreamID, leaving bool) {
	if old, _ := s.upstreams.Get(id); old == leaving {
		return
	}
	s.upstreams.Put(id, leaving)
	enterWord(w, id, leaving)
	s.queue.add(tables.VMID(id))
}

// refreshUpstreams enters the list's words on upstreams whose rows are new.
func (s *System) refreshUpstreams(w *tables.World) {
	for id, leaving := range s.upstreams.All() {
		enterWord(w, id, leaving)
	}
}

func enterWord(w *tables.World, id tables.UpstreamID, leaving bool) {
	row, ok := w.Upstreams.Get(id)
	if !ok || row.ListedLeaving == leaving {
		return
	}
	row.ListedLeaving = leaving
	row.Leaving = row.DeclaredLeaving || row.ListedLeaving
	w.Upstreams.Put(id, row)
}

// leavingUpstreams returns what is passed on of the upstreams that leave.
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
