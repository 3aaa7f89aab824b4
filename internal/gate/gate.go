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
	l := &Limiter{now: now, queue: admit.NewQueue(slots, limit), waiters: make(map[admit.ID]chan error)}
	l.timer = time.AfterFunc(time.Hour, l.expire)
	l.timer.Stop()
	return l
}

// Slot is an acquired slot of the upstream. The zero value holds no slot.
type Slot struct {
	limiter    *Limiter
	acquiredAt tables.Time
}

// Release releases the slot; a second call has no effect.
func (s *Slot) Release() {
	l := s.limiter
	if l == nil {
		return
	}
	s.limiter = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.notifyAll(l.queue.Release(now, now.Sub(s.acquiredAt)))
	l.schedule()
}

// Acquire waits for a slot of the upstream. The error is a *codes.Error with
// codes.NotRun, or ctx's error.
func (l *Limiter) Acquire(ctx context.Context, r admit.Request) (Slot, error) {
	wait, id, err := l.offer(r)
	if err != nil {
		return Slot{}, err
	}
	if wait == nil {
		return Slot{limiter: l, acquiredAt: l.now()}, nil
	}
	select {
	case err = <-wait:
	case <-ctx.Done():
		if l.cancel(id) {
			return Slot{}, ctx.Err()
		}
		err = <-wait // decided in the meantime
	}
	if err != nil {
		return Slot{}, err
	}
	return Slot{limiter: l, acquiredAt: l.now()}, nil
}

// offer offers r to the queue. A nil channel without an error means that r has a
// slot; otherwise the result is sent on the channel.
func (l *Limiter) offer(r admit.Request) (wait chan error, id admit.ID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	r.ID = l.lastID
	v := l.queue.Offer(l.now(), r)
	if v.Evicted != nil {
		l.refuse(*v.Evicted)
	}
	switch v.Kind {
	case admit.Run:
		return nil, r.ID, nil
	case admit.Refuse:
		return nil, r.ID, v.Err
	}
	wait = make(chan error, 1)
	l.waiters[r.ID] = wait
	l.schedule()
	return wait, r.ID, nil
}

// cancel removes a waiting request. It returns false if the request has already
// been decided.
func (l *Limiter) cancel(id admit.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Cancel(id) {
		return false
	}
	delete(l.waiters, id)
	return true
}

// SetSlots changes the number of slots.
func (l *Limiter) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setSlots(slots, 0)
}

// SetPace changes the number of slots, and how many requests beyond them may run
// that would otherwise be refused.
func (l *Limiter) SetPace(slots, reserve int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setSlots(slots, reserve)
}

func (l *Limiter) setSlots(slots, reserve int) {
	now := l.now()
	l.queue.SetReserve(reserve)
	for _, id := range l.queue.StartUrgent(now) {
		l.notify(id, nil)
	}
	l.notifyAll(l.queue.SetSlots(now, slots))
	if reserve > 0 {
		l.schedule() // requests are due earlier
	}
}

// expire refuses the requests that have expired in the queue. It is called by the
// timer.
func (l *Limiter) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timerAt = 0
	for _, id := range l.queue.StartUrgent(l.now()) {
		l.notify(id, nil)
	}
	for _, r := range l.queue.Expire(l.now()) {
		l.refuse(r)
	}
	l.schedule()
}

// notifyAll notifies the waiting requests that were started or refused. The lock must
// be held.
func (l *Limiter) notifyAll(o admit.Outcome) {
	for _, id := range o.Started {
		l.notify(id, nil)
	}
	for _, r := range o.Refused {
		l.refuse(r)
	}
}

func (l *Limiter) refuse(r admit.Refusal) { l.notify(r.ID, r.Err) }

// notify ends the wait of a request; err is nil if it has a slot.
func (l *Limiter) notify(id admit.ID, err *codes.Error) {
	wait, ok := l.waiters[id]
	if !ok {
		return
	}
	delete(l.waiters, id)
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
func (l *Limiter) schedule() {
	at, ok := l.queue.NextExpiry()
	if !ok || l.timerAt != 0 && l.timerAt <= at {
		return
	}
	l.timerAt = at
	l.timer.Reset(max(at.Sub(l.now()), minTimer))
}
