// Package relay serves callers' sessions. It keeps the state of each session, runs
// its statements at the servers that package fleet selects, and reports to the
// caller whether a failed statement may have taken effect.
package relay

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/forward"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// session is one caller's session. It must be used by one goroutine only.
type session struct {
	fleet      *fleet.Fleet
	requestLog *requestLog
	limiter    Limiter
	forwarder  *forward.Forwarder
	database   string
	// key is the caller's secret key.
	key string
	// checked is the configuration in which the key was last looked up, team the team
	// found; nil if the caller has none.
	checked *tables.Routing
	team    *tables.Team
	state   preparation.Session
	// newest is the newest position of the session's acknowledged commits.
	newest tables.Position
	status statement.State
	tx     *transaction
	// lastRequest is the request of the last statement, for the log.
	lastRequest *request
}

// handle runs one statement and returns its reply.
func (s *session) handle(ctx context.Context, st statement.Statement) statement.Reply {
	began := s.fleet.Now()
	s.lastRequest = nil
	var r statement.Reply
	if refusal := s.authorize(); refusal.Code != statement.OK {
		s.endTransaction(nil)
		s.requestLog.replied(s, st, refusal, s.fleet.Now().Sub(began))
		return refusal
	}
	switch st.Kind {
	case statement.Set, statement.Prepare, statement.Forget:
		r = s.handleLocal(st)
	case statement.Begin, statement.BeginRead:
		r = s.begin(st)
	case statement.Commit:
		r = s.commit(ctx, st)
	case statement.Rollback:
		r = s.rollback()
	case statement.Read, statement.Write, statement.Execute:
		r = s.handleData(ctx, st)
	default:
		r = statement.Refuse(statement.Bad, codes.Unsupported, s.status, "statement is not understood")
	}
	r.Position = tables.Position{}
	s.requestLog.replied(s, st, r, s.fleet.Now().Sub(began))
	return r
}

// handleLocal runs statements that change the session alone. Servers receive the change
// with the next statement that needs it.
func (s *session) handleLocal(st statement.Statement) statement.Reply {
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

// authorize looks up the caller's key again if the configuration has changed. A reply
// other than OK ends the session: the key was removed, or belongs to another team.
func (s *session) authorize() statement.Reply {
	routing := s.fleet.Routing()
	if routing == nil || routing == s.checked {
		return statement.Reply{}
	}
	route, found := routing.Routes[s.database]
	if !found && s.team == nil {
		return statement.Reply{} // the route is gone, and a key was never needed
	}
	team, ok := routing.Authorize(route, s.key)
	switch {
	case ok && (s.checked == nil || sameTeam(s.team, team)):
		s.checked, s.team = routing, team
		return statement.Reply{}
	case s.checked == nil:
		return statement.Refuse(statement.NoAuth, codes.UnknownKey, statement.Idle, "unknown key")
	default:
		return statement.Refuse(statement.NoAuth, codes.KeyRemoved, statement.Idle, "the key was removed")
	}
}

// sameTeam reports whether a and b stand for the same team, or both for none.
func sameTeam(a, b *tables.Team) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ID == b.ID
}

// teamID returns the team for which servers run the session's statements.
func (s *session) teamID() tables.TeamID {
	if s.team == nil {
		return ""
	}
	return s.team.ID
}

// admitOperation counts an operation of the session's team against its limit. A reply
// other than OK refuses it.
func (s *session) admitOperation(ctx context.Context) statement.Reply {
	if s.team == nil || s.team.Rate <= 0 {
		return statement.Reply{}
	}
	after, ok := s.limiter.Admit(ctx, s.team.ID)
	if ok {
		return statement.Reply{}
	}
	r := statement.Refuse(statement.Busy, codes.TeamLimit, s.status, "the team has reached its limit")
	r.RetryAfter = after
	return r
}

// route returns the current route of the session's database.
func (s *session) route() (tables.Route, bool) {
	routing := s.fleet.Routing()
	if routing == nil {
		return tables.Route{}, false
	}
	r, ok := routing.Routes[s.database]
	return r, ok
}

// handleData runs a read or a write.
func (s *session) handleData(ctx context.Context, st statement.Statement) statement.Reply {
	writes := st.Kind == statement.Write
	if st.Kind == statement.Execute {
		definition, ok := s.state.Definition(st.Name)
		if !ok {
			return statement.Refuse(statement.NoStatement, codes.SessionState, s.status, st.Name)
		}
		writes = definition.Writes
	}
	switch s.status {
	case statement.Failed:
		return statement.Refuse(statement.Bad, codes.SessionState, s.status, "the transaction failed")
	case statement.Open:
		return s.handleInTransaction(ctx, st, writes)
	}
	route, ok := s.route()
	if !ok {
		return statement.Refuse(statement.NoDatabase, codes.UnknownService, s.status, s.database)
	}
	q := newRequest(ctx, s, route, st, writes)
	defer q.cancel()
	if r := s.admitOperation(q.ctx); r.Code != statement.OK {
		return r
	}
	switch {
	case writes:
		return exec.Serve(q.ctx, &writePlan{q: q})
	case route.Freshness == tables.FreshNewest:
		return exec.Serve(q.ctx, &newestReadPlan{q: q})
	default:
		return q.read()
	}
}

// close ends the session; an open transaction is rolled back.
func (s *session) close() { s.endTransaction(nil) }

// recordCommit records the position of an acknowledged commit of the session.
func (s *session) recordCommit(p tables.Position) {
	if p.AtLeast(s.newest) {
		s.newest = p
	}
}

// visibilityCutoff returns the latest time such that a request which arrived at the given
// time must see all commits acknowledged before.
func visibilityCutoff(route tables.Route, arrived tables.Time) tables.Time {
	if route.Freshness == tables.FreshNewest {
		return arrived
	}
	return arrived.Add(-route.MaxAge)
}

// requiredPosition returns the position that a server must have reached to serve a
// read that arrived at the given time.
func (s *session) requiredPosition(ctx context.Context, route tables.Route, arrived tables.Time) (tables.Position, bool) {
	need, ok := s.fleet.RequiredPosition(ctx, route.Group, visibilityCutoff(route, arrived))
	if ok && route.Freshness == tables.FreshSession && s.newest.AtLeast(need) {
		need = s.newest
	}
	return need, ok
}

// minRetryAfter is the shortest retry time given to a refused caller.
const minRetryAfter = 100 * time.Millisecond
