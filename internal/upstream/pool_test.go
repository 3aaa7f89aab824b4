package upstream

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/testrun"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// startServer runs an emulated primary until the test ends.
func startServer(t testing.TB, cfg dbserver.Config) *dbserver.Server {
	t.Helper()
	cfg.ID, cfg.Primary, cfg.PrimaryID, cfg.Listen = "a", true, "a", "127.0.0.1:0"
	s, err := dbserver.New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, err)
	testrun.Go(t, s.Run)
	return s
}

// startPool runs a pool of the proxy vm until the test ends.
func startPool(t testing.TB, address, vm string, limits Limits) *Pool {
	p := NewPool(Target{Upstream: "a", Address: address, Database: "d", User: "pool", Application: vm + "@dc"}, limits)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(context.Background())
	}()
	t.Cleanup(func() {
		p.Close()
		<-done
	})
	return p
}

func acquire(t testing.TB, p *Pool, term tables.Term) *Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Acquire(ctx, term)
	assert.NilError(t, err)
	return c
}

// await polls until ok or the test fails.
func await(t testing.TB, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10s")
		}
		time.Sleep(time.Millisecond)
	}
}

func (p *Pool) slotsHeld() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holders
}

func TestIdleSlotIsReleased(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 1, Connections: 10})
	a := startPool(t, s.Addr(), "vm-a", Limits{Connections: 2, Slots: 1})
	b := startPool(t, s.Addr(), "vm-b", Limits{Connections: 2, Slots: 1})
	for range 5 {
		a.Release(acquire(t, a, 1))
		b.Release(acquire(t, b, 1))
	}
	await(t, func() bool { return a.slotsHeld() == 0 && b.slotsHeld() == 0 })
	assert.Equal(t, a.Open(), 1)
}

// drive runs statements through p in the given number of caller goroutines
// until stop closes. It returns how many ran and the longest wait for a
// connection.
func drive(t testing.TB, p *Pool, callers int, stop <-chan struct{}) (ran int, longest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				c, err := p.Acquire(ctx, 1)
				cancel()
				if err != nil {
					t.Errorf("acquire: %v", err)
					return
				}
				waited := time.Since(began)
				if _, err := c.queryValue("SELECT 1"); err != nil {
					p.Discard(c)
					t.Errorf("run: %v", err)
					return
				}
				p.Release(c)
				mu.Lock()
				ran++
				longest = max(longest, waited)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return ran, longest
}

func TestSlotsAreSharedAndNeverExceeded(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 3, Connections: 20, StatementTime: config.Duration(200 * time.Microsecond)})
	const pools = 5
	stop := make(chan struct{})
	time.AfterFunc(time.Second, func() { close(stop) })
	var ran [pools]int
	var wg sync.WaitGroup
	for i := range pools {
		p := startPool(t, s.Addr(), "vm-"+string(rune('a'+i)), Limits{Connections: 4, Slots: 3})
		wg.Add(1)
		go func() {
			defer wg.Done()
			ran[i], _ = drive(t, p, 4, stop)
		}()
	}
	wg.Wait()
	st := s.Stats()
	assert.Equal(t, st.OverSlots, int64(0))
	assert.Assert(t, st.MaxConnections <= 20)
	total := 0
	for _, n := range ran {
		total += n
	}
	for _, n := range ran {
		assert.Assert(t, n*pools*4 > total, "a pool ran %d of %d", n, total)
	}
}

func TestSlotsOfTerminatedProxyAreFreed(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 2, Connections: 10})
	terminated := startPool(t, s.Addr(), "vm-terminated", Limits{Connections: 2, Slots: 2})
	c1, c2 := acquire(t, terminated, 1), acquire(t, terminated, 1)
	live := startPool(t, s.Addr(), "vm-live", Limits{Connections: 2, Slots: 2})

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := live.Acquire(ctx, 1)
	assert.Assert(t, IsTimeout(err), "a slot of an open connection was taken")

	control := group.NewClient(s.Addr(), "control", "", "vm-live@dc")
	defer control.Close()
	n, err := control.TerminateVM(context.Background(), "vm-terminated")
	assert.NilError(t, err)
	assert.Equal(t, n, 2)
	live.Release(acquire(t, live, 1))
	assert.Equal(t, s.Stats().OverSlots, int64(0))
	terminated.Discard(c1)
	terminated.Discard(c2)
}

