// Package forward runs single reads through the proxy of the own data centre that holds
// the connections to a server, the holder (see package holder). It is in use only where
// a proxy's share of a server's connections is below the server's slots.
//
// A forwarded read carries all that a direct one sends to the server: the log position
// that the server must have reached, the session values and the prepared statement's
// definition. The server itself checks the position, so a holder with an old view can
// refuse a read or delay it, but not make its result older.
//
// A request that is lost, or whose response is, counts as a read with an unknown outcome.
// While a response is late, the sender queries the holder whether the read still runs: a
// slow server is told apart from a holder that is gone or has lost the request.
package forward

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/peer/rpc"
	"github.com/cranberrystage/cranberrystage/internal/rowrelay"
	"github.com/cranberrystage/cranberrystage/internal/systems/holder"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"golang.org/x/time/rate"
)

// Topics of the messages.
const (
	topicRequest  = "read-request"
	topicResponse = "read-response"
)

const (
	// listInterval is how old the list of nearby proxies may be.
	listInterval = 500 * time.Millisecond
	// maxLinesPerSecond and maxLineBurst limit the log lines of this package.
	maxLinesPerSecond = 10
	maxLineBurst      = 50
	// maxSilent is the number of holders in a row without a response from which this proxy
	// counts as cut off: reads then go direct until any holder responds.
	maxSilent = 3
)

// Options holds the dependencies and settings of a Forwarder.
type Options struct {
	VM tables.VMID
	// Address is this proxy's IP:port for messages between proxies.
	Address string
	Bus     rpc.Bus
	// Nearby returns the proxies of this data centre.
	Nearby func() []rowrelay.Peer
	// Fleet returns this proxy's view of the servers.
	Fleet   func() *fleet.Fleet
	Now     func() tables.Time
	Metrics *metrics.Metrics
	Log     *slog.Logger
}

// Forwarder sends reads to holders, and runs those that it receives as holder. It is safe
// for concurrent use. A nil Forwarder forwards nothing.
type Forwarder struct {
	Options
	log      *slog.Logger
	lines    *rate.Limiter
	exchange *rpc.Endpoint[[]byte, []byte]
	held     held
	// sequence numbers requests. It starts at a random number, so that the holder doesn't
	// confuse requests of this process with those from before a restart.
	sequence atomic.Uint64

	mu       sync.Mutex
	proxies  []holder.Proxy
	listedAt tables.Time
	failures map[tables.VMID]int
	// silent counts the holders in a row that did not respond.
	silent int
}

// New returns a forwarder. Serve makes it run the reads of other proxies.
func New(o Options) *Forwarder {
	log := logging.For(o.Log, "forward")
	f := &Forwarder{
		Options: o,
		log:     log,
		lines:   rate.NewLimiter(maxLinesPerSecond, maxLineBurst),
		exchange: rpc.New[[]byte, []byte](rpc.Options{
			Address: o.Address, RequestTopic: topicRequest, ResponseTopic: topicResponse, Bus: o.Bus, Log: log,
		}),
		held:     held{running: make(map[heldKey]struct{})},
		failures: make(map[tables.VMID]int),
	}
	f.sequence.Store(rand.Uint64())
	return f
}

// line writes a log line unless there are too many.
func (f *Forwarder) line(message string, attributes ...any) {
	if f.lines.Allow() {
		f.log.Info(message, attributes...)
	}
}

// malformed counts and logs a malformed message.
func (f *Forwarder) malformed(what string, err error) {
	f.Metrics.CountForwardMalformed()
	f.line("Ignored a malformed "+what+" of a proxy.", "error", err)
}

// Holder returns the proxy that a read of a team at server u is to be forwarded to; ok is
// false if this proxy runs it.
func (f *Forwarder) Holder(u *fleet.Upstream, team tables.TeamID) (h Holder, ok bool) {
	if f == nil || !holder.Needed(f.Fleet().ConnectionShare(u.Group()), u.Slots()) {
		return Holder{}, false
	}
	if h, ok = f.choose(u.ID(), team); !ok {
		f.Metrics.CountForwardableRead(metrics.PathDirect)
	}
	return h, ok
}

// Holder is a proxy that reads are forwarded to.
type Holder struct {
	VM      tables.VMID
	address string
}

func (f *Forwarder) choose(server tables.UpstreamID, team tables.TeamID) (Holder, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	f.refresh(now)
	for {
		i, ok := holder.Choose(f.proxies, f.VM, server, team, now)
		if !ok || f.proxies[i].VM == f.VM {
			return Holder{}, false
		}
		p := &f.proxies[i]
		h := Holder{VM: p.VM, address: p.Address}
		cutOff := f.silent >= maxSilent
		if f.failures[p.VM] == 0 && !cutOff {
			return h, true
		}
		// It is probed in the background; reads use the next one until it does.
		p.SkippedUntil = now.Add(holder.SkipTime(1))
		go f.probe(h)
		if cutOff {
			return Holder{}, false
		}
	}
}

// refresh updates the list of nearby proxies if it is old. The lock must be held.
func (f *Forwarder) refresh(now tables.Time) {
	if f.proxies != nil && now.Sub(f.listedAt) < listInterval {
		return
	}
	f.listedAt = now
	skipped := make(map[tables.VMID]tables.Time)
	for _, p := range f.proxies {
		if p.SkippedUntil > now {
			skipped[p.VM] = p.SkippedUntil
		}
	}
	near := f.Nearby()
	f.proxies = make([]holder.Proxy, len(near))
	for i, p := range near {
		f.proxies[i] = holder.Proxy{VM: p.VM, Address: p.Address, SkippedUntil: skipped[p.VM]}
	}
}

// Holding returns the number of nearby proxies, and whether this one holds their
// connections to a server in a deployment without teams.
func (f *Forwarder) Holding(server tables.UpstreamID) (near int, holds bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	f.refresh(now)
	i, ok := holder.Choose(f.proxies, f.VM, server, "", now)
	return len(f.proxies), ok && f.proxies[i].VM == f.VM
}

// skip skips a holder for a time, as it did not respond or is stopping.
func (f *Forwarder) skip(vm tables.VMID, reason error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures[vm]++
	if reason == ErrHolderSilent {
		f.silent++
	}
	d := holder.SkipTime(f.failures[vm])
	for i := range f.proxies {
		if f.proxies[i].VM == vm {
			f.proxies[i].SkippedUntil = f.Now().Add(d)
		}
	}
	f.line("Skipping a holder.", "holder", vm, "reason", reason, "duration", d)
}

// responded records that a holder responds.
func (f *Forwarder) responded(vm tables.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = 0
	if f.failures[vm] == 0 {
		return
	}
	delete(f.failures, vm)
	for i := range f.proxies {
		if f.proxies[i].VM == vm {
			f.proxies[i].SkippedUntil = 0
		}
	}
}
