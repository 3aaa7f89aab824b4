// Package soak runs proxy processes against an emulated platform, injects faults
// from outside, and checks the proxy's promises against the results that callers
// received and the servers' logs. Faults, their order and their durations follow
// from the seed; process scheduling and timing do not.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/standin/sessionlog"
	"github.com/cranberrystage/cranberrystage/internal/standin/teamlog"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/emulator"
	"github.com/cranberrystage/cranberrystage/platform/entries"
	"github.com/pkg/errors"
)

// Databases of the emulated configuration, named after the freshness of their
// reads.
const (
	newest  = "newest"
	bounded = "bounded"
	own     = "own"
)

const (
	group = tables.GroupID("g")
	// servers is the number of database servers in the group.
	servers = 3
	slots   = 5
	// connections is the connection limit of a server, over all proxies.
	connections      = 60
	statementTimeout = time.Second
	targetLatency    = 200 * time.Millisecond
	maxAge           = 1500 * time.Millisecond
	promoteDelay     = 300 * time.Millisecond
	// warmUpTime is the time for proxies to become ready, settleTime the time for
	// recovery between the last fault and the final check.
	warmUpTime = 1500 * time.Millisecond
	settleTime = 8 * time.Second
	// exitTimeout is the max wait for the exit of a process.
	exitTimeout = 10 * time.Second
	// rowWriteInterval is how often servers write their rows.
	rowWriteInterval = 50 * time.Millisecond
)

// Soak is one run. The caller sets the fields from Binary to FaultDuration and
// calls Run.
type Soak struct {
	// Binary is the path of the proxy's executable.
	Binary string
	// Directory receives settings and logs.
	Directory string
	Seed      uint64
	Proxies   int
	Writers   int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Rate is each team's limit in operations per second; 0 means no limit.
	Rate float64

	// Served, Refused and Unsure count requests by result: successful, refused
	// without effect, and with an unknown outcome.
	Served, Refused, Unsure int
	// Failures describe the broken promises.
	Failures []string
	// Steps describe the injected faults in order.
	Steps []string

	mu      sync.Mutex
	began   time.Time
	store   *metadata.Store
	group   *dbgroup.Group
	links   []*link
	proxies []*proxy
	history *history
	pauses  pauses
	// checkSteps describe what the last check did.
	checkSteps       []string
	storeAddress     string
	promotionAddress string
	closers          []func()
	// leaving are the servers that report that they are leaving.
	leaving map[tables.UpstreamID]bool
	// entriesExpired means that the servers' rows have expired.
	entriesExpired bool
	// lapsed is the server whose row alone has expired; empty if there is none.
	lapsed tables.UpstreamID
	// configVersion is the version of the newest configuration, removed are the
	// holders whose keys it lacks, with the time of their removal.
	configVersion uint64
	removed       map[holder]time.Time
	faultsEnded   time.Time
	// ran holds the statements that servers ran.
	ran teamlog.Log
	// settings compares the session state with which they ran with that of their callers.
	settings sessionlog.Log
	// orders are the promotion orders that the platform received.
	orders []emulator.Order
}

