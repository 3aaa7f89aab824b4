package upstream

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	noSlot       = -1
	slotLockBase = 7_000_000
	// minQuantum and maxQuantum limit how long a connection keeps a slot under
	// steady use before it releases the slot to other proxies. The quantum
	// doubles while the first attempt finds a free slot, and falls back to the
	// minimum once all slots are taken.
	minQuantum = 10 * time.Millisecond
	maxQuantum = 160 * time.Millisecond
	// slotIdleTimeout is how long an idle connection keeps its slot.
	slotIdleTimeout = 5 * time.Millisecond
	// slotRetryDelay is the mean delay between two attempts to take a slot.
	slotRetryDelay = 500 * time.Microsecond
	// slotYieldDelay is how long a connection that released its slot under
	// steady use waits before it takes one again, so that the next attempt of
	// another proxy comes first.
	slotYieldDelay = 2 * slotRetryDelay
	// lockStatementTimeout limits the response to a lock statement. A
	// connection that exceeds it is closed; another one is opened in its place.
	lockStatementTimeout = time.Second
)

// A slot is a session-level advisory lock at the server itself. It ends with
// the connection, so two proxies never hold the same slot, whatever their views
// of each other. Function names are qualified, because a caller may have set
// the search path.

// trySlots takes any free slot of the server. It reports whether it found one.
func (c *Conn) trySlots(slots int) (bool, error) {
	c.firstSlotTried = (c.firstSlotTried + 1) % slots
	v, err := c.lockStatement(trySlotsSQL(c.firstSlotTried, slots))
	if err != nil {
		return false, err
	}
	slot, err := strconv.Atoi(v)
	if err != nil {
		return false, errors.Wrap(err, "slot number")
	}
	c.slot = slot
	c.slotTakenAt = time.Now()
	return slot != noSlot, nil
}

// trySlotsSQL returns a statement that tries the slots in order from first on
// and returns the one that it took, or noSlot. CASE fixes the order and stops
// at the first success.
func trySlotsSQL(first, slots int) string {
	var sql strings.Builder
	sql.WriteString("SELECT CASE")
	for i := range slots {
		slot := (first + i) % slots
		sql.WriteString(" WHEN pg_catalog.pg_try_advisory_lock(" + lockName(slot) + ") THEN " + strconv.Itoa(slot))
	}
	sql.WriteString(" ELSE " + strconv.Itoa(noSlot) + " END")
	return sql.String()
}

// releaseSlot releases the slot, so that any proxy can take it.
func (c *Conn) releaseSlot() error {
	if c.slot == noSlot {
		return nil
	}
	_, err := c.lockStatement("SELECT pg_catalog.pg_advisory_unlock(" + lockName(c.slot) + ")")
	c.slot = noSlot
	return err
}

func (c *Conn) lockStatement(sql string) (string, error) {
	c.SetDeadline(time.Now().Add(lockStatementTimeout))
	return c.queryValue(sql)
}

func lockName(slot int) string { return strconv.Itoa(slotLockBase + slot) }
