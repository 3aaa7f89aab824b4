package relay

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// rollbackTimeout bounds the rollback at the server after a transaction was
// abandoned; the connection is closed if it takes longer.
const rollbackTimeout = 500 * time.Millisecond

// transaction is a caller's open transaction. It begins at a server with its first
// statement, so that it occupies no connection before.
type transaction struct {
	readOnly bool
	arrived  tables.Time
	route    tables.Route
	upstream *fleet.Upstream
	conn     *links.Conn
	// leader is set if the server was chosen because it is the primary.
	leader         *fleet.Leader
	leaseConfirmed bool
	wrote          bool
	endReason      string
}

func (s *session) begin(st statement.Statement) statement.Reply {
	if s.status != statement.Idle {
		return statement.Refuse(statement.Bad, codes.SessionState, s.status, "a transaction is open")
	}
	route, ok := s.route()
	if !ok {
		return statement.Refuse(statement.NoDatabase, codes.UnknownService, s.status, s.database)
	}
	s.tx = &transaction{readOnly: st.Kind == statement.BeginRead, arrived: s.fleet.Now(), route: route}
	s.status = statement.Open
	return statement.Reply{State: s.status}
}

func (s *session) rollback() statement.Reply {
	if s.status == statement.Idle {
		return statement.Reply{}
	}
	s.endTransaction(nil)
	return statement.Reply{}
}

// endTransaction rolls back the session's transaction, if there is one. If broken is
// set, its connection is closed.
func (s *session) endTransaction(broken error) {
	tx := s.tx
	s.tx, s.status = nil, statement.Idle
	if tx != nil {
		tx.release(broken)
	}
}

// release rolls back at the server, concurrently with the caller's next request.
// If broken is set, it closes the connection instead.
func (tx *transaction) release(broken error) {
	u, c := tx.upstream, tx.conn
	tx.conn = nil
	if c == nil {
		return
	}
	if broken != nil {
		u.Discard(c)
		return
	}
	go func() {
		r, err := u.Exchange(c, time.Now().Add(rollbackTimeout), false, statement.Statement{Kind: statement.Rollback})
		if err != nil || r.Code != statement.OK || r.State != statement.Idle {
			u.Discard(c)
			return
		}
		u.Release(c)
	}()
}

// fail marks the transaction as failed. The caller must end it by a commit or a
// rollback.
func (s *session) fail(r statement.Reply, broken error) statement.Reply {
	s.tx.release(broken)
	s.status = statement.Failed
	r.State = statement.Failed
	return r
}

// expireTransaction fails a transaction that was idle for too long or is still open
// during a shutdown.
func (s *session) expireTransaction(why string) {
	if s.status != statement.Open {
		return
	}
	s.tx.endReason = why
	s.tx.release(nil)
	s.status = statement.Failed
	s.requestLog.transactionEnded(s, why)
}

// handleInTransaction runs a read or write of the open transaction.
func (s *session) handleInTransaction(ctx context.Context, st statement.Statement, writes bool) statement.Reply {
	tx := s.tx
	if writes && tx.readOnly {
		return s.fail(statement.Refuse(statement.ReadOnly, codes.SessionState, s.status, "the transaction only reads"), nil)
	}
	q := newRequest(ctx, s, tx.route, st, writes)
	defer q.cancel()
	if tx.conn == nil {
		if r := q.beginAtServer(tx); r.Code != statement.OK {
			return s.fail(r, nil)
		}
	}
	out := q.runInTransaction(tx)
	if out.Err != nil {
		return s.fail(statement.Refuse(statement.Aborted, codes.UpstreamLost, s.status, "the connection was lost: "+out.Err.Error()), out.Err)
	}
	if out.Reply.Code != statement.OK {
		return s.fail(out.Reply, nil)
	}
	tx.wrote = tx.wrote || writes
	if !writes && tx.leader != nil && !tx.leaseConfirmed {
		if !q.s.fleet.LedAt(q.ctx, *tx.leader, tx.arrived) {
			return s.fail(statement.Refuse(statement.Aborted, codes.NotConfirmed, s.status, "the primary may have been replaced"), nil)
		}
		tx.leaseConfirmed = true
	}
	return out.Reply
}

