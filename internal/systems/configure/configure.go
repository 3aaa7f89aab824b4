// Package configure applies the configuration on this VM and distributes it. A few
// pollers of each data centre read the platform's head row. A VM that receives a
// heartbeat with a newer version sends its own heartbeat to that peer, which
// replies with the configuration. The reply contains deltas if the VM is only a
// few versions behind, otherwise the whole document. A VM receives one copy at a
// time, as far as it can tell that one is on its way: copies share its link.
// Versions never decrease.
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
	// pollInterval is the time between two reads of the head by a poller.
	pollInterval = time.Second
	// pollJitter is the maximum deviation from pollInterval in either direction.
	pollJitter = 200 * time.Millisecond
	// readTimeout limits a read of the head or of a document.
	readTimeout = 5 * time.Second
	// minPullTimeout limits the first request to a peer for the configuration. The
	// limit doubles with each further request until a configuration arrives, up to
	// maxPullTimeout: on a slow link a large document takes longer than any fixed
	// limit, and a second copy delays the first.
	minPullTimeout = 500 * time.Millisecond
	maxPullTimeout = 16 * time.Second
	// sendInterval is the minimum time between two configurations sent to one peer
	// that did not request the second.
	sendInterval = time.Second
)

// ApplyFunc updates the tables from a document whose version is newer.
type ApplyFunc func(now tables.Time, w *tables.World, doc config.Document)

// ApplyAll is the ApplyFunc that stores all declared groups in the tables.
func ApplyAll(_ tables.Time, w *tables.World, doc config.Document) {
	Apply(w, w.ConfigVersion, doc)
}

// System maintains the configuration of one world. It is not safe for concurrent use.
type System struct {
	apply    ApplyFunc
	log      config.Log
	rng      *rand.Rand
	nextPoll tables.Time
	// reading means that a read of the head is pending, until readDeadline.
	reading      bool
	readDeadline tables.Time
	// loading is the version of the document being loaded, until loadDeadline.
	loading      uint64
	loadDeadline tables.Time
	// pulling is the version requested from a peer or being loaded, until
	// pullDeadline; pullTimeout is the limit of the next request.
	pulling      uint64
	pullDeadline tables.Time
	pullTimeout  time.Duration
	// nextSendAt is when the next configuration may be sent to a VM.
	nextSendAt *tables.Table[tables.VMID, tables.Time]
}

// New returns a system that updates the tables with apply and uses rng for its
// jitter.
func New(apply ApplyFunc, rng *rand.Rand) *System {
	return &System{apply: apply, rng: rng, pullTimeout: minPullTimeout, nextSendAt: tables.NewTable[tables.VMID, tables.Time]()}
}

// Handle processes the head, documents, deltas and messages of peers.
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

