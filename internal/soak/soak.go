// Package soak runs the proxy's real program as processes before an emulated
// platform, injects faults from outside, and checks the promises from what
// callers and servers see. Everything that a seed decides is drawn from it;
// what the machine decides, such as when a process runs, is not.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/emulator"
	"github.com/cranberrystage/cranberrystage/platform/entries"
	"github.com/cranberrystage/cranberrystage/platform/routes"
	"github.com/pkg/errors"
)

// Databases of the emulated configuration, by what their reads must have seen.
const (
	newest  = "newest"
	bounded = "bounded"
	own     = "own"
)

const (
	group = tables.GroupID("g")
	// servers is how many servers the group has.
	servers = 3
	slots   = 5
	// connections is the servers' limit, over all proxies.
	connections      = 60
	statementTimeout = time.Second
	target           = 200 * time.Millisecond
	maxAge           = 1500 * time.Millisecond
	promoteTakes     = 300 * time.Millisecond
	// warmUp is how long proxies get to become ready, and settle how long all
	// get after the last fault until the final check.
	warmUp = 1500 * time.Millisecond
	settle = 8 * time.Second
	// endTime bounds the end of a process that was told to.
	endTime = 10 * time.Second
	// reportPause is how often servers write their rows.
	reportPause = 50 * time.Millisecond
)

// Soak is one run. Fill in the first fields and call Run.
type Soak struct {
	// Binary is the proxy's program.
	Binary string
	// Directory takes settings and logs.
	Directory string
	Seed      uint64
	Proxies   int
	Writers   int
	// Lasts is how long faults are injected.
	Lasts time.Duration

	// Served, Refused and Unsure count what callers got.
	Served, Refused, Unsure int
	// Failures are the promises that were broken, in words.
	Failures []string
	// Steps are the faults as they were injected.
	Steps []string

	mu           sync.Mutex
	began        time.Time
	store        *metadata.Store
	group        *dbgroup.Group
	links        []*link
	proxies      []*proxy
	history      *history
	storeAddress string
	dutyAddress  string
	closers      []func()
	// leaving are the servers that report that they leave.
	leaving map[tables.UpstreamID]bool
	// lapsed says that the servers' rows have vanished.
	lapsed bool
}

// Run makes the run. It returns an error if the run could not be made; broken
// promises are in Failures.
func (s *Soak) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.close()
	if err := s.setUp(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	work, stop := context.WithCancel(ctx)
	defer stop()
	for i := range s.Writers {
		wg.Go(func() { s.writes(work, i) })
	}
	for i := range s.Proxies {
		wg.Go(func() { s.reads(work, newest, 0, i) })
		wg.Go(func() { s.reads(work, bounded, maxAge, i) })
	}
	s.inject(ctx)
	if err := sleep.For(ctx, settle); err != nil {
		return err
	}
	s.checkService()
	stop()
	wg.Wait()
	s.checkLogs()
	return nil
}

func (s *Soak) setUp(ctx context.Context) error {
	s.began = time.Now()
	s.store = metadata.New()
	s.history = &history{kept: make(map[string][]keptValue), refused: make(map[string]bool)}
	for i := range s.Writers {
		s.history.items = append(s.history.items, itemName(i))
	}
	s.leaving = make(map[tables.UpstreamID]bool)
	var list []tables.Entry
	var listeners []net.Listener
	for i := range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen for a server")
		}
		k, err := newLink(l.Addr().String())
		if err != nil {
			return err
		}
		listeners, s.links = append(listeners, l), append(s.links, k)
		s.closers = append(s.closers, func() { _ = l.Close() }, k.close)
		list = append(list, tables.Entry{
			ID: serverName(i), Group: group, Address: k.address(), DataCentre: dataCentre(i), Slots: slots, StartedAt: 1,
		})
	}
	s.group = dbgroup.New(group, list...)
	s.group.PromoteTakes = promoteTakes
	s.group.LimitSlots(slots)
	for i, l := range listeners {
		go emulator.ServeUpstream(l, s.group, list[i])
	}
	config, err := routes.Encode(configuration())
	if err != nil {
		return err
	}
	s.store.Put(routes.Table, routes.Key, config)
	go s.report(ctx)
	if s.storeAddress, err = s.serve(emulator.Store(s.store)); err != nil {
		return err
	}
	if s.dutyAddress, err = s.serve(emulator.Duty(s.group)); err != nil {
		return err
	}
	for i := range s.Proxies {
		p, err := s.newProxy(i)
		if err != nil {
			return err
		}
		s.proxies = append(s.proxies, p)
		s.closers = append(s.closers, p.stop)
		if err := p.start(); err != nil {
			return err
		}
	}
	return sleep.For(ctx, warmUp)
}