// Run performs the run. It returns an error if the run could not be performed;
// broken promises are in Failures.
func (s *Soak) Run(ctx context.Context) error {
	if _, err := exec.LookPath(s.Binary); err != nil {
		return errors.Wrap(err, "find the proxy's program; build it, or name another with --proxy")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.close()
	stopWatch, err := s.watchPauses(ctx)
	if err != nil {
		return err
	}
	defer stopWatch()
	if err := s.setUp(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	work, stop := context.WithCancel(ctx)
	defer stop()
	for i := range s.Writers {
		wg.Go(func() { s.runWriter(work, i) })
	}
	for i := range s.Proxies {
		wg.Go(func() { s.runReader(work, newest, 0, i) })
		wg.Go(func() { s.runReader(work, bounded, maxAge, i) })
	}
	for i, h := range []holder{earlyLeaver, lateLeaver, stranger} {
		wg.Go(func() { s.runGuest(work, h, i) })
	}
	for i := range settingsCallers {
		wg.Go(func() { s.runSettings(work, i) })
	}
	s.inject(ctx)
	s.faultsEnded = time.Now()
	if err := s.checkRemoval(ctx); err != nil {
		return err
	}
	if err := sleep.For(ctx, time.Until(s.faultsEnded.Add(settleTime))); err != nil {
		return err
	}
	s.checkService()
	stop()
	wg.Wait()
	s.checkLogs()
	s.checkOrders()
	s.checkTeams()
	s.checkSettings()
	return nil
}

func (s *Soak) setUp(ctx context.Context) error {
	s.began = time.Now()
	s.store = metadata.New()
	s.history = &history{acknowledged: make(map[string][]acknowledgedValue), refused: make(map[string]bool)}
	for i := range s.Writers {
		s.history.items = append(s.history.items, itemName(i))
	}
	s.leaving, s.removed = make(map[tables.UpstreamID]bool), make(map[holder]time.Time)
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
	s.group.PromoteDelay = promoteDelay
	s.group.LimitSlots(slots)
	s.group.Observe(s.observe)
	for i, l := range listeners {
		go emulator.ServeUpstream(l, s.group, list[i])
	}
	if err := s.writeConfiguration(); err != nil {
		return err
	}
	for id, value := range emulator.OddRows(group) {
		s.store.Put(entries.Table, id, value)
	}
	go s.writeServerRows(ctx)
	var err error
	if s.storeAddress, err = s.serve(emulator.Store(s.store)); err != nil {
		return err
	}
	if s.promotionAddress, err = s.serve(emulator.Duty(s.group, s.recordOrder)); err != nil {
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
	return sleep.For(ctx, warmUpTime)
}

func configuration(version uint64) tables.Routing {
	r := tables.Routing{
		Version: version, IdleTransactionTimeout: 2 * time.Second, Routes: make(map[string]tables.Route),
		Groups: map[tables.GroupID]tables.GroupLimits{group: {Connections: connections, SyncReplicas: 1}},
	}
	for name, f := range map[string]tables.Freshness{
		newest: tables.FreshNewest, bounded: tables.FreshBounded, own: tables.FreshSession,
	} {
		r.Routes[name] = tables.Route{
			Name: name, Database: name, Group: group, Freshness: f, MaxAge: maxAge,
			StatementTimeout: statementTimeout, TargetLatency: targetLatency,
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
	go func() { _ = server.Serve(l) }() // it is closed at the end of the run
	s.closers = append(s.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// writeServerRows writes the servers' rows to the store whenever they change.
func (s *Soak) writeServerRows(ctx context.Context) {
	last := make(map[tables.UpstreamID]string)
	sequence := make(map[tables.UpstreamID]uint64)
	for sleep.For(ctx, rowWriteInterval) == nil {
		s.mu.Lock()
		entriesExpired := s.entriesExpired
		for i := range servers {
			id := serverName(i)
			e := s.group.Entry(id)
			e.Leaving = s.leaving[id]
			expired := entriesExpired || id == s.lapsed
			value, err := entries.Encode(e)
			switch {
			case err != nil:
				s.Failures = append(s.Failures, err.Error())
			case expired && last[id] != "":
				s.store.Drop(entries.Table, string(id))
				last[id] = ""
			case !expired && last[id] != string(value):
				last[id] = string(value)
				sequence[id]++
				e.Sequence = sequence[id]
				if value, err = entries.Encode(e); err != nil {
					s.Failures = append(s.Failures, err.Error())
				}
				s.store.Put(entries.Table, string(id), value)
			}
		}
		s.mu.Unlock()
	}
}

// checkService checks that each proxy serves a write after all faults.
func (s *Soak) checkService() {
	for i := range s.proxies {
		c := &caller{soak: s, database: own, proxyIndex: i - 1, holder: regular(i)} // connect uses proxy i
		s.recordCheck("%s: connecting", vmName(i))
		var r statement.Reply
		ok := c.connect()
		if ok {
			s.recordCheck("%s: connected, writing", vmName(i))
			r, ok = c.write(fmt.Sprintf("last%d", i), 1, false, 0)
		}
		s.recordCheck("%s: reply %t, %s %d %s %s", vmName(i), ok, r.Code, r.Reason, r.Detail, c.problem)
		c.disconnect()
		if !ok || r.Code != statement.OK {
			s.fail("%s does not serve a write %s after the last fault: reply %t, %s %s", vmName(i), settleTime, ok, r.Code, r.Detail)
		}
	}
}

// checkLogs checks the primary's log against the results that callers received.
func (s *Soak) checkLogs() {
	for _, lost := range s.group.Lost() {
		s.fail("a promoted server lacked the acknowledged commit %s", lost)
	}
	counts := s.group.Written()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for item, list := range s.history.acknowledged {
		for _, k := range list {
			if n := counts[fmt.Sprintf("%s %d", item, k.value)]; n != 1 {
				s.fail("%s: the acknowledged value %d is %d times in the log", item, k.value, n)
			}
		}
	}
	for write := range s.history.refused {
		if counts[write] > 0 {
			s.fail("%s: in the log, although its caller received a refusal without effect", write)
		}
	}
	for write, n := range counts {
		if n > 1 {
			s.fail("%s: %d times in the log", write, n)
		}
	}
}

func (s *Soak) recordOrder(o emulator.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	s.Steps = append(s.Steps, fmt.Sprintf("%6.2f s  the platform is ordered to promote %s by %s, token %d",
		time.Since(s.began).Seconds(), o.Upstream, o.Holder, o.Token))
}

// checkOrders checks that the tokens of promotion orders grow from holder to holder.
func (s *Soak) checkOrders() {
	s.mu.Lock()
	orders := slices.Clone(s.orders)
	s.mu.Unlock()
	for i := 1; i < len(orders); i++ {
		a, b := orders[i-1], orders[i]
		if b.Token < a.Token || b.Token == a.Token && b.Holder != a.Holder {
			s.fail("an order of %s with token %d reached the platform after one of %s with token %d", b.Holder, b.Token, a.Holder, a.Token)
		}
	}
}

func (s *Soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Failures = append(s.Failures, fmt.Sprintf("%6.2f s  ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// recordCheck records a step of the last check.
func (s *Soak) recordCheck(format string, args ...any) {
	s.checkSteps = append(s.checkSteps, time.Now().Format(clockFormat)+" "+fmt.Sprintf(format, args...))
}

// recordStep records the start of a fault.
func (s *Soak) recordStep(format string, args ...any) {
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

// Report returns a summary of the run. If the run failed or all is true, its faults, the
// last check, pauses and broken promises follow.
func (s *Soak) Report(all bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d served, %d refused, %d unsure, %d promotions, %d faults, %d pauses, %d failures\n",
		s.Seed, s.Served, s.Refused, s.Unsure, s.group.Promotions(), len(s.Steps), len(s.pauses.list), len(s.Failures))
	if all || len(s.Failures) > 0 {
		fmt.Fprintf(&b, "began at %s\n%s\nlast check:\n%s\npauses:\n%s\n%s\n", s.began.Format(clockFormat), strings.Join(s.Steps, "\n"),
			strings.Join(s.checkSteps, "\n"), s.pauses.String(), strings.Join(s.Failures, "\n"))
	}
	return b.String()
}

func vmName(i int) string { return "vm" + strconv.Itoa(i) }

func itemName(i int) string { return "item" + strconv.Itoa(i) }

func serverName(i int) tables.UpstreamID { return tables.UpstreamID("s" + strconv.Itoa(i)) }

func dataCentre(i int) tables.DataCentreID {
	return tables.DataCentreID("dc" + strconv.Itoa(i%3))
}

// firstPort is the first port of proxies. It lies below the system's ephemeral
// ports: an outgoing connection could otherwise take the port of a proxy that
// restarts.
const firstPort = 21000

// host returns the loopback address of this process's proxies. It differs between
// processes so that concurrent runs do not collide.
func host() string { return hostOf(os.Getpid()) }

// hostOf returns the address for a process number, which has at most 22 bits.
func hostOf(pid int) string {
	// Bit 7 is in the second byte, as a last byte of 0 or 255 is best avoided.
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>15&0x7e|pid>>7&1), pid>>8&0xff, 1+pid&0x7f)
}

// ports returns the addresses of the i-th proxy.
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
