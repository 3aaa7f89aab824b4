package soak

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/platform/wire"
)

const (
	// answerTime is how long a caller waits for an answer; routes allow half of it.
	answerTime = 2 * statementTimeout
	// thinkTime is the pause between two requests of a caller.
	thinkTime = 15 * time.Millisecond
	// away is the pause of a caller that found no proxy.
	away = 50 * time.Millisecond
)

// history is what callers were told. It is safe for concurrent use.
type history struct {
	mu sync.Mutex
	// kept holds, by item, the values whose writes were acknowledged.
	kept map[string][]keptValue
	// refused holds "item value" of writes that surely did not run.
	refused map[string]bool
	// items are the writers' present items.
	items []string
}

// item returns the i-th writer's present item.
func (h *history) item(i int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.items[i]
}

// leaveItem gives a writer a new item after a write with an unknown outcome: a
// proxy that was paused may still run it, over what was acknowledged since.
func (h *history) leaveItem(i, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.items[i] = itemName(i) + "." + strconv.Itoa(n)
}

type keptValue struct {
	at    time.Time
	value int
}

func (h *history) keep(item string, value int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kept[item] = append(h.kept[item], keptValue{time.Now(), value})
}

func (h *history) refuse(item string, value int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused[fmt.Sprintf("%s %d", item, value)] = true
}

// known returns the newest value that was acknowledged by t.
func (h *history) known(item string, t time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	best := 0
	for _, k := range h.kept[item] {
		if !k.at.After(t) {
			best = max(best, k.value)
		}
	}
	return best
}

// caller keeps one session at some proxy, until the connection ends.
type caller struct {
	soak     *Soak
	database string
	at       int
	link     *wire.Upstream
}

var statements atomic.Uint64

// ask runs one statement; ok is false if no whole answer came.
func (c *caller) ask(st statement.Statement) (r statement.Reply, ok bool) {
	if c.link == nil && !c.connect() {
		return r, false
	}
	st.ID = strconv.FormatUint(statements.Add(1), 16)
	if err := c.link.SetDeadline(time.Now().Add(answerTime)); err != nil {
		c.leave()
		return r, false
	}
	if c.link.Send(st) != nil {
		c.leave()
		return r, false
	}
	r, err := c.link.Receive()
	if err != nil {
		c.leave()
		return r, false
	}
	return r, true
}

func (c *caller) connect() bool {
	c.at = (c.at + 1) % len(c.soak.proxies)
	nc, err := net.DialTimeout("tcp", c.soak.proxies[c.at].front.address(), answerTime)
	if err != nil {
		return false
	}
	link := wire.NewUpstream(nc)
	if nc.SetDeadline(time.Now().Add(answerTime)) != nil {
		return false
	}
	r, err := link.Open(c.database, "soak")
	if err != nil || r.Code != statement.OK {
		_ = nc.Close() // the proxy does not want it
		return false
	}
	c.link = link
	return true
}

func (c *caller) leave() {
	if c.link != nil {
		_ = c.link.Close() // what it was for is over
	}
	c.link = nil
}

// promised are the codes that promise that nothing is kept.
func promised(c statement.Code) bool {
	switch c {
	case statement.Busy, statement.Aborted, statement.Behind, statement.ReadOnly, statement.Misrouted, statement.TooMany:
		return true
	default:
		return false
	}
}

// writes is one writer's life: each value is tried once.
func (s *Soak) writes(ctx context.Context, number int) {
	c := &caller{soak: s, database: own, at: number}
	defer c.leave()
	for n := 1; ctx.Err() == nil; n++ {
		item := s.history.item(number)
		inTransaction := n%4 == 0
		r, ok := c.write(item, n, inTransaction)
		switch {
		case ok && r.Code == statement.OK:
			s.history.keep(item, n)
			s.count(&s.Served)
			c.readBack(item, n)
		case ok && promised(r.Code):
			s.history.refuse(item, n)
			s.count(&s.Refused)
		default:
			s.count(&s.Unsure)
			s.history.leaveItem(number, n)
			_ = sleep.For(ctx, away)
		}
		_ = sleep.For(ctx, thinkTime) // the loop looks at ctx
	}
}

// write writes a value, alone or in a transaction; the reply is the last one.
func (c *caller) write(item string, value int, inTransaction bool) (r statement.Reply, ok bool) {
	st := statement.Statement{Kind: statement.Write, Arguments: fmt.Sprintf("%s %d", item, value)}
	if !inTransaction {
		return c.ask(st)
	}
	for _, st := range []statement.Statement{{Kind: statement.Begin}, st, {Kind: statement.Commit}} {
		if r, ok = c.ask(st); !ok || r.Code != statement.OK {
			// A transaction whose commit was not sent keeps nothing.
			if st.Kind != statement.Commit {
				r.Code, ok = statement.Aborted, true
			}
			c.leave()
			return r, ok
		}
	}
	return r, ok
}

// readBack reads in the same session what was just written.
func (c *caller) readBack(item string, value int) {
	if c.link == nil {
		return
	}
	r, ok := c.ask(statement.Statement{Kind: statement.Read, Arguments: item})
	if ok && r.Code == statement.OK && valueOf(r) < value {
		c.soak.fail("%s: a session read %d after it had written %d", item, valueOf(r), value)
	}
}

// reads is one reader's life; age is what its database accepts.
func (s *Soak) reads(ctx context.Context, database string, age time.Duration, first int) {
	c := &caller{soak: s, database: database, at: first}
	defer c.leave()
	for i := 0; ctx.Err() == nil; i++ {
		item := s.history.item(i % s.Writers)
		began := time.Now()
		need := s.history.known(item, began.Add(-age))
		r, ok := c.ask(statement.Statement{Kind: statement.Read, Arguments: item})
		switch {
		case !ok:
			s.count(&s.Unsure)
			_ = sleep.For(ctx, away)
		case r.Code != statement.OK:
			s.count(&s.Refused)
		default:
			s.count(&s.Served)
			if r.Proof == "" || len(r.Rows) != 1 {
				s.fail("%s: a read of %s has no proof or %d rows", item, database, len(r.Rows))
			} else if got := valueOf(r); got < need {
				s.fail("%s: a read of %s at %s, sent %.3f s ago, got %d from %s, %d was acknowledged before", item, database,
					vmName(c.at), time.Since(began).Seconds(), got, r.Proof, need)
			}
		}
		_ = sleep.For(ctx, thinkTime) // the loop looks at ctx
	}
}

func valueOf(r statement.Reply) int {
	if len(r.Rows) == 0 {
		return 0
	}
	n, err := strconv.Atoi(r.Rows[0])
	if err != nil {
		return 0 // an item that was never written is empty
	}
	return n
}
