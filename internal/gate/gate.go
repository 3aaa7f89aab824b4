// Package gate lets goroutines wait in an admission queue: it gives package
// admit a clock, a lock and a timer. Each upstream has one gate before its
// pool, so that a request which can't make its deadline is refused at once.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Limiter is the admission queue of one upstream. It is safe for concurrent use.
type Limiter struct {
	now func() tables.Time

	mu      sync.Mutex
	queue   *admit.Queue
	waiters map[admit.ID]chan error
	lastID  admit.ID
	timer   *time.Timer
	timerAt tables.Time
}

// New returns a gate for an upstream with slots and at most limit waiting
// requests. now is the process's monotonic time.
func New(slots, limit int, now func() tables.Time) *Limiter {
	g := &Limiter{now: now, queue: admit.NewQueue(slots, limit), waiters: make(map[admit.ID]chan error)}
	g.timer = time.AfterFunc(time.Hour, g.expire)
	g.timer.Stop()
	return g
}

// Slot is the right to use the upstream. Its zero value holds nothing.
type Slot struct {
	gate    *Limiter
	entered tables.Time
}

// Release gives the right back; a second call does nothing.
func (p *Slot) Release() {
	g := p.gate
	if g == nil {
		return
	}
	p.gate = nil
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.settle(g.queue.Release(now, now.Sub(p.entered)))
	g.schedule()
}

// Acquire waits for the right to use the upstream. The error is a *codes.Error
// that says "not run", or ctx's error.
func (g *Limiter) Acquire(ctx context.Context, r admit.Request) (Slot, error) {
	wait, id, err := g.offer(r)
	if err != nil {
		return Slot{}, err
	}
	if wait == nil {
		return Slot{gate: g, entered: g.now()}, nil
	}
	select {
	case err = <-wait:
	case <-ctx.Done():
		if g.cancel(id) {
			return Slot{}, ctx.Err()
		}
		err = <-wait // decided meanwhile
	}
	if err != nil {
		return Slot{}, err
	}
	return Slot{gate: g, entered: g.now()}, nil
}

// offer queues r; a nil channel means that it runs now.
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

// cancel removes a waiting request; false means that it was decided before.
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
	g.settle(g.queue.SetSlots(g.now(), slots))
}

func (g *Limiter) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerAt = 0
	for _, r := range g.queue.Expire(g.now()) {
		g.refuse(r)
	}
	g.schedule()
}

// settle tells waiting requests what became of them. The lock must be held.
func (g *Limiter) settle(o admit.Outcome) {
	for _, id := range o.Started {
		g.tell(id, nil)
	}
	for _, r := range o.Refused {
		g.refuse(r)
	}
}

func (g *Limiter) refuse(r admit.Refusal) { g.tell(r.ID, r.Err) }

// tell ends a wait; err is nil or a *codes.Error.
func (g *Limiter) tell(id admit.ID, err *codes.Error) {
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

// minTimer keeps the timer from firing again and again at one moment.
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
