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

// attempt is one try of a batch on the upstream that was chosen for it.
type attempt struct {
	r    *request
	d    route.Decision
	pool *upstream.Pool
	conn *upstream.Conn
	// pass is the right to use the upstream; Return gives it to the session if
	// the connection stays with an open transaction.
	pass gate.Slot
	// rolledBack says that a command ended a transaction without its effects.
	rolledBack bool
	// rejected says that the server does not lead at the attempt's term.
	rejected bool
}

var _ exec.Attempt = (*attempt)(nil)

var (
	// errTooOld means that a replica's first result came when its age bound had passed.
	errTooOld = errors.New("the answer is older than stated")
	// errChooseAgain means that the replica's data grew too old while a
	// connection was awaited; nothing was sent.
	errChooseAgain = errors.New("the replica's data is older than stated")
	errNotKnown    = errors.New("upstream is not configured")
)

// Upstream implements exec.Attempt.
func (a *attempt) Upstream() tables.UpstreamID { return a.d.Upstream }

// AcquireSlot implements exec.Attempt.
func (a *attempt) AcquireSlot(ctx context.Context) (err error) {
	r := a.r
	g, ok := r.core.Gate(a.d.Upstream)
	if !ok {
		return errNotKnown
	}
	a.pass, err = g.Acquire(ctx, admit.Request{
		Service:  r.place.service.Name,
		Weight:   r.place.service.Weight,
		Priority: r.tags.Priority,
		Deadline: r.route.Deadline,
	})
	return err
}

// ReleaseSlot implements exec.Attempt.
func (a *attempt) ReleaseSlot() { a.pass.Release() }

// Connect implements exec.Attempt.
func (a *attempt) Connect(ctx context.Context) error {
	pool, ok := a.r.core.Pool(a.d.Upstream)
	if !ok {
		return errNotKnown
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
	err := a.conn.Adopt(ctx, a.r.s.settings.text)
	var answered *upstream.ServerError
	if errors.As(err, &answered) {
		why := "the server refuses the session's settings: " + answered.Error()
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
	r.started = r.core.Now()
	if needsConfirm(a.d, r.route.Tags) {
		r.core.Confirm(r.place.group)
	}
	return a.send(ctx, a.ageCheck())
}

// send runs the batch on the connection within the deadline; at its end the
// connection is cut off and the upstream asked to cancel.
func (a *attempt) send(ctx context.Context, onResult func() error) (statement.Reply, error) {
	r := a.r
	if !r.s.setRunning(a.conn) {
		return statement.Reply{}, errCancelled
	}
	defer r.s.setRunning(nil)
	deadline, _ := ctx.Deadline()
	a.conn.SetDeadline(deadline)
	out := r.outgoing(a.conn)
	out.confirmed = a.conn.Term != 0
	reply, rolledBack, err := exchange(a.conn, out, r.a, onResult)
	a.rolledBack = rolledBack
	if err != nil && ctx.Err() != nil {
		go cancelQuietly(a.conn)
	}
	return reply, err
}

// Return implements exec.Attempt. The connection is pinned while a transaction
// or a batch is open.
func (a *attempt) Return(reply statement.Reply) {
	if a.rejected = a.refusedByRole(reply); a.rejected {
		a.Discard()
		return
	}
	s := a.r.s
	s.settle(a.conn, a.r.seen, reply, a.rolledBack)
	s.advance(a.r.batch, reply)
	if !a.r.batch.Partial && reply.State == statement.Idle {
		a.pool.Release(a.conn)
		return
	}
	s.pin(a.pool, a.conn)
	s.pass = a.pass
	a.pass = gate.Slot{}
}

// Discard implements exec.Attempt.
func (a *attempt) Discard() { a.pool.Discard(a.conn) }

// tooOld reports whether the replica's data may by now be older than stated.
func (a *attempt) tooOld() bool {
	if a.d.Kind != route.KindReplica {
		return false
	}
	r := a.r
	return a.d.AsOf < min(r.arrived, r.core.Now().Add(-*r.tags.MaxAge))
}

// ageCheck returns the check of a replica's first result. Execution began
// before the result arrived, so a result in time is as young as stated; one
// from a server that was frozen meanwhile is not.
func (a *attempt) ageCheck() func() error {
	if a.d.Kind != route.KindReplica {
		return nil
	}
	return func() error {
		if a.tooOld() {
			return errTooOld
		}
		r := a.r
		r.s.exec.metrics.ObserveReadAge(r.place.service.Name, r.core.Now().Sub(a.d.AsOf), true)
		return nil
	}
}

// refusedByRole reports whether the answer says that the server does not lead
// at the term. A server that was confirmed to lead since the request's first
// rejection refuses for the statement's own sake, such as a read-only setting;
// its error then goes to the caller.
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

// pinned runs a batch on the connection of the session's open transaction,
// which holds its right to use the upstream and has the session's settings.
type pinned struct{ attempt }

func (r *request) pinned() *pinned {
	c := r.s.pinned
	d := route.Decision{Kind: route.KindPrimary, Upstream: c.Upstream(), Term: c.Term}
	if c.Term == 0 {
		d.Kind = route.KindReplica
	}
	return &pinned{attempt{r: r, d: d, conn: c}}
}

// AcquireSlot implements exec.Attempt.
func (*pinned) AcquireSlot(context.Context) error { return nil }

// ApplyState implements exec.Attempt.
func (*pinned) ApplyState(context.Context) (statement.Reply, error) { return statement.Reply{}, nil }

// Exchange implements exec.Attempt.
func (p *pinned) Exchange(ctx context.Context) (statement.Reply, error) {
	p.r.started = p.r.core.Now()
	return p.send(ctx, nil)
}

func cancelQuietly(c *upstream.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.Cancel(ctx) // the connection is closed whatever becomes of it
}
