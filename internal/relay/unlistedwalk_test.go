package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// TestRandomWalkWithLapsedEntries checks the guarantees while entries of replicas that run
// lapse, and primaries crash as another replica has fallen behind.
func TestRandomWalkWithLapsedEntries(t *testing.T) {
	for seed := *walkFirst; seed < *walkFirst+uint64(*variantSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				tc := newTestClusterWith(t, 3, func(tc *testCluster) { tc.entryDelay = lateEntry })
				go tc.lapseEntries(rand.New(rand.NewPCG(seed, 8)))
				walkCluster(t, tc, seed, kindsWithoutDrills)
			})
		})
	}
}

// lapseEntries removes the entry of a replica that goes on running, lets the other one receive
// nothing for a while and the primary crash meanwhile, again and again until the walk ends.
func (tc *testCluster) lapseEntries(rng *rand.Rand) {
	for began := time.Now(); time.Since(began) < walkTime; {
		primary := tc.group.Primary()
		unlisted := servers[rng.IntN(len(servers))]
		if unlisted == primary || primary == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		tc.mark(tc.removed, unlisted)
		time.Sleep(time.Duration(2+rng.IntN(5)) * time.Second)
		for _, id := range servers {
			if id != primary && id != unlisted {
				tc.stopReceiving(id, time.Duration(500+rng.IntN(1000))*time.Millisecond)
			}
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		tc.group.Change(primary, (*dbgroup.Server).Crash)
		time.Sleep(time.Duration(1000+rng.IntN(3000)) * time.Millisecond)
		tc.reinstate(unlisted)
		tc.restart(primary)
		time.Sleep(2 * time.Second)
	}
}

// stopReceiving makes a replica receive nothing for a time.
func (tc *testCluster) stopReceiving(id tables.UpstreamID, d time.Duration) {
	set := func(on bool) { tc.group.Change(id, func(s *dbgroup.Server) { s.SetReceiveStopped(on) }) }
	set(true)
	time.AfterFunc(d, func() { set(false) })
}
