package preparation

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"gotest.tools/v3/assert"
)

// server simulates the server side of a connection: the state after statements.
type server struct {
	values   map[string]string
	prepared map[string]Definition
}

func (s *server) run(list []statement.Statement) {
	for _, st := range list {
		switch st.Kind {
		case statement.Reset:
			s.values, s.prepared = nil, nil
		case statement.Set:
			if s.values == nil {
				s.values = make(map[string]string)
			}
			s.values[st.Name] = st.Value
		case statement.Prepare:
			if s.prepared == nil {
				s.prepared = make(map[string]Definition)
			}
			s.prepared[st.Name] = Definition{Text: st.Value, Writes: st.Writes}
		}
	}
}

func execute(name string) statement.Statement {
	return statement.Statement{Kind: statement.Execute, Name: name, Arguments: "1a4"}
}

// use prepares the connection for st of a session, as package relay does.
func use(s *server, c *Connection, sess *Session, st statement.Statement, inTransaction bool) statement.Statement {
	list, st := Plan(c, sess, st, inTransaction)
	s.run(list)
	c.Applied(list, inTransaction)
	return st
}

func TestSessionsWithSameNamesAreIsolated(t *testing.T) {
	var one, two Session
	one.Prepare("s1", Definition{Text: "q1"})
	two.Prepare("s1", Definition{Text: "q2", Writes: true})
	one.Set("role", "shop")
	s, c := &server{}, &Connection{}
	for range 3 {
		st := use(s, c, &one, execute("s1"), false)
		assert.Equal(t, s.prepared[st.Name], Definition{Text: "q1"})
		assert.Equal(t, s.values["role"], "shop")
		st = use(s, c, &two, execute("s1"), false)
		assert.Equal(t, s.prepared[st.Name], Definition{Text: "q2", Writes: true})
		assert.Equal(t, len(s.values), 0, "a value of the other session remains")
	}
}

func TestSameStatementIsPreparedOnce(t *testing.T) {
	var one, two Session
	one.Prepare("a", Definition{Text: "q"})
	two.Prepare("b", Definition{Text: "q"})
	s, c := &server{}, &Connection{}
	use(s, c, &one, execute("a"), false)
	list, _ := Plan(c, &two, execute("b"), false)
	assert.Equal(t, len(list), 0)
}

// Guards against running a statement without its session values: the server may undo
// a value or prepared statement that was set in a transaction that rolled back, so
// the connection must be reset before its next use. A trial of the design had this
// fault: it violated the design's invariant PINNED.
func TestRolledBackTransactionResetsConnection(t *testing.T) {
	var sess Session
	s, c := &server{}, &Connection{}
	use(s, c, &sess, statement.Statement{Kind: statement.Read}, false)
	sess.Set("role", "driver")
	use(s, c, &sess, statement.Statement{Kind: statement.Read}, true)
	c.TransactionEnded(false)
	s.values = nil // undone by the server
	use(s, c, &sess, statement.Statement{Kind: statement.Read}, false)
	assert.Equal(t, s.values["role"], "driver")
}

func TestCommittedTransactionKeepsState(t *testing.T) {
	var sess Session
	s, c := &server{}, &Connection{}
	sess.Set("role", "driver")
	use(s, c, &sess, statement.Statement{Kind: statement.Read}, true)
	c.TransactionEnded(true)
	list, _ := Plan(c, &sess, statement.Statement{Kind: statement.Read}, false)
	assert.Equal(t, len(list), 0)
}

func TestMissingStatementIsPreparedAgain(t *testing.T) {
	var sess Session
	sess.Prepare("a", Definition{Text: "q"})
	s, c := &server{}, &Connection{}
	use(s, c, &sess, execute("a"), false)
	c.StatementMissing()
	s.prepared = nil
	st := use(s, c, &sess, execute("a"), false)
	assert.Equal(t, s.prepared[st.Name], Definition{Text: "q"})
}

func TestLimitsStateOfSessionsAndConnections(t *testing.T) {
	var sess Session
	for i := range MaxValues {
		assert.Assert(t, sess.Set(fmt.Sprint(i), "v"))
	}
	assert.Assert(t, !sess.Set("one more", "v"))
	assert.Assert(t, sess.Set("0", "again"))
	c := &Connection{}
	s := &server{}
	for i := range 10 * maxPreparedPerConnection {
		var each Session
		each.Prepare("a", Definition{Text: fmt.Sprint(i)})
		use(s, c, &each, execute("a"), false)
		assert.Assert(t, len(s.prepared) <= maxPreparedPerConnection)
	}
}

// Names on the server contain no blanks and are unique for each definition.
func TestServerNames(t *testing.T) {
	seen := make(map[string]Definition)
	for _, text := range []string{"q", "q 1", "q+1", "q%201", "q  1", "", "\t"} {
		for _, writes := range []bool{false, true} {
			definition := Definition{Text: text, Writes: writes}
			name := definition.serverName()
			assert.Assert(t, !strings.ContainsAny(name, " \t"), name)
			assert.Equal(t, seen[name], Definition{}, "%q is also the name of %+v", name, seen[name])
			seen[name] = definition
		}
	}
}
