package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/pace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// failurePause is how long a server that could not be reached gets no reads.
	failurePause = 300 * time.Millisecond
	// latencyWeight is the weight divisor of a new answer's time in the smoothed one.
	latencyWeight = 8
)

// Upstream is one database server as this proxy uses it.
type Upstream struct {
	fleet *Fleet
	entry tables.Entry
	local bool
	pool  *links.Pool
	gate  *gate.Limiter

	// What its entry said last, guarded by the fleet's lock.
	leaving, claims bool
	slots           int
	missingSince    tables.Time
	leavingSince    tables.Time

	mu sync.Mutex
	health
	pace pace.Limit
}

// ID names the server.
func (u *Upstream) ID() tables.UpstreamID { return u.entry.ID }

// AcquireSlot waits for the right to run a statement.
func (u *Upstream) AcquireSlot(ctx context.Context, r admit.Request) (gate.Slot, error) {
	u.mu.Lock()
	u.ahead++
	u.mu.Unlock()
	p, err := u.gate.Acquire(ctx, r)
	if err != nil {
		u.mu.Lock()
		u.ahead--
		u.mu.Unlock()
	}
	return p, err
}

// ReleaseSlot gives the right back.
func (u *Upstream) ReleaseSlot(p *gate.Slot) {
	p.Release()
	u.mu.Lock()
	u.ahead--
	u.mu.Unlock()
}

// AdjustConcurrency takes note of how a statement of a caller fared: the server had no room
// for it, or answered after a time of the caller's target.
func (u *Upstream) AdjustConcurrency(r statement.Reply, took, target time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch r.Code {
	case statement.Busy:
		u.pace.Refused(u.fleet.Now())
	case statement.OK:
		u.pace.Answered(u.fleet.Now(), took, target)
	}
	u.gate.SetSlots(u.pace.Slots())
}

// setSlots takes note of how many statements the server runs at once.
func (u *Upstream) setSlots(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pace.SetSlots(n)
	u.gate.SetSlots(u.pace.Slots())
}

// Connect returns a connection to the server.
func (u *Upstream) Connect(ctx context.Context) (*links.Conn, error) {
	return u.connect(ctx, u.pooled)
}

// getConn is a way to get a connection.
type getConn func(ctx context.Context) (*links.Conn, error)

func (u *Upstream) pooled(ctx context.Context) (*links.Conn, error) { return u.pool.Get(ctx, false) }

func (u *Upstream) connect(ctx context.Context, get getConn) (*links.Conn, error) {
	token := u.began(false)
	began := u.fleet.Now()
	c, err := get(ctx)
	switch {
	case err == nil:
		u.forget(token)
	case err == links.ErrFull, err == links.ErrMisrouted, err == links.ErrClosed:
		u.forget(token)
		u.bar(failurePause / 4)
	default:
		u.failed(token, err)
		u.mu.Lock()
		// An attempt from before the last answer says nothing new.
		u.dialFailed = u.dialFailed || began > u.answeredAt
		u.mu.Unlock()
	}
	return c, err
}

// Release gives a connection back that has no answer outstanding.
func (u *Upstream) Release(c *links.Conn) { u.pool.Put(c) }

// Discard closes a connection.
func (u *Upstream) Discard(c *links.Conn) { u.pool.Discard(c) }

// Exchange runs one statement on a connection and returns the answer. commit
// says that the answer waits for a replica. After an error the connection must
// be discarded.
func (u *Upstream) Exchange(c *links.Conn, deadline time.Time, commit bool, st statement.Statement) (statement.Reply, error) {
	token := u.began(commit)
	r, err := exchange(c, deadline, st)
	if err != nil {
		u.failed(token, err)
		return r, err
	}
	u.answered(token, st.ID != "" && !commit && r.Code == statement.OK)
	u.showed(r, r.Code == statement.OK && (commit || st.Kind == statement.Begin))
	return r, nil
}

// Prepare tells a connection what it lacks for a session's next statement.
func (u *Upstream) Prepare(c *links.Conn, deadline time.Time, list []statement.Statement, inTransaction bool) (statement.Reply, error) {
	if len(list) == 0 {
		return statement.Reply{}, nil
	}
	token := u.began(false)
	r, err := exchange(c, deadline, list...)
	if err != nil {
		u.failed(token, err)
		return r, err
	}
	u.answered(token, false)
	if r.Code == statement.OK {
		c.State.Applied(list, inTransaction)
	}
	return r, nil
}

// exchange runs statements and returns the last answer, or the first that is a
// refusal; all are read.
func exchange(c *links.Conn, deadline time.Time, list ...statement.Statement) (statement.Reply, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return statement.Reply{}, err
	}
	if err := c.Send(list...); err != nil {
		return statement.Reply{}, err
	}
	var out statement.Reply
	for range list {
		r, err := c.Receive()
		if err != nil {
			return r, err
		}
		if out.Code == statement.OK {
			out = r
		}
	}
	return out, nil
}
