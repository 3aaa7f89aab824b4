// Package membership keeps the table of entry VMs: which are live and which
// are leaving, from heartbeats, from changes that other VMs pass on, and from
// the platform's lagging list.
//
// While there are few VMs each sends heartbeats to all others. Beyond that it
// sends them to a few successors on a hashed ring of its data centre and to a
// few VMs elsewhere. A VM watches those whose heartbeats are due to it, and a
// change that it sees floods along the same links. All ages travel as
// durations, so that no clocks are compared.
package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// jitterShare is the largest relative deviation of an interval.
	jitterShare = 0.2
	// ageSlack bounds the error of an age that several VMs passed on.
	ageSlack = time.Second
	// welcomeLimit is how many VMs a newcomer is told of.
	welcomeLimit = 32
	// listTimeout is how long a list request may stay unanswered.
	listTimeout = 10 * time.Second
)

// never is the time of the last frame from a VM that was never heard.
const never = tables.Time(math.MinInt64 / 4)

// Options configure a System.
type Options struct {
	// HeartbeatInterval is the time between two heartbeats to one VM.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long a watched VM may stay silent and be live.
	SilenceTimeout time.Duration
	// ListInterval is the time between two reads of the list by one poller.
	ListInterval time.Duration
	// RefreshInterval is the time between two reads by a VM that is no poller.
	RefreshInterval time.Duration
	// ForgetAfter is how long a silent VM is kept after it left the list.
	ForgetAfter time.Duration
	// FullMesh is the largest number of VMs that all send heartbeats to all others.
	FullMesh int
	// Offsets are the ring distances of the receivers in the own data centre.
	Offsets []int
	// RemoteVMs is how many receivers lie in other data centres.
	RemoteVMs int
	// MembersPerSecond bounds the changes sent to each receiver in a second.
	MembersPerSecond int
	// Seeds are VMs to greet where no list can be had.
	Seeds []tables.VM
}

// DefaultOptions returns the options for both small and large deployments.
func DefaultOptions() Options {
	return Options{
		HeartbeatInterval: time.Second,
		SilenceTimeout:    5 * time.Second,
		ListInterval:      2 * time.Second,
		RefreshInterval:   2 * time.Minute,
		ForgetAfter:       10 * time.Minute,
		FullMesh:          16,
		Offsets:           []int{1, 3, 9, 27},
		RemoteVMs:         2,
		MembersPerSecond:  20,
	}
}

// System keeps w.VMs. It belongs to one world and is not safe for concurrent use.
type System struct {
	opts   Options
	rng    *rand.Rand
	states *tables.Table[tables.VMID, state]
	// upstreams are those on which the list's word changed: whether they leave.
	upstreams *tables.Table[tables.UpstreamID, bool]
	view      view
	dirty     bool
	queue     changes

	started       bool
	nextHeartbeat tables.Time
	nextList      tables.Time
	nextRefresh   tables.Time
	listing       bool
	listDeadline  tables.Time
	listed        bool
	configVersion uint64
}

// state is what the system keeps of a VM beside its row.
type state struct {
	// watchedSince is when its heartbeats became due to this VM; valid when watched.
	watchedSince tables.Time
	watched      bool
	// ownLeaving and listLeaving are the two words on leaving.
	ownLeaving  bool
	listLeaving bool
}

// New returns a system that draws its jitter from rng.
func New(opts Options, rng *rand.Rand) *System {
	return &System{
		opts:   opts,
		rng:    rng,
		states: tables.NewTable[tables.VMID, state](),
		dirty:  true,
		queue:  newChanges(opts.MembersPerSecond),

		upstreams: tables.NewTable[tables.UpstreamID, bool](),
	}
}

// Handle takes heartbeats, members and the platform's list.
func (s *System) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	switch e := ev.(type) {
	case event.PeerMessage:
		return s.handleMessage(now, w, e.Message)
	case event.VMsListed:
		s.handleList(now, w, e)
	}
	return nil
}

func (s *System) handleMessage(now tables.Time, w *tables.World, message any) []action.Action {
	switch m := message.(type) {
	case peer.Heartbeat:
		return s.handleHeartbeat(now, w, m)
	case peer.Members:
		for _, member := range m.Members {
			s.merge(now, w, member)
		}
	}
	return nil
}

