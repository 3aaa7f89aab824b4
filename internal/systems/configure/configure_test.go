package configure

import (
	"fmt"
	"math/rand/v2"
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

const second = tables.Time(time.Second)

func newFixture() (*System, *tables.World) {
	return New(ApplyAll, rand.New(rand.NewPCG(1, 1))), tables.NewWorld("vm-0", "dc-0", "10.0.0.1:1")
}

// document returns a document with groups of three upstreams each.
func document(groups int) config.Document {
	var doc config.Document
	for g := range groups {
		group := config.Group{ID: tables.GroupID(fmt.Sprintf("group-%d", g))}
		for u := range 3 {
			group.Upstreams = append(group.Upstreams, config.Upstream{
				ID:          tables.UpstreamID(fmt.Sprintf("group-%d-%d", g, u)),
				DataCentre:  tables.DataCentreID(fmt.Sprintf("dc-%d", u)),
				Address:     fmt.Sprintf("10.1.%d.%d:5432", g, u),
				Slots:       3,
				Connections: 20,
			})
		}
		group.FirstPrimary = group.Upstreams[0].ID
		doc.Groups = append(doc.Groups, group)
	}
	return doc
}

func TestApplyKeepsObservedState(t *testing.T) {
	_, w := newFixture()
	doc := document(2)
	Apply(w, 1, doc)
	group, _ := w.Groups.Get("group-0")
	assert.Equal(t, group.Primary, tables.UpstreamID("group-0-0"))
	assert.Equal(t, group.Term, tables.Term(1))
	assert.Equal(t, len(group.Members), 3)

	group.Term, group.Primary = 7, "group-0-2"
	w.Groups.Put("group-0", group)
	seen, _ := w.Upstreams.Get("group-0-1")
	seen.HasStatus, seen.ListedLeaving = true, true
	w.Upstreams.Put("group-0-1", seen)
	moved, _ := w.Upstreams.Get("group-0-2")
	moved.HasStatus = true
	w.Upstreams.Put("group-0-2", moved)
	w.Observations.Put("vm-1/group-1-0", tables.Observation{Upstream: "group-1-0"})

	doc = document(1)
	doc.Groups[0].Upstreams[0].Leaving = true
	doc.Groups[0].Upstreams[2].Address = "10.9.9.9:5432"
	doc.LeavingVMs = []tables.VMID{"vm-2", "vm-1"}
	Apply(w, 2, doc)
	group, _ = w.Groups.Get("group-0")
	assert.Equal(t, group.Term, tables.Term(7))
	assert.Equal(t, group.Primary, tables.UpstreamID("group-0-2"))
	first, _ := w.Upstreams.Get("group-0-0")
	assert.Assert(t, first.Leaving && first.DeclaredLeaving)
	seen, _ = w.Upstreams.Get("group-0-1")
	assert.Assert(t, seen.HasStatus && seen.Leaving && !seen.DeclaredLeaving)
	moved, _ = w.Upstreams.Get("group-0-2")
	assert.Assert(t, !moved.HasStatus)
	assert.Equal(t, w.Groups.Len(), 1)
	assert.Equal(t, w.Upstreams.Len(), 3)
	assert.Equal(t, w.Observations.Len(), 0)
	assert.DeepEqual(t, w.LeavingVMs, []tables.VMID{"vm-1", "vm-2"})
}

func TestHeadCausesOneLoadAtATime(t *testing.T) {
	s, w := newFixture()
	head := event.HeadRead{Head: config.Head{Version: 3, Hash: "h"}}
	assert.DeepEqual(t, s.Handle(0, w, head), []action.Action{action.LoadDocument{Version: 3, Hash: "h"}})
	assert.Equal(t, len(s.Handle(second, w, head)), 0)
	assert.Equal(t, len(s.Handle(10*second, w, head)), 1)
	loaded := event.DocumentLoaded{Version: 3, Document: document(1)}
	assert.Equal(t, len(s.Handle(11*second, w, loaded)), 1)
	assert.Equal(t, w.ConfigVersion, uint64(3))
	assert.Equal(t, len(s.Handle(12*second, w, head)), 0)
}

func TestPeersExchangeVersions(t *testing.T) {
	s, w := newFixture()
	s.Handle(0, w, event.DocumentLoaded{Version: 5, Document: document(1)})
	body, _, err := document(1).Encode()
	assert.NilError(t, err)
	receiveHeartbeat := func(now tables.Time, version uint64) []action.Action {
		h := peer.Heartbeat{From: "vm-1", ConfigVersion: version}
		return s.Handle(now, w, event.PeerMessage{Message: h})
	}
	assert.DeepEqual(t, receiveHeartbeat(0, 4), []action.Action{action.Publish{
		To:      []tables.VMID{"vm-1"},
		Topic:   peer.TopicConfig,
		Message: peer.Config{Version: 5, Document: body},
	}})
	assert.Equal(t, len(receiveHeartbeat(second/2, 4)), 0)
	assert.Equal(t, len(receiveHeartbeat(second, 4)), 1)
	assert.Equal(t, len(receiveHeartbeat(second, 5)), 0)
	assert.Equal(t, len(receiveHeartbeat(second, 6)), 1)
	assert.Equal(t, len(receiveHeartbeat(second, 6)), 0)
	assert.Equal(t, len(receiveHeartbeat(2*second, 6)), 1)
}

func TestConfigurationIsNotSentUnaskedToPeerThatPulls(t *testing.T) {
	s, w := newFixture()
	s.Handle(0, w, event.DocumentLoaded{Version: 5, Document: document(1)})
	h := peer.Heartbeat{From: "vm-1", ConfigVersion: 4, PullsConfig: true}
	assert.Equal(t, len(s.Handle(0, w, event.PeerMessage{Message: h})), 0)
	h.WantsConfig = true
	assert.Equal(t, len(s.Handle(0, w, event.PeerMessage{Message: h})), 1)
}

func TestPullTimeoutDoublesUntilConfigurationArrives(t *testing.T) {
	s, w := newFixture()
	newer := func(now tables.Time) int {
		return len(s.Handle(now, w, event.PeerMessage{Message: peer.Heartbeat{From: "vm-1", ConfigVersion: 6}}))
	}
	var pulls []tables.Time
	for now := tables.Time(0); now < 8*second; now = now.Add(100 * time.Millisecond) {
		if newer(now) > 0 {
			pulls = append(pulls, now)
		}
	}
	assert.DeepEqual(t, pulls, []tables.Time{0, second / 2, 3 * second / 2, 7 * second / 2, 15 * second / 2})
	s.Handle(8*second, w, event.DocumentLoaded{Version: 5, Document: document(1)})
	assert.Equal(t, s.pullTimeout, minPullTimeout)
}

func TestInvalidDocumentIsIgnored(t *testing.T) {
	s, w := newFixture()
	bad := peer.Config{Version: 9, Document: []byte("{")}
	assert.Equal(t, len(s.Handle(0, w, event.PeerMessage{Message: bad})), 0)
	assert.Equal(t, w.ConfigVersion, uint64(0))
}

// TestVersionNeverDecreases delivers heads, documents and peers' messages of any
// version in any order.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, w := newFixture()
		now := tables.Time(0)
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			before := w.ConfigVersion
			applied := appliedVersion(s.Handle(now, w, drawEvent(t)))
			s.Tick(now, w)
			assert.Assert(t, w.ConfigVersion >= before)
			assert.Equal(t, applied != 0, w.ConfigVersion > before)
			assert.Assert(t, applied == 0 || applied == w.ConfigVersion)
			group, ok := w.Groups.Get("group-0")
			assert.Equal(t, ok, w.ConfigVersion > 0)
			assert.Assert(t, !ok || len(group.Members) == 3)
		}
	})
}

