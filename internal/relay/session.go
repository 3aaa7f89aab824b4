// Package relay serves callers' sessions: it keeps what a session was told,
// runs its statements where package fleet says, and tells the caller what is
// sure about a statement that failed.
package relay

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// session is one caller's session. It is for one goroutine.
type session struct {
	fleet    *fleet.Fleet
	log      *journal
	database string
	state    preparation.Session
	// newest is the newest position that a commit of the session was acknowledged with.
	newest tables.Position
	status statement.State
	tx     *transaction
	// last is the request that was run last, for the log.
	last *request
}

// handle answers one statement.
func (s *session) handle(ctx context.Context, st statement.Statement) statement.Reply {
	began := s.fleet.Now()
	s.last = nil
	var r statement.Reply
	switch st.Kind {
	case statement.Set, statement.Prepare, statement.Forget:
		r = s.local(st)
	case statement.Begin, statement.BeginRead:
		r = s.begin(st)
	case statement.Commit:
		r = s.commit(ctx, st)
	case statement.Rollback:
		r = s.rollback()
	case statement.Read, statement.Write, statement.Execute:
		r = s.data(ctx, st)
	default:
		r = statement.Refuse(statement.Bad, codes.Unsupported, s.status, "statement is not understood")
	}
	r.Position = tables.Position{}
	s.log.answered(s, st, r, s.fleet.Now().Sub(began))
	return r
}

// local answers statements that concern the session alone. Servers are told
// when a statement needs it.
func (s *session) local(st statement.Statement) statement.Reply {
	if s.status == statement.Failed {
		return statement.Refuse(statement.Bad, codes.SessionState, s.status, "the transaction failed")
	}
	ok := true
	switch st.Kind {
	case statement.Set:
		ok = s.state.Set(st.Name, st.Value)
	case statement.Prepare:
		ok = s.state.Prepare(st.Name, preparation.Definition{Text: st.Value, Writes: st.Writes})
	case statement.Forget:
		if !s.state.Deallocate(st.Name) {
			return statement.Refuse(statement.NoStatement, codes.SessionState, s.status, st.Name)
		}
	}
	if !ok {
		return statement.Refuse(statement.Bad, codes.SessionState, s.status, "the session holds too much")
	}
	return statement.Reply{State: s.status}
}

// route returns how the session's database is served now.
func (s *session) route() (tables.Route, bool) {
	routing := s.fleet.Routing()
	if routing == nil {
		return tables.Route{}, false
	}
	r, ok := routing.Routes[s.database]
	return r, ok
}

// data runs a read or a write.
func (s *session) data(ctx context.Context, st statement.Statement) statement.Reply {
	writes := st.Kind == statement.Write
	if st.Kind == statement.Execute {
		shape, ok := s.state.Definition(st.Name)
		if !ok {
			return statement.Refuse(statement.NoStatement, codes.SessionState, s.status, st.Name)
		}
		writes = shape.Writes
	}
	switch s.status {
	case statement.Failed:
		return statement.Refuse(statement.Bad, codes.SessionState, s.status, "the transaction failed")
	case statement.Open:
		return s.inTransaction(ctx, st, writes)
	}
	route, ok := s.route()
	if !ok {
		return statement.Refuse(statement.NoDatabase, codes.UnknownService, s.status, s.database)
	}
	q := newRequest(ctx, s, route, st, writes)
	defer q.cancel()
	switch {
	case writes:
		return exec.Serve(q.ctx, &writing{q: q})
	case route.Freshness == tables.FreshNewest:
		return exec.Serve(q.ctx, &newestReading{q: q})
	default:
		return q.read()
	}
}

// close ends the session; an open transaction is rolled back.
func (s *session) close() { s.drop(nil) }

// acknowledged takes note of a commit of the session.
func (s *session) acknowledged(p tables.Position) {
	if p.AtLeast(s.newest) {
		s.newest = p
	}
}

// cut returns the moment whose commits a request that arrived at arrived may miss.
func cut(route tables.Route, arrived tables.Time) tables.Time {
	if route.Freshness == tables.FreshNewest {
		return arrived
	}
	return arrived.Add(-route.MaxAge)
}

// need returns the position that a read must have seen.
func (s *session) need(ctx context.Context, route tables.Route, arrived tables.Time) (tables.Position, bool) {
	need, ok := s.fleet.RequiredPosition(ctx, route.Group, cut(route, arrived))
	if ok && route.Freshness == tables.FreshSession && s.newest.AtLeast(need) {
		need = s.newest
	}
	return need, ok
}

// comeBack is the least time after which a refused caller is told to come back.
const comeBack = 100 * time.Millisecond
