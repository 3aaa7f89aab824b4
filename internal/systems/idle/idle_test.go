package idle

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulate lets proxies use a server with 66 connections at random times,
// perSecond uses a second in total. It returns the average number of idle
// connections and the share of uses that opened one.
func simulate(proxies int, perSecond float64) (idle, openedShare float64) {
	const step, duration = time.Millisecond, 30 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	type proxy struct {
		interval UseInterval
		usedAt   time.Duration
		open     bool
	}
	list := make([]proxy, proxies)
	share := Share(66, proxies)
	var sum, uses, opens, steps float64
	for t := step; t < duration; t += step {
		for i := range list {
			p := &list[i]
			p.open = p.open && t-p.usedAt <= Timeout(share, p.interval)
			if random.Float64() < perSecond/float64(proxies)*step.Seconds() {
				p.interval.Observe(t - p.usedAt)
				if t > 10*time.Second {
					uses++
					if !p.open {
						opens++
					}
				}
				p.open, p.usedAt = true, t
			}
			if p.open && t > 10*time.Second {
				sum++
			}
		}
		if t > 10*time.Second {
			steps++
		}
	}
	return sum / steps, opens / uses
}

// Many proxies together must stay within the server's connection limit and leave
// enough connections for all proxies to reconnect.
func TestManyProxiesShareConnections(t *testing.T) {
	for _, proxies := range []int{36, 108, 302} {
		idle, openedShare := simulate(proxies, 75)
		t.Logf("%d proxies: %.1f idle connections, %.2f of the uses open one", proxies, idle, openedShare)
		assert.Assert(t, idle < 66*0.6, "%d proxies keep %.1f idle connections of 66", proxies, idle)
		assert.Assert(t, openedShare < 1.1-min(1, 33/float64(proxies)), "%d proxies open a connection for %.2f of the uses", proxies, openedShare)
	}
}

func TestIdleTimeoutByNumberOfProxies(t *testing.T) {
	assert.Equal(t, Count(Share(66, 5)), 6)
	assert.Equal(t, Timeout(Share(66, 5), UseInterval(time.Second)), MaxTimeout)
	assert.Equal(t, Count(Share(66, 100)), 1)
	assert.Equal(t, Timeout(Share(66, 100), UseInterval(time.Minute)), MaxTimeout)
	assert.Equal(t, Timeout(Share(66, 100), 0), MaxTimeout)
}

// Guards against holders that keep their connections in addition to the shares of all
// proxies: together they must leave half of a server's connections free.
func TestHoldersShareStaysWithinHalf(t *testing.T) {
	for _, primary := range []bool{false, true} {
		for _, centres := range [][]int{{14, 14, 14, 14, 14, 13}, {1, 80}, {30}} {
			proxies := 0
			for _, n := range centres {
				proxies += n
			}
			sum := 0.0
			for _, near := range centres {
				for i := range near {
					sum += HolderShare(Share(46, proxies), near, i == 0, primary)
				}
			}
			assert.Assert(t, math.Abs(sum-23) < 1e-6, "%v: %f", centres, sum)
		}
	}
	assert.Assert(t, HolderShare(Share(46, 83), 14, true, false) > 1, "the holder keeps no connection")
}
