// Package preparation determines which statements must run on a pooled server
// connection before a session's next statement can run on it: those that set
// missing session values, those that prepare missing statements, and a reset if
// the connection holds the state of another session.
package preparation

import (
	"net/url"
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

// Connection is the session state that a server connection holds.
type Connection struct {
	values   map[string]string
	prepared map[string]bool
	// uncertain reports whether the recorded state may differ from the server's, for
	// example because a rollback may have undone changes.
	uncertain bool
	// changedInTransaction reports whether state was changed in the open transaction.
	changedInTransaction bool
}

// Plan returns the statements that must run on c before st of session s, and st with
// the prepared statement's name on the server. In a transaction nothing is reset,
// because the connection was reset, if needed, when the transaction began.
func Plan(c *Connection, s *Session, st statement.Statement, inTransaction bool) ([]statement.Statement, statement.Statement) {
	var out []statement.Statement
	if !inTransaction && c.mustReset(s) {
		*c = Connection{}
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
	if c.uncertain || len(c.prepared) >= maxPreparedPerConnection {
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

// Applied records statements of a Plan that have succeeded on the connection.
func (c *Connection) Applied(list []statement.Statement, inTransaction bool) {
	for _, st := range list {
		switch st.Kind {
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
		}
	}
	c.changedInTransaction = c.changedInTransaction || inTransaction && len(list) > 0
}

// TransactionEnded records the end of a transaction. If it was not committed, state
// changed in it may have been undone.
func (c *Connection) TransactionEnded(committed bool) {
	c.uncertain = c.uncertain || c.changedInTransaction && !committed
	c.changedInTransaction = false
}

// StatementMissing records that a prepared statement that was recorded for the
// connection does not exist on the server.
func (c *Connection) StatementMissing() { c.uncertain = true }

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
