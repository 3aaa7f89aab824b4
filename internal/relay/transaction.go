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

// rollbackTimeout bounds the clean end of a transaction at its server; the
// connection is closed if it takes longer.
const rollbackTimeout = 500 * time.Millisecond

// transaction is one that a caller has open. The server learns of it with its
// first statement, so that no connection is held before.
type transaction struct {
	readOnly bool
	arrived  tables.Time
	route    tables.Route
	upstream *fleet.Upstream
	conn     *links.Conn
	// leader is set if the server was chosen as the primary.
	leader   *fleet.Leader
	proven   bool
	wrote    bool
	endedFor string
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
	s.drop(nil)
	return statement.Reply{}
}

// drop ends the session's transaction without its effects.
func (s *session) drop(broken error) {
	tx := s.tx
	s.tx, s.status = nil, statement.Idle
	if tx != nil {
		tx.release(broken)
	}
}

// release rolls back at the server, beside the caller's next request.
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
		c.State.TransactionEnded(false)
		u.Release(c)
	}()
}

// fail marks the transaction as failed; the caller has to end it.
func (s *session) fail(r statement.Reply, broken error) statement.Reply {
	s.tx.release(broken)
	s.status = statement.Failed
	r.State = statement.Failed
	return r
}

// expire ends a transaction that rests for too long or that a shutdown can't wait for.
func (s *session) expire(why string) {
	if s.status != statement.Open {
		return
	}
	s.tx.endedFor = why
	s.tx.release(nil)
	s.status = statement.Failed
	s.log.ended(s, why)
}

// inTransaction runs a read or write of the open transaction.
func (s *session) inTransaction(ctx context.Context, st statement.Statement, writes bool) statement.Reply {
	tx := s.tx
	if writes && tx.readOnly {
		return s.fail(statement.Refuse(statement.ReadOnly, codes.SessionState, s.status, "the transaction only reads"), nil)
	}
	q := newRequest(ctx, s, tx.route, st, writes)
	defer q.cancel()
	if tx.conn == nil {
		if r := q.open(tx); r.Code != statement.OK {
			return s.fail(r, nil)
		}
	}
	out := q.pinned(tx)
	if out.Err != nil {
		return s.fail(statement.Refuse(statement.Aborted, codes.UpstreamLost, s.status, "the connection was lost: "+out.Err.Error()), out.Err)
	}
	if out.Reply.Code != statement.OK {
		return s.fail(out.Reply, nil)
	}
	tx.wrote = tx.wrote || writes
	if !writes && tx.leader != nil && !tx.proven {
		if !q.s.fleet.LedAt(q.ctx, *tx.leader, tx.arrived) {
			return s.fail(statement.Refuse(statement.Aborted, codes.NotConfirmed, s.status, "the primary may have been replaced"), nil)
		}
		tx.proven = true
	}
	return out.Reply
}

// pinned runs the request's statement on the transaction's connection. A busy
// server is asked again: it did not run the statement.
func (q *request) pinned(tx *transaction) exec.Outcome {
	for {
		a := q.inside(tx)
		o := exec.Continue(q.ctx, a)
		if o.Refused {
			return exec.Outcome{Reply: q.refuse(reasonOf(o.Err, codes.NoSlot), "no room in time")}
		}
		q.note(a, o)
		again := o.Err == nil && o.Reply.Code == statement.Busy && o.Reply.State == statement.Open
		if !again || !q.pause() {
			return o
		}
	}
}

// insidePriority lets statements of open transactions go before new work: they
// hold a connection meanwhile.
const insidePriority = 1000

func (q *request) admissionInside() admit.Request {
	r := q.admission()
	r.Priority += insidePriority
	// What the transaction did so far is lost with this statement.
	r.MaxWait = q.route.TargetLatency
	return r
}

// open begins the transaction at a server; unless the reply is OK it is the answer.
func (q *request) open(tx *transaction) statement.Reply {
	if tx.readOnly && tx.route.Freshness != tables.FreshNewest {
		return q.readAny(tx.arrived, tx)
	}
	return exec.Serve(q.ctx, &beginning{q: q, tx: tx})
}

// commit ends the open transaction.
func (s *session) commit(ctx context.Context, st statement.Statement) statement.Reply {
	switch s.status {
	case statement.Idle:
		return statement.Refuse(statement.Bad, codes.SessionState, s.status, "no transaction is open")
	case statement.Failed:
		why := "the transaction failed"
		if s.tx.endedFor != "" {
			why = s.tx.endedFor
		}
		s.drop(nil)
		return statement.Refuse(statement.Aborted, codes.SessionState, statement.Idle, why)
	}
	tx := s.tx
	q := newRequest(ctx, s, tx.route, st, tx.wrote)
	defer q.cancel()
	if tx.conn == nil {
		if r := q.open(tx); r.Code != statement.OK {
			s.drop(nil)
			r.State = statement.Idle
			return r
		}
	}
	at := s.fleet.Now()
	out := q.pinned(tx)
	r := out.Reply
	switch {
	case out.Err != nil && tx.wrote:
		r = q.unsure(out.Err)
	case out.Err != nil:
		r = statement.Refuse(statement.Aborted, codes.UpstreamLost, statement.Idle, "the connection was lost: "+out.Err.Error())
	case r.Code == statement.OK && tx.wrote && tx.leader != nil:
		r = q.committed(*tx.leader, at, r)
	}
	s.endCommit(tx, out)
	r.State = statement.Idle
	return r
}

// endCommit gives the connection back after a commit was answered or lost.
func (s *session) endCommit(tx *transaction, out exec.Outcome) {
	if out.Err == nil && out.Reply.Code == statement.OK && out.Reply.State == statement.Idle {
		tx.conn.State.TransactionEnded(true)
		tx.upstream.Release(tx.conn)
		tx.conn = nil
	}
	s.drop(out.Err)
}
