// Command cranberrystage-entry is the daemon of an entry VM on the users'
// platform. It takes its settings from the file that the platform lays beside it.
package main

import (
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
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/peer/tcpbus"
	"github.com/cranberrystage/cranberrystage/internal/platform/metered"
	"github.com/cranberrystage/cranberrystage/internal/pointrelay"
	"github.com/cranberrystage/cranberrystage/internal/relay"
	"github.com/cranberrystage/cranberrystage/internal/rowrelay"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
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
	// logEndTimeout bounds the writing of the last log lines.
	logEndTimeout = 200 * time.Millisecond
)

// peerQueueBytes bounds the bytes queued for one peer.
const peerQueueBytes = 1 << 20

// Exit codes.
const (
	exitFailed = 1
	// exitSettings means wrong arguments or settings.
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
	defer out.Close(logEndTimeout)
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
	relayed := rowrelay.New(rowrelay.Options{
		Self:         rowrelay.Peer{VM: s.VM, DataCentre: s.DataCentre, Address: s.PeerAddress},
		Store:        metered.New(store.New(s.MetadataAddress), m),
		SharedTable:  fleet.RecordTable,
		UrgentTables: map[string]bool{routes.Table: true},
		Bus:          bus,
		Now:          boottime.Now,
		Log:          log,
	})
	var f *fleet.Fleet
	points := pointrelay.New(pointrelay.Options{
		Address:         s.PeerAddress,
		Bus:             bus,
		Peers:           relayed.PeerAddresses,
		Reader:          relayed.ReaderAddress,
		FreshnessReport: func(id tables.GroupID) (freshness.Report, bool) { return f.FreshnessReport(id) },
		Log:             log,
	})
	f = fleet.New(fleet.Options{
		VM:         s.VM,
		DataCentre: s.DataCentre,
		Store:      relayed,
		Promoter:   promoter{client: duty.New(s.CloudAPIAddress), vm: s.VM},
		Codec: fleet.Codec{
			ConfigTable: routes.Table,
			ConfigKey:   routes.Key,
			Config:      routes.Decode,
			EntryTable:  entries.Table,
			Entry:       entries.Decode,
			NotRunning:  duty.ErrNotRunning,
		},
		Open:       opener(s.VM),
		Peers:      points,
		Proxies:    relayed.Proxies,
		Now:        boottime.Now,
		Log:        log,
		Metrics:    m,
		DrainLimit: s.DrainLimit,
	})
	server := relay.NewServer(f, func(nc net.Conn) relay.Caller { return wire.NewCaller(nc) }, m, log)
	p, err := entry.New(s, f, server, log)
	if err != nil {
		return err
	}
	// Messages between proxies go on while callers are let go.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go func() {
		if err := relayed.Run(work); err != nil {
			log.Error("entry: The proxies' messages are not served.", "error", err)
		}
	}()
	go func() {
		if err := points.Run(work); err != nil {
			log.Error("entry: Peers are not told how fresh groups are.", "error", err)
		}
	}()
	go reload(ctx, path, hup, p, log)
	err = p.Run(ctx)
	leave(work, relayed, log)
	return err
}

// leaveTimeout bounds the last write of a proxy that ends.
const leaveTimeout = 300 * time.Millisecond

// leave takes this proxy out of the directory of proxies.
func leave(ctx context.Context, relayed *rowrelay.Relay, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := relayed.Leave(ctx); err != nil {
		log.Info("entry: This proxy stays in the directory.", "error", err)
	}
}

// reloadInterval is how often the settings file is looked at: it may change
// without a signal.
const reloadInterval = 5 * time.Second

// reload puts a changed settings file in force until ctx ends.
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
			log.Error("entry: Kept the settings in force, the changed ones can't be used.", "error", err)
			continue
		}
		p.Reload(s)
	}
}

// modified returns when the file was changed last; the zero time if it can't be read now.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// serveMetrics serves the metrics on a port of the VM's address until the
// process ends.
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
	go func() { _ = server.Serve(l) }() // it ends with the process
	return nil
}

// opener returns how connections to servers are opened.
func opener(vm tables.VMID) links.Open {
	return func(ctx context.Context, e tables.Entry) (links.Link, statement.Reply, error) {
		u, reply, err := wire.Dial(ctx, e, string(vm))
		if u == nil {
			return nil, reply, err
		}
		return u, reply, err
	}
}

// promoter gives orders in this VM's name.
type promoter struct {
	client *duty.Client
	vm     tables.VMID
}

// Promote implements fleet.Promoter.
func (p promoter) Promote(ctx context.Context, token uint64, group tables.GroupID, u tables.UpstreamID) error {
	return p.client.Promote(ctx, duty.Promotion{Holder: p.vm, Token: token, Group: group, Upstream: u})
}