func TestConnectionLimitIsNotReportedAsFailure(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 3, Connections: 1})
	a := startPool(t, s.Addr(), "vm-a", Limits{Connections: 3, Slots: 3})
	held := acquire(t, a, 1)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := a.Acquire(ctx, 1)
	assert.Assert(t, IsTimeout(err), "got %v", err)
	_, isFailure := CauseOf(err)
	assert.Assert(t, !isFailure || errors.Is(err, context.DeadlineExceeded))
	refused := s.Stats().RefusedConnections
	assert.Assert(t, refused >= 1 && refused <= 5, "%d refused", refused)

	_, err = held.queryValue("SELECT 1")
	assert.NilError(t, err, "the pool keeps what it has")
	got := make(chan *Conn)
	go func() { got <- acquire(t, a, 1) }()
	await(t, func() bool { return a.Waiting() == 1 })
	a.Release(held)
	a.Release(<-got)
}

func TestRefusedDialReachesAllWaiters(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	p := startPool(t, address, "vm", Limits{Connections: 1, Slots: 1})
	results := make(chan error)
	for range 3 {
		go func() {
			_, err := p.Acquire(context.Background(), 1)
			results <- err
		}()
	}
	for range 3 {
		cause, ok := CauseOf(<-results)
		assert.Assert(t, ok)
		assert.Equal(t, cause, tables.CauseRefused)
	}
	assert.Equal(t, p.Open(), 0)
}

func TestConnectionsOfOtherTermsAreEvicted(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 1, Connections: 10})
	p := startPool(t, s.Addr(), "vm", Limits{Connections: 1, Slots: 1})
	for _, term := range []tables.Term{1, 0, 2, 1} {
		c := acquire(t, p, term)
		assert.Equal(t, c.Term, term)
		p.Release(c)
	}
	p.Release(acquire(t, p, 3))
	p.CloseBelow(4)
	assert.Equal(t, p.Open(), 0)
}

func TestCloseBelowEndsRequestsOfReplacedPrimary(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 1, Connections: 10})
	p := startPool(t, s.Addr(), "vm", Limits{Connections: 2, Slots: 1})
	running := acquire(t, p, 1)
	s.SetFaults(dbserver.Faults{IsolatedFrom: []string{"*"}})
	lost := make(chan error, 1)
	go func() {
		_, err := running.queryValue("SELECT 1")
		lost <- err
	}()
	refused := make(chan error, 1)
	go func() {
		_, err := p.Acquire(context.Background(), 1)
		refused <- err
	}()
	await(t, func() bool { return p.Waiting() == 1 })

	p.CloseBelow(2)
	assert.ErrorIs(t, <-refused, ErrReplaced)
	assert.Assert(t, <-lost != nil)
	p.Discard(running)
	_, err := p.Acquire(context.Background(), 1)
	assert.ErrorIs(t, err, ErrReplaced)
}

func TestCancelledWaiterReleasesItsConnection(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 1, Connections: 10})
	p := startPool(t, s.Addr(), "vm", Limits{Connections: 1, Slots: 1})
	for range 200 {
		held := acquire(t, p, 1)
		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan struct{})
		go func() {
			defer close(left)
			if c, err := p.Acquire(ctx, 1); err == nil {
				p.Release(c)
			}
		}()
		await(t, func() bool { return p.Waiting() == 1 })
		go cancel()
		p.Release(held)
		<-left
	}
	p.Release(acquire(t, p, 1))
	assert.Equal(t, p.Open(), 1)
}

func TestCloseSilentEndsUnansweredRequests(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 3, Connections: 10})
	p := startPool(t, s.Addr(), "vm", Limits{Connections: 3, Slots: 3})
	outstanding, pinned, idle := acquire(t, p, 1), acquire(t, p, 1), acquire(t, p, 1)
	p.Release(idle)
	s.SilenceConnections()
	ended := make(chan error, 1)
	go func() {
		_, err := outstanding.queryValue("SELECT 1")
		ended <- err
	}()
	await(t, func() bool { return outstanding.net.awaitingResponse.Load() })
	p.CloseSilent(20 * time.Millisecond)
	assert.Assert(t, <-ended != nil)
	p.Discard(outstanding)

	_, err := pinned.queryValue("SELECT 1")
	assert.Assert(t, err != nil, "a connection in question is watched")
	p.Discard(pinned)

	control := group.NewClient(s.Addr(), "control", "", "x@dc")
	defer control.Close()
	_, err = control.TerminateVM(context.Background(), "vm")
	assert.NilError(t, err)
	c := acquire(t, p, 1)
	_, err = c.queryValue("SELECT 1")
	assert.NilError(t, err, "new connections work")
	p.Release(c)
}

