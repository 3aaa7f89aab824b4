// Package place chooses the upstream for a read that several upstreams can serve.
// It is designed for many short reads and servers with a few slots. All proxies
// share these slots without exchanging load data: the response times of a server
// reflect the load that the other proxies put on it.
package place

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// remoteDelay is the additional cost of a server in another data centre: the
	// round trip, and the traffic between data centres, which is expensive.
	remoteDelay = 8 * time.Millisecond
	// remoteFactor is how many times faster than a local server a server in another
	// data centre must be expected to respond to be preferred. Smoothed latencies of a
	// server vary by a third by chance alone, because statements take 8 to 40 ms and
	// some of them five times as long.
	remoteFactor = 2
	// initialLatency is the assumed latency of a server without a measurement.
	initialLatency = 10 * time.Millisecond
)

// Candidate is an upstream as seen by this proxy.
type Candidate struct {
	// ID identifies the server.
	ID tables.UpstreamID
	// Local reports whether it runs in the proxy's data centre.
	Local bool
	// Excluded reports whether it must not get the request: it is leaving, failing,
	// or was already tried.
	Excluded bool
	// Elsewhere reports whether this proxy has used its part of a server that is
	// ramping up. It gets the request only if no other candidate can.
	Elsewhere bool
	// Slots is how many statements it runs concurrently, for all proxies together.
	Slots int
	// Outstanding is the number of this proxy's statements that run or wait there.
	Outstanding int
	// Latency is the smoothed response time of its last statements; 0 means unknown.
	Latency time.Duration
}

// Choose returns the index of the candidate with the lowest expected cost, of those
// that are to go elsewhere only if there is no other; ok is false if all are excluded.
// random breaks ties.
func Choose(list []Candidate, random uint32) (best int, ok bool) {
	var lowest time.Duration
	n := len(list)
	for k := range n {
		i := (k + int(random%uint32(n))) % n
		if list[i].Excluded {
			continue
		}
		cost := expectedCost(&list[i])
		preferred := !ok || list[best].Elsewhere && !list[i].Elsewhere
		if preferred || cost < lowest && list[best].Elsewhere == list[i].Elsewhere {
			best, lowest, ok = i, cost, true
		}
	}
	return best, ok
}

// expectedCost returns the expected response time of c, increased by a penalty for
// a server in another data centre. The expected response time is the smoothed
// latency, scaled up by this proxy's outstanding statements per slot.
func expectedCost(c *Candidate) time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = initialLatency
	}
	slots := max(c.Slots, 1)
	cost := latency + latency*time.Duration(c.Outstanding)/time.Duration(slots)
	if !c.Local {
		cost = cost*remoteFactor + remoteDelay
	}
	return cost
}
