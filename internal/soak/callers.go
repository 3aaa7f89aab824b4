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
	"github.com/cranberrystage/cranberrystage/internal/standin/teamlog"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/platform/wire"
)

const (
	// replyTimeout is how long a caller waits for a reply, twice the statement
	// timeout of the routes.
	replyTimeout = 2 * statementTimeout
	// thinkTime is the pause between two requests of a caller.
	thinkTime = 15 * time.Millisecond
	// reconnectPause is the pause after a request without a complete reply.
	reconnectPause = 50 * time.Millisecond
)

// history records the results that callers received. It is safe for concurrent
// use.
type history struct {
	mu sync.Mutex
	// acknowledged holds, by item, the values whose writes were acknowledged.
	acknowledged map[string][]acknowledgedValue
	// refused holds "item value" of writes that are guaranteed to have no effect.
	refused map[string]bool
	// items are the current items of the writers.
	items []string
}

// item returns the i-th writer's current item.
func (h *history) item(i int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.items[i]
}

// replaceItem gives a writer a new item after a write with an unknown outcome: a
// paused proxy may still run that write and overwrite values acknowledged since.
func (h *history) replaceItem(i, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.items[i] = itemName(i) + "." + strconv.Itoa(n)
}

type acknowledgedValue struct {
	at    time.Time
	value int
}

func (h *history) recordAcknowledged(item string, value int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acknowledged[item] = append(h.acknowledged[item], acknowledgedValue{time.Now(), value})
}

func (h *history) recordRefused(item string, value int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused[fmt.Sprintf("%s %d", item, value)] = true
}

// newestAcknowledged returns the newest value that was acknowledged by t.
func (h *history) newestAcknowledged(item string, t time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	best := 0
	for _, k := range h.acknowledged[item] {
		if !k.at.After(t) {
			best = max(best, k.value)
		}
	}
	return best
}

// caller holds one session on a proxy and connects to the next proxy when the
// connection fails.
type caller struct {
	soak     *Soak
	database string
	holder   holder
	// proxyIndex is the index of the proxy that was connected to last.
	proxyIndex int
	conn       *wire.Upstream
	// problem is why the last request got no complete reply.
	problem string
}

var statements atomic.Uint64

// execute runs one statement; ok is false if no complete reply arrived.
func (c *caller) execute(st statement.Statement) (r statement.Reply, ok bool) {
	if c.conn == nil && !c.connect() {
		return r, false
	}
	if st.ID == "" {
		st.ID = teamlog.ID(string(c.holder), statements.Add(1))
	}
	err := c.conn.SetDeadline(time.Now().Add(replyTimeout))
	if err == nil {
		err = c.conn.Send(st)
	}
	if err == nil {
		r, err = c.conn.Receive()
	}
	if err != nil {
		c.problem = err.Error()
		c.disconnect()
		return r, false
	}
	c.checkKeyInUse(r)
	return r, true
}

func (c *caller) connect() bool {
	c.proxyIndex = (c.proxyIndex + 1) % len(c.soak.proxies)
	nc, err := net.DialTimeout("tcp", c.soak.proxies[c.proxyIndex].front.address(), replyTimeout)
	if err != nil {
		c.problem = err.Error()
		return false
	}
	conn := wire.NewUpstream(nc)
	if nc.SetDeadline(time.Now().Add(replyTimeout)) != nil {
		return false
	}
	r, err := conn.Open(c.database, c.holder.key())
	if err != nil || r.Code != statement.OK {
		c.problem = fmt.Sprintf("session refused: %s %s %v", r.Code, r.Detail, err)
		c.checkKeyInUse(r)
		_ = nc.Close() // the proxy refused the session
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // the connection is not used any more
	}
	c.conn = nil
}

// guaranteesNoEffect reports whether a code guarantees that the statement had no
// effect.
func guaranteesNoEffect(c statement.Code) bool {
	switch c {
	case statement.Busy, statement.Aborted, statement.Behind, statement.ReadOnly, statement.Misrouted, statement.TooMany, statement.NoAuth:
		return true
	default:
		return false
	}
}

// runWriter runs one writer, which tries to write each value once, until ctx is
// done.
func (s *Soak) runWriter(ctx context.Context, number int) {
	c := &caller{soak: s, database: own, proxyIndex: number, holder: regular(number)}
	defer c.disconnect()
	for n := 1; ctx.Err() == nil; n++ {
		item := s.history.item(number)
		inTransaction := n%4 == 0
		r, ok := c.write(item, n, inTransaction, 0)
		switch {
		case ok && r.Code == statement.OK:
			s.history.recordAcknowledged(item, n)
			s.count(&s.Served)
			c.readBack(item, n)
		case ok && guaranteesNoEffect(r.Code):
			s.history.recordRefused(item, n)
			s.count(&s.Refused)
		default:
			s.count(&s.Unsure)
			s.history.replaceItem(number, n)
			_ = sleep.For(ctx, reconnectPause)
		}
		_ = sleep.For(ctx, thinkTime) // the loop checks ctx
	}
}

// write writes a value, alone or in a transaction with pauses, and returns the last
// reply.
func (c *caller) write(item string, value int, inTransaction bool, pause time.Duration) (r statement.Reply, ok bool) {
	st := statement.Statement{Kind: statement.Write, Arguments: fmt.Sprintf("%s %d", item, value)}
	if !inTransaction {
		return c.execute(st)
	}
	for _, st := range []statement.Statement{{Kind: statement.Begin}, st, {Kind: statement.Commit}} {
		if r, ok = c.execute(st); !ok || r.Code != statement.OK {
			// A transaction whose COMMIT was not sent has no effect.
			if st.Kind != statement.Commit {
				r.Code, ok = statement.Aborted, true
			}
			c.disconnect()
			return r, ok
		}
		time.Sleep(pause)
	}
	return r, ok
}

// readBack reads the value just written in the same session.
func (c *caller) readBack(item string, value int) {
	if c.conn == nil {
		return
	}
	r, ok := c.execute(statement.Statement{Kind: statement.Read, Arguments: item})
	if ok && r.Code == statement.OK && valueOf(r) < value {
		c.soak.fail("%s: a session read %d after it had written %d", item, valueOf(r), value)
	}
}

// runReader runs one reader until ctx is done. age is the maximum age of reads
// from its database.
func (s *Soak) runReader(ctx context.Context, database string, age time.Duration, first int) {
	c := &caller{soak: s, database: database, proxyIndex: first, holder: regular(first)}
	defer c.disconnect()
	for i := 0; ctx.Err() == nil; i++ {
		item := s.history.item(i % s.Writers)
		began := time.Now()
		need := s.history.newestAcknowledged(item, began.Add(-age))
		r, ok := c.execute(statement.Statement{Kind: statement.Read, Arguments: item})
		switch {
		case !ok:
			s.count(&s.Unsure)
			_ = sleep.For(ctx, reconnectPause)
		case r.Code != statement.OK:
			s.count(&s.Refused)
		default:
			s.count(&s.Served)
			if r.Proof == "" || len(r.Rows) != 1 {
				s.fail("%s: a read of %s has no proof or %d rows", item, database, len(r.Rows))
			} else if got := valueOf(r); got < need {
				s.fail("%s: a read of %s at %s, sent %.3f s ago, got %d from %s, %d was acknowledged before", item, database,
					vmName(c.proxyIndex), time.Since(began).Seconds(), got, r.Proof, need)
			}
		}
		_ = sleep.For(ctx, thinkTime) // the loop checks ctx
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
