package quotarelay

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/boottime"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/peer/peertest"
	"github.com/cranberrystage/cranberrystage/internal/systems/quota"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// newBenchRelay returns a relay with 10,000 teams, the first of which has tokens.
func newBenchRelay() *Relay {
	routing := &tables.Routing{Teams: make(map[tables.TeamID]*tables.Team)}
	for i := range 10_000 {
		id := tables.TeamID(fmt.Sprint("team-", i))
		routing.Teams[id] = &tables.Team{ID: id, Rate: 1e9, Burst: 1e9}
	}
	r := New(Options{
		Address: "a", VM: "a", DataCentre: "dc", Bus: peertest.New().Bus("a"),
		Allocator: func() (string, bool) { return "", false },
		Directory: func() Directory { return Directory{} },
		Routing:   func() *tables.Routing { return routing },
		Now:       boottime.Now, Log: slog.New(slog.DiscardHandler), Metrics: metrics.New(prometheus.NewRegistry()),
	})
	r.configure()
	return r
}

// refill gives the first team tokens for a second.
func (r *Relay) refill() {
	now := r.Now()
	r.node.Keep([]quota.Ask{{Team: "team-0"}}, []quota.Grant{{Tokens: 1e9}}, now, now)
}

func BenchmarkAdmitAtHand(b *testing.B) {
	r := newBenchRelay()
	ctx := context.Background()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%10_000 == 0 {
			r.refill()
		}
		if _, ok := r.Admit(ctx, "team-0"); !ok {
			b.Fatal("refused")
		}
	}
}

// TestAdmitDoesNotAllocate guards against allocations for each operation while tokens
// are at hand.
func TestAdmitDoesNotAllocate(t *testing.T) {
	r := newBenchRelay()
	r.refill()
	assert.Equal(t, testing.AllocsPerRun(100, func() { _, _ = r.Admit(context.Background(), "team-0") }), 0.0)
}
