package quotarelay

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seeds     = flag.Int("quota.seeds", 3, "number of random runs")
	firstSeed = flag.Uint64("quota.seed", 1, "seed of the first random run")
)

// TestLimitHoldsThroughFaults guards against any window with more operations than the
// limit allows, through partitions, suspensions, restarts, joins and lowered limits.
func TestLimitHoldsThroughFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	centres := 3 + int(seed%2)
	c := newCluster(t, seed, 5+int(seed*13%36), centres)
	c.duplicates = true
	if seed%3 == 0 { // nothing hides a small excess
		c.tolerance.Overshoot, c.tolerance.Slack = 0, 0
	}
	small, large, noisy := c.addTeam(2, 5), c.addTeam(150, 240), c.addTeam(10, 1)
	bursty := c.addTeam(20, 200)
	for _, v := range c.vms {
		v.start()
	}
	time.Sleep(2 * time.Second)
	const end = 75 * time.Second
	usual := func() float64 { return 1 }
	c.runLoad(small, 5, end, usual)
	c.runLoad(large, 60, end, func() float64 {
		if c.now()%(20*time.Second) > 10*time.Second {
			return 7.5
		}
		return 1
	})
	c.runLoad(noisy, 20, end, func() float64 { return 7.5 })
	c.runLoad(bursty, 20, end, func() float64 {
		if c.now()%(12*time.Second) > 9*time.Second {
			return 20
		}
		return 0.3
	})
	// The faults, unlike the load, depend on the seed alone.
	rng := rand.New(rand.NewPCG(seed, 3))
	for c.now() < end {
		c.injectFault(rng, centres)
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
	}
	time.Sleep(15 * time.Second)
	for _, l := range c.teams {
		fullest := c.checkWindows(l)
		c.mu.Lock()
		t.Logf("seed %d, %d proxies: %s admitted %d, refused %d, fullest window %.2f", seed, len(c.vms), l.id, len(l.admitted), l.refused, fullest)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.stop()
	defer c.mu.Unlock()
	assert.Assert(t, seed%3 == 0 || len(small.admitted) > 60, "the small team was hardly served: %d", len(small.admitted))
}

// stop ends all processes, and waits for messages and callers under way.
func (c *cluster) stop() {
	for _, v := range c.vms {
		v.stop()
	}
	time.Sleep(10 * time.Minute)
}

// injectFault starts one random fault, which ends by itself.
func (c *cluster) injectFault(rng *rand.Rand, centres int) {
	length := time.Duration(rng.Int64N(int64(8 * time.Second)))
	v := c.vms[rng.IntN(len(c.vms))]
	switch rng.IntN(7) {
	case 0: // a partition between any proxies
		c.partition(length, func(*vm) bool { return rng.IntN(3) == 0 })
	case 1: // a data centre is cut off
		c.partition(length, func(o *vm) bool { return o.dc == v.dc })
	case 2: // suspensions
		for range 1 + rng.IntN(3) {
			v = c.vms[rng.IntN(len(c.vms))]
			c.mu.Lock()
			v.frozen = time.Now().Add(time.Duration(rng.Int64N(int64(length + 1))))
			c.mu.Unlock()
		}
	case 3: // 55% of the proxies restart within 2 s
		for _, i := range rng.Perm(len(c.vms))[:len(c.vms)*55/100] {
			c.restart(c.vms[i], time.Duration(rng.Int64N(int64(2*time.Second))), 300*time.Millisecond)
		}
	case 4: // an allocator is killed, and returns later
		for _, o := range c.vms {
			if o.dc == v.dc {
				c.restart(o, 0, length)
				break
			}
		}
	case 5:
		if len(c.vms) < 44 {
			c.mu.Lock()
			joined := c.addVM(len(c.vms), centres)
			c.mu.Unlock()
			joined.start()
		}
	case 6:
		c.changeLimit(rng, c.teams[rng.IntN(len(c.teams))])
	}
}

// partition separates the chosen proxies from the others for some time.
func (c *cluster) partition(length time.Duration, chosen func(*vm) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.vms {
		if chosen(v) {
			v.side = 1
		}
	}
	time.AfterFunc(length, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, v := range c.vms {
			v.side = 0
		}
	})
}

// restart stops a proxy after some time and starts it again.
func (c *cluster) restart(v *vm, after, away time.Duration) {
	go func() {
		time.Sleep(after)
		if v.stop() {
			time.Sleep(away)
			v.start()
		}
	}()
}

// changeLimit multiplies a team's first limit; proxies apply it within configApply.
func (c *cluster) changeLimit(rng *rand.Rand, l *load) {
	factor := 0.4 + rng.Float64()
	c.mu.Lock()
	defer c.mu.Unlock()
	last := l.limits[len(l.limits)-1]
	if c.now()-last.at < 2*configApply {
		return
	}
	team := last.team
	team.Rate, team.Burst = l.limits[0].team.Rate*factor, l.limits[0].team.Burst*factor
	l.limits = append(l.limits, limitAt{c.now(), team})
	c.version++
	routing := c.routing()
	for _, v := range c.vms {
		p := v.process
		time.AfterFunc(time.Duration(rng.Int64N(int64(configApply))), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if p != nil && routing.Version > p.routing.Version { // versions don't go back
				p.routing = routing
			}
		})
	}
}

