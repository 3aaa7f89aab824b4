package pgsession

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/pkg/errors"
)

// attempt is one try to run a batch on the upstream chosen for it.
type attempt struct {
	r    *request
	d    route.Decision
	pool *upstream.Pool
	conn *upstream.Conn
	// slot is a slot of this proxy's gate for the upstream; the connection holds
	// one of the server's own slots in addition. Return moves it to the session
	// if the connection stays pinned by an open transaction.
	slot gate.Slot
	// rolledBack is set if a command ended a transaction without committing it.
	rolledBack bool
	// rejected is set if the server replied that it is not the primary of the
	// attempt's term.
	rejected bool
}

var _ exec.Attempt = (*attempt)(nil)

var (
	// errTooOld means that a replica's data exceeded the declared age by the time
	// its first result arrived.
	errTooOld = errors.New("the result exceeds the declared maximum age")
	// errChooseAgain means that the replica's data exceeded the declared age
	// while the request waited for a connection; nothing was sent.
	errChooseAgain   = errors.New("the replica's data exceeds the declared maximum age")
	errNotConfigured = errors.New("upstream is not configured")
)

// Upstream implements exec.Attempt.
func (a *attempt) Upstream() tables.UpstreamID { return a.d.Upstream }

// AcquireSlot implements exec.Attempt.
func (a *attempt) AcquireSlot(ctx context.Context) (err error) {
	r := a.r
	g, ok := r.core.Gate(a.d.Upstream)
	if !ok {
		return errNotConfigured
	}
	a.slot, err = g.Acquire(ctx, admit.Request{
		Service:  r.db.service.Name,
		Weight:   r.db.service.Weight,
		Priority: r.tags.Priority,
		Deadline: r.route.Deadline,
	})
	return err
}

// ReleaseSlot implements exec.Attempt.
func (a *attempt) ReleaseSlot() { a.slot.Release() }

// Connect implements exec.Attempt.
func (a *attempt) Connect(ctx context.Context) error {
	pool, ok := a.r.core.Pool(a.d.Upstream)
	if !ok {
		return errNotConfigured
	}
	term := tables.Term(0)
	if a.d.Kind == route.KindPrimary {
		term = a.d.Term
	}
	c, err := pool.Acquire(ctx, term)
	if err != nil {
		return err
	}
	if a.tooOld() {
		pool.Release(c)
		return errChooseAgain
	}
	a.pool, a.conn = pool, c
	return nil
}

// ApplyState implements exec.Attempt.
func (a *attempt) ApplyState(ctx context.Context) (statement.Reply, error) {
	err := a.conn.ApplySettings(ctx, a.r.s.settings.text)
	var serverErr *upstream.ServerError
	if errors.As(err, &serverErr) {
		why := "the server refuses the session's settings: " + serverErr.Error()
		return statement.Refuse(statement.Bad, codes.SessionState, statement.Idle, why), nil
	}
	return statement.Reply{}, err
}

// Exchange implements exec.Attempt.
func (a *attempt) Exchange(ctx context.Context) (statement.Reply, error) {
	r := a.r
	load := r.core.Load()
	load.Add(a.d.Upstream, 1)
	defer load.Add(a.d.Upstream, -1)
	r.startedAt = r.core.Now()
	if needsConfirm(a.d, r.route.Tags) {
		r.core.Confirm(r.db.group)
	}
	return a.send(ctx, a.ageCheck())
}

// send runs the batch on the connection within the deadline. When the deadline
// passes, reads on the connection fail and the upstream receives a cancel
// request.
func (a *attempt) send(ctx context.Context, onResult func() error) (statement.Reply, error) {
	r := a.r
	if !r.s.setRunning(a.conn) {
		return statement.Reply{}, errCancelled
	}
	defer r.s.setRunning(nil)
	deadline, _ := ctx.Deadline()
	a.conn.SetDeadline(deadline)
	out := r.outgoing(a.conn)
	out.holdCompletions = a.conn.Term != 0
	reply, rolledBack, err := exchange(a.conn, out, r.response, onResult)
	a.rolledBack = rolledBack
	if err != nil && ctx.Err() != nil {
		go cancelQuietly(a.conn)
	}
	return reply, err
}

// Return implements exec.Attempt. The connection stays pinned to the session
// while a transaction or a partial batch is open.
func (a *attempt) Return(reply statement.Reply) {
	if a.rejected = a.refusedByRole(reply); a.rejected {
		a.Discard()
		return
	}
	s := a.r.s
	s.recordSettings(a.conn, a.r.effects, reply, a.rolledBack)
	s.recordStatus(a.r.batch, reply)
	if !a.r.batch.Partial && reply.State == statement.Idle {
		a.pool.Release(a.conn)
		return
	}
	s.pin(a.pool, a.conn)
	s.slot = a.slot
	a.slot = gate.Slot{}
}

// Discard implements exec.Attempt.
func (a *attempt) Discard() { a.pool.Discard(a.conn) }

// tooOld reports whether the replica's data may by now exceed the declared age.
func (a *attempt) tooOld() bool {
	if a.d.Kind != route.KindReplica {
		return false
	}
	r := a.r
	return a.d.AsOf < min(r.arrivedAt, r.core.Now().Add(-*r.tags.MaxAge))
}

// ageCheck returns the check of a replica's first result. Execution began
// before the result arrived, so a result that arrives in time is no older than
// declared. A result from a server that was paused during execution may be
// older; the check rejects it.
func (a *attempt) ageCheck() func() error {
	if a.d.Kind != route.KindReplica {
		return nil
	}
	return func() error {
		if a.tooOld() {
			return errTooOld
		}
		r := a.r
		r.s.exec.metrics.ObserveReadAge(r.db.service.Name, r.core.Now().Sub(a.d.AsOf), true)
		return nil
	}
}

// refusedByRole reports whether the reply means that the server is not the
// primary of the term. If the server was confirmed as primary after the
// request's first rejection, the read-only error comes from the statement
// itself, for example from a read-only setting, and goes to the caller.
func (a *attempt) refusedByRole(reply statement.Reply) bool {
	committed := reply.Position != tables.Position{}
	if reply.Code != statement.ReadOnly || a.d.Kind != route.KindPrimary || reply.State != statement.Idle || committed {
		return false
	}
	r := a.r
	point, current := r.newestPoint()
	confirmed := current == a.d.Term && point.Term == a.d.Term && point.SentAt >= r.rejectedAt
	return r.rejectedAt == 0 || !confirmed
}

// pinnedAttempt runs a batch on the connection of the session's open
// transaction, which is already admitted to the upstream and has the session's
// settings.
type pinnedAttempt struct{ attempt }

func (r *request) pinned() *pinnedAttempt {
	c := r.s.pinned
	d := route.Decision{Kind: route.KindPrimary, Upstream: c.Upstream(), Term: c.Term}
	if c.Term == 0 {
		d.Kind = route.KindReplica
	}
	return &pinnedAttempt{attempt{r: r, d: d, conn: c}}
}

// AcquireSlot implements exec.Attempt.
func (*pinnedAttempt) AcquireSlot(context.Context) error { return nil }

// ApplyState implements exec.Attempt.
func (*pinnedAttempt) ApplyState(context.Context) (statement.Reply, error) {
	return statement.Reply{}, nil
}

// Exchange implements exec.Attempt.
func (p *pinnedAttempt) Exchange(ctx context.Context) (statement.Reply, error) {
	p.r.startedAt = p.r.core.Now()
	return p.send(ctx, nil)
}

func cancelQuietly(c *upstream.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.Cancel(ctx) // best effort: the connection is closed in either case
}
