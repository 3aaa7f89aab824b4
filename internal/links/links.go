// Package links keeps connections to database servers open and hands them out.
// Connections are scarce and shared by all proxies: they are opened on demand,
// reused last in first out, and closed after a short rest so that others find
// room.
package links

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/keep"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	// surplusRest is how long unused connections over this proxy's part are kept:
	// what a burst opened is not missed, and proxies that start again after a
	// loss of power find room beside their old connections, which the server
	// holds for 3 s.
	surplusRest = time.Second
	// OpenTimeout bounds the opening of a connection.
	OpenTimeout = 800 * time.Millisecond
	// waitLimit bounds the wait for a connection that another session gives back.
	// Sessions that hold connections through callers' pauses do so for long, and
	// another server or proxy may have room.
	waitLimit = 100 * time.Millisecond
	// fullPause is how long no connection is opened after the server had no room.
	fullPause = 40 * time.Millisecond
	// insistPause is the pause between two tries to open a connection for the
	// proxy's own work; callers' tries pause for fullPause.
	insistPause = 10 * time.Millisecond
	// scarceFor is how long after the server had no room connections count as
	// scarce: this pool opens no more than it had, and closes resting ones soon.
	scarceFor = 2 * time.Second
	// scarceRest is how long an unused connection is kept while they are scarce.
	scarceRest = 30 * time.Millisecond
)

// Link is one session at a server, as a codec offers it.
type Link interface {
	// Send writes statements in one piece.
	Send(list ...statement.Statement) error
	// Receive returns the answer to the oldest statement without one.
	Receive() (statement.Reply, error)
	// Alive reports whether the connection is open and nothing waits to be read.
	Alive() bool
	// SetDeadline bounds the reads and writes that follow.
	SetDeadline(t time.Time) error
	// Close ends the session at once.
	Close() error
}

// Open opens a session at a server. A refusal is returned as a reply with its code.
type Open func(ctx context.Context, e tables.Entry) (Link, statement.Reply, error)

// Conn is a link in use by one session at a time.
type Conn struct {
	Link
	// State is what the connection holds of a session.
	State preparation.Connection
	// OpenedAt is when its opening began.
	OpenedAt tables.Time
	restedAt tables.Time
}

// Errors of Get beside those of the connection.
var (
	// ErrFull means that neither a connection nor room for one is free.
	ErrFull = errors.New("links: no connection free")
	// ErrMisrouted means that another server answers at the address.
	ErrMisrouted = errors.New("links: another server answers at the address")
	// ErrClosed means that the server is not used any more.
	ErrClosed = errors.New("links: closed")
)

// Pool holds the connections to one server. It is safe for concurrent use.
type Pool struct {
	entry tables.Entry
	open  Open
	now   func() tables.Time

	mu        sync.Mutex
	limit     int
	total     int
	idle      []*Conn
	waiters   []chan *Conn
	fullUntil tables.Time
	// gap is the time between two uses, the last of them at usedAt; 0 before.
	gap    keep.UseInterval
	usedAt tables.Time
	// scarceUntil is when connections stop to be scarce, and share how many this
	// pool may have until then.
	scarceUntil tables.Time
	share       int
	closed      bool
}

// NewPool returns an empty pool that opens at most limit connections.
func NewPool(e tables.Entry, limit int, open Open, now func() tables.Time) *Pool {
	return &Pool{entry: e, limit: limit, open: open, now: now}
}

// SetLimit changes how many connections may be open; open ones stay.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// Get returns a connection, opening one if none rests. Where there is no room
// for one it waits a short while for one that is given back. fresh asks for a
// new connection.
func (p *Pool) Get(ctx context.Context, fresh bool) (*Conn, error) {
	p.used()
	patience, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	for {
		c, wait, err := p.take(fresh)
		if c != nil || err != nil {
			return c, err
		}
		if wait == nil {
			return p.dial(ctx)
		}
		select {
		case c := <-wait:
			if c != nil {
				return c, nil
			}
		case <-patience.Done():
			p.leave(wait)
			return nil, ErrFull
		}
	}
}

// Insist returns a connection for the proxy's own work at a server that callers
// keep full. It asks for one beyond this pool's limits, again and again until
// ctx ends; ErrFull then.
func (p *Pool) Insist(ctx context.Context) (*Conn, error) {
	for {
		c, err := p.rested()
		if c == nil && err == nil {
			c, err = p.dial(ctx)
		}
		if !errors.Is(err, ErrFull) {
			return c, err
		}
		if sleep.For(ctx, insistPause) != nil {
			return nil, ErrFull
		}
	}
}

