package proxy

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/peer/peertls"
	"github.com/cranberrystage/cranberrystage/internal/peer/tcpbus"
	"github.com/cranberrystage/cranberrystage/internal/pgsession"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/systems/configure"
	"github.com/cranberrystage/cranberrystage/internal/systems/detect"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/failover"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/reap"
	"github.com/cranberrystage/cranberrystage/internal/systems/watch"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
)

// Platform holds the platform's services that the process uses.
type Platform struct {
	// Tables is the table service.
	Tables platform.Tables
	// Objects is the object store.
	Objects platform.Objects
	// VMs is the VM list.
	VMs platform.VMs
}

// Proxy is the daemon of an entry VM.
type Proxy struct {
	settings   settings.Proxy
	log        *slog.Logger
	registry   *prometheus.Registry
	metrics    *metrics.Metrics
	core       *core
	bus        *tcpbus.Bus
	upstreams  *upstreams
	confirmers *confirmers
	performer  *performer
	exec       *pgsession.Executor
	load       pgsession.Load
	callers    []*callers.Server
	admin      net.Listener
	configured atomic.Bool
	leaving    atomic.Bool
	cancel     context.CancelFunc
}

// New listens on all addresses and returns a proxy; Run starts it.
func New(s settings.Proxy, pl Platform, log *slog.Logger) (*Proxy, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{settings: s, log: log, registry: prometheus.NewRegistry(), cancel: cancel}
	p.metrics = metrics.New(p.registry)
	p.upstreams = newUpstreams(s.Upstreams, s.VM, s.DataCentre)
	bus, err := newBus(s, log)
	if err != nil {
		cancel()
		return nil, err
	}
	p.bus = bus
	p.performer = &performer{
		ctx: ctx, upstreams: p.upstreams, bus: bus,
		tables: pl.Tables, objects: pl.Objects, vms: pl.VMs,
		probeTimeout: time.Duration(s.Timeouts.Probe),
		log:          logging.For(log, "control"), onApplied: p.configApplied,
	}
	world := tables.NewWorld(s.VM, s.DataCentre, s.PeerAddress)
	p.core = newCore(world, p.systems(), p.performer.perform)
	p.performer.core = p.core
	p.upstreams.now = p.core.Now
	p.confirmers = &confirmers{ctx: ctx, core: p.core, upstreams: p.upstreams}
	p.exec = pgsession.New(p, p.metrics)
	if err := p.listen(); err != nil {
		p.closeListeners()
		cancel()
		return nil, err
	}
	return p, nil
}

func newBus(s settings.Proxy, log *slog.Logger) (*tcpbus.Bus, error) {
	opts := tcpbus.Options{Logger: logging.For(log, "peers")}
	if s.PeerTLS.On() {
		cfg, err := peertls.Load(peertls.Files{
			Certificate: s.PeerTLS.CertificateFile,
			Key:         s.PeerTLS.KeyFile,
			Authority:   s.PeerTLS.AuthorityFile,
		})
		if err != nil {
			return nil, err
		}
		opts.TLS = cfg
	}
	return tcpbus.New(s.PeerAddress, opts)
}

// systems returns the systems of the decision core in the order in which they run.
func (p *Proxy) systems() []system {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ranking := membership.NewRanking()
	candidates := ranking.Candidates
	memberOptions := membership.DefaultOptions()
	for _, address := range p.settings.SeedPeers {
		id := tables.VMID(seedPrefix + address)
		memberOptions.Seeds = append(memberOptions.Seeds, tables.VM{ID: id, PeerAddress: address})
	}
	watcher := watch.New(watch.DefaultOptions(ranking.IsCandidate))
	return []system{
		membership.New(memberOptions, random),
		configure.New(watcher.Apply, random),
		watcher,
		detect.New(detect.DefaultOptions(candidates), random),
		failover.New(failover.DefaultOptions(candidates), random),
		reap.New(reap.DefaultOptions(candidates)),
	}
}

// seedPrefix followed by the address is the provisional name of a peer whose name
// is not known yet.
const seedPrefix = "seed "

