package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// Databases of the tests' configuration, by what their reads must have seen.
const (
	newest  = "newest"
	bounded = "bounded"
	own     = "own"
)

const (
	testTimeout = time.Second
	testMaxAge  = 1500 * time.Millisecond
)

// world is a set-up of proxies before one database group, in memory and on a
// virtual clock.
type world struct {
	t       *testing.T
	ctx     context.Context
	began   time.Time
	store   *metadata.Store
	group   *dbgroup.Group
	proxies []*proxyUnderTest

	mu sync.Mutex
	// cut are the servers that a proxy can't reach.
	cut map[string]bool
	// gone are servers whose entries were removed for good.
	gone map[tables.UpstreamID]bool
	// leaving are servers that report that they leave.
	leaving map[tables.UpstreamID]bool
	// alter changes what proxies read, if set.
	alter func(string, platform.Rows) platform.Rows
	// startCut says that proxies start without a way to the store.
	startCut bool
	// startSlow is how long the first reading of the configuration takes them.
	startSlow time.Duration
	// transactionRest is the configured bound of resting transactions.
	transactionRest time.Duration
	orders          []givenOrder
	peersMu         sync.Mutex
	// fleets are those of the proxies, by number.
	fleets map[int]*fleet.Fleet
	chance *rand.Rand
	// acked holds, by item, the values that writers were told to be kept.
	acked map[string][]ackedValue
}

type ackedValue struct {
	at    time.Time
	value int
}

type proxyUnderTest struct {
	w      *world
	number int
	vm     tables.VMID
	fleet  *fleet.Fleet
	lines  *journal
	stop   context.CancelFunc
	store  *proxyStore
}

// proxyStore is the store as one proxy reaches it.
type proxyStore struct {
	*metadata.Store

	mu   sync.Mutex
	down bool
	// slow is how long reading the configuration takes.
	slow time.Duration
	// deaf is a table whose changes the proxy does not hear of.
	deaf string
	// alter changes what the proxy reads, if set.
	alter func(table string, rows platform.Rows) platform.Rows
}

func (s *proxyStore) altered(table string, rows platform.Rows, err error) (platform.Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.alter != nil {
		rows = s.alter(table, rows)
	}
	return rows, err
}

// alterStores changes what all proxies read, also those that start later.
func (w *world) alterStores(alter func(string, platform.Rows) platform.Rows) {
	w.alter = alter
	for _, p := range w.proxies {
		p.store.mu.Lock()
		p.store.alter = alter
		p.store.mu.Unlock()
	}
}

func (s *proxyStore) cutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// deafen keeps the changes of a table from the proxy.
func (s *proxyStore) deafen(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = table
}

func (s *proxyStore) isDeaf(table string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deaf == table
}

func (s *proxyStore) ReadTable(ctx context.Context, table string) (platform.Rows, error) {
	if s.cutOff() {
		_ = sleep.For(ctx, time.Second)
		return platform.Rows{}, platform.ErrUnavailable
	}
	if table == "op" {
		_ = sleep.For(ctx, s.slow)
	}
	rows, err := s.Store.ReadTable(ctx, table)
	return s.altered(table, rows, err)
}

func (s *proxyStore) WatchTable(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Rows, error) {
	if s.isDeaf(table) {
		_ = sleep.For(ctx, wait)
		return platform.Rows{}, platform.ErrUnavailable
	}
	rows, err := s.Store.WatchTable(ctx, table, after, wait)
	if s.cutOff() {
		return platform.Rows{}, platform.ErrUnavailable
	}
	return s.altered(table, rows, err)
}

func (s *proxyStore) Apply(ctx context.Context, c platform.Change) (platform.Rows, error) {
	if s.cutOff() {
		return platform.Rows{}, platform.ErrUnknown
	}
	return s.Store.Apply(ctx, c)
}

var servers = []tables.UpstreamID{"s1", "s2", "s3"}

func newWorld(t *testing.T, proxies int) *world {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{
		t: t, ctx: ctx, began: time.Now(), store: metadata.New(),
		cut: make(map[string]bool), gone: make(map[tables.UpstreamID]bool),
		leaving: make(map[tables.UpstreamID]bool), acked: make(map[string][]ackedValue),
		fleets: make(map[int]*fleet.Fleet), chance: rand.New(rand.NewPCG(1, 1)),
	}
	var entries []tables.Entry
	for i, id := range servers {
		entries = append(entries, tables.Entry{
			ID: id, Group: "g", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 3, StartedAt: 1,
			DataCentre: tables.DataCentreID(fmt.Sprintf("dc%d", i)),
		})
	}
	w.group = dbgroup.New("g", entries...)
	w.configure(1)
	go w.reportEntries()
	for i := range proxies {
		w.proxies = append(w.proxies, w.startProxy(i))
	}
	time.Sleep(time.Second)
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second)
	})
	return w
}

