// Package place chooses the upstream for a read that several can answer. It
// serves the load of many short reads with a few slots a server, which all
// proxies share without telling each other: what a server's answers take shows
// what the others send it.
package place

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// crossDelay is what a server in another data centre costs beside its own
	// time: the round trip and the bytes, which are dear between data centres.
	crossDelay = 8 * time.Millisecond
	// crossFactor is how many times faster a server in another data centre must
	// be expected to answer. Smoothed times of a server differ by a third from
	// chance alone, as statements take 8 to 40 ms and some of them five times that.
	crossFactor = 2
	// firstLatency is assumed of a server that has answered nothing yet.
	firstLatency = 10 * time.Millisecond
)

// Candidate is an upstream as a proxy sees it.
type Candidate struct {
	// ID names the server.
	ID tables.UpstreamID
	// Local says that it runs in the proxy's data centre.
	Local bool
	// Excluded says that it must not get the request: it is leaving, failing, or was tried.
	Excluded bool
	// Slots is how many statements it runs at once, over all proxies.
	Slots int
	// Outstanding is how many of this proxy's statements run or wait there.
	Outstanding int
	// Latency is the smoothed time of its last answers; 0 means unknown.
	Latency time.Duration
}

// Choose returns the index of the candidate that is expected to answer first;
// ok is false if all are barred. Random decides between equal ones.
func Choose(list []Candidate, random uint32) (best int, ok bool) {
	var least time.Duration
	n := len(list)
	for k := range n {
		i := (k + int(random%uint32(n))) % n
		if list[i].Excluded {
			continue
		}
		if cost := expected(&list[i]); !ok || cost < least {
			best, least, ok = i, cost, true
		}
	}
	return best, ok
}

// expected returns when an answer of c is due: its last answers' time, longer
// by what of this proxy's already fills its slots.
func expected(c *Candidate) time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = firstLatency
	}
	slots := max(c.Slots, 1)
	cost := latency + latency*time.Duration(c.Outstanding)/time.Duration(slots)
	if !c.Local {
		cost = cost*crossFactor + crossDelay
	}
	return cost
}
