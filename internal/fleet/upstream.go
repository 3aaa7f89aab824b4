package fleet

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/pace"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/systems/ramp"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	// failureAvoidTime is how long an unreachable server gets no reads.
	failureAvoidTime = 300 * time.Millisecond
	// latencySmoothing is the divisor of the moving average of latency: a new
	// sample has the weight 1/8.
	latencySmoothing = 8
)

// Upstream is one database server with this proxy's connections to it and view
// of its health.
type Upstream struct {
	fleet *Fleet
	entry tables.Entry
	local bool
	pool  *links.Pool
	gate  *gate.Limiter

	// From the server's newest entry, guarded by the fleet's lock.
	leaving, claimsToLead bool
	slots                 int
	missingSince          tables.Time
	// unusableEntry means that the entry is missing because another writer overwrote it.
	unusableEntry bool
	leavingSince  tables.Time
	// newest is that entry.
	newest tables.Entry
	// joinedAt is when this proxy first saw an entry of this run of the server.
	joinedAt tables.Time
	// sameAddress are the other servers of the group that an entry gave this address to.
	sameAddress []*Upstream

	mu sync.Mutex
	health
	pace pace.Limit
	ramp ramp.Ramp
}

// ID returns the id in the server's entry.
func (u *Upstream) ID() tables.UpstreamID { return u.entry.ID }

// AcquireSlot waits for a slot to run a statement.
func (u *Upstream) AcquireSlot(ctx context.Context, r admit.Request) (gate.Slot, error) {
	u.mu.Lock()
	u.inFlight++
	if u.ramp.Active() {
		u.ramp.Sent(u.fleet.Now(), !u.pool.HasIdle())
	}
	u.mu.Unlock()
	slot, err := u.gate.Acquire(ctx, r)
	if err != nil {
		u.mu.Lock()
		u.inFlight--
		u.mu.Unlock()
	}
	return slot, err
}

// ReleaseSlot returns the slot.
func (u *Upstream) ReleaseSlot(slot *gate.Slot) {
	slot.Release()
	u.mu.Lock()
	u.inFlight--
	u.mu.Unlock()
}

// AdjustConcurrency adjusts the number of statements that this proxy runs at once
// at the server, after a statement of a caller was rejected for lack of capacity,
// or was answered in the time took where the caller's target latency is target.
func (u *Upstream) AdjustConcurrency(r statement.Reply, took, target time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch r.Code {
	case statement.Busy:
		u.pace.Refused(u.fleet.Now())
		u.ramp.Refused(u.fleet.Now())
	case statement.OK:
		u.pace.Answered(u.fleet.Now(), took, target)
		u.ramp.Answered(u.fleet.Now(), took, target)
	}
	u.advanceRamp()
	u.setGate()
}

// setSlots changes the number of statements that the server can run at once.
func (u *Upstream) setSlots(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pace.SetSlots(n)
	u.setGate()
}

// Connect returns a connection of a team to the server.
func (u *Upstream) Connect(ctx context.Context, team tables.TeamID) (*links.Conn, error) {
	return u.connectFrom(ctx, func(ctx context.Context) (*links.Conn, error) { return u.pool.Get(ctx, team, false) })
}

// connSource returns a connection from the pool or a new one.
type connSource func(ctx context.Context) (*links.Conn, error)

// pooled returns a connection for the proxy's own work, which may be a team's.
func (u *Upstream) pooled(ctx context.Context) (*links.Conn, error) { return u.pool.GetOwn(ctx) }

func (u *Upstream) connectFrom(ctx context.Context, source connSource) (*links.Conn, error) {
	token := u.startStatement(false)
	startedAt := u.fleet.Now()
	c, err := source(ctx)
	switch {
	case err == nil:
		u.recordConnected(token)
	case err == links.ErrFull && u.pool.RefusedSince(startedAt):
		u.recordReply(token, false)
		u.avoidReads(failureAvoidTime / 4)
	case err == links.ErrFull, err == links.ErrMisrouted, err == links.ErrClosed:
		u.cancelStatement(token)
		u.avoidReads(failureAvoidTime / 4)
	default:
		u.recordFailure(token, err)
		u.mu.Lock()
		u.ended = u.ended || errors.Is(err, syscall.ECONNREFUSED)
		// An attempt that began before the last reply says nothing new.
		u.dialFailed = u.dialFailed || startedAt > u.lastReplyAt
		u.mu.Unlock()
	}
	return c, err
}

// Release returns a connection without outstanding replies to the pool.
func (u *Upstream) Release(c *links.Conn) { u.pool.Put(c) }

// Discard closes a connection.
func (u *Upstream) Discard(c *links.Conn) { u.pool.Discard(c) }

// Exchange runs one statement on a connection and returns the reply. commit
// says that the reply waits for a replica. After an error the connection must
// be discarded.
func (u *Upstream) Exchange(c *links.Conn, deadline time.Time, commit bool, st statement.Statement) (statement.Reply, error) {
	token, sentAt := u.startStatement(commit), u.fleet.Now()
	r, err := u.exchange(c, deadline, st)
	if err != nil {
		u.recordFailure(token, err)
		return r, err
	}
	u.recordReply(token, st.ID != "" && !commit && r.Code == statement.OK)
	if commit {
		u.recordCommit(sentAt, r)
	}
	u.recordState(r, st.After, r.Code == statement.OK && (commit || st.Kind == statement.Begin))
	u.recordIdentified()
	u.recordReached(r.Position)
	return r, nil
}

// Prepare sends a connection the state that it lacks for a session's next
// statement. It returns the first refusal if there is one; the statements behind it
// ran all the same.
func (u *Upstream) Prepare(c *links.Conn, deadline time.Time, list []statement.Statement) (statement.Reply, error) {
	if len(list) == 0 {
		return statement.Reply{}, nil
	}
	token := u.startStatement(false)
	r, err := u.exchange(c, deadline, list...)
	if err != nil {
		u.recordFailure(token, err)
		return r, err
	}
	u.recordReply(token, false)
	return r, nil
}

// exchange runs statements and returns the last reply, or the first refusal with the
// transaction state of the last reply; it reads all replies.
func (u *Upstream) exchange(c *links.Conn, deadline time.Time, list ...statement.Statement) (statement.Reply, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return statement.Reply{}, err
	}
	if err := c.Send(list...); err != nil {
		return statement.Reply{}, err
	}
	var out statement.Reply
	for _, st := range list {
		r, err := c.Receive()
		if err != nil {
			return r, err
		}
		if r.Code != statement.OK && preparation.ChangesState(st.Kind) {
			u.recordStateRefusal(st, r)
		}
		if out.Code == statement.OK {
			out = r
		}
		out.State = r.State
	}
	return out, nil
}

// recordStateRefusal records that the server refused to change a connection's session
// state, which is unknown until the connection is reset.
func (u *Upstream) recordStateRefusal(st statement.Statement, r statement.Reply) {
	u.fleet.Metrics.CountStateRefusal(u.entry.Group, st.Kind.String())
	u.fleet.log.Info("A server refused to change a connection's session state.", "group", u.entry.Group, "upstream", u.ID(),
		"statement", st.Kind.String(), "code", r.Code.String(), "detail", r.Detail)
}
