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

// startRelay runs a relay at address that queries peers, the first of them as
// designated reader, and responds with reports.
func startRelay(t *testing.T, n *peertest.Network, address string, peers []string, reports map[tables.GroupID]freshness.Report) *Relay {
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
			report, ok := reports[g]
			return report, ok
		},
	})
	go func() { _ = r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute)
	})
	return r
}

func TestReturnsFirstResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New()
		want := freshness.Report{
			Primary: "p", Record: 3, Position: tables.Position{LogTerm: 2, Index: 9},
			PointAge: time.Second, ProvenAge: 20 * time.Millisecond,
		}
		r := startRelay(t, n, "a", []string{"down", "b", "c"}, nil)
		startRelay(t, n, "b", nil, nil)
		startRelay(t, n, "c", nil, map[tables.GroupID]freshness.Report{"g": want})
		synctest.Wait()
		report, ok := r.Query(t.Context(), "g")
		assert.Assert(t, ok)
		assert.DeepEqual(t, report, want)
		at := time.Now()
		_, ok = r.Query(t.Context(), "other")
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(at), replyTimeout)
	})
}

func TestReaderReturnsAllGroupsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New()
		reports := map[tables.GroupID]freshness.Report{"g": {Primary: "p"}, "h": {Primary: "q"}}
		r := startRelay(t, n, "a", []string{"b"}, nil)
		reader := startRelay(t, n, "b", nil, reports)
		readerDown := startRelay(t, n, "c", []string{"down"}, nil)
		synctest.Wait()
		assert.DeepEqual(t, r.QueryReader(t.Context(), []tables.GroupID{"g", "h", "i"}), reports)
		assert.Equal(t, len(reader.QueryReader(t.Context(), []tables.GroupID{"g"})), 0, "the reader queries primaries itself")
		at := time.Now()
		assert.Equal(t, len(readerDown.QueryReader(t.Context(), []tables.GroupID{"g"})), 0)
		assert.Equal(t, time.Since(at), replyTimeout)
	})
}

func TestIgnoresMalformedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New()
		r := startRelay(t, n, "a", []string{"b"}, nil)
		startRelay(t, n, "b", nil, map[tables.GroupID]freshness.Report{"g": {Primary: "p"}})
		synctest.Wait()
		for _, topic := range []string{topicRequest, topicResponse} {
			for _, address := range []string{"a", "b"} {
				r.Bus.Send(address, topic, "nonsense")
				r.Bus.Send(address, topic, map[string]int{"i": -1})
			}
		}
		_, ok := r.Query(t.Context(), "g")
		assert.Assert(t, ok)
	})
}
