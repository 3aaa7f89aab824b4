// Package configure brings the configuration in force on this VM and spreads
// it. A few pollers of each data centre read the platform's head row; a VM
// that learns of a newer version from a peer's heartbeat asks that peer for the
// configuration by a heartbeat of its own. A VM that is a few versions behind
// gets the deltas, any other the whole document. Versions only grow.
package configure

import (
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// pollInterval is the time between two reads of the head by one poller.
	pollInterval = time.Second
	// pollJitter is the largest deviation of pollInterval either way.
	pollJitter = 200 * time.Millisecond
	// readTimeout is how long a read of the head or a document may stay unanswered.
	readTimeout = 5 * time.Second
	// pullTimeout is how long a peer that was asked for a document may stay silent.
	pullTimeout = 500 * time.Millisecond
	// sendInterval is the shortest time between two documents to one peer.
	sendInterval = time.Second
)

// ApplyFunc fills the tables from a document whose version is newer.
type ApplyFunc func(now tables.Time, w *tables.World, doc config.Document)

// ApplyAll is the ApplyFunc that fills the tables with all declared groups.
func ApplyAll(_ tables.Time, w *tables.World, doc config.Document) {
	Apply(w, w.ConfigVersion, doc)
}

// System keeps the configuration of one world. It is not safe for concurrent use.
type System struct {
	apply    ApplyFunc
	log      config.Log
	rng      *rand.Rand
	nextPoll tables.Time
	// reading says that a read of the head is out, until readBy.
	reading bool
	readBy  tables.Time
	// loading is the version of the document being loaded, until loadBy.
	loading uint64
	loadBy  tables.Time
	// pulling is the version asked of a peer, until pullBy.
	pulling uint64
	pullBy  tables.Time
	// allowSendAt is when the next document may go to a VM.
	allowSendAt *tables.Table[tables.VMID, tables.Time]
}

// New returns a system that fills the tables by apply and draws its jitter from rng.
func New(apply ApplyFunc, rng *rand.Rand) *System {
	return &System{apply: apply, rng: rng, allowSendAt: tables.NewTable[tables.VMID, tables.Time]()}
}

// Handle takes the head, documents and peers' heartbeats.
func (s *System) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	switch e := ev.(type) {
	case event.HeadRead:
		return s.handleHead(now, w, e)
	case event.DocumentLoaded:
		return s.handleDocument(now, w, e)
	case event.DeltaLoaded:
		return s.handleDelta(now, w, e)
	case event.PeerMessage:
		return s.handleMessage(now, w, e.Message)
	}
	return nil
}

// Tick reads the head when it is due: always on a poller, and on any VM that
// has no configuration yet.
func (s *System) Tick(now tables.Time, w *tables.World) []action.Action {
	if s.reading && now >= s.readBy {
		s.reading = false
	}
	if s.reading || now < s.nextPoll {
		return nil
	}
	s.nextPoll = now.Add(s.interval())
	s.expireSends(now)
	if w.ConfigVersion != 0 && !membership.IsPoller(w) {
		return nil
	}
	s.reading = true
	s.readBy = now.Add(readTimeout)
	return []action.Action{action.ReadHead{}}
}

// interval is pollInterval, jittered.
func (s *System) interval() time.Duration {
	return pollInterval - pollJitter + time.Duration(s.rng.Int64N(int64(2*pollJitter)))
}

func (s *System) handleHead(now tables.Time, w *tables.World, e event.HeadRead) []action.Action {
	s.reading = false
	if e.Outcome != event.OutcomeOK || e.Head.Version <= w.ConfigVersion {
		return nil
	}
	if e.Head.Version <= s.loading && now < s.loadBy {
		return nil
	}
	s.loading = e.Head.Version
	s.loadBy = now.Add(readTimeout)
	if w.ConfigDeltas && e.Head.BaseHash == s.log.Current().Hash {
		return []action.Action{action.LoadDelta{Version: e.Head.Version, BaseHash: e.Head.BaseHash, Hash: e.Head.Hash}}
	}
	return []action.Action{action.LoadDocument{Version: e.Head.Version, Hash: e.Head.Hash}}
}

// handleDelta puts the delta's result in force, or loads the whole document if
// there is no delta for the document at hand.
func (s *System) handleDelta(now tables.Time, w *tables.World, e event.DeltaLoaded) []action.Action {
	if e.Version <= w.ConfigVersion {
		return nil
	}
	if e.Outcome == event.OutcomeOK && e.Delta.ResultHash == e.Hash {
		rev, err := config.Apply(s.log.Current(), e.Delta)
		if err == nil {
			return s.put(now, w, e.Version, rev)
		}
	}
	s.loading = e.Version
	s.loadBy = now.Add(readTimeout)
	return []action.Action{action.LoadDocument{Version: e.Version, Hash: e.Hash}}
}

