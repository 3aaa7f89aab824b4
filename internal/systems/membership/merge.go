package membership

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// handleHeartbeat records the state that a VM reports about itself. A VM that is
// new or was not live gets an introduction to the others; a probe gets a heartbeat
// in reply.
func (s *System) handleHeartbeat(now tables.Time, w *tables.World, h peer.Heartbeat) []action.Action {
	if h.From == w.Self || h.From == "" {
		return nil
	}
	row, known := w.VMs.Get(h.From)
	joined := !known || !row.Live
	st, _ := s.states.Get(h.From)
	wasLeaving := row.Leaving
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
	if joined || row.Leaving != wasLeaving {
		s.markChanged(h.From)
	}
	switch {
	case joined:
		return s.introduce(now, w, h.From)
	case h.Probe:
		return []action.Action{publish([]tables.VMID{h.From}, ownHeartbeat(w))}
	default:
		return nil
	}
}

// introduce replies to a VM that was not live here with a heartbeat and the
// introduced members.
func (s *System) introduce(now tables.Time, w *tables.World, to tables.VMID) []action.Action {
	receivers := []tables.VMID{to}
	return []action.Action{
		publish(receivers, ownHeartbeat(w)),
		action.Publish{To: receivers, Topic: peer.TopicMembers, Message: s.introducedMembers(now, w, to)},
	}
}

// introducedMembers returns the upstreams that the list marks as leaving, the VMs
// that are not live and a random choice of the live ones, up to
// maxIntroducedMembers.
func (s *System) introducedMembers(now tables.Time, w *tables.World, to tables.VMID) peer.Members {
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
	return peer.Members{Members: all[:min(len(all), maxIntroducedMembers)]}
}

// merge records a member state that another VM passed on. The more recent state
// wins: a report that a VM is unresponsive means that no frame arrived from it
// since the reported time.
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
	lastSeen := neverSeen
	if m.LastSeenMillis >= 0 {
		lastSeen = now.Add(-time.Duration(m.LastSeenMillis) * time.Millisecond)
	}
	if !known {
		s.addVM(w, m, lastSeen)
		return
	}
	s.updateVM(w, m, row, lastSeen)
}

// mergeSelf records whether the list marks this VM as leaving, and refutes a report
// that this VM is unresponsive by passing on its own state.
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

// addVM adds an unknown VM. It also adds an unresponsive one, so that older reports
// about that VM can be recognized as older.
func (s *System) addVM(w *tables.World, m peer.Member, lastSeen tables.Time) {
	st := state{ownLeaving: m.Leaving, listLeaving: m.ListedLeaving}
	row := tables.VM{
		ID:          m.VM,
		DataCentre:  m.DataCentre,
		PeerAddress: m.PeerAddress,
		LastSeen:    lastSeen,
		Live:        !m.Unresponsive,
	}
	row.Leaving = st.leaving(w, m.VM)
	w.VMs.Put(m.VM, row)
	s.states.Put(m.VM, st)
	s.markChanged(m.VM)
}

func (s *System) updateVM(w *tables.World, m peer.Member, row tables.VM, lastSeen tables.Time) {
	st, _ := s.states.Get(m.VM)
	before := row
	switch {
	case m.Unresponsive && row.Live && lastSeen.Add(maxAgeError) >= row.LastSeen:
		row.Live = false
	case m.Unresponsive && row.Live:
		s.queue.add(m.VM)
	case !m.Unresponsive && !row.Live && lastSeen > row.LastSeen.Add(maxAgeError):
		row.Live = true
	}
	if lastSeen > row.LastSeen {
		row.LastSeen = lastSeen
		row.PeerAddress = m.PeerAddress
		st.ownLeaving = m.Leaving
	}
	st.listLeaving = st.listLeaving || m.ListedLeaving
	row.Leaving = st.leaving(w, m.VM)
	w.VMs.Put(m.VM, row)
	s.states.Put(m.VM, st)
	if row.Live != before.Live || row.Leaving != before.Leaving {
		s.markChanged(m.VM)
	}
}

// handleList merges the platform's list. Changes of VMs in the first list are not
// passed on.
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
		s.mergeListed(w, listed)
	}
	for id, row := range w.VMs.All() {
		if row.Listed && !present[id] {
			row.Listed = false
			w.VMs.Put(id, row)
		}
	}
	s.listed = true
}

func (s *System) mergeListed(w *tables.World, listed platform.ListedVM) {
	id := tables.VMID(listed.ID)
	row, known := w.VMs.Get(id)
	before := row
	if !known {
		row = tables.VM{ID: id, LastSeen: neverSeen, Live: true}
	}
	row.Listed = true
	row.DataCentre = tables.DataCentreID(listed.DataCentre)
	if row.LastSeen == neverSeen {
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

// markChanged causes the view to be rebuilt and the VM's state to be passed on.
func (s *System) markChanged(id tables.VMID) {
	s.dirty = true
	s.queue.add(id)
}

// member returns the state of a VM as it is passed on to other VMs.
func (s *System) member(now tables.Time, row tables.VM) peer.Member {
	st, _ := s.states.Get(row.ID)
	ageMillis := int64(-1)
	if row.LastSeen != neverSeen {
		ageMillis = max(0, now.Sub(row.LastSeen).Milliseconds())
	}
	return peer.Member{
		VM:             row.ID,
		DataCentre:     row.DataCentre,
		PeerAddress:    row.PeerAddress,
		LastSeenMillis: ageMillis,
		Unresponsive:   !row.Live,
		Leaving:        st.ownLeaving,
		ListedLeaving:  st.listLeaving,
	}
}
