// Package gate limits the number of concurrent requests to an upstream. It adds a
// clock, a lock and a timer to the admission queue of package admit, so that
// goroutines can wait in it. Requests are admitted before they use the upstream's
// connection pool, so one that can't meet its deadline is refused at once.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Limiter limits the concurrent requests to one upstream. It is safe for concurrent
// use.
type Limiter struct {
	now func() tables.Time

	mu      sync.Mutex
	queue   *admit.Queue
	waiters map[admit.ID]chan error
	lastID  admit.ID
	timer   *time.Timer
	timerAt tables.Time
}

// New returns a limiter for an upstream with the given number of slots and at most
// limit waiting requests. now returns the process's monotonic time.
func New(slots, limit int, now func() tables.Time) *Limiter {
	g := &Limiter{now: now, queue: admit.NewQueue(slots, limit), waiters: make(map[admit.ID]chan error)}
	g.timer = time.AfterFunc(time.Hour, g.expire)
	g.timer.Stop()
	return g
}

// Slot is an acquired slot of the upstream. The zero value holds no slot.
type Slot struct {
	limiter    *Limiter
	acquiredAt tables.Time
}

// Release releases the slot; a second call has no effect.
func (p *Slot) Release() {
	g := p.limiter
	if g == nil {
		return
	}
	p.limiter = nil
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.notifyAll(g.queue.Release(now, now.Sub(p.acquiredAt)))
	g.schedule()
}

// Acquire waits for a slot of the upstream. The error is a *codes.Error with
// codes.NotRun, or ctx's error.
func (g *Limiter) Acquire(ctx context.Context, r admit.Request) (Slot, error) {
	wait, id, err := g.offer(r)
	if err != nil {
		return Slot{}, err
	}
	if wait == nil {
		return Slot{limiter: g, acquiredAt: g.now()}, nil
	}
	select {
	case err = <-wait:
	case <-ctx.Done():
		if g.cancel(id) {
			return Slot{}, ctx.Err()
		}
		err = <-wait // decided in the meantime
	}
	if err != nil {
		return Slot{}, err
	}
	return Slot{limiter: g, acquiredAt: g.now()}, nil
}

// offer offers r to the queue. A nil channel without an error means that r has a
// slot; otherwise the result is sent on the channel.
func (g *Limiter) offer(r admit.Request) (wait chan error, id admit.ID, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	r.ID = g.lastID
	v := g.queue.Offer(g.now(), r)
	if v.Evicted != nil {
		g.refuse(*v.Evicted)
	}
	switch v.Kind {
	case admit.Run:
		return nil, r.ID, nil
	case admit.Refuse:
		return nil, r.ID, v.Err
	}
	wait = make(chan error, 1)
	g.waiters[r.ID] = wait
	g.schedule()
	return wait, r.ID, nil
}

// cancel removes a waiting request. It returns false if the request has already
// been decided.
func (g *Limiter) cancel(id admit.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Cancel(id) {
		return false
	}
	delete(g.waiters, id)
	return true
}

// SetSlots changes the number of slots.
func (g *Limiter) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyAll(g.queue.SetSlots(g.now(), slots))
}

// expire refuses the requests that have expired in the queue. It is called by the
// timer.
func (g *Limiter) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerAt = 0
	for _, r := range g.queue.Expire(g.now()) {
		g.refuse(r)
	}
	g.schedule()
}

// notifyAll notifies the waiting requests that were started or refused. The lock must
// be held.
func (g *Limiter) notifyAll(o admit.Outcome) {
	for _, id := range o.Started {
		g.notify(id, nil)
	}
	for _, r := range o.Refused {
		g.refuse(r)
	}
}

func (g *Limiter) refuse(r admit.Refusal) { g.notify(r.ID, r.Err) }

// notify ends the wait of a request; err is nil if it has a slot.
func (g *Limiter) notify(id admit.ID, err *codes.Error) {
	wait, ok := g.waiters[id]
	if !ok {
		return
	}
	delete(g.waiters, id)
	if err != nil {
		wait <- err
		return
	}
	wait <- nil
}

// minTimer is the shortest timer duration; it prevents the timer from firing
// repeatedly at the same moment.
const minTimer = time.Millisecond

// schedule sets the timer for the next expiry. The lock must be held.
func (g *Limiter) schedule() {
	at, ok := g.queue.NextExpiry()
	if !ok || g.timerAt != 0 && g.timerAt <= at {
		return
	}
	g.timerAt = at
	g.timer.Reset(max(at.Sub(g.now()), minTimer))
}
