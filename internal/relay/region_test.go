package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// mutedWatches is a store whose calls for changes fail, as over a full link between
// regions, and whose reads take a round trip.
type mutedWatches struct {
	platform.Metadata
	muted atomic.Bool
}

func (s *mutedWatches) ReadTable(ctx context.Context, table string) (platform.Rows, error) {
	_ = sleep.For(ctx, 70*time.Millisecond) // the caller checks ctx
	return s.Metadata.ReadTable(ctx, table)
}

func (s *mutedWatches) WatchTable(ctx context.Context, table string, after tables.Version, wait time.Duration) (platform.Rows, error) {
	if s.muted.Load() {
		_ = sleep.For(ctx, wait+100*time.Millisecond) // the caller checks ctx
		return platform.Rows{}, platform.ErrUnavailable
	}
	return s.Metadata.WatchTable(ctx, table, after, wait)
}

// While the store counted as lost, evidence of who leads was not read from it although
// it answered: of 44 proxies, 37 on average refused their callers' statements.
func TestEvidenceIsReadWhileStoreCountsAsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &mutedWatches{}
		tc := newTestClusterOn(t, 0, func(s platform.Metadata) platform.Metadata {
			store.Metadata = s
			return store
		})
		tc.severalRegions = true
		p := tc.startProxy(0)
		time.Sleep(2 * time.Second)
		s := p.session(newest)
		assert.Equal(t, tc.write(s, "x", 1).Code, statement.OK)
		// The path to the replicas is full as well, so that they give no evidence.
		tc.setPathDown("vm0", "s2", true)
		tc.setPathDown("vm0", "s3", true)
		store.muted.Store(true)
		time.Sleep(4 * time.Second)
		served := 0
		for range 20 {
			if s.run(statement.Read, "x").Code == statement.OK {
				served++
			}
			time.Sleep(200 * time.Millisecond)
		}
		assert.Assert(t, served >= 19, "%d of 20 served", served)
	})
}

// Slow and lost stores cause no promotion and no wrong answer with several regions
// either, where evidence is read from a store that counts as lost.
func TestOutagesWithSeveralRegions(t *testing.T) {
	for name, faults := range map[string]metadata.Faults{"down": {Down: true}, "slow": {Slow: 240 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t, 0)
				tc.severalRegions, tc.size = true, 3
				for i := range 3 {
					tc.proxies = append(tc.proxies, tc.startProxy(i))
				}
				time.Sleep(time.Second)
				l := tc.startLoad()
				time.Sleep(2 * time.Second)
				tc.store.SetFaults(faults)
				time.Sleep(6 * time.Second)
				tc.store.SetFaults(metadata.Faults{})
				time.Sleep(3 * time.Second)
				l.end()
				assert.Equal(t, tc.group.Promotions(), 0)
				t.Logf("served %d, refused %d", l.served, l.refused)
				assert.Assert(t, l.served > 20*l.refused, "served %d, refused %d", l.served, l.refused)
			})
		})
	}
}
