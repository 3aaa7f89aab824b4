package configure

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// revisions returns n revisions; the one at index i belongs to version i+1. A
// document mixed from two of them equals none of them.
func revisions(t assert.TestingT, n int) []config.Revision {
	all := make([]config.Revision, n)
	for i := range all {
		doc := document(4)
		doc.Groups[i%4].Upstreams[0].Slots = 10 + i
		doc.Groups = append(doc.Groups, config.Group{ID: tables.GroupID(fmt.Sprintf("only-%d", i))})
		rev, err := config.NewRevision(doc)
		assert.NilError(t, err)
		all[i] = rev
	}
	return all
}

// drawSteps returns the message of a peer that applied the versions from a first
// one on, possibly skipping some, and may corrupt the message.
func drawSteps(t *rapid.T, all []config.Revision) peer.Config {
	var l config.Log
	first := rapid.IntRange(0, len(all)-2).Draw(t, "first")
	l.Put(uint64(first+1), all[first])
	for i := first + 1; i < len(all); i++ {
		if rapid.Bool().Draw(t, "takes") {
			l.Put(uint64(i+1), all[i])
		}
	}
	steps, _ := l.Since(uint64(first + 1))
	if len(steps) > 0 && rapid.IntRange(0, 3).Draw(t, "corrupt") == 0 {
		steps[0].From += uint64(rapid.IntRange(0, 2).Draw(t, "from"))
		steps[0].Delta = steps[0].Delta[:rapid.IntRange(0, len(steps[0].Delta)).Draw(t, "cut")]
	}
	return peer.Config{Version: l.Version(), Steps: steps}
}

func drawDelivery(t *rapid.T, all []config.Revision) event.Event {
	i := rapid.IntRange(0, len(all)-1).Draw(t, "version")
	version := uint64(i + 1)
	base := rapid.IntRange(0, len(all)-1).Draw(t, "base")
	outcome := rapid.SampledFrom([]event.Outcome{event.OutcomeOK, event.OutcomeFailed}).Draw(t, "outcome")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return event.HeadRead{Outcome: outcome, Head: config.Head{Version: version, Hash: all[i].Hash, BaseHash: all[base].Hash}}
	case 1:
		return event.DocumentLoaded{Version: version, Outcome: outcome, Document: all[i].Document}
	case 2:
		return event.DeltaLoaded{Version: version, Hash: all[i].Hash, Outcome: outcome, Delta: config.Diff(all[base], all[i])}
	case 3:
		return event.PeerMessage{Message: peer.Config{Version: version, Document: all[i].Body}}
	case 4:
		return event.PeerMessage{Message: peer.Heartbeat{From: "vm-1", ConfigVersion: version, Deltas: true}}
	default:
		if m := drawSteps(t, all); len(m.Steps) > 0 {
			return event.PeerMessage{Message: m}
		}
		return nil
	}
}

// TestDeltasAndDocumentsInAnyOrder delivers both in any order, repeated, lost and
// corrupted. The configuration in force must always equal exactly one version, and
// never an older one than before.
func TestDeltasAndDocumentsInAnyOrder(t *testing.T) {
	all := revisions(t, 7)
	rapid.Check(t, func(t *rapid.T) {
		s, w := newFixture()
		now := tables.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			before := w.ConfigVersion
			s.Handle(now, w, drawDelivery(t, all))
			assert.Assert(t, w.ConfigVersion >= before)
			checkInForce(t, s, w, all)
		}
		last := len(all) - 1
		s.Handle(now, w, event.DocumentLoaded{Version: uint64(last + 1), Document: all[last].Document})
		assert.Equal(t, w.ConfigVersion, uint64(last+1))
		checkInForce(t, s, w, all)
	})
}

func checkInForce(t assert.TestingT, s *System, w *tables.World, all []config.Revision) {
	assert.Equal(t, s.log.Version(), w.ConfigVersion)
	if w.ConfigVersion == 0 {
		return
	}
	want := all[w.ConfigVersion-1]
	assert.Equal(t, s.log.Current().Hash, want.Hash)
	assert.Equal(t, w.Groups.Len(), len(want.Document.Groups))
	for _, g := range want.Document.Groups {
		for _, u := range g.Upstreams {
			row, _ := w.Upstreams.Get(u.ID)
			assert.Equal(t, row.Slots, u.Slots)
		}
	}
}

func TestFailedDeltaFallsBackToDocument(t *testing.T) {
	all := revisions(t, 2)
	s, w := newFixture()
	s.Handle(0, w, event.DocumentLoaded{Version: 1, Document: all[0].Document})
	head := config.Head{Version: 2, Hash: all[1].Hash, BaseHash: all[0].Hash}
	got := s.Handle(second, w, event.HeadRead{Head: head})
	assert.DeepEqual(t, got, []action.Action{action.LoadDelta{Version: 2, BaseHash: all[0].Hash, Hash: all[1].Hash}})
	got = s.Handle(second, w, event.DeltaLoaded{Version: 2, Hash: all[1].Hash, Outcome: event.OutcomeFailed})
	assert.DeepEqual(t, got, []action.Action{action.LoadDocument{Version: 2, Hash: all[1].Hash}})
	s.Handle(second, w, event.DeltaLoaded{Version: 2, Hash: all[1].Hash, Delta: config.Diff(all[0], all[1])})
	assert.Equal(t, w.ConfigVersion, uint64(2))
}

// TestStepsThatDoNotApplyFallBackToDocument covers two VMs that hold different
// documents under one version, as two releases of the program may.
func TestStepsThatDoNotApplyFallBackToDocument(t *testing.T) {
	all := revisions(t, 3)
	a, wa := newFixture()
	b, wb := newFixture()
	a.Handle(0, wa, event.DocumentLoaded{Version: 1, Document: all[0].Document})
	a.Handle(0, wa, event.DocumentLoaded{Version: 2, Document: all[1].Document})
	b.Handle(0, wb, event.DocumentLoaded{Version: 1, Document: all[2].Document})
	for i := range 2 {
		now := tables.Time(2*i) * second
		h := peer.Heartbeat{From: "vm-b", ConfigVersion: wb.ConfigVersion, Deltas: wb.ConfigDeltas}
		sent := a.Handle(now, wa, event.PeerMessage{Message: h})[0].(action.Publish).Message.(peer.Config)
		assert.Equal(t, len(sent.Steps) > 0, i == 0)
		b.Handle(now, wb, event.PeerMessage{Message: sent})
	}
	assert.Equal(t, b.log.Current().Hash, all[1].Hash)
	assert.Assert(t, wb.ConfigDeltas)
}
