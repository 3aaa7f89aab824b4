package membership

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// handleHeartbeat enters a VM's own word. A VM that comes new or back is told
// of others; a probe is answered.
func (s *System) handleHeartbeat(now tables.Time, w *tables.World, h peer.Heartbeat) []action.Action {
	if h.From == w.Self || h.From == "" {
		return nil
	}
	row, known := w.VMs.Get(h.From)
	arrived := !known || !row.Live
	st, _ := s.states.Get(h.From)
	leftBefore := row.Leaving
	st.ownLeaving = h.Leaving
	row.ID = h.From
	row.DataCentre = h.DataCentre
	row.PeerAddress = h.PeerAddress
	row.LastSeen = now
	row.Live = true
	row.ConfigVersion = h.ConfigVersion
	row.Leaving = st.leaving(w, h.From)
	w.VMs.Put(h.From, row)
	s.states.Put(h.From, st)
	if arrived || row.Leaving != leftBefore {
		s.changed(h.From)
	}
	switch {
	case arrived:
		return s.welcome(now, w, h.From)
	case h.Probe:
		return []action.Action{publish([]tables.VMID{h.From}, ownHeartbeat(w))}
	default:
		return nil
	}
}

// welcome answers a VM that was not live here: with a heartbeat, the upstreams
// that the list has leaving, all silent VMs and some of the others.
func (s *System) welcome(now tables.Time, w *tables.World, to tables.VMID) []action.Action {
	receivers := []tables.VMID{to}
	return []action.Action{
		publish(receivers, ownHeartbeat(w)),
		action.Publish{To: receivers, Topic: peer.TopicMembers, Message: s.introduction(now, w, to)},
	}
}

func (s *System) introduction(now tables.Time, w *tables.World, to tables.VMID) peer.Members {
	var live []peer.Member
	all := s.leavingUpstreams()
	for id, row := range w.VMs.All() {
		switch {
		case id == to || id == w.Self:
		case row.Live:
			live = append(live, s.member(now, row))
		default:
			all = append(all, s.member(now, row))
		}
	}
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	all = append(all, live...)
	return peer.Members{Members: all[:min(len(all), welcomeLimit)]}
}

// merge enters what another VM passed on. The younger evidence wins: a report
// of silence says that nothing came since the time it names.
func (s *System) merge(now tables.Time, w *tables.World, m peer.Member) {
	if m.PeerAddress == "" {
		s.mergeUpstream(w, tables.UpstreamID(m.VM), m.ListedLeaving)
		return
	}
	if m.VM == w.Self {
		s.mergeSelf(m)
		return
	}
	row, known := w.VMs.Get(m.VM)
	heardAt := never
	if m.LastSeenMillis >= 0 {
		heardAt = now.Add(-time.Duration(m.LastSeenMillis) * time.Millisecond)
	}
	if !known {
		s.enter(w, m, heardAt)
		return
	}
	s.update(w, m, row, heardAt)
}

// mergeSelf takes the list's word on this VM and refutes a report of silence.
func (s *System) mergeSelf(m peer.Member) {
	st, _ := s.states.Get(m.VM)
	if m.ListedLeaving && !st.listLeaving {
		st.listLeaving = true
		s.states.Put(m.VM, st)
		s.queue.add(m.VM)
	}
	if m.Unresponsive {
		s.queue.add(m.VM)
	}
}

// enter adds a VM that was not known. A silent one is kept, so that an older
// word on it is recognized as such.
func (s *System) enter(w *tables.World, m peer.Member, heardAt tables.Time) {
	st := state{ownLeaving: m.Leaving, listLeaving: m.ListedLeaving}
	row := tables.VM{
		ID:          m.VM,
		DataCentre:  m.DataCentre,
		PeerAddress: m.PeerAddress,
		LastSeen:    heardAt,
		Live:        !m.Unresponsive,
	}
	row.Leaving = st.leaving(w, m.VM)
	w.VMs.Put(m.VM, row)
	s.states.Put(m.VM, st)
	s.changed(m.VM)
}

func (s *System) update(w *tables.World, m peer.Member, row tables.VM, heardAt tables.Time) {
	st, _ := s.states.Get(m.VM)
	before := row
	switch {
	case m.Unresponsive && row.Live && heardAt.Add(ageSlack) >= row.LastSeen:
		row.Live = false
	case m.Unresponsive && row.Live:
		s.queue.add(m.VM)
	case !m.Unresponsive && !row.Live && heardAt > row.LastSeen.Add(ageSlack):
		row.Live = true
	}
	if heardAt > row.LastSeen {
		row.LastSeen = heardAt
		row.PeerAddress = m.PeerAddress
		st.ownLeaving = m.Leaving
	}
	st.listLeaving = st.listLeaving || m.ListedLeaving
	row.Leaving = st.leaving(w, m.VM)
	w.VMs.Put(m.VM, row)
	s.states.Put(m.VM, st)
	if row.Live != before.Live || row.Leaving != before.Leaving {
		s.changed(m.VM)
	}
}

// handleList merges the platform's list. The first list is passed on to nobody.
func (s *System) handleList(now tables.Time, w *tables.World, e event.VMsListed) {
	s.listing = false
	s.nextList = now.Add(s.jitter(s.opts.ListInterval))
	if e.Outcome != event.OutcomeOK {
		return
	}
	present := make(map[tables.VMID]bool, len(e.VMs))
	for _, listed := range e.VMs {
		if listed.PeerAddress == "" {
			s.mergeUpstream(w, tables.UpstreamID(listed.ID), listed.Leaving)
			continue
		}
		present[tables.VMID(listed.ID)] = true
		s.enterListed(w, listed)
	}
	for id, row := range w.VMs.All() {
		if row.Listed && !present[id] {
			row.Listed = false
			w.VMs.Put(id, row)
		}
	}
	s.listed = true
}

func (s *System) enterListed(w *tables.World, listed platform.ListedVM) {
	id := tables.VMID(listed.ID)
	row, known := w.VMs.Get(id)
	before := row
	if !known {
		row = tables.VM{ID: id, LastSeen: never, Live: true}
	}
	row.Listed = true
	row.DataCentre = tables.DataCentreID(listed.DataCentre)
	if row.LastSeen == never {
		row.PeerAddress = listed.PeerAddress
	}
	st, _ := s.states.Get(id)
	st.listLeaving = listed.Leaving
	row.Leaving = st.leaving(w, id)
	w.VMs.Put(id, row)
	s.states.Put(id, st)
	if known && row.Leaving == before.Leaving {
		return
	}
	s.dirty = true
	if s.listed {
		s.queue.add(id)
	}
}

// changed has the neighbourhood derived again and the VM's state passed on.
func (s *System) changed(id tables.VMID) {
	s.dirty = true
	s.queue.add(id)
}

// member returns what is passed on of a VM.
func (s *System) member(now tables.Time, row tables.VM) peer.Member {
	st, _ := s.states.Get(row.ID)
	heard := int64(-1)
	if row.LastSeen != never {
		heard = max(0, now.Sub(row.LastSeen).Milliseconds())
	}
	return peer.Member{
		VM:             row.ID,
		DataCentre:     row.DataCentre,
		PeerAddress:    row.PeerAddress,
		LastSeenMillis: heard,
		Unresponsive:   !row.Live,
		Leaving:        st.ownLeaving,
		ListedLeaving:  st.listLeaving,
	}
}
