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

// Longest is how long a resting connection is kept at most. Opening one takes a
// server a slot for some 12 ms.
const Longest = 4 * time.Second

// gapWeight is the weight divisor of a new gap between two uses.
const gapWeight = 8

// Gap is the smoothed time between two uses of a server by one proxy; 0 means
// unknown.
type Gap time.Duration

// Used takes note of a use that came a time after the last one.
func (g *Gap) Used(after time.Duration) {
	if *g == 0 {
		*g = Gap(max(after, 1))
		return
	}
	*g = max(*g+(Gap(after)-*g)/gapWeight, 1)
}

// Part is a proxy's part of the connections that may rest at a server: half of
// what the server takes, over all proxies.
func Part(connections, proxies int) float64 {
	return float64(connections) / 2 / float64(max(proxies, 1))
}

// Count is how many connections a proxy keeps for longer than a burst; at least one.
func Count(part float64) int { return max(1, int(part)) }

// Rest returns how long such a connection is kept. Where the part is less than
// one connection, each proxy keeps its own for so long after a use that, with
// uses at random moments, as many rest as may.
func Rest(part float64, gap Gap) time.Duration {
	if part >= 1 || gap == 0 {
		return Longest
	}
	rest := -math.Log1p(-part) * float64(gap)
	return time.Duration(min(rest, float64(Longest)))
}
