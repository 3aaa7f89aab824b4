// Package membership maintains the table of entry VMs: which are live and which
// are leaving. Its sources are heartbeats, changes that other VMs pass on, and
// the platform's list, which lags behind.
//
// In a small deployment each VM sends heartbeats to all others. In a larger one
// it sends them to a few successors on a hash ring of its data centre and to a
// few VMs in other data centres. A VM watches the VMs that send heartbeats to it,
// and a change that it detects is flooded over the same links. Messages carry
// ages instead of times, so that clocks of different VMs are never compared.
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
	// maxAgeError is the maximum error of an age that several VMs passed on.
	maxAgeError = time.Second
	// maxIntroducedMembers is how many members are sent to a joining VM.
	maxIntroducedMembers = 32
	// listTimeout is how long a list request may stay unanswered.
	listTimeout = 10 * time.Second
)

// neverSeen is LastSeen of a VM from which no frame was received. A duration
// computed from it does not overflow.
const neverSeen = tables.Time(math.MinInt64 / 4)

// Options configure a System.
type Options struct {
	// HeartbeatInterval is the time between two heartbeats to one VM.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a heartbeat after which a watched VM is no
	// longer live.
	SilenceTimeout time.Duration
	// ListInterval is the time between two reads of the list by a poller.
	ListInterval time.Duration
	// RefreshInterval is the time between two reads by a VM that is not a poller.
	RefreshInterval time.Duration
	// EvictAfter is the time since its last frame after which a VM that is neither
	// live nor listed is removed.
	EvictAfter time.Duration
	// FullMesh is the largest number of VMs that all send heartbeats to all others.
	FullMesh int
	// Offsets are the ring distances of the receivers in this VM's data centre.
	Offsets []int
	// RemoteVMs is the number of receivers in other data centres.
	RemoteVMs int
	// MembersPerSecond limits the changes sent to each receiver per second.
	MembersPerSecond int
	// Seeds are VMs to contact while the list is unavailable.
	Seeds []tables.VM
}

// DefaultOptions returns the options for both small and large deployments.
func DefaultOptions() Options {
	return Options{
		HeartbeatInterval: time.Second,
		SilenceTimeout:    5 * time.Second,
		ListInterval:      2 * time.Second,
		RefreshInterval:   2 * time.Minute,
		EvictAfter:        10 * time.Minute,
		FullMesh:          16,
		Offsets:           []int{1, 3, 9, 27},
		RemoteVMs:         2,
		MembersPerSecond:  20,
	}
}

// System maintains World.VMs of one world. It is not safe for concurrent use.
type System struct {
	opts   Options
	rng    *rand.Rand
	states *tables.Table[tables.VMID, state]
	// upstreams holds, for each upstream that the list ever marked as leaving,
	// whether it does so now.
	upstreams *tables.Table[tables.UpstreamID, bool]
	view      view
	// dirty means that view must be rebuilt.
	dirty bool
	// queue holds the changes to pass on to the neighbours.
	queue changes

	started       bool
	nextHeartbeat tables.Time
	nextList      tables.Time
	nextRefresh   tables.Time
	// listing means that a read of the list is pending, until listDeadline.
	listing      bool
	listDeadline tables.Time
	// listed means that the list was received at least once.
	listed bool
	// configVersion is the configuration version at the last tick.
	configVersion uint64
}

// state is the system's state of a VM in addition to its row.
type state struct {
	// watchedSince is when this VM began to expect its heartbeats; valid when watched.
	watchedSince tables.Time
	watched      bool
	// ownLeaving and listLeaving say whether the VM itself and the list report it
	// as leaving.
	ownLeaving  bool
	listLeaving bool
}

// New returns a system that uses rng for its jitter.
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

// Handle processes heartbeats, member changes and the platform's list.
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

// Tick sends what is due and detects unresponsive VMs. A new configuration version
// causes an immediate heartbeat, which offers the version to the neighbours.
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
		s.evict(now, w)
		s.dropKnownSeeds(w)
		s.rebuild(now, w)
		actions = s.heartbeats(w)
	}
	s.detectUnresponsive(now, w)
	actions = append(actions, s.poll(now, w)...)
	return append(actions, s.flush(now, w)...)
}

