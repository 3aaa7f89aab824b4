package rowrelay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// configCompareInterval is how often the reader of a region compares the
	// configuration in force with that of a proxy of another region.
	configCompareInterval = 2 * time.Second
	// configLateAfter is how long peers may have a newer configuration before a line is
	// logged: half of the 6 s within which a configuration must be in force.
	configLateAfter = 3 * time.Second
)

// knownConfig is the newest configuration version that peers have reported.
type knownConfig struct {
	version uint64
	// newerSince is when version was first known to be newer than that in force; 0 if
	// it is not.
	newerSince tables.Time
	// logged is the last version for which a line was logged.
	logged uint64
}

// newestConfig returns the newest configuration version known, for messages; 0 with one
// region.
func (r *Relay) newestConfig() uint64 {
	if !r.regional {
		return 0
	}
	inForce := r.configInForce()
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(inForce, r.known.version)
}

// configInForce returns the configuration version in force at this proxy; 0 with one
// region.
func (r *Relay) configInForce() uint64 {
	if !r.regional || r.ConfigVersion == nil {
		return 0
	}
	return r.ConfigVersion()
}

// noteConfig records a configuration version that a peer knows.
func (r *Relay) noteConfig(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= r.known.version {
		return
	}
	r.known.version = version
	if r.OnKnownConfig != nil {
		r.OnKnownConfig(version)
	}
}

// checkConfig logs a line if the configuration in force has long been older than that of
// peers.
func (r *Relay) checkConfig() {
	inForce := r.configInForce()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	switch {
	case inForce == 0 || r.known.version <= inForce:
		r.known.newerSince = 0
	case r.known.newerSince == 0:
		r.known.newerSince = now
	case now.Sub(r.known.newerSince) >= configLateAfter && r.known.logged != r.known.version:
		r.known.logged = r.known.version
		r.log.Warn("Peers have a newer configuration.", "version", r.known.version, "inForce", inForce, "for", now.Sub(r.known.newerSince))
	}
}

// compareConfigs compares the configuration in force with that of a proxy of another
// region, as long as this proxy is the reader of its region, until ctx ends. Otherwise a
// region that is behind as a whole would not know.
func (r *Relay) compareConfigs(ctx context.Context) {
	ticker := time.NewTicker(configCompareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if p, ok := r.farPeer(); ok && r.isRegionReader() {
			// The response's version is recorded; without one the next try follows.
			_, _ = r.call(ctx, peerTimeout, request{Check: true}, p.Address)
		}
	}
}

// farPeer returns a random proxy of another region; ok is false if there is none.
func (r *Relay) farPeer() (p Peer, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var far []Peer
	for _, p := range r.peers {
		if !r.inOwnRegion(p) {
			far = append(far, p)
		}
	}
	if len(far) == 0 {
		return Peer{}, false
	}
	return far[rand.IntN(len(far))], true
}

// call sends a request to a peer, with the newest configuration version that either
// knows.
func (r *Relay) call(ctx context.Context, timeout time.Duration, q request, address string) (response, error) {
	q.Config = r.newestConfig()
	res, err := r.exchange.Call(ctx, timeout, q, address)
	if err == nil {
		r.noteConfig(res.Config)
	}
	return res, err
}
