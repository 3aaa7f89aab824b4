package upstream

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	noSlot       = -1
	slotLockBase = 7_000_000
	// slotQuantum is how long a connection keeps a slot under steady use before
	// it offers the slot to other proxies.
	slotQuantum = 50 * time.Millisecond
	// slotIdle is how long an idle connection keeps its slot.
	slotIdle = 5 * time.Millisecond
	// slotRetry is the pause between two rounds of attempts.
	slotRetry = 500 * time.Microsecond
)

// ensureSlot makes c hold one of the server's slots. A slot is a session-level
// advisory lock at the server itself: it ends with the connection, so two
// proxies never hold the same slot, whatever either believes about the other.
func (p *Pool) ensureSlot(ctx context.Context, c *Conn) error {
	if c.slot != noSlot {
		return nil
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	p.mu.Lock()
	slots := p.limits.Slots
	p.mu.Unlock()
	for {
		ok, err := c.trySlots(slots)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		if ok {
			return nil
		}
		if err := pause(ctx, slotRetry); err != nil {
			return err
		}
	}
}

func (c *Conn) trySlots(slots int) (bool, error) {
	first := rand.IntN(slots)
	for i := range slots {
		slot := (first + i) % slots
		v, err := c.simple("SELECT pg_try_advisory_lock(" + lockName(slot) + ")")
		if err != nil {
			return false, err
		}
		if v == "t" {
			c.slot = slot
			c.slotAt = time.Now()
			return true, nil
		}
	}
	return false, nil
}

// releaseSlot gives the slot back to all proxies.
func (c *Conn) releaseSlot() error {
	if c.slot == noSlot {
		return nil
	}
	_, err := c.simple("SELECT pg_advisory_unlock(" + lockName(c.slot) + ")")
	c.slot = noSlot
	return err
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