func configuration() tables.Routing {
	r := tables.Routing{
		Version: 1, IdleTransactionTimeout: 2 * time.Second, Routes: make(map[string]tables.Route),
		Groups: map[tables.GroupID]tables.GroupLimits{group: {Connections: connections, SyncReplicas: 1}},
	}
	for name, f := range map[string]tables.Freshness{
		newest: tables.FreshNewest, bounded: tables.FreshBounded, own: tables.FreshSession,
	} {
		r.Routes[name] = tables.Route{
			Name: name, Database: name, Group: group, Freshness: f, MaxAge: maxAge,
			StatementTimeout: statementTimeout, TargetLatency: target,
		}
	}
	return r
}

func (s *Soak) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for the platform")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // it ends with the soak
	s.closers = append(s.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// report writes the servers' rows as they change.
func (s *Soak) report(ctx context.Context) {
	last := make(map[tables.UpstreamID]string)
	for sleep.For(ctx, reportPause) == nil {
		s.mu.Lock()
		lapsed := s.lapsed
		for i := range servers {
			id := serverName(i)
			e := s.group.Entry(id)
			e.Leaving = s.leaving[id]
			value, err := entries.Encode(e)
			switch {
			case err != nil:
				s.Failures = append(s.Failures, err.Error())
			case lapsed && last[id] != "":
				s.store.Drop(entries.Table, string(id))
				last[id] = ""
			case !lapsed && last[id] != string(value):
				s.store.Put(entries.Table, string(id), value)
				last[id] = string(value)
			}
		}
		s.mu.Unlock()
	}
}

// checkService looks whether each proxy serves again after all faults.
func (s *Soak) checkService() {
	for i := range s.proxies {
		c := &caller{soak: s, database: own, at: i - 1}
		r, ok := c.write(fmt.Sprintf("last%d", i), 1, false)
		c.leave()
		if !ok || r.Code != 0 {
			s.fail("%s does not serve a write %s after the last fault: answered %t, %s %s", vmName(i), settle, ok, r.Code, r.Detail)
		}
	}
}

// checkLogs compares the primary's log with what callers were told.
func (s *Soak) checkLogs() {
	for _, lost := range s.group.Lost() {
		s.fail("a promoted server lacked the acknowledged commit %s", lost)
	}
	times := s.group.Written()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for item, list := range s.history.kept {
		for _, k := range list {
			if n := times[fmt.Sprintf("%s %d", item, k.value)]; n != 1 {
				s.fail("%s: the acknowledged value %d is %d times in the log", item, k.value, n)
			}
		}
	}
	for write := range s.history.refused {
		if times[write] > 0 {
			s.fail("%s: in the log, though its caller was told that nothing is kept", write)
		}
	}
	for write, n := range times {
		if n > 1 {
			s.fail("%s: %d times in the log", write, n)
		}
	}
}

func (s *Soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Failures = append(s.Failures, fmt.Sprintf("%6.2f s  ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

func (s *Soak) step(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Steps = append(s.Steps, fmt.Sprintf("%6.2f s  ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

func (s *Soak) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *Soak) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
	for _, p := range s.proxies {
		p.checkLog()
	}
}

// Report returns the run in words: its faults, what callers got, and what broke.
func (s *Soak) Report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d served, %d refused, %d unsure, %d promotions, %d faults, %d failures\n",
		s.Seed, s.Served, s.Refused, s.Unsure, s.group.Promotions(), len(s.Steps), len(s.Failures))
	if len(s.Failures) > 0 {
		fmt.Fprintf(&b, "%s\n%s\n", strings.Join(s.Steps, "\n"), strings.Join(s.Failures, "\n"))
	}
	return b.String()
}

func vmName(i int) string { return "vm" + strconv.Itoa(i) }

func itemName(i int) string { return "item" + strconv.Itoa(i) }

func serverName(i int) tables.UpstreamID { return tables.UpstreamID("s" + strconv.Itoa(i)) }

func dataCentre(i int) tables.DataCentreID {
	return tables.DataCentreID("dc" + strconv.Itoa(i%3))
}

// firstPort is the first port of proxies; it lies below those that the system
// gives to outgoing connections, which could take the port of one that restarts.
const firstPort = 21000

// host is the loopback address of this process's proxies, so that soaks beside
// each other do not meet.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, 1+pid&0x7f)
}

// ports returns addresses for the i-th proxy.
func ports(i int) (front, ready, peers string) {
	at := func(n int) string { return net.JoinHostPort(host(), strconv.Itoa(firstPort+10*i+n)) }
	return at(0), at(1), at(2)
}

func portOf(address string) int {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return 0
	}
	return n
}

// TemporaryDirectory returns a new directory for a run.
func TemporaryDirectory() (string, error) {
	dir, err := os.MkdirTemp("", "cranberrystage-soak-")
	return dir, errors.Wrap(err, "make a directory")
}
