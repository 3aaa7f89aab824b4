package upstream

import (
	"context"
	"time"
)

const (
	// idleClose is how long an unused connection stays open.
	idleClose = time.Minute
	// janitorPause is the longest time between two looks of the janitor.
	janitorPause = time.Second
)

// silence is what CloseSilent asked for.
type silence struct {
	// before is the time, by sinceStart, before which the last byte arrived on
	// the connections in question; 0 means that there are none.
	before int64
	// bound is how long an answer may be due on them.
	bound time.Duration
}

// Run gives back the slots of idle connections, closes connections that nobody
// uses and watches those that CloseSilent put in question. It ends with ctx or
// when the pool closes.
func (p *Pool) Run(ctx context.Context) {
	t := time.NewTimer(janitorPause)
	defer t.Stop()
	for {
		t.Reset(p.tidy(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-p.gone:
			return
		case <-p.attention:
		case <-t.C:
		}
	}
}

// alert makes the janitor look soon. The lock must be held.
func (p *Pool) alert() {
	if p.attentive {
		return
	}
	p.attentive = true
	select {
	case p.attention <- struct{}{}:
	default:
	}
}

// tidy does what is due now and returns when to look again.
func (p *Pool) tidy(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleWhere(len(p.idle), func(c *Conn) bool { return now.Sub(c.lastUsed) > idleClose })
	p.attentive = p.closeQuestioned()
	p.giveBackIdleSlots(now)
	p.seek()
	p.attentive = p.attentive || len(p.waiters) > 0
	for _, c := range p.idle {
		p.attentive = p.attentive || c.slot != noSlot
	}
	if p.attentive {
		return slotIdle
	}
	return janitorPause
}

// giveBackIdleSlots starts giving back the slots of connections that were not
// used for a while. The lock must be held.
func (p *Pool) giveBackIdleSlots(now time.Time) {
	for {
		c := p.takeIdle(func(c *Conn) bool { return c.slot != noSlot && now.Sub(c.lastUsed) >= slotIdle })
		if c == nil {
			return
		}
		c.returning = now
		go p.giveBack(c)
	}
}

// giveBack gives the slot of a busy connection to all proxies.
func (p *Pool) giveBack(c *Conn) {
	if p.unlockSlot(c) {
		p.offer(c)
	}
}

// yieldSlot gives the slot of a busy connection to other proxies and stays away
// from the slots long enough that a waiting proxy gets it.
func (p *Pool) yieldSlot(c *Conn) {
	if !p.unlockSlot(c) {
		return
	}
	time.Sleep(slotYield)
	p.offer(c)
}

// unlockSlot reports whether the connection survived giving its slot back.
func (p *Pool) unlockSlot(c *Conn) bool {
	if err := c.releaseSlot(); err != nil {
		c.slot = noSlot
		p.lostSlot()
		p.Discard(c)
		return false
	}
	p.lostSlot()
	return true
}

func (p *Pool) lostSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders--
}

// CloseSilent is called when connections to the server seem to have lost their
// path while new ones work. It closes idle connections, and busy ones on which
// an answer has been due for olderThan; requests on those end at once. The other
// connections that are open now stay in question until a byte arrives on them:
// they are closed as soon as an answer is due for olderThan. Connections that
// are opened later are not concerned.
func (p *Pool) CloseSilent(olderThan time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence = silence{before: sinceStart(), bound: olderThan}
	p.closeIdleWhere(len(p.idle), anyConn)
	p.closeQuestioned()
	p.seek()
	p.alert()
}

// closeQuestioned closes the connections in question whose answer is overdue
// and reports whether any are left. The lock must be held.
func (p *Pool) closeQuestioned() (left bool) {
	for c := range p.busy {
		bound, questioned := p.patience(c)
		if !questioned {
			continue
		}
		left = true
		if c.net.silentFor() >= bound {
			c.close()
		}
	}
	if !left {
		p.silence = silence{}
	}
	return left
}

// patience returns how long an answer may be due on a busy connection that is
// in question. The lock must be held.
func (p *Pool) patience(c *Conn) (bound time.Duration, questioned bool) {
	if p.outdated(c.Term) {
		return replacedPatience, true
	}
	return p.silence.bound, c.net.heard.Load() < p.silence.before
}

// replacedPatience is how long a replaced primary's answer may be due.
const replacedPatience = 250 * time.Millisecond
