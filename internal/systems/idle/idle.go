// Package idle computes the idle timeout of a proxy's connections to a server. A
// server accepts few connections, which all proxies share. The timeout is designed
// for two situations: more proxies than connections, each using the server
// occasionally; and the time after a power loss, when a server still holds the old
// connections while all proxies open new ones.
package idle

import (
	"math"
	"time"
)

// MaxTimeout is the maximum idle timeout. Opening a connection occupies a slot of
// the server for about 12 ms.
const MaxTimeout = 4 * time.Second

// smoothing is the reciprocal of the weight of a new interval in the moving average.
const smoothing = 8

// UseInterval is the exponential moving average of the time between two uses of a
// server by one proxy; 0 means unknown.
type UseInterval time.Duration

// Observe adds a use to the average, a given time after the previous use.
func (u *UseInterval) Observe(after time.Duration) {
	if *u == 0 {
		*u = UseInterval(max(after, 1))
		return
	}
	*u = max(*u+(UseInterval(after)-*u)/smoothing, 1)
}

// Share returns a proxy's share of the idle connections at a server. All proxies
// together may keep half of the connections that the server accepts.
func Share(connections, proxies int) float64 {
	return float64(connections) / 2 / float64(max(proxies, 1))
}

// Parts of a server's idle connections that holders keep for the other proxies of their
// data centres (see package holder). Reads of replicas mostly go through holders, whereas
// a primary also gets writes, transactions and reads of the newest data, which don't.
const (
	holderPartOfReplica = 0.75
	holderPartOfPrimary = 0.25
)

// HolderShare returns a proxy's share of the idle connections at a server to which reads
// are forwarded. share is the result of Share, near the number of proxies of its data
// centre, and holds says whether it is their holder. The sum over all proxies is the same
// as that of Share.
func HolderShare(share float64, near int, holds, primary bool) float64 {
	part := holderPartOfReplica
	if primary {
		part = holderPartOfPrimary
	}
	out := share * (1 - part)
	if holds {
		out += share * part * float64(max(near, 1))
	}
	return out
}

// Count returns how many connections a proxy keeps after a burst of requests, each
// for up to Timeout; at least one.
func Count(share float64) int { return max(1, int(share)) }

// Timeout returns how long an idle connection is kept. If the share is less than one
// connection, the timeout is chosen so that a proxy which uses the server at random
// times (a Poisson process) has an idle connection for that share of the time.
func Timeout(share float64, interval UseInterval) time.Duration {
	if share >= 1 || interval == 0 {
		return MaxTimeout
	}
	timeout := -math.Log1p(-share) * float64(interval)
	return time.Duration(min(timeout, float64(MaxTimeout)))
}
