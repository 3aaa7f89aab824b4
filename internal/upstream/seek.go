package upstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// A seeker is a goroutine that gets one connection with a slot for the waiters:
// it takes an idle connection without a slot, or opens one, and tries for a
// slot. Waiters come and go without ending it.

// seek starts seekers as far as waiters, slots and connections allow, none while
// one waits for a slot to become free. The lock must be held.
func (p *Pool) seek() {
	for !p.closed && !p.persistent && p.seekers < len(p.waiters) {
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
		go p.seekOne(c, term)
	}
}

// returnPatience is how long a waiter counts on a connection whose slot is being
// given back, before another connection is opened.
const returnPatience = 10 * time.Millisecond

// returningSoon reports whether enough connections for the waiters are about to
// be idle without a slot. The lock must be held.
func (p *Pool) returningSoon(term tables.Term) bool {
	n := 0
	for c := range p.busy {
		if c.Term == term && !c.returning.IsZero() && time.Since(c.returning) < returnPatience {
			n++
		}
	}
	if n > 0 {
		p.alert()
	}
	return n >= len(p.waiters)-p.seekers
}

// mayOpen reports whether one more connection may be opened, making room if
// need be. The lock must be held.
func (p *Pool) mayOpen(term tables.Term) bool {
	if time.Now().Before(p.refusedTo) {
		return false
	}
	return p.open < p.limits.Connections || p.closeOtherTerm(term)
}

// closeOtherTerm closes an idle connection of another term. The lock must be held.
func (p *Pool) closeOtherTerm(term tables.Term) bool {
	return p.closeIdleWhere(1, func(c *Conn) bool { return c.Term != term }) == 1
}

func (p *Pool) seekOne(c *Conn, term tables.Term) {
	if c == nil {
		if c = p.openOne(term); c == nil {
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

// openOne opens a connection for a seeker, or ends the seeker.
func (p *Pool) openOne(term tables.Term) *Conn {
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
	p.seek()
	return nil
}

// dialFailed tells a waiter, or all of the term if the pool has nothing else to
// give them. The lock must be held.
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

// backOff keeps the pool from opening connections for a while. The lock must be held.
func (p *Pool) backOff() {
	pause := min(refusedPause<<min(p.refusals, 10), maxRefusedPause)
	p.refusals++
	p.refusedTo = time.Now().Add(pause)
	time.AfterFunc(pause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.seek()
	})
}

// seekSlot tries for a slot while there are waiters that need one. Of several
// seekers whose first attempt fails, one goes on trying.
func (p *Pool) seekSlot(c *Conn) (found bool, err error) {
	slots, wanted := p.wanted(c.Term)
	if !wanted {
		return false, nil
	}
	found, err = c.trySlots(slots)
	if err != nil {
		return false, err
	}
	p.adaptQuantum(found)
	if found || !p.beginPersistent() {
		return found, nil
	}
	defer p.endPersistent()
	for {
		time.Sleep(slotRetry/2 + rand.N(slotRetry))
		slots, wanted = p.wanted(c.Term)
		if !wanted {
			return false, nil
		}
		found, err = c.trySlots(slots)
		if found || err != nil {
			return found, err
		}
	}
}

// adaptQuantum learns from a first attempt whether other proxies want slots.
func (p *Pool) adaptQuantum(found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found {
		p.quantum = min(2*p.quantum, maxQuantum)
		return
	}
	p.quantum = minQuantum
}

// beginPersistent reports whether the seeker is the one that goes on trying.
func (p *Pool) beginPersistent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.persistent {
		return false
	}
	p.persistent = true
	return true
}

func (p *Pool) endPersistent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.persistent = false
}

// wanted returns the number of slots and whether a waiter of term is left.
func (p *Pool) wanted(term tables.Term) (slots int, wanted bool) {
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
