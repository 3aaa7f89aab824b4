package dbgroup

import (
	"maps"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
)

// Run is a caller's statement that a server ran.
type Run struct {
	At time.Time
	// User is the name for which the session was opened.
	User string
	// ID is the caller's ID of the statement.
	ID string
	// Continues means that an earlier statement of the same transaction ran.
	Continues bool
	// Values are the session values with which it ran, Text the definition of the prepared
	// statement that it executed; empty if it was none.
	Values map[string]string
	Text   string
}

// Observe makes the group report the statements that its servers run from now on. f
// is called with the group's lock held.
func (g *Group) Observe(f func(Run)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe = f
}

// ran reports a statement, unless it is one of the proxy's own. text is the definition of
// a prepared statement. The caller holds the lock.
func (c *Session) ran(st statement.Statement, text string) {
	if st.ID == "" {
		return
	}
	continues := c.state == statement.Open && c.ranInTransaction
	c.ranInTransaction = c.state == statement.Open
	if c.s.g.observe != nil {
		c.s.g.observe(Run{
			At: time.Now(), User: c.user, ID: st.ID, Continues: continues,
			Values: maps.Clone(c.settings.values), Text: text,
		})
	}
}