// Tick sends what is due and finds silent VMs. A new version of the
// configuration makes the heartbeat due, which offers it to the neighbours.
func (s *System) Tick(now tables.Time, w *tables.World) []action.Action {
	s.start(now, w)
	s.refreshSelf(now, w)
	s.refreshUpstreams(w)
	var actions []action.Action
	newConfig := w.ConfigVersion != s.configVersion
	if newConfig {
		s.configVersion = w.ConfigVersion
		s.applyConfig(w)
	}
	if newConfig || now >= s.nextHeartbeat {
		s.nextHeartbeat = now.Add(s.jitter(s.opts.HeartbeatInterval))
		s.forget(now, w)
		s.dropKnownSeeds(w)
		s.rebuild(now, w)
		actions = s.heartbeats(w)
	}
	s.findSilent(now, w)
	actions = append(actions, s.poll(now, w)...)
	return append(actions, s.flush(now, w)...)
}

// start enters the seeds, once.
func (s *System) start(now tables.Time, w *tables.World) {
	if s.started {
		return
	}
	s.started = true
	s.nextList = now
	for _, seed := range s.opts.Seeds {
		if _, ok := w.VMs.Get(seed.ID); ok || seed.ID == w.Self || seed.PeerAddress == w.PeerAddress {
			continue
		}
		seed.Live = true
		seed.LastSeen = never
		w.VMs.Put(seed.ID, seed)
	}
}

// dropKnownSeeds removes seeds whose address belongs to a VM known by its name,
// so that no VM counts twice.
func (s *System) dropKnownSeeds(w *tables.World) {
	for _, seed := range s.opts.Seeds {
		if _, ok := w.VMs.Get(seed.ID); !ok || !knownByName(w, seed) {
			continue
		}
		w.VMs.Delete(seed.ID)
		s.states.Delete(seed.ID)
		s.dirty = true
	}
}

// knownByName reports whether another row has the seed's address.
func knownByName(w *tables.World, seed tables.VM) bool {
	for id, row := range w.VMs.All() {
		if id != seed.ID && row.PeerAddress == seed.PeerAddress {
			return true
		}
	}
	return false
}

// refreshSelf keeps the own row; a change of leaving makes the heartbeat due.
func (s *System) refreshSelf(now tables.Time, w *tables.World) {
	row, known := w.VMs.Get(w.Self)
	leftBefore := row.Leaving
	st, _ := s.states.Get(w.Self)
	st.ownLeaving = w.Leaving
	s.states.Put(w.Self, st)
	row.ID = w.Self
	row.DataCentre = w.DataCentre
	row.PeerAddress = w.PeerAddress
	row.LastSeen = now
	row.Live = true
	row.ConfigVersion = w.ConfigVersion
	row.Leaving = st.leaving(w, w.Self)
	w.VMs.Put(w.Self, row)
	s.dirty = s.dirty || !known
	if row.Leaving != leftBefore {
		s.nextHeartbeat = now
	}
}

// leaving joins the three words on the VM of id.
func (st state) leaving(w *tables.World, id tables.VMID) bool {
	if st.ownLeaving || st.listLeaving {
		return true
	}
	_, declared := slices.BinarySearch(w.LeavingVMs, id)
	return declared
}

// applyConfig enters the configuration's word on leaving after a change of version.
func (s *System) applyConfig(w *tables.World) {
	for id, row := range w.VMs.All() {
		st, _ := s.states.Get(id)
		row.Leaving = st.leaving(w, id)
		w.VMs.Put(id, row)
	}
}

// heartbeats go to the neighbours and, as a probe, to one silent VM, which may
// be back.
func (s *System) heartbeats(w *tables.World) []action.Action {
	var actions []action.Action
	if len(s.view.neighbours) > 0 {
		actions = append(actions, publish(s.view.neighbours, ownHeartbeat(w)))
	}
	if vm, ok := s.randomSilent(w); ok {
		probe := ownHeartbeat(w)
		probe.Probe = true
		actions = append(actions, publish([]tables.VMID{vm}, probe))
	}
	return actions
}

