package sessionlog

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/statement"
)

// Caller sets session values, prepares statements and runs reads that depend on them,
// alone and in transactions, in many short sessions. It is used by one goroutine.
type Caller struct {
	// Log receives what the caller expects.
	Log *Log
	// Name distinguishes the values of callers.
	Name string
	// NewID returns the ID of the next statement.
	NewID func() string
	// Do runs a statement; ok is false if no complete reply arrived.
	Do func(st statement.Statement) (r statement.Reply, ok bool)
	// Items are the items that it reads.
	Items []string
	// Rand draws the statements.
	Rand *rand.Rand

	values, texts map[string]string
	n             int
}

const (
	// names is the number of names of values, and of prepared statements, that callers
	// share, and texts the number of texts of prepared statements.
	names = 6
	texts = 50
	// maxStatements is the largest number of steps of a transaction, and meanOperations the
	// mean number of operations of a session.
	maxStatements  = 4
	meanOperations = 6
)

// NewSession makes the caller forget its state, after it opened a new session.
func (c *Caller) NewSession() { c.values, c.texts = make(map[string]string), make(map[string]string) }

// Operation runs one statement or one transaction. It returns false if the session is of
// no more use: its state is uncertain, it has ended, or the caller needs it no longer.
func (c *Caller) Operation() bool {
	if c.Rand.IntN(meanOperations) == 0 {
		return false
	}
	if c.Rand.IntN(2) == 0 {
		_, usable := c.step()
		return usable
	}
	if r, ok := c.run(statement.Statement{Kind: statement.Begin}, ""); !ok || r.Code != statement.OK {
		return ok
	}
	for range 1 + c.Rand.IntN(maxStatements) {
		done, usable := c.step()
		if !usable {
			return false
		}
		if !done {
			return c.end(statement.Rollback)
		}
	}
	if c.Rand.IntN(3) == 0 {
		return c.end(statement.Rollback)
	}
	return c.end(statement.Commit)
}

// end ends the open transaction.
func (c *Caller) end(how statement.Kind) bool {
	r, ok := c.run(statement.Statement{Kind: how}, "")
	return ok && r.State == statement.Idle
}

// step runs one statement, or changes the session and runs a statement that depends on it.
// done reports whether it succeeded; usable is false if the session's state is uncertain
// now, or the session has ended.
func (c *Caller) step() (done, usable bool) {
	name := fmt.Sprint("n", c.Rand.IntN(names))
	switch c.Rand.IntN(4) {
	case 0:
		return c.read()
	case 1:
		if usable = c.set(name); !usable {
			return false, false
		}
		return c.read()
	case 2:
		if usable = c.set(name); !usable {
			return false, false
		}
	}
	if _, ok := c.texts[name]; !ok || c.Rand.IntN(2) == 0 {
		if usable = c.prepare(name); !usable {
			return false, false
		}
	}
	r, usable := c.run(statement.Statement{Kind: statement.Execute, Name: name, Arguments: c.item()}, c.texts[name])
	return r.Code == statement.OK, usable
}

func (c *Caller) item() string { return c.Items[c.Rand.IntN(len(c.Items))] }

func (c *Caller) read() (done, usable bool) {
	r, usable := c.run(statement.Statement{Kind: statement.Read, Arguments: c.item()}, "")
	return r.Code == statement.OK, usable
}

// set sets a session value. It returns false if the session is of no more use.
func (c *Caller) set(name string) bool {
	c.n++
	value := fmt.Sprint(c.Name, c.n)
	r, ok := c.run(statement.Statement{Kind: statement.Set, Name: name, Value: value}, "")
	if ok = ok && r.Code == statement.OK; ok {
		c.values[name] = value
	}
	return ok
}

// prepare prepares a statement. It returns false if the session is of no more use.
func (c *Caller) prepare(name string) bool {
	// Callers share texts, so that connections already hold some of them.
	text := fmt.Sprint("shape", c.Rand.IntN(texts))
	r, ok := c.run(statement.Statement{Kind: statement.Prepare, Name: name, Value: text}, "")
	if ok = ok && r.Code == statement.OK; ok {
		c.texts[name] = text
	}
	return ok
}

// run runs a statement; text is that of the prepared statement that it executes.
func (c *Caller) run(st statement.Statement, text string) (statement.Reply, bool) {
	st.ID = c.NewID()
	if slices.Contains([]statement.Kind{statement.Read, statement.Execute, statement.Commit}, st.Kind) {
		c.Log.Expect(st.ID, State{Values: c.values, Text: text})
	}
	return c.Do(st)
}
