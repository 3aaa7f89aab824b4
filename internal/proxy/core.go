// Package proxy is the daemon of an entry VM. It runs the decision core in one
// goroutine, carries out its actions, and gives the statement path a routing
// snapshot, connection pools and confirmations.
package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// tickInterval is the time between ticks of the core while events come.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the time between ticks while none comes.
	idleTickInterval = 50 * time.Millisecond
	// idlePublishInterval is the time between snapshots while no event comes.
	idlePublishInterval = 100 * time.Millisecond
	// inboxSize bounds the events that wait for the core.
	inboxSize = 4096
	// eventsPerSnapshot bounds the events handled before a snapshot is published.
	eventsPerSnapshot = 256
)

// system is one system of the decision core.
type system interface {
	Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action
	Tick(now tables.Time, w *tables.World) []action.Action
}

// core owns the world. Only its loop reads and changes it.
type core struct {
	world   *tables.World
	systems []system
	perform func(now tables.Time, w *tables.World, a action.Action)
	started time.Time
	// tickedAt is when the last tick was, tickAt when the next one is due: soon
	// after an event, later while none comes.
	tickedAt, tickAt tables.Time
	// publishBy is when a snapshot is due although no event changed the world.
	publishBy tables.Time

	inbox    chan event.Event
	requests chan func(*tables.World)
	dropped  atomic.Uint64
	snapshot atomic.Pointer[route.Snapshot]
	changed  atomic.Pointer[chan struct{}]
}

func newCore(w *tables.World, systems []system, perform func(tables.Time, *tables.World, action.Action)) *core {
	c := &core{
		world:    w,
		systems:  systems,
		perform:  perform,
		started:  time.Now(),
		inbox:    make(chan event.Event, inboxSize),
		requests: make(chan func(*tables.World)),
	}
	ch := make(chan struct{})
	c.changed.Store(&ch)
	c.snapshot.Store(route.Build(0, w, nil))
	return c
}

// Now returns the monotonic time since the process started. It is never 0.
func (c *core) Now() tables.Time { return tables.Time(time.Since(c.started)) + 1 }

// Snapshot returns the newest routing snapshot.
func (c *core) Snapshot() *route.Snapshot { return c.snapshot.Load() }

// Changed returns a channel that is closed when a newer snapshot is published.
func (c *core) Changed() <-chan struct{} { return *c.changed.Load() }

// Report queues an event. A full inbox drops it: every event is an observation
// that comes again or whose absence ends in a timeout.
func (c *core) Report(ev event.Event) {
	select {
	case c.inbox <- ev:
	default:
		c.dropped.Add(1)
	}
}

// inspect runs f in the loop, with the world at rest.
func (c *core) inspect(ctx context.Context, f func(*tables.World)) error {
	done := make(chan struct{})
	request := func(w *tables.World) {
		f(w)
		close(done)
	}
	select {
	case c.requests <- request:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// run handles events and ticks until ctx ends.
func (c *core) run(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.requests:
			f(c.world)
			continue
		case ev := <-c.inbox:
			c.handle(ev)
			c.drain()
		case <-timer.C:
			c.drain()
			c.tick()
		}
		timer.Reset(c.tickAt.Sub(c.Now()))
		if c.Now() >= c.publishBy {
			c.publish()
		}
	}
}

// drain handles the events that wait.
func (c *core) drain() {
	for range eventsPerSnapshot {
		select {
		case ev := <-c.inbox:
			c.handle(ev)
		default:
			return
		}
	}
}

func (c *core) handle(ev event.Event) {
	now := c.Now()
	c.publishBy = now
	c.tickAt = min(c.tickAt, c.tickedAt.Add(tickInterval))
	for _, s := range c.systems {
		c.performAll(now, s.Handle(now, c.world, ev))
	}
}

func (c *core) tick() {
	now := c.Now()
	c.tickedAt = now
	c.tickAt = now.Add(idleTickInterval)
	for _, s := range c.systems {
		c.performAll(now, s.Tick(now, c.world))
	}
}

// performAll starts actions. Probes of one tick carry the same time, so that a
// primary's answer can be confirmed by the others'.
func (c *core) performAll(now tables.Time, actions []action.Action) {
	for _, a := range actions {
		c.perform(now, c.world, a)
	}
}

// publish makes the snapshot of the present world visible and wakes all who wait.
func (c *core) publish() {
	c.publishBy = c.Now().Add(idlePublishInterval)
	c.snapshot.Store(route.Build(c.Now(), c.world, c.snapshot.Load()))
	next := make(chan struct{})
	old := c.changed.Swap(&next)
	close(*old)
}