// ownHeartbeat returns this VM's heartbeat.
func ownHeartbeat(w *tables.World) peer.Heartbeat {
	self, _ := w.VMs.Get(w.Self)
	return peer.Heartbeat{
		From:          w.Self,
		DataCentre:    w.DataCentre,
		PeerAddress:   w.PeerAddress,
		ConfigVersion: w.ConfigVersion,
		Deltas:        w.ConfigDeltas,
		Leaving:       self.Leaving,
	}
}

func publish(to []tables.VMID, h peer.Heartbeat) action.Action {
	return action.Publish{To: to, Topic: peer.TopicHeartbeat, Message: h}
}

// randomSilent picks one VM that is not live, each with the same chance.
func (s *System) randomSilent(w *tables.World) (picked tables.VMID, ok bool) {
	seen := 0
	for id, row := range w.VMs.All() {
		if row.Live {
			continue
		}
		seen++
		if s.rng.IntN(seen) == 0 {
			picked = id
		}
	}
	return picked, seen > 0
}

// findSilent marks watched VMs that were silent for too long. A VM that hears
// less than half of those it watches takes itself to be cut off and tells nobody.
func (s *System) findSilent(now tables.Time, w *tables.World) {
	var silent []tables.VMID
	for _, id := range s.view.watched {
		if s.isSilent(now, w, id) {
			silent = append(silent, id)
		}
	}
	cutOff := 2*len(silent) > len(s.view.watched)
	for _, id := range silent {
		row, ok := w.VMs.Get(id)
		if !ok || !row.Live {
			continue
		}
		row.Live = false
		w.VMs.Put(id, row)
		s.dirty = true
		if !cutOff {
			s.queue.add(id)
		}
	}
}

func (s *System) isSilent(now tables.Time, w *tables.World, id tables.VMID) bool {
	row, ok := w.VMs.Get(id)
	if !ok {
		return false
	}
	st, _ := s.states.Get(id)
	return now.Sub(max(row.LastSeen, st.watchedSince)) > s.opts.SilenceTimeout
}

// forget drops VMs that are neither listed nor heard of for long.
func (s *System) forget(now tables.Time, w *tables.World) {
	var gone []tables.VMID
	for id, row := range w.VMs.All() {
		if !row.Live && !row.Listed && now.Sub(row.LastSeen) > s.opts.ForgetAfter {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		w.VMs.Delete(id)
		s.states.Delete(id)
	}
}

// rebuild derives the neighbourhood after a change. A VM that was watched
// before stays so from the same time.
func (s *System) rebuild(now tables.Time, w *tables.World) {
	if !s.dirty {
		return
	}
	s.dirty = false
	before := s.view.watched
	s.view = buildView(w, s.opts)
	for _, id := range before {
		s.setWatched(id, func(st *state) { st.watched = false })
	}
	wasWatched := make(map[tables.VMID]bool, len(before))
	for _, id := range before {
		wasWatched[id] = true
	}
	for _, id := range s.view.watched {
		s.setWatched(id, func(st *state) {
			st.watched = true
			if !wasWatched[id] {
				st.watchedSince = now
			}
		})
	}
}

func (s *System) setWatched(id tables.VMID, change func(*state)) {
	st, _ := s.states.Get(id)
	change(&st)
	s.states.Put(id, st)
}

// poll reads the list when it is due.
func (s *System) poll(now tables.Time, w *tables.World) []action.Action {
	if s.listing && now >= s.listDeadline {
		s.listing = false
	}
	if s.listing || now < s.nextList {
		return nil
	}
	s.nextList = now.Add(s.jitter(s.opts.ListInterval))
	if s.listed && now < s.nextRefresh && !IsPoller(w) {
		return nil
	}
	s.nextRefresh = now.Add(s.jitter(s.opts.RefreshInterval))
	s.listing = true
	s.listDeadline = now.Add(listTimeout)
	return []action.Action{action.ListVMs{}}
}

// jitter returns d moved by up to jitterShare either way.
func (s *System) jitter(d time.Duration) time.Duration {
	return d + time.Duration((2*s.rng.Float64()-1)*jitterShare*float64(d))
}