func TestHealthyConnectionSurvivesCloseSilent(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 3, Connections: 10})
	p := startPool(t, s.Addr(), "vm", Limits{Connections: 3, Slots: 3})
	c := acquire(t, p, 1)
	p.CloseSilent(time.Second)
	for range 100 {
		_, err := c.queryValue("SELECT 1")
		assert.NilError(t, err)
	}
	p.Release(c)
}

func TestLongStatementOnANewConnectionSurvivesCloseSilent(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 3, Connections: 10})
	p := startPool(t, s.Addr(), "vm", Limits{Connections: 3, Slots: 3})
	pinned := acquire(t, p, 1)
	p.CloseSilent(20 * time.Millisecond)
	fresh := acquire(t, p, 1)
	_, err := fresh.queryValue("SELECT pg_sleep(0.1)")
	assert.NilError(t, err, "a new connection is not in question")
	_, err = pinned.queryValue("SELECT 1")
	assert.NilError(t, err)
	_, err = pinned.queryValue("SELECT pg_sleep(0.1)")
	assert.NilError(t, err, "a connection on which a byte arrived is no longer in question")
	p.Release(fresh)
	p.Release(pinned)
}

func TestCancelledConnectionIsNotReused(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 3, Connections: 10})
	p := startPool(t, s.Addr(), "vm", Limits{Connections: 3, Slots: 3})
	c := acquire(t, p, 1)
	assert.NilError(t, c.Cancel(context.Background()))
	_, err := c.queryValue("SELECT 1")
	assert.NilError(t, err)
	p.Release(c)
	other := acquire(t, p, 1)
	assert.Assert(t, other != c)
	p.Release(other)
}

// Settings that a server refused to apply are unknown until they are confirmed.
func TestRefusedSettingsAreAppliedAgain(t *testing.T) {
	s := startServer(t, dbserver.Config{Slots: 1, Connections: 10})
	p := startPool(t, s.Addr(), "vm", Limits{Connections: 1, Slots: 1})
	c := acquire(t, p, 1)
	defer p.Release(c)
	const settings = "SET work_mem = '1';"
	assert.NilError(t, c.ApplySettings(t.Context(), settings))
	assert.ErrorContains(t, c.ApplySettings(t.Context(), "nonsense;"), "SQLSTATE")
	assert.Assert(t, c.settingsUnknown)
	assert.NilError(t, c.ApplySettings(t.Context(), settings))
	assert.Assert(t, !c.settingsUnknown)
}

func TestPreparedStatementsAreLimited(t *testing.T) {
	st := newStatements()
	for i := range maxStatements {
		_, full := st.EvictionCandidate()
		assert.Assert(t, !full)
		st.Add(string(rune('A' + i)))
	}
	assert.Assert(t, st.Use("A"))
	name, full := st.EvictionCandidate()
	assert.Assert(t, full)
	assert.Equal(t, name, "B", "the least recently used one is evicted")
}

// A closed pool refuses waiters and closes each connection that is released, also one that
// has held its slot for the quantum: its slot is released in the background first.
func TestCloseRefusesWaiters(t *testing.T) {
	for _, afterQuantum := range []bool{false, true} {
		s := startServer(t, dbserver.Config{Slots: 1, Connections: 10})
		p := startPool(t, s.Addr(), "vm", Limits{Connections: 1, Slots: 1})
		p.quantum = time.Hour
		if afterQuantum {
			p.quantum = 0
		}
		held := acquire(t, p, 1)
		failed := make(chan error)
		go func() {
			_, err := p.Acquire(context.Background(), 1)
			failed <- err
		}()
		await(t, func() bool { return p.Waiting() == 1 })
		p.Close()
		assert.ErrorContains(t, <-failed, "ShuttingDown")
		p.Release(held)
		if afterQuantum {
			await(t, func() bool { return p.Open() == 0 })
		}
		assert.Equal(t, p.Open(), 0)
	}
}