// Tick reads the head when it is due, on pollers and on VMs that have no
// configuration yet.
func (s *System) Tick(now tables.Time, w *tables.World) []action.Action {
	if s.reading && now >= s.readDeadline {
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
	s.readDeadline = now.Add(readTimeout)
	return []action.Action{action.ReadHead{}}
}

// interval returns pollInterval with jitter.
func (s *System) interval() time.Duration {
	return pollInterval - pollJitter + time.Duration(s.rng.Int64N(int64(2*pollJitter)))
}

func (s *System) handleHead(now tables.Time, w *tables.World, e event.HeadRead) []action.Action {
	s.reading = false
	if e.Outcome != event.OutcomeOK || e.Head.Version <= w.ConfigVersion {
		return nil
	}
	if e.Head.Version <= s.loading && now < s.loadDeadline {
		return nil
	}
	s.startPull(now, e.Head.Version)
	s.loading = e.Head.Version
	s.loadDeadline = now.Add(readTimeout)
	if w.ConfigDeltas && e.Head.BaseHash == s.log.Current().Hash {
		return []action.Action{action.LoadDelta{Version: e.Head.Version, BaseHash: e.Head.BaseHash, Hash: e.Head.Hash}}
	}
	return []action.Action{action.LoadDocument{Version: e.Head.Version, Hash: e.Head.Hash}}
}

// handleDelta puts the result of the delta in force. It loads the whole document if
// the delta is missing or does not apply to the current document.
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
	s.loadDeadline = now.Add(readTimeout)
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

// handleHeartbeat sends the configuration to a peer that has an older one and
// requests it from a peer that has a newer one.
func (s *System) handleHeartbeat(now tables.Time, w *tables.World, h peer.Heartbeat) []action.Action {
	switch {
	case h.From == w.Self:
		return nil
	case h.ConfigVersion < w.ConfigVersion && (h.WantsConfig || !h.PullsConfig):
		return s.send(now, h)
	case h.ConfigVersion > w.ConfigVersion:
		return s.pull(now, w, h)
	default:
		return nil
	}
}

// send sends the configuration to the sender of h: as deltas if the peer accepts
// them and the log has them, otherwise as a document. Without a request it sends
// nothing within sendInterval of the last configuration sent to that peer.
func (s *System) send(now tables.Time, h peer.Heartbeat) []action.Action {
	at, recent := s.nextSendAt.Get(h.From)
	if recent && now < at && !h.WantsConfig || s.log.Version() == 0 {
		return nil
	}
	s.nextSendAt.Put(h.From, now.Add(sendInterval))
	m := peer.Config{Version: s.log.Version()}
	steps, ok := s.log.Since(h.ConfigVersion)
	if ok && h.Deltas {
		m.Steps = steps
	} else {
		m.Document = s.log.Current().Body
	}
	return []action.Action{action.Publish{To: []tables.VMID{h.From}, Topic: peer.TopicConfig, Message: m}}
}

// expireSends removes the entries whose time has passed.
func (s *System) expireSends(now tables.Time) {
	for _, id := range s.nextSendAt.Keys() {
		if at, _ := s.nextSendAt.Get(id); at <= now {
			s.nextSendAt.Delete(id)
		}
	}
}

// pull requests a version from one peer at a time. The request is a heartbeat: the
// peer replies to its older version with the configuration.
func (s *System) pull(now tables.Time, w *tables.World, h peer.Heartbeat) []action.Action {
	if h.ConfigVersion <= s.pulling && now < s.pullDeadline {
		return nil
	}
	s.startPull(now, h.ConfigVersion)
	self, _ := w.VMs.Get(w.Self)
	request := peer.Heartbeat{
		From:          w.Self,
		DataCentre:    w.DataCentre,
		PeerAddress:   w.PeerAddress,
		ConfigVersion: w.ConfigVersion,
		Deltas:        w.ConfigDeltas,
		Leaving:       self.Leaving,
		PullsConfig:   true,
		WantsConfig:   true,
	}
	return []action.Action{action.Publish{To: []tables.VMID{h.From}, Topic: peer.TopicHeartbeat, Message: request}}
}

// startPull starts the time in which a version is expected to arrive.
func (s *System) startPull(now tables.Time, version uint64) {
	s.pulling = version
	s.pullDeadline = now.Add(s.pullTimeout)
	s.pullTimeout = min(2*s.pullTimeout, maxPullTimeout)
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

// handleSteps puts the result of the delta steps in force. If steps that start at
// the version in force do not apply, this VM announces that it accepts no deltas,
// so that it is sent the whole document.
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

// put puts rev in force if its version is newer.
func (s *System) put(now tables.Time, w *tables.World, version uint64, rev config.Revision) []action.Action {
	if version <= w.ConfigVersion || !s.log.Put(version, rev) {
		return nil
	}
	s.pullTimeout = minPullTimeout
	w.ConfigDeltas = true
	setVersion(w, version, rev.Document)
	s.apply(now, w, rev.Document)
	return []action.Action{action.ApplyDocument{Version: version, Document: rev.Document}}
}
