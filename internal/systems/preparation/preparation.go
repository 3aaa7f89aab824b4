// Package preparation decides what a server connection must be told before a
// session's next statement runs on it: which session values and prepared
// statements it lacks, and whether it has to forget those of another session.
package preparation

import (
	"net/url"
	"sort"

	"github.com/cranberrystage/cranberrystage/internal/statement"
)

// Bounds of what one session may keep. The protocol names none; they keep a
// session's memory within a few kilobytes.
const (
	MaxValues   = 64
	MaxPrepared = 256
	// maxHeld is how many prepared statements one connection keeps.
	maxHeld = 128
)

// Definition is what a prepared statement runs.
type Definition struct {
	Text   string
	Writes bool
}

// held returns the name under which connections hold the shape. Callers' names
// collide, the shape's does not. A name has no blanks.
func (s Definition) held() string {
	if s.Writes {
		return "w." + url.QueryEscape(s.Text)
	}
	return "r." + url.QueryEscape(s.Text)
}

// Session is what a caller was told stands in its session. The zero value
// holds nothing.
type Session struct {
	values   map[string]string
	prepared map[string]Definition
}

// Set takes a session value; false means that the session has too many.
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

// Prepare takes a prepared statement; false means that the session has too many.
func (s *Session) Prepare(name string, shape Definition) bool {
	if _, ok := s.prepared[name]; !ok && len(s.prepared) >= MaxPrepared {
		return false
	}
	if s.prepared == nil {
		s.prepared = make(map[string]Definition)
	}
	s.prepared[name] = shape
	return true
}

// Deallocate drops a prepared statement; false means that there is none.
func (s *Session) Deallocate(name string) bool {
	_, ok := s.prepared[name]
	delete(s.prepared, name)
	return ok
}

// Definition returns what a prepared statement runs.
func (s *Session) Definition(name string) (Definition, bool) {
	shape, ok := s.prepared[name]
	return shape, ok
}

// Connection is what a server connection holds.
type Connection struct {
	values   map[string]string
	prepared map[string]bool
	// doubtful says that a rollback may have undone what it was told.
	doubtful bool
	// told says that it was told something in the open transaction.
	told bool
}

// Plan returns what c must be told before st of session s runs on it, and st
// with the names that c knows. In a transaction nothing is reset, because the
// connection was cleaned when it began.
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
	shape := s.prepared[st.Name]
	st.Name = shape.held()
	if !c.prepared[st.Name] {
		out = append(out, statement.Statement{Kind: statement.Prepare, Name: st.Name, Value: shape.Text, Writes: shape.Writes})
	}
	return out, st
}

func (c *Connection) mustReset(s *Session) bool {
	if c.doubtful || len(c.prepared) >= maxHeld {
		return true
	}
	for name := range c.values {
		if _, ok := s.values[name]; !ok {
			return true
		}
	}
	return false
}

// missing returns the names of the values that c lacks, in order.
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

// Applied records statements of a Plan that the connection has confirmed.
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
	c.told = c.told || inTransaction && len(list) > 0
}

// TransactionEnded records the end of a transaction. What it was told inside one that was
// not committed may be undone.
func (c *Connection) TransactionEnded(committed bool) {
	c.doubtful = c.doubtful || c.told && !committed
	c.told = false
}

// StatementMissing records that the connection does not know a prepared statement that it
// was believed to hold.
func (c *Connection) StatementMissing() { c.doubtful = true }