// TestNothingIsRefusedBelowTheLimit guards against refusals of teams that stay below their
// limit, because their tokens are at other proxies or data centres.
func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	for _, size := range []struct{ proxies, centres int }{{5, 3}, {37, 3}, {40, 4}} {
		t.Run(fmt.Sprint(size.proxies, " proxies in ", size.centres), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runBelowLimit(t, size.proxies, size.centres) })
		})
	}
}

func runBelowLimit(t *testing.T, proxies, centres int) {
	c := newCluster(t, *firstSeed, proxies, centres)
	for range 10 {
		c.addTeam(2, 5)
	}
	c.addTeam(150, 240)
	c.addTeam(150, 1)
	c.addTeam(20, 10)
	for _, v := range c.vms {
		v.start()
	}
	time.Sleep(10 * time.Second)
	const length = 2 * time.Minute
	end := c.now() + length
	for _, l := range c.teams {
		callers := 3
		if l.rate > 10 {
			callers = 80
		}
		c.runLoad(l, callers, end, func() float64 { return 1 })
	}
	c.mu.Lock()
	clear(c.messages)
	c.mu.Unlock()
	time.Sleep(length + time.Second)
	for _, l := range c.teams {
		c.checkWindows(l)
	}
	c.mu.Lock()
	defer c.stop()
	defer c.mu.Unlock()
	refused, operations := make(map[float64]int), make(map[float64]int)
	for _, l := range c.teams {
		refused[l.rate] += l.refused
		operations[l.rate] += l.refused + len(l.admitted)
	}
	for rate, n := range operations {
		share := float64(refused[rate]) / float64(n)
		t.Logf("%d proxies in %d data centres, %v operations per second: refused %d of %d (%.3f%%)", proxies, centres, rate, refused[rate], n, 100*share)
		assert.Check(t, share < 0.005, "refused %.2f%% of teams with %v operations per second", 100*share, rate)
	}
	t.Logf("messages per second and proxy: %v", perProxy(c.messages, float64(proxies)*length.Seconds()))
}

func perProxy(messages map[string]int, seconds float64) string {
	out := ""
	for _, topic := range []string{topicRequest, topicResponse, topicDemand} {
		out += fmt.Sprintf("%s %.1f ", topic, float64(messages[topic])/seconds)
	}
	return out
}

// TestServiceContinuesWithoutAllocator guards against refusals while an allocator is
// replaced after its end, and while half of the proxies restart.
func TestServiceContinuesWithoutAllocator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, *firstSeed, 37, 3)
		for range 10 {
			c.addTeam(2, 5)
		}
		c.addTeam(150, 240)
		for _, v := range c.vms {
			v.start()
		}
		time.Sleep(10 * time.Second)
		end := c.now() + 6*time.Minute
		for _, l := range c.teams {
			c.runLoad(l, 3+int(l.rate/2), end, func() float64 { return 1 })
		}
		phase := func(name string, length time.Duration, mostRefused float64) {
			c.mu.Lock()
			for _, l := range c.teams {
				l.refused, l.admitted = 0, nil
			}
			c.mu.Unlock()
			time.Sleep(length)
			c.mu.Lock()
			defer c.mu.Unlock()
			var refused, all [2]int
			for i, l := range c.teams {
				refused[i/10] += l.refused
				all[i/10] += l.refused + len(l.admitted)
			}
			for i := range all {
				share := float64(refused[i]) / float64(max(all[i], 1))
				assert.Check(t, share <= mostRefused, "%s: refused %d of %d", name, refused[i], all[i])
			}
			t.Logf("%s: refused %d of %d of small teams, %d of %d of a large team", name, refused[0], all[0], refused[1], all[1])
		}
		// Proxies must begin to serve within 200 ms; without faults, nothing is to be refused.
		const serving, calm = 0.5, 0.005
		phase("before", 2*time.Minute, calm)
		c.restart(c.vms[0], 0, 20*time.Second)
		phase("first 200 ms without an allocator", 200*time.Millisecond, 1)
		phase("next 3 s", 3*time.Second, serving)
		phase("until 15 s", 12*time.Second, serving)
		phase("until the allocator is back and after", 10*time.Second, serving)
		for i, k := range c.random().Perm(len(c.vms))[:20] {
			c.restart(c.vms[k], time.Duration(i)*100*time.Millisecond, 300*time.Millisecond)
		}
		phase("restarts of 55%", 3*time.Second, 1)
		phase("next 5 s", 5*time.Second, serving)
		phase("after", 2*time.Minute, calm)
		c.stop()
	})
}