// idleTransaction puts a bound on resting transactions in force.
func (w *world) idleTransaction(d time.Duration) {
	w.transactionRest = d
	w.configure(2)
	time.Sleep(time.Second)
}

func (w *world) configure(version uint64) {
	route := func(name string, f tables.Freshness) tables.Route {
		return tables.Route{Name: name, Database: name, Group: "g", Freshness: f, MaxAge: testMaxAge,
			StatementTimeout: testTimeout, TargetLatency: 200 * time.Millisecond}
	}
	value, err := json.Marshal(tables.Routing{
		Version: version,
		Routes: map[string]tables.Route{
			newest: route(newest, tables.FreshNewest), bounded: route(bounded, tables.FreshBounded), own: route(own, tables.FreshSession),
		},
		Groups:                 map[tables.GroupID]tables.GroupLimits{"g": {Connections: 22, SyncReplicas: 1}},
		IdleTransactionTimeout: w.transactionRest,
	})
	assert.NilError(w.t, err)
	w.store.Put("op", "config", value)
}

// reportEntries writes servers' entries when they change, and drops those of
// servers that are gone or silent for three check-ins.
func (w *world) reportEntries() {
	last := make(map[tables.UpstreamID]string)
	for w.ctx.Err() == nil {
		for _, id := range servers {
			e := w.group.Entry(id)
			w.mu.Lock()
			e.Leaving = w.leaving[id]
			gone := w.gone[id]
			w.mu.Unlock()
			value, err := json.Marshal(e)
			assert.NilError(w.t, err)
			switch {
			case gone && last[id] != "":
				w.store.Drop("servers", string(id))
				last[id] = ""
			case !gone && last[id] != string(value):
				w.store.Put("servers", string(id), value)
				last[id] = string(value)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (w *world) mark(set map[tables.UpstreamID]bool, id tables.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	set[id] = true
}

// sever cuts or mends the way from a proxy to a server.
func (w *world) sever(vm tables.VMID, id tables.UpstreamID, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[string(vm)+"/"+string(id)] = on
}

func (w *world) severed(vm tables.VMID, id tables.UpstreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[string(vm)+"/"+string(id)]
}

// pathLink is a session over a way that may be cut.
type pathLink struct {
	*dbgroup.Session
	w        *world
	vm       tables.VMID
	id       tables.UpstreamID
	deadline time.Time
}

func (l *pathLink) SetDeadline(t time.Time) error {
	l.deadline = t
	return l.Session.SetDeadline(t)
}

func (l *pathLink) Receive() (statement.Reply, error) {
	if l.w.severed(l.vm, l.id) {
		time.Sleep(time.Until(l.deadline))
		return statement.Reply{}, os.ErrDeadlineExceeded
	}
	return l.Session.Receive()
}

// peers are the other proxies of a world, which answer late at times.
type peers struct {
	w    *world
	self int
}

// Ask implements fleet.Peers.
func (p peers) Ask(ctx context.Context, id tables.GroupID) (freshness.Report, bool) {
	p.w.peersMu.Lock()
	var others []*fleet.Fleet
	for i, f := range p.w.fleets {
		if i != p.self {
			others = append(others, f)
		}
	}
	p.w.peersMu.Unlock()
	if len(others) == 0 || sleep.For(ctx, rand.N(10*time.Millisecond)) != nil {
		return freshness.Report{}, false
	}
	k, ok := others[rand.IntN(len(others))].FreshnessReport(id)
	return k, ok && sleep.For(ctx, rand.N(30*time.Millisecond)) == nil
}

// AskLooker implements fleet.Peers: the first proxy of a data centre asks for it.
func (p peers) AskLooker(ctx context.Context, groups []tables.GroupID) map[tables.GroupID]freshness.Report {
	p.w.peersMu.Lock()
	looker := p.w.fleets[p.self%3]
	p.w.peersMu.Unlock()
	if p.self < 3 || looker == nil || sleep.For(ctx, rand.N(30*time.Millisecond)) != nil {
		return nil
	}
	known := make(map[tables.GroupID]freshness.Report)
	for _, g := range groups {
		if k, ok := looker.FreshnessReport(g); ok {
			known[g] = k
		}
	}
	return known
}

func (w *world) startProxy(i int) *proxyUnderTest {
	ctx, cancel := context.WithCancel(w.ctx)
	vm := tables.VMID(fmt.Sprintf("vm%d", i))
	p := &proxyUnderTest{w: w, number: i, vm: vm, stop: cancel, store: &proxyStore{Store: w.store, alter: w.alter, down: w.startCut, slow: w.startSlow}}
	log := slog.New(slog.NewTextHandler(w.logTo(), nil)).With("vm", vm)
	m := metrics.New(prometheus.NewRegistry())
	p.fleet = fleet.New(fleet.Options{
		VM: vm, DataCentre: tables.DataCentreID(fmt.Sprintf("dc%d", i%3)), Store: p.store, Promoter: promoter{w, vm},
		Codec: fleet.Codec{
			ConfigTable: "op", ConfigKey: "config", Config: decode[*tables.Routing], EntryTable: "servers",
			Entry: func(_ string, value []byte) (tables.Entry, error) { return decode[tables.Entry](value) }, NotRunning: dbgroup.ErrNotRunning,
		},
		Peers:   peers{w, i},
		Proxies: func() int { return i + 1 },
		Open: func(ctx context.Context, e tables.Entry) (links.Link, statement.Reply, error) {
			if w.severed(vm, e.ID) {
				<-ctx.Done()
				return nil, statement.Reply{}, os.ErrDeadlineExceeded
			}
			s, r, err := w.group.Open(ctx, e)
			if s == nil {
				return nil, r, err
			}
			return &pathLink{Session: s, w: w, vm: vm, id: e.ID}, r, err
		},
		Now:        func() tables.Time { return tables.Time(time.Since(w.began) + time.Hour) },
		Log:        log,
		Metrics:    m,
		DrainLimit: 7 * time.Second,
	})
	w.peersMu.Lock()
	w.fleets[i] = p.fleet
	w.peersMu.Unlock()
	p.lines = newJournal(log, m)
	go p.fleet.Run(ctx)
	return p
}

// logTo returns where the proxies' logs go: nowhere, unless a test is debugged.
func (w *world) logTo() io.Writer {
	if os.Getenv("CRANBERRYSTAGE_TEST_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

func decode[T any](value []byte) (T, error) {
	var out T
	err := json.Unmarshal(value, &out)
	return out, err
}

// promoter gives a proxy's orders and keeps them.
type promoter struct {
	w  *world
	vm tables.VMID
}

// givenOrder is one order of a promotion.
type givenOrder struct {
	at    time.Time
	vm    tables.VMID
	token uint64
}

func (p promoter) Promote(ctx context.Context, token uint64, _ tables.GroupID, u tables.UpstreamID) error {
	p.w.mu.Lock()
	p.w.orders = append(p.w.orders, givenOrder{time.Now(), p.vm, token})
	p.w.mu.Unlock()
	return p.w.group.Promote(ctx, u)
}

// holderTurn is the least time between orders of two proxies.
const holderTurn = 3 * time.Second

// badOrders returns what breaks the rules for holders of the duty: tokens that
// go back or are shared, and two holders that order one soon after the other.
func (w *world) badOrders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for i := 1; i < len(w.orders); i++ {
		a, b := w.orders[i-1], w.orders[i]
		if b.token < a.token || b.token == a.token && b.vm != a.vm {
			out = append(out, fmt.Sprintf("token %d of %s after %d of %s", b.token, b.vm, a.token, a.vm))
		}
		if a.vm != b.vm && b.at.Sub(a.at) < holderTurn {
			out = append(out, fmt.Sprintf("%s ordered %s after %s", b.vm, b.at.Sub(a.at), a.vm))
		}
	}
	return out
}

// session opens a session of a database at the proxy.
func (p *proxyUnderTest) session(database string) *session {
	return &session{fleet: p.fleet, log: p.lines, database: database}
}

var lastID struct {
	sync.Mutex
	n int
}

// run runs one statement of a session.
func (s *session) run(kind statement.Kind, arguments string) statement.Reply {
	lastID.Lock()
	lastID.n++
	id := strconv.Itoa(lastID.n)
	lastID.Unlock()
	return s.handle(context.Background(), statement.Statement{ID: id, Kind: kind, Arguments: arguments})
}

// write writes a value and takes note of its acknowledgement.
func (w *world) write(s *session, item string, value int) statement.Reply {
	r := s.run(statement.Write, fmt.Sprintf("%s %d", item, value))
	if r.Code == statement.OK {
		w.mu.Lock()
		w.acked[item] = append(w.acked[item], ackedValue{at: time.Now(), value: value})
		w.mu.Unlock()
	}
	return r
}

// known returns the newest value of an item that was acknowledged by t.
func (w *world) known(item string, t time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := 0
	for _, a := range w.acked[item] {
		if !a.at.After(t) {
			best = max(best, a.value)
		}
	}
	return best
}

// read reads an item; stale says that the answer lacks what it must have seen.
func (w *world) read(s *session, item string) (r statement.Reply, stale bool) {
	at := time.Now()
	if s.database != newest {
		at = at.Add(-testMaxAge)
	}
	need := w.known(item, at)
	r = s.run(statement.Read, item)
	if r.Code != statement.OK {
		return r, false
	}
	return r, valueOf(r) < need
}

func valueOf(r statement.Reply) int {
	n, err := strconv.Atoi(r.Rows[0])
	if err != nil {
		return 0
	}
	return n
}

// load runs writers and readers at all proxies until it is stopped, and checks
// each answer.
type load struct {
	w    *world
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu          sync.Mutex
	served      int
	refused     int
	stale       []string
	lastWrite   time.Time
	longestGap  time.Duration
	slowRefusal time.Duration
}

func (w *world) startLoad() *load {
	ctx, cancel := context.WithCancel(w.ctx)
	l := &load{w: w, stop: cancel, lastWrite: time.Now()}
	for i, p := range w.proxies {
		for _, database := range []string{newest, bounded, own} {
			l.wg.Go(func() { l.reader(ctx, p.session(database)) })
		}
		l.wg.Go(func() { l.writer(ctx, p.session(own), fmt.Sprintf("item%d", i)) })
	}
	return l
}

func (l *load) writer(ctx context.Context, s *session, item string) {
	for n := 1; ctx.Err() == nil; n++ {
		r := l.w.write(s, item, n)
		l.count(r, 0)
		if r.Code == statement.OK {
			l.wrote()
			if got := s.run(statement.Read, item); got.Code == statement.OK && valueOf(got) < n {
				l.fail(fmt.Sprintf("%s: read %d after writing %d", item, valueOf(got), n))
			}
		}
		time.Sleep(17 * time.Millisecond)
	}
}

func (l *load) reader(ctx context.Context, s *session) {
	for i := 0; ctx.Err() == nil; i++ {
		item := fmt.Sprintf("item%d", i%len(l.w.proxies))
		at := time.Now()
		r, stale := l.w.read(s, item)
		l.count(r, time.Since(at))
		if stale {
			l.fail(fmt.Sprintf("%s of %s at %s: %d", item, s.database, at.Sub(l.w.began), valueOf(r)))
		}
		time.Sleep(11 * time.Millisecond)
	}
}

func (l *load) count(r statement.Reply, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Code == statement.OK {
		l.served++
		return
	}
	l.refused++
	l.slowRefusal = max(l.slowRefusal, took)
}

func (l *load) wrote() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.longestGap = max(l.longestGap, now.Sub(l.lastWrite))
	l.lastWrite = now
}

func (l *load) fail(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = append(l.stale, what)
}

// end stops the load and checks the promises over all that was seen.
func (l *load) end() {
	l.w.t.Helper()
	assert.DeepEqual(l.w.t, l.violations(), []string(nil))
}

// violations stops the load and returns the promises that were broken.
func (l *load) violations() []string {
	l.stop()
	l.wg.Wait()
	out := append(append([]string(nil), l.stale...), l.w.badOrders()...)
	for _, at := range l.w.group.Lost() {
		out = append(out, "lost at a promotion: "+at)
	}
	for item := range l.w.acked {
		acked := l.w.known(item, time.Now())
		r := l.w.proxies[0].session(newest).run(statement.Read, item)
		if r.Code == statement.OK && valueOf(r) < acked {
			out = append(out, fmt.Sprintf("%s: %d after %d was acknowledged", item, valueOf(r), acked))
		}
	}
	return out
}
