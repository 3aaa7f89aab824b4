package relay

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/confirm"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// drillAway is how long the store is away in these tests.
const drillAway = 500 * time.Millisecond

// drill makes the store come back from a copy of the given age, and waits for the
// time that proxies need to confirm the group.
func (tc *testCluster) drill(age time.Duration) {
	tc.store.Drill(rand.New(rand.NewPCG(1, 1)), drillAway, age)
	time.Sleep(drillAway + confirm.Wait + 2*time.Second)
}

// A group in use is served throughout a drill: replicas and commits prove who leads.
func TestGroupInUseIsServedDuringDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, l := newLoadedCluster(t)
		tc.drill(5 * time.Second)
		l.end()
		assert.Equal(t, tc.group.Promotions(), 0)
		assert.Assert(t, l.longestGap <= time.Second, "gap %s", l.longestGap)
	})
}

// A promotion that the copy lacks stays in force, also at proxies that restarted.
func TestPromotionTakenBackStaysInForce(t *testing.T) {
	for name, restarted := range map[string]int{"every proxy knows": 0, "one proxy knows": 2, "no proxy knows": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc, l := newLoadedCluster(t)
				time.Sleep(6 * time.Second)
				tc.group.Change("s1", (*dbgroup.Server).Crash)
				time.Sleep(4 * time.Second)
				assert.Equal(t, tc.group.Promotions(), 1)
				for _, p := range tc.proxies[:restarted] {
					p.restart()
				}
				tc.restart("s1")
				tc.drill(8 * time.Second)
				l.end()
				assert.Equal(t, tc.group.Promotions(), 1)
				assert.Assert(t, tc.group.Primary() != "s1")
				r := tc.write(tc.proxies[0].session(newest), "last", 1)
				assert.Equal(t, r.Code, statement.OK, r.Detail)
			})
		})
	}
}

// The store comes back while a replacement is under way, and lacks its
// announcement. The group is served again once the replacement was finished or
// cancelled, and holds are not left behind.
func TestReplacementDuringDrillIsFinishedOrCancelled(t *testing.T) {
	for _, before := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		t.Run(before.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc, l := newLoadedCluster(t)
				time.Sleep(4 * time.Second)
				tc.mark(tc.leaving, "s1")
				time.Sleep(before)
				tc.drill(3 * time.Second)
				time.Sleep(6 * time.Second)
				l.end()
				assert.Assert(t, tc.group.Primary() != "s1")
				r := tc.write(tc.proxies[0].session(newest), "last", 1)
				assert.Equal(t, r.Code, statement.OK, r.Detail)
			})
		})
	}
}

// An idle group accepts writes during a drill: a commit that a replica has received
// proves itself.
func TestIdleGroupAcceptsWritesAfterDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		time.Sleep(5 * time.Second)
		tc.store.Drill(rand.New(rand.NewPCG(1, 1)), drillAway, 3*time.Second)
		time.Sleep(2 * drillAway)
		r := tc.write(tc.proxies[0].session(newest), "item", 1)
		assert.Equal(t, r.Code, statement.OK, r.Detail)
		time.Sleep(confirm.Wait + time.Second)
		r, stale := tc.read(tc.proxies[1].session(newest), "item")
		assert.Equal(t, r.Code, statement.OK, r.Detail)
		assert.Assert(t, !stale)
	})
}

// hideEras is a store whose responses don't tell the era.
type hideEras struct{ platform.Metadata }

func (s hideEras) ReadTable(ctx context.Context, table string) (platform.Rows, error) {
	rows, err := s.Metadata.ReadTable(ctx, table)
	rows.Era = 0
	return rows, err
}

func (s hideEras) WatchTable(ctx context.Context, table string, after tables.Version, wait time.Duration) (platform.Rows, error) {
	// A version of any era is compared by its counter alone.
	at, err := s.Metadata.ReadTable(ctx, table)
	if err != nil {
		return at, err
	}
	after.Era = at.Era
	rows, err := s.Metadata.WatchTable(ctx, table, after, wait)
	rows.Era = 0
	return rows, err
}

func (s hideEras) Apply(ctx context.Context, c platform.Change) (platform.Rows, error) {
	rows, err := s.Metadata.Apply(ctx, c)
	rows.Era = 0
	return rows, err
}

// Reads of an idle group are served during a drill, though nothing proves who leads:
// all servers together show what may have been acknowledged.
func TestIdleGroupServesReadsDuringDrill(t *testing.T) {
	for _, database := range []string{newest, bounded, own} {
		t.Run(database, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t, 3)
				tc.write(tc.proxies[0].session(newest), "item", 1)
				time.Sleep(5 * time.Second)
				tc.store.Drill(rand.New(rand.NewPCG(1, 1)), drillAway, 3*time.Second)
				for range 20 {
					time.Sleep(drillAway / 2)
					r, stale := tc.read(tc.proxies[1].session(database), "item")
					assert.Equal(t, r.Code, statement.OK, r.Detail)
					assert.Assert(t, !stale)
					tc.write(tc.proxies[0].session(newest), "other", 1)
				}
			})
		})
	}
}

// The same while the store is down: the lease evidence of an idle group has expired.
func TestIdleGroupServesReadsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		tc.write(tc.proxies[0].session(newest), "item", 1)
		time.Sleep(5 * time.Second)
		tc.store.SetFaults(metadata.Faults{Down: true})
		time.Sleep(2 * time.Second)
		for _, p := range tc.proxies {
			r, stale := tc.read(p.session(bounded), "item")
			assert.Equal(t, r.Code, statement.OK, r.Detail)
			assert.Assert(t, !stale)
		}
	})
}

// takeBackReplacement replaces a primary that is cut off from its replicas and still
// claims to lead. The store then comes back from a copy without the new primary's
// record, and all proxies restart.
func takeBackReplacement(tc *testCluster) *load {
	l := tc.startLoad()
	time.Sleep(6 * time.Second)
	tc.group.Change("s1", func(s *dbgroup.Server) { s.SetIsolated(true) })
	time.Sleep(5 * time.Second)
	for _, p := range tc.proxies {
		p.restart()
	}
	tc.drill(8 * time.Second)
	return l
}

func TestDeposedPrimaryStaysDeposedAfterDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		takeBackReplacement(tc).end()
		assert.Equal(t, tc.group.Promotions(), 1)
		r := tc.write(tc.proxies[0].session(newest), "last", 1)
		assert.Equal(t, r.Code, statement.OK, r.Detail)
	})
}

// Shows that eras are needed: without them the restored rows name the old primary, and
// its outdated answers are read.
func TestIgnoredErasGiveStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestClusterOn(t, 3, func(s platform.Metadata) platform.Metadata { return hideEras{s} })
		assert.Assert(t, len(takeBackReplacement(tc).violations()) > 0)
	})
}
