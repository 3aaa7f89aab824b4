// Command cranberrystage-entry is the proxy process of an entry VM on the users'
// platform. It reads its settings from a file that the platform provides.
package main

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/boottime"
	"github.com/cranberrystage/cranberrystage/internal/entry"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/forward"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/peer/tcpbus"
	"github.com/cranberrystage/cranberrystage/internal/platform/metered"
	"github.com/cranberrystage/cranberrystage/internal/pointrelay"
	"github.com/cranberrystage/cranberrystage/internal/quotarelay"
	"github.com/cranberrystage/cranberrystage/internal/relay"
	"github.com/cranberrystage/cranberrystage/internal/rowrelay"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/systems/quota"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/duty"
	"github.com/cranberrystage/cranberrystage/platform/entries"
	"github.com/cranberrystage/cranberrystage/platform/process"
	"github.com/cranberrystage/cranberrystage/platform/routes"
	"github.com/cranberrystage/cranberrystage/platform/store"
	"github.com/cranberrystage/cranberrystage/platform/wire"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// metricsTimeout bounds one request for metrics.
	metricsTimeout = 5 * time.Second
	// logFlushTimeout bounds the writing of the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

// peerQueueBytes bounds the bytes queued for one peer.
const peerQueueBytes = 1 << 20

// Exit codes.
const (
	exitFailed = 1
	// exitSettings means invalid arguments or settings.
	exitSettings = 2
)

func main() {
	app := kingpin.New("cranberrystage-entry", "Database proxy with session consistency, on the users' platform.")
	path := app.Flag("settings", "Settings file of the platform.").Envar(process.PathVariable).Required().String()
	metricsPort := app.Flag("metrics-port", "TCP port of the metrics address; 0 serves none.").Default("9464").Int()
	logLevel := app.Flag("log-level", "Least level of log lines.").Default("info").Enum("debug", "info", "warn", "error")
	check := app.Flag("check", "Check the settings and exit.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "cranberrystage-entry: %v, try --help\n", err)
		os.Exit(exitSettings)
	}
	s, err := process.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if *check {
		return
	}
	if err := serve(*path, s, *metricsPort, *logLevel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func serve(path string, s settings.Entry, metricsPort int, logLevel string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	var level slog.Level
	if err := level.UnmarshalText([]byte(logLevel)); err != nil {
		return err
	}
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	log := logging.New(out, level)
	registry := prometheus.NewRegistry()
	m := metrics.New(registry)
	if err := serveMetrics(s.Address, metricsPort, registry, out); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	bus, err := tcpbus.New(s.PeerAddress, tcpbus.Options{Logger: logging.For(log, "peers"), QueueBytes: peerQueueBytes})
	if err != nil {
		return err
	}
	defer bus.Close()
	var f *fleet.Fleet
	rows := rowrelay.New(rowrelay.Options{
		Self:         rowrelay.Peer{VM: s.VM, DataCentre: s.DataCentre, Address: s.PeerAddress},
		Store:        metered.New(store.New(s.MetadataAddress), m),
		SharedTable:  fleet.RecordTable,
		UrgentTables: map[string]bool{routes.Table: true},
		Regions:      s.Regions,
		ConfigVersion: func() uint64 {
			if r := f.Routing(); r != nil {
				return r.Version
			}
			return 0
		},
		OnKnownConfig: m.SetConfigVersionKnown,
		Bus:           bus,
		Now:           boottime.Now,
		Log:           log,
	})
	points := pointrelay.New(pointrelay.Options{
		Address:         s.PeerAddress,
		Bus:             bus,
		Peers:           rows.PeerAddresses,
		Reader:          rows.ReaderAddress,
		FreshnessReport: func(id tables.GroupID) (freshness.Report, bool) { return f.FreshnessReport(id) },
		Log:             log,
	})
	holders := forward.New(forward.Options{
		VM:      s.VM,
		Address: s.PeerAddress,
		Bus:     bus,
		Nearby:  rows.Nearby,
		Fleet:   func() *fleet.Fleet { return f },
		Now:     boottime.Now,
		Metrics: m,
		Log:     log,
	})
	f = fleet.New(fleet.Options{
		VM:         s.VM,
		DataCentre: s.DataCentre,
		Store:      rows,
		Promoter:   promoter{client: duty.New(s.CloudAPIAddress), vm: s.VM},
		Codec: fleet.Codec{
			ConfigTable: routes.Table,
			ConfigKey:   routes.Key,
			Config:      routes.Decode,
			EntryTable:  entries.Table,
			Entry:       entries.Decode,
			NotRunning:  duty.ErrNotRunning,
		},
		Open:    opener(s.VM),
		Peers:   points,
		Proxies: rows.Proxies,
		Holding: holders.Holding,

		SeveralRegions: rows.SeveralRegions(),
		Now:            boottime.Now,
		Log:            log,
		Metrics:        m,
		DrainLimit:     s.DrainLimit,
	})
	var limits *quotarelay.Relay
	limits = quotarelay.New(quotarelay.Options{
		Address:    s.PeerAddress,
		VM:         s.VM,
		DataCentre: s.DataCentre,
		Bus:        bus,
		Allocator:  func() (string, bool) { return allocator(s, rows.Nearby(), limits.Unresponsive) },
		Directory:  func() quotarelay.Directory { return quotaDirectory(rows.Directory()) },
		Routing:    f.Routing,
		Tolerance:  quota.Tolerance{Window: s.QuotaWindow, Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack},
		Now:        boottime.Now,
		Log:        log,
		Metrics:    m,
	})
	server := relay.NewServer(f, limits, func(nc net.Conn) relay.Caller { return wire.NewCaller(nc) }, m, log)
	server.ForwardReads(holders)
	p, err := entry.New(s, f, server, log)
	if err != nil {
		return err
	}
	// The exchange of messages with other proxies continues during the shutdown.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go func() {
		if err := rows.Run(work); err != nil {
			log.Error("entry: Stopped exchanging rows with other proxies.", "error", err)
		}
	}()
	go func() {
		if err := points.Run(work); err != nil {
			log.Error("entry: Stopped exchanging freshness points with other proxies.", "error", err)
		}
	}()
	go func() {
		if err := limits.Run(work); err != nil {
			log.Error("entry: Stopped exchanging tokens of teams with other proxies.", "error", err)
		}
	}()
	go func() {
		if err := holders.Serve(work); err != nil {
			log.Error("entry: Stopped running reads of other proxies.", "error", err)
		}
	}()
	context.AfterFunc(ctx, holders.Stop)
	go reload(ctx, path, hup, p, log)
	err = p.Run(ctx)
	leave(work, holders, rows, log)
	return err
}

// allocator returns the address of the allocator of this data centre, the first of its
// proxies by name that responds; ok is false if it is this proxy.
func allocator(s settings.Entry, near []rowrelay.Peer, unresponsive func(address string) bool) (address string, ok bool) {
	first := s.VM
	for _, p := range near {
		if p.VM < first && !unresponsive(p.Address) {
			first, address, ok = p.VM, p.Address, true
		}
	}
	return address, ok
}

// quotaDirectory converts a reading of the directory of proxies.
func quotaDirectory(d rowrelay.Directory) quotarelay.Directory {
	return quotarelay.Directory{
		Directory:  quota.Directory{Proxies: d.Proxies, Near: d.Near, Listed: d.Listed},
		Allocators: d.Readers,
	}
}

// leaveTimeout bounds the last work for other proxies and the call that removes a
// stopping proxy from the directory.
const leaveTimeout = 300 * time.Millisecond

// leave ends the reads of other proxies and removes this proxy from the directory of
// proxies.
func leave(ctx context.Context, holders *forward.Forwarder, rows *rowrelay.Relay, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	holders.Wait(ctx)
	if err := rows.Leave(ctx); err != nil {
		log.Info("entry: Failed to remove this proxy from the directory.", "error", err)
	}
}

// reloadInterval is how often the settings file is checked for changes: it may
// change without a signal.
const reloadInterval = 5 * time.Second

// reload applies changes of the settings file until ctx ends.
func reload(ctx context.Context, path string, hup <-chan os.Signal, p *entry.Proxy, log *slog.Logger) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last := modified(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-tick.C:
		}
		now := modified(path)
		if !signalled && now.Equal(last) {
			continue
		}
		last = now
		s, err := process.Load(path)
		if err != nil {
			log.Error("entry: Failed to load the changed settings; keeping the current ones.", "error", err)
			continue
		}
		p.Reload(s)
	}
}

