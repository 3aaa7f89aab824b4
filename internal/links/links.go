// Package links pools connections to database servers. Connections are scarce
// and shared by all proxies: they are opened on demand, reused last in, first
// out, and closed after a short idle time so that other proxies can open
// theirs.
package links

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/idle"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	// surplusIdleTime is how long idle connections above this proxy's share are
	// kept. A burst's extra connections are not needed after it. Proxies that
	// restart after a power loss need free capacity beside their old connections,
	// which the server keeps for 3 s.
	surplusIdleTime = time.Second
	// OpenTimeout bounds the opening of a connection.
	OpenTimeout = 800 * time.Millisecond
	// waitTimeout bounds the wait for a connection that another session returns.
	// Sessions that keep connections while their callers pause do so for long,
	// and another server or proxy may have a free one.
	waitTimeout = 100 * time.Millisecond
	// teamTurn is how long a connection is handed on within its team while another
	// team waits. Opening one for another team takes 12 ms, which would take most of
	// the time if it happened at every use.
	teamTurn = 25 * time.Millisecond
	// fullBackoff is how long no connection is opened after the server refused
	// one for lack of capacity.
	fullBackoff = 40 * time.Millisecond
	// ownDialRetryDelay is the pause between two tries to open a connection for
	// the proxy's own work; tries for callers pause for fullBackoff.
	ownDialRetryDelay = 10 * time.Millisecond
	// scarcityTime is how long connections count as scarce after the server
	// refused one for lack of capacity: until then this pool opens no more than
	// it had, and closes idle ones sooner.
	scarcityTime = 2 * time.Second
	// scarceIdleTime is how long an idle connection is kept while connections are
	// scarce.
	scarceIdleTime = 30 * time.Millisecond
)

// Link is one session at a server, as the protocol's codec implements it.
type Link interface {
	// Send writes statements in one call.
	Send(list ...statement.Statement) error
	// Receive returns the reply to the oldest statement without one.
	Receive() (statement.Reply, error)
	// Alive reports whether the connection is open and no data waits to be read.
	Alive() bool
	// SetDeadline bounds the reads and writes that follow.
	SetDeadline(t time.Time) error
	// Close ends the session at once.
	Close() error
}

// Open opens a session at a server for a team, or the proxy's own session if team is
// empty. A refusal is returned as a reply with its code.
type Open func(ctx context.Context, e tables.Entry, team tables.TeamID) (Link, statement.Reply, error)

// Conn is a link in use by one session at a time.
type Conn struct {
	Link
	// Team is the team to which the connection belongs; empty in deployments without
	// teams and for a connection of the proxy's own.
	Team tables.TeamID
	// State is the session state that the server holds for the connection. Send and
	// Receive keep it up to date.
	State preparation.Connection
	// OpenedAt is when its opening began.
	OpenedAt  tables.Time
	idleSince tables.Time
}

// Send writes statements in one call.
func (c *Conn) Send(list ...statement.Statement) error {
	c.State.Sent(list...)
	return c.Link.Send(list...)
}

// Receive returns the reply to the oldest statement without one.
func (c *Conn) Receive() (statement.Reply, error) {
	r, err := c.Link.Receive()
	if err == nil {
		c.State.Replied(r)
	}
	return r, err
}

// Errors of Get besides those of the connection.
var (
	// ErrFull means that no connection is free and none can be opened.
	ErrFull = errors.New("links: no connection free")
	// ErrMisrouted means that another server answers at the address.
	ErrMisrouted = errors.New("links: another server answers at the address")
	// ErrClosed means that the pool is closed, as the server is no longer used.
	ErrClosed = errors.New("links: closed")
)

// Pool holds the connections to one server. It is safe for concurrent use.
type Pool struct {
	entry tables.Entry
	open  Open
	now   func() tables.Time

	mu          sync.Mutex
	limit       int
	total       int
	idle        []*Conn
	waiters     []waiter
	noDialUntil tables.Time
	// useInterval tracks the time between two uses, the last of them at
	// lastUsedAt (0 before the first).
	useInterval idle.UseInterval
	lastUsedAt  tables.Time
	// scarceUntil is when connections stop being scarce. Until then the pool may
	// have scarceLimit connections.
	scarceUntil tables.Time
	scarceLimit int
	// refusedAttemptAt is when the last attempt began to which the server replied that
	// it has no room.
	refusedAttemptAt tables.Time
	// brokenAt is when an idle connection was last found broken.
	brokenAt tables.Time
	closed   bool
}

// waiter is a call of Get that waits for a connection of its team.
type waiter struct {
	team tables.TeamID
	// since is when the call began.
	since tables.Time
	ready chan grant
}

// grant is what a waiter gets: a connection, or the place of one that it opens, or
// neither if it is to try again.
type grant struct {
	conn  *Conn
	place bool
}

