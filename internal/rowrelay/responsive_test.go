package rowrelay

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// Proxies that are all cut off from the store ask each other for changes. A call that
// a peer had just started counted as a fresh response of the store, so they took the
// store for regained and reported to the balancer that they were ready.
func TestUnansweredCallIsNoSignOfTheStore(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			s := newCluster(t, "x", "x", "x", "x")
			s.store.Put("own", "k", []byte("v"))
			rows, err := s.relays[0].ReadTable(t.Context(), "own")
			assert.NilError(t, err)
			after := tables.Version{Counter: rows.Version}
			downAt := time.Now().Add(3 * time.Second)
			var watches sync.WaitGroup
			for _, r := range s.relays {
				pause := time.Duration(rng.Int64N(int64(2 * time.Second)))
				watches.Go(func() {
					time.Sleep(pause)
					wait := fleet.WatchWait
					for time.Since(downAt) < 5*time.Second {
						rows, err := r.WatchTable(t.Context(), "own", after, wait)
						down := time.Since(downAt)
						if err == nil && rows.Age < down {
							t.Errorf("seed %d: a response %s after the store was lost is %s old", seed, down, rows.Age)
						}
						if err != nil {
							wait = 0
							time.Sleep(150 * time.Millisecond)
						}
					}
				})
			}
			time.Sleep(time.Until(downAt))
			for _, p := range s.paths {
				p.setDown(true)
			}
			watches.Wait()
		})
	}
}
