package dbgroup

import (
	"maps"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// settings are the session values and the prepared statements of a session, by name.
type settings struct {
	values   map[string]string
	prepared map[string]statement.Statement
}

// apply runs a Set, Prepare or Reset and ignores other statements.
func (s *settings) apply(st statement.Statement) {
	switch st.Kind {
	case statement.Reset:
		*s = settings{}
	case statement.Set:
		if s.values == nil {
			s.values = make(map[string]string)
		}
		s.values[st.Name] = st.Value
	case statement.Prepare:
		if s.prepared == nil {
			s.prepared = make(map[string]statement.Statement)
		}
		s.prepared[st.Name] = st
	}
}

func (s *settings) clone() settings {
	return settings{values: maps.Clone(s.values), prepared: maps.Clone(s.prepared)}
}

// Failure is how a server fails a statement. The zero value means that it does not.
type Failure struct {
	// Code is the code of the reply.
	Code statement.Code
	// Ran means that a change of the session state has its effect all the same. It has
	// none with a code that states that the statement did not run.
	Ran bool
}

// FailStatements makes servers fail the statements, callers' and the proxy's own, for
// which f returns a failure. f is called with the group's lock held; nil ends it.
func (g *Group) FailStatements(f func(id tables.UpstreamID, st statement.Statement) Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failureOf = f
}

// RollbackUndoesSettings makes a rollback restore the session state as of the begin of
// the transaction; else changes of it stay.
func (g *Group) RollbackUndoesSettings() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollbackUndoesSettings = true
}

// failure returns how a server fails a statement. The caller holds the lock.
func (g *Group) failure(id tables.UpstreamID, st statement.Statement) Failure {
	if g.failureOf == nil {
		return Failure{}
	}
	return g.failureOf(id, st)
}

// fail returns the reply to a statement that fails. One that ran and failed fails its
// transaction. The caller holds the lock.
func (c *Session) fail(st statement.Statement, f Failure, r statement.Reply) statement.Reply {
	r.Code = f.Code
	if f.Code.NotRun() {
		return r
	}
	if f.Ran {
		c.settings.apply(st)
	}
	switch {
	case st.Kind == statement.Commit:
		c.rollback()
	case c.state == statement.Open && st.Kind != statement.Rollback:
		c.state = statement.Failed
	}
	r.State = c.state
	return r
}