// NewPool returns an empty pool that opens at most limit connections.
func NewPool(e tables.Entry, limit int, open Open, now func() tables.Time) *Pool {
	return &Pool{entry: e, limit: limit, open: open, now: now}
}

// SetLimit changes how many connections may be open. It closes none.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// Get returns an idle connection of a team, or opens one. At the limit it closes an
// idle connection of another team, or waits for at most waitTimeout for a connection
// that is returned. fresh requests a new connection.
func (p *Pool) Get(ctx context.Context, team tables.TeamID, fresh bool) (*Conn, error) {
	p.recordUse()
	since := p.now()
	waitCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		c, wait, err := p.takeOrReserve(team, fresh, since)
		if c != nil || err != nil {
			return c, err
		}
		if wait == nil {
			return p.dial(ctx, team)
		}
		select {
		case g := <-wait:
			if g.conn != nil {
				return g.conn, nil
			}
			if g.place {
				return p.dial(ctx, team)
			}
		case <-waitCtx.Done():
			p.cancelWait(wait)
			return nil, ErrFull
		}
	}
}

// GetOwn returns a connection for the proxy's own work: an idle one of any team, or
// as Get.
func (p *Pool) GetOwn(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	c := p.takeIdle(anyTeam)
	p.mu.Unlock()
	if c != nil {
		p.recordUse()
		return c, nil
	}
	return p.Get(ctx, "", false)
}

// GetBeyondLimit returns a connection of any team for the proxy's own work at a server that
// callers keep full. It may exceed the pool's limit, and retries until ctx
// ends, then returns ErrFull.
func (p *Pool) GetBeyondLimit(ctx context.Context) (*Conn, error) {
	for {
		c, err := p.takeIdleOrReserve()
		if c == nil && err == nil {
			c, err = p.dial(ctx, "")
		}
		if !errors.Is(err, ErrFull) {
			return c, err
		}
		if sleep.For(ctx, ownDialRetryDelay) != nil {
			return nil, ErrFull
		}
	}
}

// takeIdleOrReserve returns an idle connection, or nil after it reserved
// capacity for a new one.
func (p *Pool) takeIdleOrReserve() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if c := p.takeIdle(anyTeam); c != nil {
		return c, nil
	}
	p.total++
	return nil, nil
}

func anyTeam(*Conn) bool { return true }

// takeIdle takes the most recently used idle connection that matches and is still
// open; nil if there is none. The lock must be held.
func (p *Pool) takeIdle(match func(*Conn) bool) *Conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if !match(c) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if p.stillAlive(c) {
			return c
		}
		p.closeConn(c)
	}
	return nil
}

// stillAlive reports whether an idle connection is still open, and records if it is not.
// The lock must be held.
func (p *Pool) stillAlive(c *Conn) bool {
	alive := c.Alive()
	if !alive {
		p.brokenAt = p.now()
	}
	return alive
}

// closeIdle closes an idle connection, which may have broken unnoticed. The lock must be
// held.
func (p *Pool) closeIdle(c *Conn) {
	p.stillAlive(c)
	p.closeConn(c)
}

// evictIdle closes the connection that has been idle longest, if there is one. The
// lock must be held.
func (p *Pool) evictIdle() {
	if len(p.idle) > 0 {
		p.closeIdle(p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
	}
}

// HasIdle reports whether any connection is idle.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// RefusedSince reports whether the server replied that it has no room to an attempt that
// began at t or later, which shows that it works.
func (p *Pool) RefusedSince(t tables.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusedAttemptAt != 0 && p.refusedAttemptAt >= t
}

func (p *Pool) recordUse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.lastUsedAt != 0 {
		p.useInterval.Observe(now.Sub(p.lastUsedAt))
	}
	p.lastUsedAt = now
}

// Oldest takes the idle connection that was opened first, if it was opened no
// later than latest.
func (p *Pool) Oldest(latest tables.Time) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := -1
	for i, c := range p.idle {
		if c.OpenedAt <= latest && (oldest < 0 || c.OpenedAt < p.idle[oldest].OpenedAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil, false
	}
	c := p.idle[oldest]
	p.idle = append(p.idle[:oldest], p.idle[oldest+1:]...)
	if !p.stillAlive(c) {
		p.closeConn(c)
		return nil, false
	}
	return c, true
}

// BrokenAfter reports whether an idle connection was found broken after t, by any use of
// the pool. It looks at all idle connections and closes those that are.
func (p *Pool) BrokenAfter(t tables.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.idle[:0:0]
	for _, c := range p.idle {
		if p.stillAlive(c) {
			alive = append(alive, c)
		} else {
			p.closeConn(c)
		}
	}
	p.idle = alive
	return p.brokenAt > t
}

