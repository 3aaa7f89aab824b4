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

// Limits bounds a pool.
type Limits struct {
	// Connections is this proxy's share of the server's connections.
	Connections int
	// Slots is how many statements the server runs at once, over all proxies.
	Slots int
}

// sqlStateTooManyConnections is how a server refuses a connection over its limit.
const sqlStateTooManyConnections = "53300"

const (
	// dialTimeout bounds connecting and logging in.
	dialTimeout = 3 * time.Second
	// refusedPause is the pause after the server refused a connection over its
	// limit; it doubles with each refusal up to maxRefusedPause.
	refusedPause    = 10 * time.Millisecond
	maxRefusedPause = time.Second
)

// Pool holds the connections to one upstream. A connection is idle or busy; a
// busy one belongs to one request or to one of the pool's own goroutines. All
// methods are safe for concurrent use.
type Pool struct {
	target Target

	mu     sync.Mutex
	limits Limits
	// idle are ordered by last use, the newest last.
	idle []*Conn
	busy map[*Conn]struct{}
	// open counts connections, those being opened included.
	open int
	// holders counts connections that hold a slot.
	holders int
	// seekers counts goroutines that open a connection or try for a slot.
	seekers int
	// persistent is set while a seeker waits for a slot to become free.
	persistent bool
	quantum    time.Duration
	waiters    []*waiter
	refusals   int
	refusedTo  time.Time
	silence    silence
	// replaced is the highest term at which a primary is known to stand.
	replaced tables.Term
	closed   bool

	// attentive is set while the janitor looks again by itself soon.
	attentive bool
	attention chan struct{}
	gone      chan struct{}
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

// NewPool returns an empty pool. Its owner runs Run.
func NewPool(target Target, limits Limits) *Pool {
	return &Pool{
		target:    target,
		limits:    limits.atLeastOne(),
		quantum:   minQuantum,
		busy:      make(map[*Conn]struct{}),
		attention: make(chan struct{}, 1),
		gone:      make(chan struct{}),
	}
}

func (l Limits) atLeastOne() Limits {
	return Limits{Connections: max(1, l.Connections), Slots: max(1, l.Slots)}
}

// SetLimits changes the bounds. Surplus connections close as they become idle.
func (p *Pool) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l.atLeastOne()
	p.trim()
	p.seek()
}

// Acquire returns a connection opened under term that holds one of the
// server's slots; its deadline is the caller's to set. It waits until ctx ends and then returns ctx's error; other
// errors come from connecting. A refusal for the server's connection limit is
// no error: the request goes on waiting.
func (p *Pool) Acquire(ctx context.Context, term tables.Term) (*Conn, error) {
	c, w, err := p.take(term)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case d := <-w.got:
		return d.conn, d.err
	case <-ctx.Done():
		p.forget(w)
		return nil, ctx.Err()
	}
}

// take returns an idle connection that holds a slot, or a waiter in the queue.
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
	p.seek()
	return nil, w, nil
}

func errClosed() error {
	return codes.New(codes.ShuttingDown, codes.NotRun, 0, "pool closed")
}

// takeIdle makes the newest idle connection that fits busy. The lock must be held.
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

// forget drops a waiter that gave up. What it was handed meanwhile goes on to
// the next.
func (p *Pool) forget(w *waiter) {
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

// Release puts back a connection that has no answer outstanding and no open
// transaction. One that was asked to cancel is closed instead.
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
	return c.lastUsed.Sub(c.slotAt) > p.quantum
}

// offer hands a busy connection to the first waiter that can use it, or makes
// it idle.
func (p *Pool) offer(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.seek()
	c.returning = time.Time{}
	if c.slot != noSlot && !p.closed && p.handOver(c) {
		return
	}
	delete(p.busy, c)
	p.idle = append(p.idle, c)
	p.trim()
	if c.slot != noSlot {
		p.alert()
	}
}

// handOver gives c to the first waiter of its term. The lock must be held.
func (p *Pool) handOver(c *Conn) bool {
	for i, w := range p.waiters {
		if w.term == c.Term {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			w.got <- delivery{conn: c}
			return true
		}
	}
	return false
}

// Discard closes a connection that may have an answer outstanding.
func (p *Pool) Discard(c *Conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
	p.closedOne(c)
	p.seek()
}

// closedOne counts a connection that was closed. The lock must be held.
func (p *Pool) closedOne(c *Conn) {
	p.open--
	if c.slot != noSlot {
		p.holders--
	}
}

// closeIdleWhere closes idle connections that fit, at most n of them, the
// longest unused first. The lock must be held.
func (p *Pool) closeIdleWhere(n int, fits func(*Conn) bool) (closed int) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if closed == n || !fits(c) {
			kept = append(kept, c)
			continue
		}
		closed++
		c.terminate()
		p.closedOne(c)
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
	p.seek()
}

// ErrReplaced means that a primary of a later term stands; the request was not sent.
var ErrReplaced = errors.New("upstream: a primary of a later term stands")

// CloseBelow is called when a primary stands at term, here or elsewhere. It
// closes idle connections of lower terms and ends waits for them with
// ErrReplaced. Requests that run on such connections get a short while for the
// server's rejection; then their connections are closed too.
func (p *Pool) CloseBelow(term tables.Term) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaced = max(p.replaced, term)
	p.closeIdleWhere(p.open, func(c *Conn) bool { return p.outdated(c.Term) })
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		if p.outdated(w.term) {
			w.got <- delivery{err: ErrReplaced}
		}
		return p.outdated(w.term)
	})
	p.seek()
	p.alert()
}

// outdated reports whether a connection of term writes for a replaced primary.
// The lock must be held.
func (p *Pool) outdated(term tables.Term) bool { return term != 0 && term < p.replaced }

// Close refuses waiters, closes idle connections now and others as they are
// released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.gone)
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
