// Package proxy is the daemon of an entry VM, a VM that callers connect to. It runs
// the decision core in one goroutine, executes the actions that the core returns,
// and provides the statement path with routing snapshots, connection pools and
// acknowledgements of commits.
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
	// tickInterval is the time between ticks of the core while events arrive.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the time between ticks while no event arrives.
	idleTickInterval = 50 * time.Millisecond
	// idlePublishInterval is the time between snapshots while no event arrives.
	idlePublishInterval = 100 * time.Millisecond
	// inboxSize is the largest number of events that wait for the core.
	inboxSize = 4096
	// eventsPerSnapshot bounds the number of events handled before a snapshot is
	// published.
	eventsPerSnapshot = 256
)

// system is one part of the decision core, such as failure detection. It reacts
// to events and ticks by changing the world and returning actions.
type system interface {
	Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action
	Tick(now tables.Time, w *tables.World) []action.Action
}

// core owns the world, the state of all systems. Only the goroutine of run
// accesses it.
type core struct {
	world   *tables.World
	systems []system
	perform func(now tables.Time, w *tables.World, a action.Action)
	started time.Time
	// tickedAt is the time of the last tick and tickAt that of the next one, which
	// is due after tickInterval if an event arrived and after idleTickInterval if
	// none did.
	tickedAt, tickAt tables.Time
	// publishBy is when the next snapshot is due even if no event changes the world.
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

// Report queues an event and drops it if the inbox is full: every event is an
// observation that is repeated or whose absence leads to a timeout.
func (c *core) Report(ev event.Event) {
	select {
	case c.inbox <- ev:
	default:
		c.dropped.Add(1)
	}
}

// withWorld runs f in the goroutine of run, where f may read and change the world.
func (c *core) withWorld(ctx context.Context, f func(*tables.World)) error {
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
			c.handleQueued()
		case <-timer.C:
			c.handleQueued()
			c.tick()
		}
		timer.Reset(c.tickAt.Sub(c.Now()))
		if c.Now() >= c.publishBy {
			c.publish()
		}
	}
}

// handleQueued handles queued events, at most eventsPerSnapshot of them.
func (c *core) handleQueued() {
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

// performAll starts actions. The probes of one tick carry the same send time, so
// that the responses of the replicas can confirm that of the primary.
func (c *core) performAll(now tables.Time, actions []action.Action) {
	for _, a := range actions {
		c.perform(now, c.world, a)
	}
}

// publish publishes a snapshot of the current world and wakes all goroutines that
// wait for one.
func (c *core) publish() {
	c.publishBy = c.Now().Add(idlePublishInterval)
	c.snapshot.Store(route.Build(c.Now(), c.world, c.snapshot.Load()))
	next := make(chan struct{})
	old := c.changed.Swap(&next)
	close(*old)
}
