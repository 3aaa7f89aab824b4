package pgsession

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/testrun"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

const (
	testGroup    = tables.GroupID("stock1")
	testUpstream = tables.UpstreamID("stock1-a")
	// testGateSlots never holds a request back.
	testGateSlots = 1000
)

// fakeCore knows one group whose only server is its primary. Every write is
// safe at once and every point is confirmed at once.
type fakeCore struct {
	start time.Time
	pool  *upstream.Pool
	gate  *gate.Limiter
	load  Load

	mu       sync.Mutex
	world    *tables.World
	snapshot *route.Snapshot
	changed  chan struct{}
	outcome  ack.Outcome
	muted    bool
}

// muteConfirm keeps all later points from being confirmed.
func (c *fakeCore) muteConfirm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.muted = true
}

func newFakeCore(t testing.TB, address string, limits upstream.Limits) *fakeCore {
	c := &fakeCore{
		start: time.Now().Add(-time.Hour), world: tables.NewWorld("vm", "dc", ""),
		changed: make(chan struct{}), outcome: ack.Acknowledged,
	}
	c.world.Groups.Put(testGroup, tables.Group{ID: testGroup, Term: 1, Primary: testUpstream, Members: []tables.UpstreamID{testUpstream}})
	c.world.Upstreams.Put(testUpstream, tables.Upstream{ID: testUpstream, Group: testGroup, DataCentre: "dc", Slots: 3})
	c.Confirm(testGroup)
	c.pool = upstream.NewPool(upstream.Target{Upstream: testUpstream, Address: address, User: "pool", Database: "d", Application: "vm@dc"}, limits)
	c.gate = gate.New(testGateSlots, testGateSlots, c.Now)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.pool.Run(context.Background())
	}()
	t.Cleanup(func() {
		c.pool.Close()
		<-done
	})
	return c
}

func (c *fakeCore) Now() tables.Time { return tables.Time(time.Since(c.start)) }

func (c *fakeCore) Snapshot() *route.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

func (c *fakeCore) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *fakeCore) Confirm(g tables.GroupID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.muted {
		return
	}
	row, _ := c.world.Groups.Get(g)
	row.Confirmed = tables.ConfirmedPoint{Term: row.Term, SentAt: c.Now(), Position: tables.Position{LogTerm: 1, Index: 1}}
	c.world.Groups.Put(g, row)
	c.snapshot = route.Build(c.Now(), c.world, c.snapshot)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeCore) Acknowledge(context.Context, tables.GroupID, ack.Commit) (ack.Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome, nil
}

func (c *fakeCore) Report(event.Event) {}

func (c *fakeCore) Pool(tables.UpstreamID) (*upstream.Pool, bool) { return c.pool, true }

func (c *fakeCore) Gate(tables.UpstreamID) (*gate.Limiter, bool) { return c.gate, true }

func (c *fakeCore) Load() *Load { return &c.load }

// rig is an executor over one upstream.
type rig struct {
	t    testing.TB
	core *fakeCore
	exec *Executor
	// server is the emulated server, if there is one.
	server *dbserver.Server
}

func newRig(t testing.TB, address string, limits upstream.Limits) *rig {
	core := newFakeCore(t, address, limits)
	e := New(core, metrics.New(prometheus.NewRegistry()))
	e.SetDocument(config.Document{
		Services: []config.Service{{Name: "s", Databases: map[string]tables.GroupID{"d": testGroup}, Deadline: config.Duration(5 * time.Second)}},
		Users:    []config.User{{Name: "u"}},
	})
	return &rig{t: t, core: core, exec: e}
}

// newEmulatorRig runs the executor over an emulated server.
func newEmulatorRig(t testing.TB, connections int) *rig {
	cfg := dbserver.Config{ID: string(testUpstream), Primary: true, PrimaryID: string(testUpstream), Listen: "127.0.0.1:0", Slots: 3, Connections: 20}
	s, err := dbserver.New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, err)
	testrun.Go(t, s.Run)
	r := newRig(t, s.Addr(), upstream.Limits{Connections: connections, Slots: 3})
	r.server = s
	return r
}

func (r *rig) open(params map[string]string) *testCaller {
	s, err := r.exec.Open(callers.Startup{User: "u", Database: "s/d", Parameters: params})
	assert.NilError(r.t, err)
	r.t.Cleanup(s.Close)
	return &testCaller{t: r.t, s: s.(*callerSession)}
}

// testCaller runs requests on one session.
type testCaller struct {
	t testing.TB
	s *callerSession
}

// reply is what a caller got for one request.
type reply struct {
	rows     []string
	tags     []string
	kinds    string
	sqlState string
	err      error
	status   statement.State
}

// ran returns what the caller was told about the request.
func (r reply) ran() codes.Ran {
	if e, ok := codes.From(r.err); ok {
		return e.Ran
	}
	if r.err != nil {
		return codes.Unknown
	}
	return codes.Did
}

func (c *testCaller) query(sql string) reply {
	return c.run(context.Background(), &callers.Batch{Simple: true, Query: sql})
}

func (c *testCaller) batch(messages ...pgproto3.FrontendMessage) reply {
	return c.run(context.Background(), &callers.Batch{Messages: messages})
}

func (c *testCaller) run(ctx context.Context, b *callers.Batch) reply {
	c.t.Helper()
	var out bytes.Buffer
	a := callers.NewAnswer(&out)
	status, err := c.s.Run(ctx, b, a)
	r := reply{err: err, status: status}
	if err != nil {
		a.Drop()
	}
	a.Release()
	assert.NilError(c.t, a.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'}))
	assert.NilError(c.t, a.Flush())
	r.read(c.t, &out)
	return r
}

func (r *reply) read(t testing.TB, in *bytes.Buffer) {
	fe := pgproto3.NewFrontend(in, io.Discard)
	for {
		msg, err := fe.Receive()
		assert.NilError(t, err)
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			r.rows = append(r.rows, string(m.Values[0]))
		case *pgproto3.CommandComplete:
			r.tags = append(r.tags, string(m.CommandTag))
			r.kinds += "C"
		case *pgproto3.ErrorResponse:
			r.sqlState = m.Code
			r.kinds += "E"
		case *pgproto3.ParseComplete:
			r.kinds += "1"
		case *pgproto3.BindComplete:
			r.kinds += "2"
		case *pgproto3.CloseComplete:
			r.kinds += "3"
		case *pgproto3.NoData:
			r.kinds += "n"
		case *pgproto3.ReadyForQuery:
			return
		}
	}
}

func (r reply) ok(t testing.TB) reply {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.sqlState, "")
	return r
}

func code(err error) codes.Code {
	if e, ok := codes.From(err); ok {
		return e.Code
	}
	return codes.OK
}
