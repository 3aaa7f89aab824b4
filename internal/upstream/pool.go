package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Limits are the limits of a pool.
type Limits struct {
	// Connections is this proxy's share of the server's connections.
	Connections int
	// Slots is how many statements the server runs at once, for all proxies
	// together.
	Slots int
}

// sqlStateTooManyConnections is the SQLSTATE of a connection that the server
// refused because it is at its connection limit.
const sqlStateTooManyConnections = "53300"

const (
	// dialTimeout limits connecting and logging in.
	dialTimeout = 3 * time.Second
	// minRefusedDelay is the delay after the server refused a connection
	// because of its limit. It doubles with each refusal up to maxRefusedDelay.
	minRefusedDelay = 10 * time.Millisecond
	maxRefusedDelay = time.Second
)

// Pool holds the connections to one upstream. A connection is idle or busy; a
// busy one belongs to one request or to one of the pool's own goroutines. All
// methods are safe for concurrent use.
type Pool struct {
	target Target

	mu     sync.Mutex
	limits Limits
	// idle is ordered by last use, the most recent last.
	idle []*Conn
	busy map[*Conn]struct{}
	// open counts connections, including those being opened.
	open int
	// holders counts connections that hold a slot.
	holders int
	// seekers counts goroutines that open a connection or try to take a slot.
	seekers int
	// retrying is set while a seeker retries until a slot becomes free.
	retrying bool
	// quantum is how long a connection keeps a slot under steady use, between
	// minQuantum and maxQuantum.
	quantum time.Duration
	// waiters are the requests that wait for a connection, the oldest first.
	waiters []*waiter
	// refusals counts consecutive connections that the server refused because of
	// its limit. None is opened before refusedUntil.
	refusals     int
	refusedUntil time.Time
	suspects     suspectRule
	// latestTerm is the highest term for which a primary is known.
	latestTerm tables.Term
	closed     bool

	// janitorActive is set while the janitor runs at the short interval.
	janitorActive bool
	wakeJanitor   chan struct{}
	closing       chan struct{}
}

// waiter is a request that waits for a connection.
type waiter struct {
	term tables.Term
	got  chan delivery
}

type delivery struct {
	conn *Conn
	err  error
}

// NewPool returns an empty pool. Its owner calls Run.
func NewPool(target Target, limits Limits) *Pool {
	return &Pool{
		target:      target,
		limits:      limits.atLeastOne(),
		quantum:     minQuantum,
		busy:        make(map[*Conn]struct{}),
		wakeJanitor: make(chan struct{}, 1),
		closing:     make(chan struct{}),
	}
}

func (l Limits) atLeastOne() Limits {
	return Limits{Connections: max(1, l.Connections), Slots: max(1, l.Slots)}
}

// SetLimits changes the limits. Surplus connections close as they become idle.
func (p *Pool) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l.atLeastOne()
	p.trim()
	p.startSeekers()
}

// Acquire returns a connection opened under term that holds one of the server's
// slots; the caller sets its deadline. It waits until ctx ends and then returns
// ctx's error; other errors come from connecting. A server that refuses a
// connection because of its limit causes no error: the request continues to
// wait.
func (p *Pool) Acquire(ctx context.Context, term tables.Term) (*Conn, error) {
	c, w, err := p.take(term)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case d := <-w.got:
		return d.conn, d.err
	case <-ctx.Done():
		p.removeWaiter(w)
		return nil, ctx.Err()
	}
}

// take returns an idle connection that holds a slot, or a waiter that it
// queued.
func (p *Pool) take(term tables.Term) (*Conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClosed()
	}
	if p.outdated(term) {
		return nil, nil, ErrReplaced
	}
	if c := p.takeIdle(func(c *Conn) bool { return c.Term == term && c.slot != noSlot }); c != nil {
		return c, nil, nil
	}
	w := &waiter{term: term, got: make(chan delivery, 1)}
	p.waiters = append(p.waiters, w)
	p.startSeekers()
	return nil, w, nil
}

func errClosed() error {
	return codes.New(codes.ShuttingDown, codes.NotRun, 0, "pool closed")
}

