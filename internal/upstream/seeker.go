package upstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// A seeker is a goroutine that provides one connection with a slot for the
// waiters: it takes an idle connection without a slot, or opens one, and tries
// to take a slot. It is not bound to one waiter and continues when that one
// leaves.

// startSeekers starts as many seekers as waiters, slots and connections allow,
// but none while one retries until a slot becomes free. If this proxy already
// holds or seeks as many slots as the server has, it closes an idle connection of
// another term, which may free a slot. The lock must be held.
func (p *Pool) startSeekers() {
	for !p.closed && !p.retrying && p.seekers < len(p.waiters) {
		term := p.waiters[p.seekers].term
		if p.holders+p.seekers >= p.limits.Slots && !p.closeOtherTerm(term) {
			return
		}
		c := p.takeIdle(func(c *Conn) bool { return c.Term == term && c.slot == noSlot })
		if c == nil && (p.returningSoon(term) || !p.mayOpen(term)) {
			return
		}
		if c == nil {
			p.open++
		}
		p.seekers++
		go p.runSeeker(c, term)
	}
}

// slotReturnMaxWait is how long a waiter relies on a connection whose slot is
// being released, before another connection is opened.
const slotReturnMaxWait = 10 * time.Millisecond

// returningSoon reports whether enough connections for the waiters are about to
// become idle without a slot. The lock must be held.
func (p *Pool) returningSoon(term tables.Term) bool {
	n := 0
	for c := range p.busy {
		if c.Term == term && !c.slotReleaseStarted.IsZero() && time.Since(c.slotReleaseStarted) < slotReturnMaxWait {
			n++
		}
	}
	if n > 0 {
		p.scheduleJanitor()
	}
	return n >= len(p.waiters)-p.seekers
}

// mayOpen reports whether one more connection may be opened. At the limit it
// closes an idle connection of another term. The lock must be held.
func (p *Pool) mayOpen(term tables.Term) bool {
	if time.Now().Before(p.refusedUntil) {
		return false
	}
	return p.open < p.limits.Connections || p.closeOtherTerm(term)
}

// closeOtherTerm closes an idle connection of another term. The lock must be held.
func (p *Pool) closeOtherTerm(term tables.Term) bool {
	return p.closeIdleWhere(1, func(c *Conn) bool { return c.Term != term }) == 1
}

// runSeeker provides a connection with a slot and offers it to the waiters. If c
// is nil, it opens one of term.
func (p *Pool) runSeeker(c *Conn, term tables.Term) {
	if c == nil {
		if c = p.openForSeeker(term); c == nil {
			return
		}
	}
	found, err := p.seekSlot(c)
	p.mu.Lock()
	p.seekers--
	if found {
		p.holders++
	}
	p.mu.Unlock()
	if err != nil {
		// The connection broke while it was idle, which says nothing about the
		// server; another one is opened if there are waiters.
		p.Discard(c)
		return
	}
	p.offer(c)
}

// openForSeeker opens a connection for a seeker. If that fails, it returns nil
// and the seeker ends.
func (p *Pool) openForSeeker(term tables.Term) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := dial(ctx, p.target, term)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.refusals = 0
		p.busy[c] = struct{}{}
		return c
	}
	p.open--
	p.seekers--
	p.dialFailed(term, err)
	p.startSeekers()
	return nil
}

// dialFailed returns the error to one waiter of the term, or to all of them if
// the pool has no connection that could serve them. The lock must be held.
func (p *Pool) dialFailed(term tables.Term, err error) {
	if tooManyConnections(err) {
		p.backOff()
		return
	}
	kept := p.waiters[:0]
	for i, w := range p.waiters {
		if w.term != term {
			kept = append(kept, w)
			continue
		}
		w.got <- delivery{err: err}
		if p.open > 0 {
			kept = append(kept, p.waiters[i+1:]...)
			break
		}
	}
	p.waiters = kept
}

func tooManyConnections(err error) bool {
	var e *ServerError
	return errors.As(err, &e) && e.Code == sqlStateTooManyConnections
}

// backOff keeps the pool from opening connections for a delay that grows with
// each refusal. The lock must be held.
func (p *Pool) backOff() {
	delay := min(minRefusedDelay<<min(p.refusals, 10), maxRefusedDelay)
	p.refusals++
	p.refusedUntil = time.Now().Add(delay)
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.startSeekers()
	})
}

// seekSlot tries to take a slot while there are waiters that need one. Of
// several seekers whose first attempt fails, one retries.
func (p *Pool) seekSlot(c *Conn) (found bool, err error) {
	slots, wanted := p.slotDemand(c.Term)
	if !wanted {
		return false, nil
	}
	found, err = c.trySlots(slots)
	if err != nil {
		return false, err
	}
	p.adaptQuantum(found)
	if found || !p.beginRetrying() {
		return found, nil
	}
	defer p.endRetrying()
	for {
		time.Sleep(slotRetryDelay/2 + rand.N(slotRetryDelay))
		slots, wanted = p.slotDemand(c.Term)
		if !wanted {
			return false, nil
		}
		found, err = c.trySlots(slots)
		if found || err != nil {
			return found, err
		}
	}
}

// adaptQuantum adapts the quantum to whether the first attempt found a free
// slot, which shows whether other proxies compete for slots.
func (p *Pool) adaptQuantum(found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found {
		p.quantum = min(2*p.quantum, maxQuantum)
		return
	}
	p.quantum = minQuantum
}

// beginRetrying reports whether the calling seeker is the one that retries.
func (p *Pool) beginRetrying() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retrying {
		return false
	}
	p.retrying = true
	return true
}

func (p *Pool) endRetrying() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retrying = false
}

// slotDemand returns the number of slots and whether a waiter of term is left.
func (p *Pool) slotDemand(term tables.Term) (slots int, wanted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, false
	}
	for _, w := range p.waiters {
		if w.term == term {
			return p.limits.Slots, true
		}
	}
	return p.limits.Slots, false
}
