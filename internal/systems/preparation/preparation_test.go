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
	state    statement.State
	// refuse, if set, returns with which code a statement is refused; refusedRun means
	// that it has its effect all the same.
	refuse     func(statement.Statement) statement.Code
	refusedRun bool
}

func (s *server) run(c *Connection, list ...statement.Statement) {
	c.Sent(list...)
	for _, st := range list {
		code := statement.OK
		if s.refuse != nil {
			code = s.refuse(st)
		}
		if code == statement.OK || s.refusedRun {
			s.apply(st)
		}
		c.Replied(statement.Reply{Code: code, State: s.state})
	}
}

func (s *server) apply(st statement.Statement) {
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
	case statement.Begin:
		s.state = statement.Open
	case statement.Commit, statement.Rollback:
		s.state = statement.Idle
	}
}

// begin opens a transaction and end ends it.
func (s *server) begin(c *Connection) { s.run(c, statement.Statement{Kind: statement.Begin}) }

func (s *server) end(c *Connection, how statement.Kind) { s.run(c, statement.Statement{Kind: how}) }

// refuseKind makes the server refuse statements of a kind.
func (s *server) refuseKind(k statement.Kind, code statement.Code) {
	s.refuse = func(st statement.Statement) statement.Code {
		if st.Kind != k {
			return statement.OK
		}
		return code
	}
}

func execute(name string) statement.Statement {
	return statement.Statement{Kind: statement.Execute, Name: name, Arguments: "1a4"}
}

// use prepares the connection for st of a session, as package relay does.
func use(s *server, c *Connection, sess *Session, st statement.Statement, inTransaction bool) statement.Statement {
	list, st := Plan(c, sess, st, inTransaction)
	s.run(c, list...)
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
	s.begin(c)
	sess.Set("role", "driver")
	use(s, c, &sess, statement.Statement{Kind: statement.Read}, true)
	s.end(c, statement.Rollback)
	s.values = nil // undone by the server
	use(s, c, &sess, statement.Statement{Kind: statement.Read}, false)
	assert.Equal(t, s.values["role"], "driver")
}

func TestCommittedTransactionKeepsState(t *testing.T) {
	var sess Session
	s, c := &server{}, &Connection{}
	s.begin(c)
	sess.Set("role", "driver")
	use(s, c, &sess, statement.Statement{Kind: statement.Read}, true)
	s.end(c, statement.Commit)
	list, _ := Plan(c, &sess, statement.Statement{Kind: statement.Read}, false)
	assert.Equal(t, len(list), 0)
}

func TestMissingStatementIsPreparedAgain(t *testing.T) {
	var sess Session
	sess.Prepare("a", Definition{Text: "q"})
	s, c := &server{}, &Connection{}
	s.run(c, use(s, c, &sess, execute("a"), false))
	s.prepared = nil
	s.refuseKind(statement.Execute, statement.NoStatement)
	s.run(c, execute("a"))
	s.refuse = nil
	st := use(s, c, &sess, execute("a"), false)
	assert.Equal(t, s.prepared[st.Name], Definition{Text: "q"})
}

func TestRefusedStatementsLeaveNoStateBehind(t *testing.T) {
	read := statement.Statement{Kind: statement.Read}
	for _, refused := range []statement.Kind{statement.Set, statement.Prepare, statement.Reset} {
		for name, code := range map[string]statement.Code{"busy": statement.Busy, "failed": statement.RunFailed, "ran and failed": statement.RunFailed} {
			for _, inTransaction := range []bool{false, true} {
				t.Run(fmt.Sprint(refused, " ", name, " ", inTransaction), func(t *testing.T) {
					var one, two Session
					one.Set("account", "a")
					one.Set("role", "r")
					one.Prepare("s1", Definition{Text: "q"})
					two.Set("role", "s")
					s, c := &server{refusedRun: name == "ran and failed"}, &Connection{}
					if inTransaction {
						s.begin(c)
					}
					s.refuseKind(refused, code)
					use(s, c, &one, execute("s1"), inTransaction)
					if inTransaction {
						s.end(c, statement.Rollback)
					}
					s.run(c, statement.Statement{Kind: statement.Reset})
					s.refuse = nil
					use(s, c, &two, read, false)
					assert.DeepEqual(t, s.values, map[string]string{"role": "s"})
					st := use(s, c, &one, execute("s1"), false)
					assert.DeepEqual(t, s.values, map[string]string{"account": "a", "role": "r"})
					assert.Equal(t, s.prepared[st.Name], Definition{Text: "q"})
				})
			}
		}
	}
}

// Until the reply to a statement that changes state arrives, the state is unknown.
func TestStateIsUnknownUntilReply(t *testing.T) {
	var one, two Session
	one.Set("account", "a")
	c := &Connection{}
	list, _ := Plan(c, &one, statement.Statement{Kind: statement.Read}, false)
	c.Sent(list...)
	assert.Assert(t, !c.Settled())
	list, _ = Plan(c, &two, statement.Statement{Kind: statement.Read}, false)
	assert.Equal(t, list[0].Kind, statement.Reset)
	c.Replied(statement.Reply{})
	assert.Assert(t, c.Settled())
	list, _ = Plan(c, &one, statement.Statement{Kind: statement.Read}, false)
	assert.Equal(t, len(list), 0)
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