// takeIdle marks the most recently used idle connection that fits as busy and
// returns it. The lock must be held.
func (p *Pool) takeIdle(fits func(*Conn) bool) *Conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if !fits(c) {
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		p.busy[c] = struct{}{}
		return c
	}
	return nil
}

// removeWaiter removes a waiter whose context ended. A connection that it has
// received meanwhile is released to the next waiter.
func (p *Pool) removeWaiter(w *waiter) {
	p.mu.Lock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	if d := <-w.got; d.conn != nil {
		p.Release(d.conn)
	}
}

// Release returns a connection that has no response outstanding and no open
// transaction. If a cancel request was sent for it, it is closed instead.
func (p *Pool) Release(c *Conn) {
	if c.cancelled.Load() {
		p.Discard(c)
		return
	}
	c.lastUsed = time.Now()
	if p.heldForQuantum(c) {
		go p.yieldSlot(c)
		return
	}
	p.offer(c)
}

// heldForQuantum reports whether c has held its slot for the quantum.
func (p *Pool) heldForQuantum(c *Conn) bool {
	if c.slot == noSlot {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.lastUsed.Sub(c.slotTakenAt) > p.quantum
}

// offer gives a busy connection to the first waiter that can use it, or makes
// it idle.
func (p *Pool) offer(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.startSeekers()
	c.slotReleaseStarted = time.Time{}
	if c.slot != noSlot && !p.closed && p.deliver(c) {
		return
	}
	delete(p.busy, c)
	p.idle = append(p.idle, c)
	p.trim()
	if c.slot != noSlot {
		p.scheduleJanitor()
	}
}

// deliver gives c to the first waiter of its term. The lock must be held.
func (p *Pool) deliver(c *Conn) bool {
	for i, w := range p.waiters {
		if w.term == c.Term {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			w.got <- delivery{conn: c}
			return true
		}
	}
	return false
}

// Discard closes a busy connection, which may have a response outstanding.
func (p *Pool) Discard(c *Conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
	p.countClosed(c)
	p.startSeekers()
}

// countClosed updates the counters for a closed connection. The lock must be
// held.
func (p *Pool) countClosed(c *Conn) {
	p.open--
	if c.slot != noSlot {
		p.holders--
	}
}

// closeIdleWhere closes at most n idle connections that fit, the least recently
// used first. The lock must be held.
func (p *Pool) closeIdleWhere(n int, fits func(*Conn) bool) (closed int) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if closed == n || !fits(c) {
			kept = append(kept, c)
			continue
		}
		closed++
		c.terminate()
		p.countClosed(c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return closed
}

func anyConn(*Conn) bool { return true }

// trim closes idle connections over the limit, or all once the pool is closed.
// The lock must be held.
func (p *Pool) trim() {
	surplus := p.open - p.limits.Connections
	if p.closed {
		surplus = p.open
	}
	if surplus > 0 {
		p.closeIdleWhere(surplus, anyConn)
	}
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleWhere(p.open, anyConn)
	p.startSeekers()
}

// ErrReplaced means that a later term has a primary; the request was not sent.
var ErrReplaced = errors.New("upstream: a primary of a later term stands")

// CloseBelow is called when term has a primary, on this server or another one.
// It closes idle connections of lower terms and ends waits for them with
// ErrReplaced. Requests that run on such connections have
// replacedPrimaryTimeout to receive the server's rejection; then their
// connections are closed too.
func (p *Pool) CloseBelow(term tables.Term) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latestTerm = max(p.latestTerm, term)
	p.closeIdleWhere(p.open, func(c *Conn) bool { return p.outdated(c.Term) })
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		if p.outdated(w.term) {
			w.got <- delivery{err: ErrReplaced}
		}
		return p.outdated(w.term)
	})
	p.startSeekers()
	p.scheduleJanitor()
}

// outdated reports whether a connection of term writes under a term whose
// primary was replaced. The lock must be held.
func (p *Pool) outdated(term tables.Term) bool { return term != 0 && term < p.latestTerm }

// Close refuses waiters and closes connections: idle ones now, busy ones when
// they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.closing)
	for _, w := range p.waiters {
		w.got <- delivery{err: errClosed()}
	}
	p.waiters = nil
	p.trim()
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Waiting returns the number of requests that wait for a connection.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}

// IsTimeout reports whether err means that a wait ended with its context.
func IsTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