// rested returns a resting connection, or none after it counted room for one.
func (p *Pool) rested() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	p.total++
	return nil, nil
}

// takeIdle takes the connection that rests for the shortest time and is open;
// nil if there is none. The lock must be held.
func (p *Pool) takeIdle() *Conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Alive() {
			return c
		}
		p.drop(c)
	}
	return nil
}

func (p *Pool) used() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.usedAt != 0 {
		p.gap.Observe(now.Sub(p.usedAt))
	}
	p.usedAt = now
}

// Oldest returns the resting connection that was opened first, if it was opened
// by a time.
func (p *Pool) Oldest(by tables.Time) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := -1
	for i, c := range p.idle {
		if c.OpenedAt <= by && (oldest < 0 || c.OpenedAt < p.idle[oldest].OpenedAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil, false
	}
	c := p.idle[oldest]
	p.idle = append(p.idle[:oldest], p.idle[oldest+1:]...)
	if !c.Alive() {
		p.drop(c)
		return nil, false
	}
	return c, true
}

// take returns a resting connection, or a channel to wait on, or neither if
// the caller is to open one.
func (p *Pool) take(fresh bool) (*Conn, chan *Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if !fresh {
		if c := p.takeIdle(); c != nil {
			return c, nil, nil
		}
	}
	if fresh && p.total >= p.allowed() && len(p.idle) > 0 {
		// A new connection is to tell whether the server answers, so an old one makes room.
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.total < p.allowed() && p.now() >= p.fullUntil {
		p.total++
		return nil, nil, nil
	}
	if p.total == 0 {
		return nil, nil, ErrFull
	}
	wait := make(chan *Conn, 1)
	p.waiters = append(p.waiters, wait)
	return nil, wait, nil
}

// allowed returns how many connections may be open now.
func (p *Pool) allowed() int {
	if p.now() < p.scarceUntil {
		return min(p.limit, max(p.share, 1))
	}
	return p.limit
}

// leave gives up a wait; a connection that came meanwhile goes back.
func (p *Pool) leave(wait chan *Conn) {
	p.mu.Lock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	if c := <-wait; c != nil {
		p.Put(c)
	} else {
		p.wake()
	}
}

// dial opens a connection for which room was counted.
func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, OpenTimeout)
	defer cancel()
	began := p.now()
	link, reply, err := p.open(ctx, p.entry)
	if err == nil && reply.Code == statement.OK {
		return &Conn{Link: link, OpenedAt: began}, nil
	}
	if link != nil {
		_ = link.Close() // it was refused and holds nothing
	}
	p.mu.Lock()
	p.total--
	if reply.Code == statement.TooMany || reply.Code == statement.Busy {
		now := p.now()
		p.fullUntil, p.scarceUntil, p.share = now.Add(fullPause), now.Add(scarceFor), p.total
	}
	p.wakeLocked()
	p.mu.Unlock()
	switch {
	case err != nil:
		return nil, err
	case reply.Code == statement.Misrouted:
		return nil, ErrMisrouted
	case reply.Code == statement.TooMany, reply.Code == statement.Busy:
		return nil, ErrFull
	default:
		return nil, errors.Errorf("links: session refused: %s %s", reply.Code, reply.Detail)
	}
}

// Put gives back a connection without an open transaction and without an
// answer outstanding.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.drop(c)
		return
	}
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w <- c
		return
	}
	c.restedAt = p.now()
	p.idle = append(p.idle, c)
}

// Discard closes a connection whose state is not known.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
	p.wakeLocked()
}

func (p *Pool) drop(c *Conn) {
	p.total--
	_ = c.Close() // nothing is expected from it any more
}

func (p *Pool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked()
}

// wakeLocked lets the first waiter look again.
func (p *Pool) wakeLocked() {
	if len(p.waiters) == 0 {
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w <- nil
}

// Trim closes connections that have rested for long. part is how many of the
// server's connections may rest at this proxy.
func (p *Pool) Trim(part float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].restedAt) > p.rest(now, part) {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// rest returns how long the connection that has rested longest is kept.
func (p *Pool) rest(now tables.Time, part float64) time.Duration {
	switch {
	case now < p.scarceUntil:
		return scarceRest
	case len(p.idle) > keep.Count(part):
		return surplusRest
	default:
		return keep.Timeout(part, p.gap)
	}
}

// Close closes resting connections and all that are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
	for _, w := range p.waiters {
		w <- nil
	}
	p.waiters = nil
}
