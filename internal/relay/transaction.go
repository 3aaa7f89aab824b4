package relay

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
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
		c.State.Ended(false)
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
		if r, ok := q.open(tx); !ok {
			return s.fail(r, nil)
		}
	}
	out := q.pinned(tx)
	if out.err != nil {
		return s.fail(statement.Refuse(statement.Aborted, codes.UpstreamLost, s.status, "the connection was lost: "+out.err.Error()), out.err)
	}
	if out.reply.Code != statement.OK {
		return s.fail(out.reply, nil)
	}
	tx.wrote = tx.wrote || writes
	if !writes && tx.leader != nil && !tx.proven {
		if !q.s.fleet.LedAt(q.ctx, *tx.leader, tx.arrived) {
			return s.fail(statement.Refuse(statement.Aborted, codes.NotConfirmed, s.status, "the primary may have been replaced"), nil)
		}
		tx.proven = true
	}
	return out.reply
}

// pinned runs the request's statement on the transaction's connection. A busy
// server is asked again: it did not run the statement.
func (q *request) pinned(tx *transaction) outcome {
	u, c := tx.upstream, tx.conn
	for {
		pass, err := u.Enter(q.ctx, q.admissionInside())
		if err != nil {
			return outcome{reply: q.refuse(reasonOf(err, codes.NoSlot), "no room in time")}
		}
		st, out := q.prepare(u, c, true)
		if out.err == nil && out.reply.Code == statement.OK {
			out.reply, out.err = u.Exchange(c, q.deadline, st.Kind == statement.Commit && tx.wrote, st)
		}
		u.Leave(&pass)
		q.note(u, out)
		again := out.err == nil && out.reply.Code == statement.Busy && out.reply.State == statement.Open
		if !again || !q.pause() {
			return out
		}
	}
}

// insidePriority lets statements of open transactions go before new work: they
// hold a connection meanwhile.
const insidePriority = 1000

func (q *request) admissionInside() admit.Request {
	r := q.admission()
	r.Priority += insidePriority
	return r
}

// open begins the transaction at a server; if ok is false the reply is the answer.
func (q *request) open(tx *transaction) (r statement.Reply, ok bool) {
	if tx.readOnly && tx.route.Freshness != tables.FreshNewest {
		return q.openRead(tx)
	}
	for {
		l, reply, ok := q.leader()
		if !ok {
			return reply, false
		}
		out := q.beginAt(l.Upstream, tx, tables.Position{})
		if out.stage == retry.StageAnswered && out.reply.Code == statement.OK {
			tx.leader = &l
			return out.reply, true
		}
		if out.refused {
			return q.refuse(reasonOf(out.err, codes.NoSlot), "the primary has no room"), false
		}
		if q.ctx.Err() != nil || !q.pause() {
			return q.refuse(codes.UpstreamFailed, "the primary does not take the transaction"), false
		}
	}
}

// openRead begins a transaction that only reads at any server that is fresh enough.
func (q *request) openRead(tx *transaction) (r statement.Reply, ok bool) {
	need, ok := q.s.need(q.ctx, tx.route, tx.arrived)
	q.need = need
	if !ok {
		return q.refuse(codes.NoFreshReplica, "no primary tells how fresh the replicas are"), false
	}
	for {
		u, ok := q.s.fleet.Reader(tx.route.Group, need, q.tried)
		if !ok {
			if !q.pause() {
				return q.refuse(q.whyNoServer(), "no server takes the transaction"), false
			}
			q.tried = q.tried[:0]
			continue
		}
		out := q.beginAt(u, tx, need)
		if out.stage == retry.StageAnswered && out.reply.Code == statement.OK {
			return out.reply, true
		}
		if q.ctx.Err() != nil {
			return q.refuse(q.whyNoServer(), "no server takes the transaction"), false
		}
		q.tried = append(q.tried, u.ID())
	}
}

// beginAt begins the transaction at one server.
func (q *request) beginAt(u *fleet.Upstream, tx *transaction, after tables.Position) outcome {
	out := q.tryBegin(u, tx, after)
	q.note(u, out)
	return out
}

func (q *request) tryBegin(u *fleet.Upstream, tx *transaction, after tables.Position) outcome {
	c, err := u.Connect(q.ctx)
	if err != nil {
		return outcome{err: err}
	}
	_, out := q.prepare(u, c, false)
	if out.err != nil || out.reply.Code != statement.OK {
		u.Discard(c)
		return out
	}
	kind := statement.Begin
	if tx.readOnly {
		kind = statement.BeginRead
	}
	r, err := u.Exchange(c, q.deadline, false, statement.Statement{Kind: kind, After: after})
	if err != nil {
		u.Discard(c)
		return outcome{stage: retry.StageWritten, err: err}
	}
	if r.Code != statement.OK || r.State != statement.Open {
		giveBack(u, c, r)
		return outcome{stage: retry.StageAnswered, reply: r}
	}
	tx.upstream, tx.conn = u, c
	return outcome{stage: retry.StageAnswered, reply: r}
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
		if r, ok := q.open(tx); !ok {
			s.drop(nil)
			r.State = statement.Idle
			return r
		}
	}
	at := s.fleet.Now()
	out := q.pinned(tx)
	r := out.reply
	switch {
	case out.err != nil && tx.wrote:
		r = q.unsure(out.err)
	case out.err != nil:
		r = statement.Refuse(statement.Aborted, codes.UpstreamLost, statement.Idle, "the connection was lost: "+out.err.Error())
	case r.Code == statement.OK && tx.wrote && tx.leader != nil:
		r = q.committed(*tx.leader, at, r)
	}
	s.endCommit(tx, out)
	r.State = statement.Idle
	return r
}

// endCommit gives the connection back after a commit was answered or lost.
func (s *session) endCommit(tx *transaction, out outcome) {
	if out.err == nil && out.reply.Code == statement.OK && out.reply.State == statement.Idle {
		tx.conn.State.Ended(true)
		tx.upstream.Release(tx.conn)
		tx.conn = nil
	}
	s.drop(out.err)
}
