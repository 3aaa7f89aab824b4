// Package keep decides how long a proxy keeps connections that rest. A server
// takes few connections, and all proxies hold some of them. It serves two loads:
// more proxies than a server takes connections, each of which uses it now and
// then; and the moment after a loss of power, when a server still holds the
// connections of before and all proxies open new ones.
package keep

import (
	"math"
	"time"
)

// MaxTimeout is how long a resting connection is kept at most. Opening one takes a
// server a slot for some 12 ms.
const MaxTimeout = 4 * time.Second

// gapWeight is the weight divisor of a new gap between two uses.
const gapWeight = 8

// UseInterval is the smoothed time between two uses of a server by one proxy; 0 means
// unknown.
type UseInterval time.Duration

// Observe takes note of a use that came a time after the last one.
func (g *UseInterval) Observe(after time.Duration) {
	if *g == 0 {
		*g = UseInterval(max(after, 1))
		return
	}
	*g = max(*g+(UseInterval(after)-*g)/gapWeight, 1)
}

// Share is a proxy's part of the connections that may rest at a server: half of
// what the server takes, over all proxies.
func Share(connections, proxies int) float64 {
	return float64(connections) / 2 / float64(max(proxies, 1))
}

// Count is how many connections a proxy keeps for longer than a burst; at least one.
func Count(part float64) int { return max(1, int(part)) }

// Timeout returns how long such a connection is kept. Where the part is less than
// one connection, each proxy keeps its own for so long after a use that, with
// uses at random moments, as many rest as may.
func Timeout(part float64, gap UseInterval) time.Duration {
	if part >= 1 || gap == 0 {
		return MaxTimeout
	}
	rest := -math.Log1p(-part) * float64(gap)
	return time.Duration(min(rest, float64(MaxTimeout)))
}