// appliedVersion returns the version that actions put in force, or 0.
func appliedVersion(actions []action.Action) uint64 {
	for _, a := range actions {
		if a, ok := a.(action.ApplyDocument); ok {
			return a.Version
		}
	}
	return 0
}

func drawEvent(t *rapid.T) event.Event {
	version := rapid.Uint64Range(1, 9).Draw(t, "version")
	outcome := rapid.SampledFrom([]event.Outcome{event.OutcomeOK, event.OutcomeFailed}).Draw(t, "outcome")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return event.HeadRead{Outcome: outcome, Head: config.Head{Version: version}}
	case 1:
		return event.DocumentLoaded{Version: version, Outcome: outcome, Document: document(1)}
	case 2:
		body, _, _ := document(1).Encode()
		return event.PeerMessage{Message: peer.Config{Version: version, Document: body}}
	default:
		return event.PeerMessage{Message: peer.Heartbeat{From: "vm-1", ConfigVersion: version}}
	}
}

func BenchmarkApply(b *testing.B) {
	for _, groups := range []int{6, 100, 3600} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			_, w := newFixture()
			doc := document(groups)
			body, _, err := doc.Encode()
			assert.NilError(b, err)
			for b.Loop() {
				Apply(w, 1, doc)
			}
			b.ReportMetric(float64(len(body)), "document-bytes")
		})
	}
}
