package upstream

import (
	"context"
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

// Pool holds the connections to one upstream. All methods are safe for
// concurrent use.
type Pool struct {
	target Target

	mu     sync.Mutex
	limits Limits
	idle   []*Conn
	open   int
	wait   []chan struct{}
	closed bool
}

// NewPool returns an empty pool.
func NewPool(target Target, limits Limits) *Pool {
	return &Pool{target: target, limits: limits}
}

// SetLimits changes the bounds. Surplus connections close as they become idle.
func (p *Pool) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
	p.trim()
	p.wakeAll()
}

// Acquire returns a connection opened under term that holds one of the
// server's slots. It waits until ctx ends and then returns ctx's error; other
// errors come from connecting.
func (p *Pool) Acquire(ctx context.Context, term tables.Term) (*Conn, error) {
	for {
		c, dialing, wait := p.take(term)
		if wait != nil {
			select {
			case <-wait:
				continue
			case <-ctx.Done():
				p.forget(wait)
				return nil, ctx.Err()
			}
		}
		if dialing {
			var err error
			if c, err = dial(ctx, p.target, term); err != nil {
				p.lost()
				return nil, err
			}
		}
		if c == nil {
			return nil, codes.New(codes.ShuttingDown, codes.NotRun, 0, "pool closed")
		}
		if err := p.ensureSlot(ctx, c); err != nil {
			p.Discard(c)
			return nil, err
		}
		return c, nil
	}
}

// take returns an idle connection, or permission to dial, or a channel to wait on.
func (p *Pool) take(term tables.Term) (c *Conn, dialing bool, wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, nil
	}
	if c := p.takeIdle(term); c != nil {
		return c, false, nil
	}
	if p.open < p.limits.Connections || p.closeOtherTerm(term) {
		p.open++
		return nil, true, nil
	}
	wait = make(chan struct{})
	p.wait = append(p.wait, wait)
	return nil, false, wait
}

func (p *Pool) takeIdle(term tables.Term) *Conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.Term == term {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}
	return nil
}

// closeOtherTerm makes room by closing an idle connection of another term.
func (p *Pool) closeOtherTerm(term tables.Term) bool {
	for i, c := range p.idle {
		if c.Term != term {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.open--
			c.close()
			return true
		}
	}
	return false
}

// Release puts back a connection that has no answer outstanding and no open transaction.
func (p *Pool) Release(c *Conn) {
	c.lastUsed = time.Now()
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.trim()
	p.wakeOne()
}

// Discard closes a connection that may have an answer outstanding.
func (p *Pool) Discard(c *Conn) {
	c.close()
	p.lost()
}

func (p *Pool) lost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeOne()
}

// trim closes idle connections over the limit. The lock must be held.
func (p *Pool) trim() {
	for p.open > p.limits.Connections && len(p.idle) > 0 {
		p.idle[0].close()
		p.idle = p.idle[1:]
		p.open--
	}
}

func (p *Pool) wakeOne() {
	if len(p.wait) > 0 {
		close(p.wait[0])
		p.wait = p.wait[1:]
	}
}

func (p *Pool) wakeAll() {
	for len(p.wait) > 0 {
		p.wakeOne()
	}
}

// forget drops a waiter that gave up; if it was woken meanwhile, the next one is.
func (p *Pool) forget(wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.wait {
		if w == wait {
			p.wait = append(p.wait[:i], p.wait[i+1:]...)
			return
		}
	}
	p.wakeOne()
}

// CloseIdle closes idle connections opened under a term below belowTerm; 0 closes all.
func (p *Pool) CloseIdle(belowTerm tables.Term) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if belowTerm != 0 && (c.Term == 0 || c.Term >= belowTerm) {
			kept = append(kept, c)
			continue
		}
		p.open--
		c.close()
	}
	p.idle = kept
	p.wakeAll()
}

// Close closes idle connections now and others as they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle(0)
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// IsTimeout reports whether err means that a wait ended with its context.
func IsTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
