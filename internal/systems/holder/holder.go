// Package holder decides whether a proxy runs a read on a connection of its own, or
// forwards it to the proxy of its data centre that holds the connections to the server:
// the holder. It is designed for more proxies than a server accepts connections. If each
// proxy used a server on its own then, it would have a connection for a fraction of the
// time only, and would open one for most of its statements.
package holder

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Share returns how many of a server's connections one proxy may use for one team. teams
// is the number of configured teams; 0 means a deployment without teams. A server without
// a limit has connections 0, and the share is then unlimited.
func Share(connections, proxies, teams int) float64 {
	if connections <= 0 {
		return float64(^uint(0) >> 1)
	}
	return float64(connections) / float64(max(proxies, 1)) / float64(max(teams, 1))
}

// Needed reports whether reads of a server are forwarded at a given share: a proxy then
// can't keep as many connections as the server runs statements at the same time, so it
// would open one and close it again whenever some of its own statements coincide.
func Needed(share float64, slots int) bool { return share < float64(max(slots, 1)) }

// Proxy is a proxy of the own data centre.
type Proxy struct {
	VM tables.VMID
	// Address is its IP:port for messages between proxies.
	Address string
	// SkippedUntil is when it may be the holder again, after it did not respond.
	SkippedUntil tables.Time
}

// Choose returns the index of the holder for a server and a team among proxies, by
// rendezvous hashing. Proxies with equal lists agree on it; a proxy that joins or leaves
// changes only the holders that it takes over or was. A skipped proxy is not chosen,
// unless it is self. ok is false if no proxy can be chosen.
func Choose(proxies []Proxy, self tables.VMID, server tables.UpstreamID, team tables.TeamID, now tables.Time) (best int, ok bool) {
	key := hash(hash(offset, string(server)), string(team))
	var highest uint64
	for i := range proxies {
		p := &proxies[i]
		if now < p.SkippedUntil && p.VM != self {
			continue
		}
		w := mix(hash(key, string(p.VM)))
		if !ok || w > highest || w == highest && p.VM < proxies[best].VM {
			best, highest, ok = i, w, true
		}
	}
	return best, ok
}

// Constants of the 64-bit FNV-1a hash.
const (
	offset uint64 = 14695981039346656037
	prime  uint64 = 1099511628211
)

// hash continues an FNV-1a hash with a string and a separator. It must not differ
// between processes, so hash/maphash can't be used.
func hash(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return (h ^ 0xff) * prime
}

// mix distributes the bits of an FNV hash: names that differ in the last character only
// would otherwise have similar weights (finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

const (
	// skipTime is how long a holder that did not respond is skipped.
	skipTime = time.Second
	// maxSkipDoublings bounds the skip time of a holder that keeps failing: a VM that was
	// lost stays in the directory of proxies, where all others ask for it.
	maxSkipDoublings = 4
)

// SkipTime returns how long a holder is skipped after a number of failures in a row.
func SkipTime(failures int) time.Duration {
	return skipTime << min(max(failures-1, 0), maxSkipDoublings)
}
