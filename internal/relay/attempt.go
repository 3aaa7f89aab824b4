package relay

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// attempt is one try of a request's statement at one server.
type attempt struct {
	q    *request
	u    *fleet.Upstream
	pass gate.Slot
	conn *links.Conn
	// after is the position that the server must have reached.
	after tables.Position
	// st is the statement under the names that the connection knows.
	st statement.Statement
}

var _ exec.Attempt = (*attempt)(nil)

func (q *request) at(u *fleet.Upstream, after tables.Position) *attempt {
	return &attempt{q: q, u: u, after: after}
}

// Upstream implements exec.Attempt.
func (a *attempt) Upstream() tables.UpstreamID { return a.u.ID() }

// AcquireSlot implements exec.Attempt.
func (a *attempt) AcquireSlot(ctx context.Context) (err error) {
	a.pass, err = a.u.AcquireSlot(ctx, a.q.admission())
	return err
}

// ReleaseSlot implements exec.Attempt.
func (a *attempt) ReleaseSlot() { a.u.ReleaseSlot(&a.pass) }

// Connect implements exec.Attempt.
func (a *attempt) Connect(ctx context.Context) (err error) {
	a.conn, err = a.u.Connect(ctx)
	return err
}

// ApplyState implements exec.Attempt.
func (a *attempt) ApplyState(context.Context) (statement.Reply, error) { return a.prepare(false) }

// prepare tells the connection what it lacks for the statement.
func (a *attempt) prepare(inTransaction bool) (statement.Reply, error) {
	list, st := preparation.Plan(&a.conn.State, &a.q.s.state, a.q.st, inTransaction)
	a.st = st
	return a.u.Prepare(a.conn, a.q.deadline, list, inTransaction)
}

// Exchange implements exec.Attempt.
func (a *attempt) Exchange(context.Context) (statement.Reply, error) {
	a.st.After = a.after
	return a.send(a.q.writes)
}

// send runs the statement; commit says that its answer waits for a replica.
func (a *attempt) send(commit bool) (statement.Reply, error) {
	began := a.q.s.fleet.Now()
	r, err := a.u.Exchange(a.conn, a.q.deadline, commit, a.st)
	if err != nil {
		return r, err
	}
	if r.Code == statement.NoStatement {
		a.conn.State.StatementMissing()
	}
	if a.st.ID != "" {
		a.u.AdjustConcurrency(r, a.q.s.fleet.Now().Sub(began), a.q.route.TargetLatency)
	}
	return r, nil
}

// Return implements exec.Attempt.
func (a *attempt) Return(r statement.Reply) {
	if r.State != statement.Idle {
		a.Discard()
		return
	}
	a.u.Release(a.conn)
}

// Discard implements exec.Attempt.
func (a *attempt) Discard() { a.u.Discard(a.conn) }

// opening begins a transaction at one server and keeps the connection for it.
// It waits for admission behind single statements: a transaction takes the
// server the time of several, and a caller no longer waits for one that is
// refused at its begin.
type opening struct {
	attempt
	tx *transaction
}

// AcquireSlot implements exec.Attempt.
func (o *opening) AcquireSlot(ctx context.Context) (err error) {
	r := o.q.admission()
	r.Priority--
	o.pass, err = o.u.AcquireSlot(ctx, r)
	return err
}

// Exchange implements exec.Attempt.
func (o *opening) Exchange(context.Context) (statement.Reply, error) {
	kind := statement.Begin
	if o.tx.readOnly {
		kind = statement.BeginRead
	}
	o.st = statement.Statement{Kind: kind, After: o.after}
	return o.send(false)
}

// Return implements exec.Attempt.
func (o *opening) Return(r statement.Reply) {
	if r.Code != statement.OK || r.State != statement.Open {
		o.attempt.Return(r)
		return
	}
	o.tx.upstream, o.tx.conn = o.u, o.conn
}

// inside runs a statement on the connection of an open transaction.
type inside struct {
	attempt
	tx *transaction
}

func (q *request) inside(tx *transaction) *inside {
	return &inside{attempt: attempt{q: q, u: tx.upstream, conn: tx.conn}, tx: tx}
}

// AcquireSlot implements exec.Attempt.
func (i *inside) AcquireSlot(ctx context.Context) (err error) {
	i.pass, err = i.u.AcquireSlot(ctx, i.q.admissionInside())
	return err
}

// ApplyState implements exec.Attempt.
func (i *inside) ApplyState(context.Context) (statement.Reply, error) { return i.prepare(true) }

// Exchange implements exec.Attempt.
func (i *inside) Exchange(context.Context) (statement.Reply, error) {
	return i.send(i.st.Kind == statement.Commit && i.tx.wrote)
}
