// Package preparation determines which statements must run on a pooled server
// connection before a session's next statement can run on it: those that set
// missing session values, those that prepare missing statements, and a reset if
// the connection holds the state of another session.
package preparation

import (
	"net/url"
	"slices"
	"sort"

	"github.com/cranberrystage/cranberrystage/internal/statement"
)

// Limits of the state of one session. The protocol defines none; these keep the
// memory of a session within a few kilobytes.
const (
	MaxValues   = 64
	MaxPrepared = 256
	// maxPreparedPerConnection is the number of prepared statements at which a
	// connection is reset.
	maxPreparedPerConnection = 128
)

// Definition is the definition of a prepared statement: its text and whether it
// writes.
type Definition struct {
	Text   string
	Writes bool
}

// serverName returns the name under which the statement is prepared on server
// connections. Callers' names may collide; this name is derived from the definition,
// so it does not. It contains no blanks.
func (d Definition) serverName() string {
	if d.Writes {
		return "w." + url.QueryEscape(d.Text)
	}
	return "r." + url.QueryEscape(d.Text)
}

// Session is the session state that was confirmed to a caller. The zero value is
// an empty session.
type Session struct {
	values   map[string]string
	prepared map[string]Definition
}

// Set sets a session value. It returns false if the session has too many values.
func (s *Session) Set(name, value string) bool {
	if _, ok := s.values[name]; !ok && len(s.values) >= MaxValues {
		return false
	}
	if s.values == nil {
		s.values = make(map[string]string)
	}
	s.values[name] = value
	return true
}

// Prepare adds a prepared statement. It returns false if the session has too many.
func (s *Session) Prepare(name string, definition Definition) bool {
	if _, ok := s.prepared[name]; !ok && len(s.prepared) >= MaxPrepared {
		return false
	}
	if s.prepared == nil {
		s.prepared = make(map[string]Definition)
	}
	s.prepared[name] = definition
	return true
}

// Deallocate removes a prepared statement. It returns false if there is none with
// that name.
func (s *Session) Deallocate(name string) bool {
	_, ok := s.prepared[name]
	delete(s.prepared, name)
	return ok
}

// Definition returns the definition of a prepared statement.
func (s *Session) Definition(name string) (Definition, bool) {
	definition, ok := s.prepared[name]
	return definition, ok
}

// Connection is the session state that a server connection holds, as its replies confirm
// it. The zero value is a new connection, which holds none.
type Connection struct {
	// values and prepared are what the server confirmed.
	values   map[string]string
	prepared map[string]bool
	// unknown reports whether the server may hold other state than confirmed. Only a
	// confirmed Reset makes the state known again.
	unknown bool
	// inTransaction reports whether a transaction is open, and changedInTransaction
	// whether a statement that changes state was sent in it.
	inTransaction, changedInTransaction bool
	// sent are the statements without a reply, the oldest first.
	sent []statement.Statement
}

// Sent records statements that are about to be sent on the connection. Until its reply
// arrives, the effect of a statement that changes state is unknown.
func (c *Connection) Sent(list ...statement.Statement) {
	for _, st := range list {
		if ChangesState(st.Kind) {
			c.changedInTransaction = c.changedInTransaction || c.inTransaction
		}
	}
	c.sent = append(c.sent, list...)
}

// Replied records the reply to the oldest statement without one.
func (c *Connection) Replied(r statement.Reply) {
	if len(c.sent) == 0 {
		c.unknown = true
		return
	}
	st := c.sent[0]
	c.sent = slices.Delete(c.sent, 0, 1)
	switch {
	case r.Code == statement.OK:
		c.apply(st)
	case ChangesState(st.Kind), r.Code == statement.NoStatement:
		c.unknown = true
	}
	c.recordTransaction(st, r)
}

// Settled reports whether the connection may serve another session: every statement has
// its reply and no transaction is open.
func (c *Connection) Settled() bool { return len(c.sent) == 0 && !c.inTransaction }

// ChangesState reports whether statements of a kind change a connection's session state.
func ChangesState(k statement.Kind) bool {
	switch k {
	case statement.Set, statement.Prepare, statement.Forget, statement.Reset:
		return true
	default:
		return false
	}
}

// apply records the effect of a statement that succeeded.
func (c *Connection) apply(st statement.Statement) {
	switch st.Kind {
	case statement.Reset:
		c.values, c.prepared, c.unknown = nil, nil, false
	case statement.Set:
		if c.values == nil {
			c.values = make(map[string]string)
		}
		c.values[st.Name] = st.Value
	case statement.Prepare:
		if c.prepared == nil {
			c.prepared = make(map[string]bool)
		}
		c.prepared[st.Name] = true
	case statement.Forget:
		delete(c.prepared, st.Name)
	}
}

// recordTransaction records whether a transaction is open after the reply to st. The
// server may undo changes of state in a transaction that ended without a commit.
func (c *Connection) recordTransaction(st statement.Statement, r statement.Reply) {
	if r.State != statement.Idle {
		c.inTransaction = true
		return
	}
	committed := st.Kind == statement.Commit && r.Code == statement.OK
	c.unknown = c.unknown || c.changedInTransaction && !committed
	c.inTransaction, c.changedInTransaction = false, false
}

// Plan returns the statements that must run on c before st of session s, and st with
// the prepared statement's name on the server. In a transaction nothing is reset,
// because the connection was reset, if needed, when the transaction began.
func Plan(c *Connection, s *Session, st statement.Statement, inTransaction bool) ([]statement.Statement, statement.Statement) {
	var out []statement.Statement
	if !inTransaction && c.mustReset(s) {
		c = &Connection{}
		out = append(out, statement.Statement{Kind: statement.Reset})
	}
	for _, name := range s.missing(c) {
		out = append(out, statement.Statement{Kind: statement.Set, Name: name, Value: s.values[name]})
	}
	if st.Kind != statement.Execute {
		return out, st
	}
	definition := s.prepared[st.Name]
	st.Name = definition.serverName()
	if !c.prepared[st.Name] {
		out = append(out, statement.Statement{Kind: statement.Prepare, Name: st.Name, Value: definition.Text, Writes: definition.Writes})
	}
	return out, st
}

func (c *Connection) mustReset(s *Session) bool {
	if c.unknown || len(c.sent) > 0 || len(c.prepared) >= maxPreparedPerConnection {
		return true
	}
	for name := range c.values {
		if _, ok := s.values[name]; !ok {
			return true
		}
	}
	return false
}

// missing returns the sorted names of the values that c lacks.
func (s *Session) missing(c *Connection) []string {
	var names []string
	for name, value := range s.values {
		if held, ok := c.values[name]; !ok || held != value {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Values returns the session values by name. They must not be modified.
func (s *Session) Values() map[string]string { return s.values }

// Restore returns a session with values and, if name is not empty, one prepared
// statement. It keeps values. ok is false if there are more values than a session may
// have.
func Restore(values map[string]string, name string, definition Definition) (s Session, ok bool) {
	if len(values) > MaxValues {
		return Session{}, false
	}
	s.values = values
	if name != "" {
		s.prepared = map[string]Definition{name: definition}
	}
	return s, true
}
