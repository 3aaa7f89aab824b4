// Package entry runs a proxy on the users' platform: it serves callers, keeps
// the state of the database servers current, answers readiness probes and shuts
// down gracefully.
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
	// rotationTime is how long a proxy may receive new connections after it stopped
	// being ready: the balancer probes once a second and removes a proxy after two
	// failed probes.
	rotationTime = 2300 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process exits.
	exitMargin = 700 * time.Millisecond
	// probeTimeout bounds one request of the readiness probe.
	probeTimeout = 2 * time.Second
)

// Proxy is the proxy process of an entry VM.
type Proxy struct {
	mu       sync.Mutex
	settings settings.Entry
	fleet    *fleet.Fleet
	server   *relay.Server
	log      *slog.Logger
	leaving  atomic.Bool
	// isolated is true while this proxy is cut off and callers are to use other
	// proxies.
	isolated atomic.Bool

	callers net.Listener
	ready   *http.Server
	probes  net.Listener
}

// New returns a proxy that listens on its addresses. Run accepts callers.
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

// answerProbe reports to the balancer whether this proxy takes new connections.
func (p *Proxy) answerProbe(w http.ResponseWriter, _ *http.Request) {
	if p.leaving.Load() || p.isolated.Load() || !p.fleet.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload applies the grace period and the drain limit of s. Changes of addresses
// and names need a restart, because callers and servers use the current ones.
func (p *Proxy) Reload(s settings.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	updated := p.settings
	updated.Grace, updated.DrainLimit = s.Grace, s.DrainLimit
	if !s.Equal(p.settings) {
		p.log.Info("Reloaded the settings.", "grace", s.Grace, "drainLimit", s.DrainLimit, "restartNeeded", !updated.Equal(s))
	} else {
		p.log.Info("Reloaded the settings, nothing changed.")
	}
	p.settings = updated
	p.fleet.SetDrainLimit(s.DrainLimit)
}

func (p *Proxy) grace() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings.Grace
}

// Run serves until ctx ends and then shuts down: it reports to the balancer that
// it isn't ready, then closes idle sessions and finally ends open transactions.
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

// isolationInterval is how often a proxy checks whether it is cut off.
const isolationInterval = 200 * time.Millisecond

// watchIsolation moves callers to other proxies while this proxy is cut off. The
// readiness probe fails, so that the balancer sends new callers to other proxies.
// Idle sessions are closed once the balancer has noticed.
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
			p.server.MoveIdle()
		}
	}
}

func (p *Proxy) shutdown(ctx context.Context) {
	began := time.Now()
	p.leaving.Store(true)
	grace := p.grace()
	p.log.Info("Stopping.", "grace", grace)
	ctx, cancel := context.WithDeadline(ctx, began.Add(grace-exitMargin))
	defer cancel()
	_ = sleep.For(ctx, rotationTime) // the deadline of ctx is later
	p.server.CloseIdle(false)
	half, cancelHalf := context.WithDeadline(ctx, began.Add(grace/2))
	left := p.server.Wait(half)
	cancelHalf()
	if left > 0 {
		p.server.CloseIdle(true)
		left = p.server.Wait(ctx)
	}
	_ = p.callers.Close() // the process ends
	_ = p.ready.Close()   // the process ends
	p.log.Info("Stopped.", "took", time.Since(began), "sessionsCut", left)
}
