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
	slot gate.Slot
	conn *links.Conn
	// after is the position that the server must have reached.
	after tables.Position
	// st is the statement with prepared statements named as on the connection.
	st statement.Statement
}

var _ exec.Attempt = (*attempt)(nil)

func (q *request) attemptAt(u *fleet.Upstream, after tables.Position) *attempt {
	return &attempt{q: q, u: u, after: after}
}

// Upstream implements exec.Attempt.
func (a *attempt) Upstream() tables.UpstreamID { return a.u.ID() }

// AcquireSlot implements exec.Attempt.
func (a *attempt) AcquireSlot(ctx context.Context) (err error) {
	a.slot, err = a.u.AcquireSlot(ctx, a.q.admission())
	return err
}

// ReleaseSlot implements exec.Attempt.
func (a *attempt) ReleaseSlot() { a.u.ReleaseSlot(&a.slot) }

// Connect implements exec.Attempt.
func (a *attempt) Connect(ctx context.Context) (err error) {
	a.conn, err = a.u.Connect(ctx, a.q.s.teamID())
	return err
}

// ApplyState implements exec.Attempt.
func (a *attempt) ApplyState(context.Context) (statement.Reply, error) { return a.prepare(false) }

// prepare sends the settings and prepared statements that the connection lacks
// for the statement.
func (a *attempt) prepare(inTransaction bool) (statement.Reply, error) {
	list, st := preparation.Plan(&a.conn.State, &a.q.s.state, a.q.st, inTransaction)
	a.st = st
	return a.u.Prepare(a.conn, a.q.deadline, list)
}

// Exchange implements exec.Attempt.
func (a *attempt) Exchange(context.Context) (statement.Reply, error) {
	a.st.After = a.after
	return a.send(a.q.writes)
}

// send runs the statement. commit means that the server answers only after a
// replica has confirmed the commit.
func (a *attempt) send(commit bool) (statement.Reply, error) {
	began := a.q.s.fleet.Now()
	r, err := a.u.Exchange(a.conn, a.q.deadline, commit, a.st)
	if err != nil {
		return r, err
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

// beginAttempt begins a transaction at one server and keeps the connection for it.
// It is admitted with a lower priority than single statements: a transaction
// costs the server several statements, and a refusal at its begin wastes no work.
type beginAttempt struct {
	attempt
	tx *transaction
}

// AcquireSlot implements exec.Attempt.
func (b *beginAttempt) AcquireSlot(ctx context.Context) (err error) {
	r := b.q.admission()
	r.Priority--
	b.slot, err = b.u.AcquireSlot(ctx, r)
	return err
}

// Exchange implements exec.Attempt.
func (b *beginAttempt) Exchange(context.Context) (statement.Reply, error) {
	kind := statement.Begin
	if b.tx.readOnly {
		kind = statement.BeginRead
	}
	b.st = statement.Statement{Kind: kind, After: b.after}
	return b.send(false)
}

// Return implements exec.Attempt.
func (b *beginAttempt) Return(r statement.Reply) {
	if r.Code != statement.OK || r.State != statement.Open {
		b.attempt.Return(r)
		return
	}
	b.tx.upstream, b.tx.conn = b.u, b.conn
}

// transactionAttempt runs a statement on the connection of an open transaction.
type transactionAttempt struct {
	attempt
	tx *transaction
}

func (q *request) attemptInTransaction(tx *transaction) *transactionAttempt {
	return &transactionAttempt{attempt: attempt{q: q, u: tx.upstream, conn: tx.conn}, tx: tx}
}

// AcquireSlot implements exec.Attempt.
func (t *transactionAttempt) AcquireSlot(ctx context.Context) (err error) {
	t.slot, err = t.u.AcquireSlot(ctx, t.q.admissionInTransaction())
	return err
}

// ApplyState implements exec.Attempt.
func (t *transactionAttempt) ApplyState(context.Context) (statement.Reply, error) {
	return t.prepare(true)
}

// Exchange implements exec.Attempt.
func (t *transactionAttempt) Exchange(context.Context) (statement.Reply, error) {
	return t.send(t.st.Kind == statement.Commit && t.tx.wrote)
}