func (s *System) handleDocument(now tables.Time, w *tables.World, e event.DocumentLoaded) []action.Action {
	if e.Version == s.loading {
		s.loading = 0
	}
	if e.Outcome != event.OutcomeOK {
		return nil
	}
	return s.putDocument(now, w, e.Version, e.Document)
}

func (s *System) handleMessage(now tables.Time, w *tables.World, message any) []action.Action {
	switch m := message.(type) {
	case peer.Heartbeat:
		return s.handleHeartbeat(now, w, m)
	case peer.Config:
		return s.handleConfig(now, w, m)
	}
	return nil
}

// handleHeartbeat sends the configuration to a peer that has an older one and asks
// a peer that has a newer one.
func (s *System) handleHeartbeat(now tables.Time, w *tables.World, h peer.Heartbeat) []action.Action {
	switch {
	case h.From == w.Self:
		return nil
	case h.ConfigVersion < w.ConfigVersion:
		return s.send(now, h)
	case h.ConfigVersion > w.ConfigVersion:
		return s.pull(now, w, h)
	default:
		return nil
	}
}

func (s *System) send(now tables.Time, h peer.Heartbeat) []action.Action {
	if at, ok := s.allowSendAt.Get(h.From); ok && now < at || s.log.Version() == 0 {
		return nil
	}
	s.allowSendAt.Put(h.From, now.Add(sendInterval))
	m := peer.Config{Version: s.log.Version()}
	steps, ok := s.log.Since(h.ConfigVersion)
	if ok && h.Deltas {
		m.Steps = steps
	} else {
		m.Document = s.log.Current().Body
	}
	return []action.Action{action.Publish{To: []tables.VMID{h.From}, Topic: peer.TopicConfig, Message: m}}
}

// expireSends drops the entries that no longer hold a document back.
func (s *System) expireSends(now tables.Time) {
	for _, id := range s.allowSendAt.Keys() {
		if at, _ := s.allowSendAt.Get(id); at <= now {
			s.allowSendAt.Delete(id)
		}
	}
}

// pull asks one peer at a time for a version.
func (s *System) pull(now tables.Time, w *tables.World, h peer.Heartbeat) []action.Action {
	if h.ConfigVersion <= s.pulling && now < s.pullBy {
		return nil
	}
	s.pulling = h.ConfigVersion
	s.pullBy = now.Add(pullTimeout)
	self, _ := w.VMs.Get(w.Self)
	request := peer.Heartbeat{
		From:          w.Self,
		DataCentre:    w.DataCentre,
		PeerAddress:   w.PeerAddress,
		ConfigVersion: w.ConfigVersion,
		Deltas:        w.ConfigDeltas,
		Leaving:       self.Leaving,
	}
	return []action.Action{action.Publish{To: []tables.VMID{h.From}, Topic: peer.TopicHeartbeat, Message: request}}
}

func (s *System) handleConfig(now tables.Time, w *tables.World, m peer.Config) []action.Action {
	if m.Version <= w.ConfigVersion {
		return nil
	}
	if len(m.Steps) > 0 {
		return s.handleSteps(now, w, m)
	}
	doc, err := config.Decode(m.Document)
	if err != nil {
		return nil
	}
	return s.putDocument(now, w, m.Version, doc)
}

// handleSteps puts the result of the steps in force. Steps that start at the
// version in force and yet don't fit make this VM ask for the whole document.
func (s *System) handleSteps(now tables.Time, w *tables.World, m peer.Config) []action.Action {
	if m.Steps[len(m.Steps)-1].To != m.Version {
		return nil
	}
	rev, err := s.log.Follow(m.Steps)
	if err != nil {
		w.ConfigDeltas = w.ConfigDeltas && m.Steps[0].From != w.ConfigVersion
		return nil
	}
	return s.put(now, w, m.Version, rev)
}

func (s *System) putDocument(now tables.Time, w *tables.World, version uint64, doc config.Document) []action.Action {
	if version <= w.ConfigVersion {
		return nil
	}
	rev, err := config.NewRevision(doc)
	if err != nil {
		return nil
	}
	return s.put(now, w, version, rev)
}

// put brings rev in force if its version is newer.
func (s *System) put(now tables.Time, w *tables.World, version uint64, rev config.Revision) []action.Action {
	if version <= w.ConfigVersion || !s.log.Put(version, rev) {
		return nil
	}
	w.ConfigDeltas = true
	enterVersion(w, version, rev.Document)
	s.apply(now, w, rev.Document)
	return []action.Action{action.ApplyDocument{Version: version, Document: rev.Document}}
}