// start adds the seeds to the table, once.
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
		seed.LastSeen = neverSeen
		w.VMs.Put(seed.ID, seed)
	}
}

// dropKnownSeeds removes the seeds whose address belongs to a VM with a known
// name, so that no VM is counted twice.
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

// refreshSelf updates this VM's own row. A change of Leaving causes an immediate
// heartbeat.
func (s *System) refreshSelf(now tables.Time, w *tables.World) {
	row, known := w.VMs.Get(w.Self)
	wasLeaving := row.Leaving
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
	if row.Leaving != wasLeaving {
		s.nextHeartbeat = now
	}
}

// leaving reports whether the VM under id is leaving according to the VM itself,
// the list or the configuration.
func (st state) leaving(w *tables.World, id tables.VMID) bool {
	if st.ownLeaving || st.listLeaving {
		return true
	}
	_, declared := slices.BinarySearch(w.LeavingVMs, id)
	return declared
}

// applyConfig updates Leaving of all VMs after a change of the configuration.
func (s *System) applyConfig(w *tables.World) {
	for id, row := range w.VMs.All() {
		st, _ := s.states.Get(id)
		row.Leaving = st.leaving(w, id)
		w.VMs.Put(id, row)
	}
}

// heartbeats returns the heartbeats to the neighbours and a probe to one VM that is
// not live, which may have come back.
func (s *System) heartbeats(w *tables.World) []action.Action {
	var actions []action.Action
	if len(s.view.neighbours) > 0 {
		actions = append(actions, publish(s.view.neighbours, ownHeartbeat(w)))
	}
	if vm, ok := s.randomNotLive(w); ok {
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
		PullsConfig:   true,
	}
}

func publish(to []tables.VMID, h peer.Heartbeat) action.Action {
	return action.Publish{To: to, Topic: peer.TopicHeartbeat, Message: h}
}

// randomNotLive picks one of the VMs that are not live, with equal probability.
func (s *System) randomNotLive(w *tables.World) (picked tables.VMID, ok bool) {
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

// detectUnresponsive marks watched VMs as not live after SilenceTimeout. If more
// than half of the watched VMs are unresponsive, this VM may be isolated itself
// and does not report them to others.
func (s *System) detectUnresponsive(now tables.Time, w *tables.World) {
	var unresponsive []tables.VMID
	for _, id := range s.view.watched {
		if s.isUnresponsive(now, w, id) {
			unresponsive = append(unresponsive, id)
		}
	}
	isolated := 2*len(unresponsive) > len(s.view.watched)
	for _, id := range unresponsive {
		row, ok := w.VMs.Get(id)
		if !ok || !row.Live {
			continue
		}
		row.Live = false
		w.VMs.Put(id, row)
		s.dirty = true
		if !isolated {
			s.queue.add(id)
		}
	}
}

func (s *System) isUnresponsive(now tables.Time, w *tables.World, id tables.VMID) bool {
	row, ok := w.VMs.Get(id)
	if !ok {
		return false
	}
	st, _ := s.states.Get(id)
	return now.Sub(max(row.LastSeen, st.watchedSince)) > s.opts.SilenceTimeout
}

// evict removes VMs that are neither live nor listed and were last seen longer than
// EvictAfter ago.
func (s *System) evict(now tables.Time, w *tables.World) {
	var expired []tables.VMID
	for id, row := range w.VMs.All() {
		if !row.Live && !row.Listed && now.Sub(row.LastSeen) > s.opts.EvictAfter {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		w.VMs.Delete(id)
		s.states.Delete(id)
	}
}

// rebuild computes the view again after a change. A VM that was watched before
// keeps its watchedSince.
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

// poll returns a read of the list when one is due.
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

// jitter returns d plus or minus a random part of up to jitterShare.
func (s *System) jitter(d time.Duration) time.Duration {
	return d + time.Duration((2*s.rng.Float64()-1)*jitterShare*float64(d))
}
