package upstream

import (
	"context"
	"time"
)

const (
	// connIdleTimeout is how long an unused connection stays open.
	connIdleTimeout = time.Minute
	// janitorInterval is the longest time between two runs of the janitor.
	janitorInterval = time.Second
)

// suspectRule is the rule of the last call of CloseSilent.
type suspectRule struct {
	// lastReadBefore selects the suspect connections: those whose last byte
	// arrived before this time, in nanoseconds by sinceStart. 0 means that
	// there are none.
	lastReadBefore int64
	// responseTimeout is how long a response may be outstanding on them.
	responseTimeout time.Duration
}

// Run is the pool's janitor. It releases the slots of idle connections, closes
// unused connections and monitors the suspect connections of CloseSilent. It
// ends with ctx or when the pool closes.
func (p *Pool) Run(ctx context.Context) {
	t := time.NewTimer(janitorInterval)
	defer t.Stop()
	for {
		t.Reset(p.runJanitor(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-p.closing:
			return
		case <-p.wakeJanitor:
		case <-t.C:
		}
	}
}

// scheduleJanitor wakes the janitor unless it already runs at the short
// interval. The lock must be held.
func (p *Pool) scheduleJanitor() {
	if p.janitorActive {
		return
	}
	p.janitorActive = true
	select {
	case p.wakeJanitor <- struct{}{}:
	default:
	}
}

// runJanitor does what is due now and returns the time until the next run.
func (p *Pool) runJanitor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleWhere(len(p.idle), func(c *Conn) bool { return now.Sub(c.lastUsed) > connIdleTimeout })
	p.janitorActive = p.closeOverdueSuspects()
	p.returnIdleSlots(now)
	p.startSeekers()
	p.janitorActive = p.janitorActive || len(p.waiters) > 0
	for _, c := range p.idle {
		p.janitorActive = p.janitorActive || c.slot != noSlot
	}
	if p.janitorActive {
		return slotIdleTimeout
	}
	return janitorInterval
}

// returnIdleSlots starts to release the slots of connections that were unused
// for slotIdleTimeout. The lock must be held.
func (p *Pool) returnIdleSlots(now time.Time) {
	for {
		c := p.takeIdle(func(c *Conn) bool { return c.slot != noSlot && now.Sub(c.lastUsed) >= slotIdleTimeout })
		if c == nil {
			return
		}
		c.slotReleaseStarted = now
		go p.returnSlot(c)
	}
}

// returnSlot releases the slot of a busy connection, so that any proxy can take
// it.
func (p *Pool) returnSlot(c *Conn) {
	if p.unlockSlot(c) {
		p.offer(c)
	}
}

// yieldSlot releases the slot of a busy connection and keeps the connection
// from taking a slot long enough that a waiting proxy gets it.
func (p *Pool) yieldSlot(c *Conn) {
	if !p.unlockSlot(c) {
		return
	}
	time.Sleep(slotYieldDelay)
	p.offer(c)
}

// unlockSlot releases the slot and reports whether the connection is still
// usable.
func (p *Pool) unlockSlot(c *Conn) bool {
	if err := c.releaseSlot(); err != nil {
		c.slot = noSlot
		p.countSlotReleased()
		p.Discard(c)
		return false
	}
	p.countSlotReleased()
	return true
}

func (p *Pool) countSlotReleased() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders--
}

// CloseSilent is called when connections to the server seem to have lost their
// path while new ones work. It closes idle connections, and busy ones on which
// a response has been outstanding for olderThan; their requests end at once.
// The other connections that are open now stay suspect until a byte arrives on
// them: they are closed as soon as a response is outstanding for olderThan.
// Connections opened later are not affected.
func (p *Pool) CloseSilent(olderThan time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspects = suspectRule{lastReadBefore: sinceStart(), responseTimeout: olderThan}
	p.closeIdleWhere(len(p.idle), anyConn)
	p.closeOverdueSuspects()
	p.startSeekers()
	p.scheduleJanitor()
}

// closeOverdueSuspects closes the suspect connections whose response is overdue
// and reports whether any suspects are left. The lock must be held.
func (p *Pool) closeOverdueSuspects() (left bool) {
	for c := range p.busy {
		timeout, suspect := p.responseTimeout(c)
		if !suspect {
			continue
		}
		left = true
		if c.net.unansweredFor() >= timeout {
			c.close()
		}
	}
	if !left {
		p.suspects = suspectRule{}
	}
	return left
}

// responseTimeout returns how long a response may be outstanding on a busy
// connection that is suspect. The lock must be held.
func (p *Pool) responseTimeout(c *Conn) (timeout time.Duration, suspect bool) {
	if p.outdated(c.Term) {
		return replacedPrimaryTimeout, true
	}
	return p.suspects.responseTimeout, c.net.lastRead.Load() < p.suspects.lastReadBefore
}

// replacedPrimaryTimeout is how long a response of a replaced primary may be
// outstanding.
const replacedPrimaryTimeout = 250 * time.Millisecond