// modified returns the file's modification time, or the zero time if it can't be
// read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// serveMetrics serves metrics on a port of the VM's address until the process
// exits.
func serveMetrics(address string, port int, registry *prometheus.Registry, out *logging.AsyncWriter) error {
	if port == 0 {
		return nil
	}
	registry.MustRegister(
		collectors.NewGoCollector(),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cranberrystage_log_lines_dropped_total", Help: "Log lines that found no room.",
		}, func() float64 { return float64(out.Dropped()) }),
	)
	l, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(port)))
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsTimeout, WriteTimeout: metricsTimeout}
	go func() { _ = server.Serve(l) }() // runs until the process exits
	return nil
}

// opener returns the function that opens connections to servers.
func opener(vm tables.VMID) links.Open {
	return func(ctx context.Context, e tables.Entry, team tables.TeamID) (links.Link, statement.Reply, error) {
		u, reply, err := wire.Dial(ctx, e, cmp.Or(string(team), string(vm)))
		if u == nil {
			return nil, reply, err
		}
		return u, reply, err
	}
}

// promoter orders promotions on behalf of this VM.
type promoter struct {
	client *duty.Client
	vm     tables.VMID
}

// Promote implements fleet.Promoter.
func (p promoter) Promote(ctx context.Context, o fleet.Order) error {
	return p.client.Promote(ctx, duty.Promotion{Holder: p.vm, Token: o.Token, Group: o.Group, Upstream: o.Upstream, MayWrite: o.MayWrite})
}