func (p *Proxy) listen() error {
	opts := callers.Options{
		MaxCallers:        p.settings.Callers.MaxCallers,
		MaxFrame:          p.settings.Callers.MaxFrameBytes,
		StartupTimeout:    time.Duration(p.settings.Timeouts.Handshake),
		IdleInTransaction: time.Duration(p.settings.Timeouts.IdleInTransaction),
		OnFatal:           p.metrics.CountCallerError,
	}
	if f := p.settings.Callers.CertificateFile; f != "" {
		cert, err := tls.LoadX509KeyPair(f, p.settings.Callers.KeyFile)
		if err != nil {
			return errors.Wrap(err, "load the certificate")
		}
		opts.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	for _, address := range p.settings.Callers.Addresses {
		s, err := callers.New(address, p.exec, opts, logging.For(p.log, "callers"))
		if err != nil {
			return err
		}
		p.callers = append(p.callers, s)
	}
	l, err := net.Listen("tcp", p.settings.AdminAddress)
	p.admin = l
	return errors.Wrap(err, "listen for operators")
}

func (p *Proxy) closeListeners() {
	_ = p.bus.Close()
	for _, s := range p.callers {
		s.Close()
	}
	if p.admin != nil {
		_ = p.admin.Close()
	}
}

// configApplied passes a new configuration to the statement path.
func (p *Proxy) configApplied(version uint64, doc config.Document) {
	p.exec.SetDocument(doc)
	p.metrics.SetConfigVersion(version)
	p.configured.Store(true)
}

// drain makes the proxy refuse new callers, or accept them again. Requests and
// transactions in progress finish.
func (p *Proxy) drain(leaving bool) {
	if p.leaving.Swap(leaving) == leaving {
		return
	}
	if leaving {
		p.log.Info("proxy: Stopped accepting callers.")
	} else {
		p.log.Info("proxy: Resumed accepting callers.")
	}
	for _, s := range p.callers {
		s.Drain(leaving)
	}
}

// ready reports whether the proxy accepts callers.
func (p *Proxy) ready() bool { return p.configured.Load() && !p.leaving.Load() }

// membershipInterval is the time between two calls of applyMembership.
const membershipInterval = time.Second

// followMembership calls applyMembership periodically until ctx ends.
func (p *Proxy) followMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		_ = p.core.withWorld(ctx, p.applyMembership)
	}
}

// applyMembership sets each pool's limit to this process's share of the upstream's
// connections, and drains the proxy while the configuration or the platform marks
// this VM as leaving.
func (p *Proxy) applyMembership(w *tables.World) {
	now := p.core.Now()
	self, _ := w.VMs.Get(w.Self)
	p.drain(self.Leaving || w.Leaving)
	for _, id := range w.Upstreams.Keys() {
		p.upstreams.limit(id, membership.ConnectionShare(w, id, now))
	}
}

// Run serves until ctx ends, then shuts down: the proxy reports that it is not
// ready, accepts no new callers, finishes requests in flight and closes idle
// callers' connections.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.cancel()
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	g, inner := errgroup.WithContext(inner)
	g.Go(func() error {
		p.core.run(inner)
		return nil
	})
	g.Go(func() error { return p.serveAdmin(inner) })
	g.Go(func() error {
		return p.bus.Run(inner, func(msg any) { p.core.Report(event.PeerMessage{Message: msg}) })
	})
	g.Go(func() error {
		p.followMembership(inner)
		return nil
	})
	for _, s := range p.callers {
		g.Go(func() error { return s.Run(inner) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			p.shutdown()
		case <-inner.Done():
		}
		stop()
		return nil
	})
	p.log.Info("proxy: Serving.", "vm", p.settings.VM, "dataCentre", p.settings.DataCentre)
	err := g.Wait()
	_ = p.bus.Close()
	p.upstreams.closeAll()
	p.log.Info("proxy: Stopped.")
	return err
}

func (p *Proxy) shutdown() {
	p.log.Info("proxy: Shutting down.")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.settings.ShutdownGrace))
	defer cancel()
	_ = p.core.withWorld(ctx, func(w *tables.World) { w.Leaving = true })
	p.drain(true)
	var g errgroup.Group
	for _, s := range p.callers {
		g.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		p.log.Warn("proxy: Closed remaining callers at the end of the shutdown grace period.", "error", err)
	}
}

func (p *Proxy) serveAdmin(ctx context.Context) error {
	srv := &http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: adminTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(p.admin); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve operators")
	}
	return nil
}
