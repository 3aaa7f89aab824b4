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
	// minQuantum and maxQuantum bound how long a connection keeps a slot under
	// steady use before it offers the slot to other proxies. The quantum doubles
	// while a free slot is found at the first attempt, and falls back to the
	// minimum once all are taken.
	minQuantum = 10 * time.Millisecond
	maxQuantum = 160 * time.Millisecond
	// slotIdle is how long an idle connection keeps its slot.
	slotIdle = 5 * time.Millisecond
	// slotRetry is the mean pause between two attempts at taking a slot.
	slotRetry = 500 * time.Microsecond
	// slotYield is how long a connection that offered its slot stays away from
	// the slots, so that the next attempt of another proxy comes first.
	slotYield = 2 * slotRetry
	// slotTimeout bounds the answer to a lock statement. A connection that
	// stays silent for longer is closed; another one is opened in its place.
	slotTimeout = time.Second
)

// A slot is a session-level advisory lock at the server itself. It ends with
// the connection, so two proxies never hold the same slot, whatever either
// believes about the other. Function names are qualified, because the search
// path may be a caller's.

// trySlots makes c hold any of the server's slots that is free.
func (c *Conn) trySlots(slots int) (bool, error) {
	c.slotFirst = (c.slotFirst + 1) % slots
	v, err := c.lockStatement(trySlotsSQL(c.slotFirst, slots))
	if err != nil {
		return false, err
	}
	slot, err := strconv.Atoi(v)
	if err != nil {
		return false, errors.Wrap(err, "slot number")
	}
	c.slot = slot
	c.slotAt = time.Now()
	return slot != noSlot, nil
}

// trySlotsSQL tries the slots in order from first on and answers with the one
// it took, or noSlot. CASE fixes the order and stops at the first success.
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

// releaseSlot gives the slot back to all proxies.
func (c *Conn) releaseSlot() error {
	if c.slot == noSlot {
		return nil
	}
	_, err := c.lockStatement("SELECT pg_catalog.pg_advisory_unlock(" + lockName(c.slot) + ")")
	c.slot = noSlot
	return err
}

func (c *Conn) lockStatement(sql string) (string, error) {
	c.SetDeadline(time.Now().Add(slotTimeout))
	return c.simple(sql)
}

func lockName(slot int) string { return strconv.Itoa(slotLockBase + slot) }