// takeOrReserve returns an idle connection, or a channel to wait on, or neither
// after it reserved capacity for a connection that the caller opens.
func (p *Pool) takeOrReserve(team tables.TeamID, fresh bool, since tables.Time) (*Conn, chan grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if !fresh {
		if c := p.takeIdle(func(c *Conn) bool { return c.Team == team }); c != nil {
			return c, nil, nil
		}
	}
	// Idle connections at the limit belong to other teams, or a new connection is
	// needed to test whether the server responds.
	if p.total >= p.currentLimit() {
		p.evictIdle()
	}
	if p.total < p.currentLimit() && p.now() >= p.noDialUntil {
		p.total++
		return nil, nil, nil
	}
	if p.total == 0 {
		return nil, nil, ErrFull
	}
	w := waiter{team: team, since: since, ready: make(chan grant, 1)}
	p.addWaiter(w)
	return nil, w.ready, nil
}

// addWaiter adds a waiter behind those that came before it; one that tries again keeps
// its turn. The lock must be held.
func (p *Pool) addWaiter(w waiter) {
	i := len(p.waiters)
	for i > 0 && p.waiters[i-1].since > w.since {
		i--
	}
	p.waiters = slices.Insert(p.waiters, i, w)
}

// currentLimit returns how many connections may be open now.
func (p *Pool) currentLimit() int {
	if p.now() < p.scarceUntil {
		return min(p.limit, max(p.scarceLimit, 1))
	}
	return p.limit
}

// cancelWait cancels a wait; a connection that arrived meanwhile goes back to
// the pool.
func (p *Pool) cancelWait(wait chan grant) {
	p.mu.Lock()
	for i, w := range p.waiters {
		if w.ready == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	g := <-wait
	if g.conn != nil {
		p.Put(g.conn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.place {
		p.total--
	}
	p.wakeOneLocked()
}

// dial opens a connection for which capacity was reserved.
func (p *Pool) dial(ctx context.Context, team tables.TeamID) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, OpenTimeout)
	defer cancel()
	startedAt := p.now()
	link, reply, err := p.open(ctx, p.entry, team)
	if err == nil && reply.Code == statement.OK {
		return &Conn{Link: link, Team: team, OpenedAt: startedAt}, nil
	}
	if link != nil {
		_ = link.Close() // it was refused and holds nothing
	}
	p.mu.Lock()
	p.total--
	if reply.Code == statement.TooMany || reply.Code == statement.Busy {
		now := p.now()
		p.refusedAttemptAt = max(p.refusedAttemptAt, startedAt)
		p.noDialUntil, p.scarceUntil, p.scarceLimit = now.Add(fullBackoff), now.Add(scarcityTime), p.total
	}
	p.wakeOneLocked()
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

// Put returns a connection to the pool. One with an open transaction or an outstanding
// reply is closed.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.State.Settled() {
		p.closeConn(c)
		p.wakeOneLocked()
		return
	}
	if p.closed {
		p.closeConn(c)
		return
	}
	if len(p.waiters) > 0 {
		p.handOn(c)
		return
	}
	c.idleSince = p.now()
	p.idle = append(p.idle, c)
}

// handOn gives a returned connection to a waiter of its team. If there is none, or an
// earlier waiter of another team is to have its turn, that one gets the connection's
// place. The lock must be held.
func (p *Pool) handOn(c *Conn) {
	now := p.now()
	i := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.team == c.Team })
	first := p.waiters[0]
	turnOver := now.Sub(c.OpenedAt) >= teamTurn && now.Sub(first.since) >= teamTurn && now >= p.noDialUntil
	switch {
	case i >= 0 && (i == 0 || !turnOver):
		w := p.waiters[i]
		p.waiters = slices.Delete(p.waiters, i, i+1)
		w.ready <- grant{conn: c}
	case now < p.noDialUntil || p.total > p.currentLimit():
		p.closeConn(c)
		p.wakeOneLocked()
	default:
		_ = c.Close() // no reply is expected any more
		p.waiters = slices.Delete(p.waiters, 0, 1)
		first.ready <- grant{place: true}
	}
}

// Discard closes a connection whose state is unknown.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConn(c)
	p.wakeOneLocked()
}

func (p *Pool) closeConn(c *Conn) {
	p.total--
	_ = c.Close() // no reply is expected any more
}

// wakeOneLocked lets the first waiter try again.
func (p *Pool) wakeOneLocked() {
	if len(p.waiters) == 0 {
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w.ready <- grant{}
}

// Trim closes connections that have been idle for too long. share is the number
// of idle connections that this proxy may keep, possibly a fraction of one.
func (p *Pool) Trim(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.idleTimeout(now, share) {
		p.closeIdle(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// idleTimeout returns how long the connection that has been idle longest is
// kept.
func (p *Pool) idleTimeout(now tables.Time, share float64) time.Duration {
	switch {
	case now < p.scarceUntil:
		return scarceIdleTime
	case len(p.idle) > idle.Count(share):
		return surplusIdleTime
	default:
		return idle.Timeout(share, p.useInterval)
	}
}

// Close closes idle connections, and later those that are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeConn(c)
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.ready <- grant{}
	}
	p.waiters = nil
}
