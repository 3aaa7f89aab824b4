// Package entry joins the parts of a proxy on the users' platform: callers'
// sessions, the fleet's state, readiness and an orderly end.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/relay"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/pkg/errors"
)

const (
	// rotationTime is how long after it stopped being ready a proxy may get new
	// connections: the balancer asks once a second and believes two misses.
	rotationTime = 2300 * time.Millisecond
	// endMargin is how long before the end of the grace the process exits.
	endMargin = 700 * time.Millisecond
	// probeTimeout bounds one request of the readiness probe.
	probeTimeout = 2 * time.Second
)

// Proxy is the daemon of an entry VM.
type Proxy struct {
	mu       sync.Mutex
	settings settings.Entry
	fleet    *fleet.Fleet
	server   *relay.Server
	log      *slog.Logger
	leaving  atomic.Bool
	// isolated says that callers are sent elsewhere.
	isolated atomic.Bool

	callers net.Listener
	ready   *http.Server
	probes  net.Listener
}

// New opens the proxy's addresses. Callers are accepted by Run.
func New(s settings.Entry, f *fleet.Fleet, server *relay.Server, log *slog.Logger) (*Proxy, error) {
	p := &Proxy{settings: s, fleet: f, server: server, log: logging.For(log, "entry")}
	var err error
	if p.callers, err = net.Listen("tcp", s.CallerAddress); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if p.probes, err = net.Listen("tcp", s.ReadyAddress); err != nil {
		_ = p.callers.Close() // nothing was accepted
		return nil, errors.Wrap(err, "listen for readiness probes")
	}
	p.ready = &http.Server{Handler: http.HandlerFunc(p.answerProbe), ReadTimeout: probeTimeout, WriteTimeout: probeTimeout}
	return p, nil
}

// answerProbe says whether this proxy takes new connections.
func (p *Proxy) answerProbe(w http.ResponseWriter, _ *http.Request) {
	if p.leaving.Load() || p.isolated.Load() || !p.fleet.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload puts changed settings in force. Addresses and names stay until the
// next start, because callers and servers use them.
func (p *Proxy) Reload(s settings.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings
	now.Grace, now.DrainLimit = s.Grace, s.DrainLimit
	if s != p.settings {
		p.log.Info("Reloaded the settings.", "grace", s.Grace, "drainLimit", s.DrainLimit, "restartNeeded", now != s)
	} else {
		p.log.Info("Reloaded the settings, nothing changed.")
	}
	p.settings = now
	p.fleet.SetDrainLimit(s.DrainLimit)
}

func (p *Proxy) grace() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings.Grace
}

// Run serves until ctx ends, then lets callers go: first the balancer learns
// of it, then resting sessions are closed, then open transactions are ended.
func (p *Proxy) Run(ctx context.Context) error {
	p.log.Info("Started.", "vm", p.settings.VM, "dataCentre", p.settings.DataCentre,
		"callers", p.settings.CallerAddress, "store", p.settings.MetadataAddress)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go p.fleet.Run(work)
	failed := make(chan error, 2)
	go func() { failed <- p.server.Serve(work, p.callers) }()
	go func() { failed <- p.ready.Serve(p.probes) }()
	go p.watchIsolation(ctx)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.shutdown(work)
	return nil
}

// isolationInterval is how often a proxy asks itself whether it is cut off.
const isolationInterval = 200 * time.Millisecond

// watchIsolation sends callers elsewhere while this proxy is cut off: new ones
// through the balancer, and resting sessions once the balancer knows.
func (p *Proxy) watchIsolation(ctx context.Context) {
	var since time.Time
	moved := false
	for sleep.For(ctx, isolationInterval) == nil {
		isolated := p.fleet.Isolated()
		if was := p.isolated.Swap(isolated); was != isolated {
			p.log.Info("Isolation changed.", "isolated", isolated)
			since, moved = time.Now(), false
		}
		if isolated && !moved && time.Since(since) > rotationTime {
			moved = true
			p.server.MoveResting()
		}
	}
}

func (p *Proxy) shutdown(ctx context.Context) {
	began := time.Now()
	p.leaving.Store(true)
	grace := p.grace()
	p.log.Info("Stopping.", "grace", grace)
	ctx, cancel := context.WithDeadline(ctx, began.Add(grace-endMargin))
	defer cancel()
	_ = sleep.For(ctx, rotationTime) // ctx only ends later
	p.server.CloseResting(false)
	half, cancelHalf := context.WithDeadline(ctx, began.Add(grace/2))
	left := p.server.Wait(half)
	cancelHalf()
	if left > 0 {
		p.server.CloseResting(true)
		left = p.server.Wait(ctx)
	}
	_ = p.callers.Close() // the process ends
	_ = p.ready.Close()   // the process ends
	p.log.Info("Stopped.", "took", time.Since(began), "sessionsCut", left)
}