// runInTransaction runs the request's statement on the transaction's connection. It
// retries if the server is busy, because then the statement did not run.
func (q *request) runInTransaction(tx *transaction) exec.Outcome {
	for {
		a := q.attemptInTransaction(tx)
		o := exec.Continue(q.ctx, a)
		if o.Refused {
			return exec.Outcome{Reply: q.refuse(codeOf(o.Err, codes.NoSlot), "no room in time")}
		}
		q.recordOutcome(a, o)
		retryable := o.Err == nil && o.Reply.Code == statement.Busy && o.Reply.State == statement.Open
		if !retryable || !q.waitToRetry() {
			return o
		}
	}
}

// openTransactionPriority admits statements of open transactions before new work, because
// an open transaction occupies a connection.
const openTransactionPriority = 1000

func (q *request) admissionInTransaction() admit.Request {
	r := q.admission()
	r.Priority += openTransactionPriority
	// If this statement is refused, all work of the transaction is lost.
	r.MaxWait = q.route.TargetLatency
	return r
}

// beginAtServer begins the transaction at a server. A reply other than OK is to be
// returned to the caller.
func (q *request) beginAtServer(tx *transaction) statement.Reply {
	if r := q.s.admitOperation(q.ctx); r.Code != statement.OK {
		return r
	}
	if tx.readOnly && tx.route.Freshness != tables.FreshNewest {
		return q.readAny(tx.arrived, tx)
	}
	return exec.Serve(q.ctx, &beginPlan{q: q, tx: tx})
}

// commit ends the open transaction.
func (s *session) commit(ctx context.Context, st statement.Statement) statement.Reply {
	switch s.status {
	case statement.Idle:
		return statement.Refuse(statement.Bad, codes.SessionState, s.status, "no transaction is open")
	case statement.Failed:
		why := "the transaction failed"
		if s.tx.endReason != "" {
			why = s.tx.endReason
		}
		s.endTransaction(nil)
		return statement.Refuse(statement.Aborted, codes.SessionState, statement.Idle, why)
	}
	tx := s.tx
	q := newRequest(ctx, s, tx.route, st, tx.wrote)
	defer q.cancel()
	if tx.conn == nil {
		if r := q.beginAtServer(tx); r.Code != statement.OK {
			s.endTransaction(nil)
			r.State = statement.Idle
			return r
		}
	}
	if tx.wrote && tx.leader != nil && !s.fleet.MayCommit(q.ctx, *tx.leader) {
		s.endTransaction(nil)
		return statement.Refuse(statement.Aborted, codes.NotConfirmed, statement.Idle, "the primary may have been replaced")
	}
	at := s.fleet.Now()
	out := q.runInTransaction(tx)
	r := out.Reply
	switch {
	case out.Err != nil && tx.wrote:
		r = q.outcomeUnknown(out.Err)
	case out.Err != nil:
		r = statement.Refuse(statement.Aborted, codes.UpstreamLost, statement.Idle, "the connection was lost: "+out.Err.Error())
	case r.Code == statement.OK && tx.wrote && tx.leader != nil:
		r = q.confirmCommit(*tx.leader, at, r)
	}
	s.endCommit(tx, out)
	r.State = statement.Idle
	return r
}

// endCommit releases the connection after a commit was answered, or closes it if
// the answer was lost.
func (s *session) endCommit(tx *transaction, out exec.Outcome) {
	if out.Err == nil && out.Reply.Code == statement.OK && out.Reply.State == statement.Idle {
		tx.upstream.Release(tx.conn)
		tx.conn = nil
	}
	s.endTransaction(out.Err)
}
