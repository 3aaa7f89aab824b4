package keep

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// play lets proxies use a server with 66 connections at random moments, 75 uses
// a second in all, and returns how many connections rest on average and which
// part of the uses opened one.
func play(proxies int, perSecond float64) (resting, opened float64) {
	const step, lasts = time.Millisecond, 30 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	type proxy struct {
		gap    UseInterval
		usedAt time.Duration
		open   bool
	}
	list := make([]proxy, proxies)
	part := Share(66, proxies)
	var sum, uses, opens, steps float64
	for t := step; t < lasts; t += step {
		for i := range list {
			p := &list[i]
			p.open = p.open && t-p.usedAt <= Timeout(part, p.gap)
			if random.Float64() < perSecond/float64(proxies)*step.Seconds() {
				p.gap.Observe(t - p.usedAt)
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

// A hundred proxies need no more room than the server has, also to start again.
func TestManyProxiesShareTheConnections(t *testing.T) {
	for _, proxies := range []int{36, 108, 302} {
		resting, opened := play(proxies, 75)
		t.Logf("%d proxies: %.1f rest, %.2f of the uses open one", proxies, resting, opened)
		assert.Assert(t, resting < 66*0.6, "%d proxies keep %.1f connections of 66", proxies, resting)
		assert.Assert(t, opened < 1.1-min(1, 33/float64(proxies)), "%d proxies open one for %.2f of the uses", proxies, opened)
	}
}

func TestFewProxiesKeepWhatTheyUse(t *testing.T) {
	assert.Equal(t, Count(Share(66, 5)), 6)
	assert.Equal(t, Timeout(Share(66, 5), UseInterval(time.Second)), MaxTimeout)
	assert.Equal(t, Count(Share(66, 100)), 1)
	assert.Equal(t, Timeout(Share(66, 100), UseInterval(time.Minute)), MaxTimeout)
	assert.Equal(t, Timeout(Share(66, 100), 0), MaxTimeout)
}
