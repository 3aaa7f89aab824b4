package pointrelay

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer/peertest"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// start runs a relay at address that asks peers and tells what it knows.
func start(t *testing.T, n *peertest.Network, address string, peers []string, known map[tables.GroupID]freshness.Report) *Relay {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r := New(Options{
		Address: address, Bus: n.Bus(address), Log: slog.New(slog.DiscardHandler),
		Peers: func(int) []string { return peers },
		Reader: func() (string, bool) {
			if len(peers) == 0 {
				return "", false
			}
			return peers[0], true
		},
		FreshnessReport: func(g tables.GroupID) (freshness.Report, bool) {
			k, ok := known[g]
			return k, ok
		},
	})
	go func() { _ = r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute)
	})
	return r
}

func TestTheFirstPeerThatKnowsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New()
		want := freshness.Report{
			Primary: "p", Record: 3, Position: tables.Position{LogTerm: 2, Index: 9},
			PointAge: time.Second, ProvenAge: 20 * time.Millisecond,
		}
		r := start(t, n, "a", []string{"gone", "b", "c"}, nil)
		start(t, n, "b", nil, nil)
		start(t, n, "c", nil, map[tables.GroupID]freshness.Report{"g": want})
		synctest.Wait()
		k, ok := r.Ask(t.Context(), "g")
		assert.Assert(t, ok)
		assert.DeepEqual(t, k, want)
		at := time.Now()
		_, ok = r.Ask(t.Context(), "other")
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(at), answerTimeout)
	})
}

func TestLookerTellsOfAllGroupsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New()
		known := map[tables.GroupID]freshness.Report{"g": {Primary: "p"}, "h": {Primary: "q"}}
		r := start(t, n, "a", []string{"b"}, nil)
		looker := start(t, n, "b", nil, known)
		alone := start(t, n, "c", []string{"gone"}, nil)
		synctest.Wait()
		assert.DeepEqual(t, r.AskLooker(t.Context(), []tables.GroupID{"g", "h", "i"}), known)
		assert.Equal(t, len(looker.AskLooker(t.Context(), []tables.GroupID{"g"})), 0, "it asks primaries itself")
		at := time.Now()
		assert.Equal(t, len(alone.AskLooker(t.Context(), []tables.GroupID{"g"})), 0)
		assert.Equal(t, time.Since(at), answerTimeout)
	})
}

func TestMessagesThatCantBeReadAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New()
		r := start(t, n, "a", []string{"b"}, nil)
		start(t, n, "b", nil, map[tables.GroupID]freshness.Report{"g": {Primary: "p"}})
		synctest.Wait()
		for _, topic := range []string{topicQuestion, topicAnswer} {
			for _, address := range []string{"a", "b"} {
				r.Bus.Send(address, topic, "nonsense")
				r.Bus.Send(address, topic, map[string]int{"i": -1})
			}
		}
		_, ok := r.Ask(t.Context(), "g")
		assert.Assert(t, ok)
	})
}
