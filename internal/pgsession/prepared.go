package pgsession

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a prepared statement as the caller declared it.
type preparedStatement struct {
	query string
	oids  []uint32
	// sharedName is the statement's name at upstreams, a hash of its text and
	// its parameter types. Equal statements of all callers share one name.
	sharedName string
}

const (
	sharedPrefix    = "cs_"
	sharedHashBytes = 16
)

func newPreparedStatement(m *pgproto3.Parse) preparedStatement {
	h := sha256.New()
	h.Write([]byte(m.Query))
	for _, oid := range m.ParameterOIDs {
		h.Write(binary.BigEndian.AppendUint32([]byte{0}, oid))
	}
	return preparedStatement{
		query:      m.Query,
		oids:       m.ParameterOIDs,
		sharedName: sharedPrefix + hex.EncodeToString(h.Sum(nil)[:sharedHashBytes]),
	}
}

// preparedStatements holds a caller's statements by the caller's names; the
// unnamed statement has the empty name.
type preparedStatements map[string]preparedStatement

// Limits of the named statements of one caller.
const (
	maxNamed      = 1000
	maxNamedBytes = 4 << 20
)

// checkLimits refuses a batch whose named statements would exceed the limits.
func (p preparedStatements) checkLimits(messages []pgproto3.FrontendMessage) error {
	n, size := 0, 0
	for _, m := range messages {
		if parse, ok := m.(*pgproto3.Parse); ok && parse.Name != "" {
			n++
			size += len(parse.Query)
		}
	}
	if n == 0 {
		return nil
	}
	for _, s := range p {
		size += len(s.query)
	}
	if n+len(p) > maxNamed || size > maxNamedBytes {
		return refuseState("too many prepared statements")
	}
	return nil
}

// outgoing is a batch as it is sent on one upstream connection.
type outgoing struct {
	messages []pgproto3.FrontendMessage
	// awaited are the effects of each ParseComplete and CloseComplete, in order.
	awaited []completion
	// partial is set if the batch ends with a Flush, which has no response of
	// its own.
	partial bool
	// holdCompletions is set if the response is confirmed after execution: no
	// command is reported as completed before that.
	holdCompletions bool
}

// completion is the effect of a ParseComplete or CloseComplete on the records of prepared
// statements. Those of the caller's are changed as the batch is translated, because later
// messages of it refer to them; undo takes that back if the server did not run the message.
type completion struct {
	// injected is set if the proxy added the message; the caller receives no response.
	injected bool
	// parsed is the shared name that the connection gains, closed the one that it loses;
	// empty if none.
	parsed, closed string
	undo           func()
}

// apply records that the server completed the message.
func (c completion) apply(held *upstream.Statements) {
	if c.closed != "" {
		held.Remove(c.closed)
	}
	if c.parsed != "" {
		held.Add(c.parsed)
	}
}

// undoAll takes back the changes of messages that the server did not complete.
func undoAll(list []completion) {
	for _, c := range slices.Backward(list) {
		if c.undo != nil {
			c.undo()
		}
	}
}

// translate rewrites a batch for a connection that holds the statements in
// held. It replaces the caller's names by shared names and parses missing
// statements first.
func (p preparedStatements) translate(messages []pgproto3.FrontendMessage, partial bool, held *upstream.Statements) outgoing {
	t := translation{prepared: p, held: held, parsed: make(map[string]struct{})}
	t.out.messages = make([]pgproto3.FrontendMessage, 0, len(messages)+1)
	for _, m := range messages {
		t.add(m)
	}
	t.out.partial = partial
	if partial {
		t.send(&pgproto3.Flush{})
	} else {
		t.send(&pgproto3.Sync{})
	}
	return t.out
}

type translation struct {
	prepared preparedStatements
	held     *upstream.Statements
	parsed   map[string]struct{}
	out      outgoing
}

func (t *translation) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		s := newPreparedStatement(m)
		restore := t.restorer(m.Name)
		t.prepared[m.Name] = s
		t.parse(m.Name, s, completion{undo: restore})
	case *pgproto3.Bind:
		v := *m
		v.PreparedStatement = t.ensure(m.PreparedStatement)
		t.send(&v)
	case *pgproto3.Describe:
		v := *m
		if v.ObjectType == 'S' {
			v.Name = t.ensure(m.Name)
		}
		t.send(&v)
	case *pgproto3.Close:
		t.closeObject(m)
	default:
		t.send(m)
	}
}

func (t *translation) send(m pgproto3.FrontendMessage) {
	t.out.messages = append(t.out.messages, m)
}

// nameAtUpstream returns the name of s at an upstream; the unnamed statement
// stays unnamed.
func nameAtUpstream(callerName string, s preparedStatement) string {
	if callerName == "" {
		return ""
	}
	return s.sharedName
}

// restorer returns a function that restores the caller's statement of a name.
func (t *translation) restorer(callerName string) func() {
	before, ok := t.prepared[callerName]
	return func() {
		if ok {
			t.prepared[callerName] = before
		} else {
			delete(t.prepared, callerName)
		}
	}
}

// parse parses a statement; done is its completion.
func (t *translation) parse(callerName string, s preparedStatement, done completion) {
	n := nameAtUpstream(callerName, s)
	if n != "" {
		t.evictStatement()
		t.closeInjected(n, nil)
	}
	t.send(&pgproto3.Parse{Name: n, Query: s.query, ParameterOIDs: s.oids})
	done.parsed = n
	t.out.awaited = append(t.out.awaited, done)
	t.parsed[n] = struct{}{}
}

// evictStatement closes the least recently used statement of a connection that
// holds its maximum.
func (t *translation) evictStatement() {
	n, ok := t.held.EvictionCandidate()
	if !ok {
		return
	}
	t.held.Remove(n)
	t.closeInjected(n, func() { t.held.Add(n) })
}

// closeInjected closes a statement that may exist under a shared name. undo is called if
// the server does not.
func (t *translation) closeInjected(n string, undo func()) {
	t.send(&pgproto3.Close{ObjectType: 'S', Name: n})
	t.out.awaited = append(t.out.awaited, completion{injected: true, closed: n, undo: undo})
}

// ensure parses the statement if the connection lacks it, and returns its name
// there.
func (t *translation) ensure(callerName string) string {
	s, ok := t.prepared[callerName]
	if !ok {
		return callerName
	}
	n := nameAtUpstream(callerName, s)
	if _, ok := t.parsed[n]; ok {
		return n
	}
	if n != "" && t.held.Use(n) {
		return n
	}
	t.parse(callerName, s, completion{injected: true})
	return n
}

func (t *translation) closeObject(m *pgproto3.Close) {
	v := *m
	var done completion
	if s, ok := t.prepared[m.Name]; ok && m.ObjectType == 'S' {
		v.Name = nameAtUpstream(m.Name, s)
		restore, held := t.restorer(m.Name), t.held.Holds(v.Name)
		done = completion{closed: v.Name, undo: func() {
			restore()
			if held {
				t.held.Add(v.Name)
			}
		}}
		delete(t.prepared, m.Name)
		t.held.Remove(v.Name)
		delete(t.parsed, v.Name)
	}
	t.send(&v)
	t.out.awaited = append(t.out.awaited, done)
}

// text returns the SQL of the first statement of a batch.
func (p preparedStatements) text(messages []pgproto3.FrontendMessage) string {
	for _, m := range messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			return m.Query
		case *pgproto3.Bind:
			return p[m.PreparedStatement].query
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				return p[m.Name].query
			}
		}
	}
	return ""
}

// texts returns the SQL of every statement that a batch parses or binds.
func (p preparedStatements) texts(messages []pgproto3.FrontendMessage) []string {
	var list []string
	parsed := ""
	for _, m := range messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			list = append(list, m.Query)
			parsed = m.Name
		case *pgproto3.Bind:
			if len(list) == 0 || m.PreparedStatement != parsed {
				list = append(list, p[m.PreparedStatement].query)
			}
		}
	}
	return list
}

// closesOnly reports whether messages only close statements.
func closesOnly(messages []pgproto3.FrontendMessage) bool {
	for _, m := range messages {
		c, ok := m.(*pgproto3.Close)
		if !ok || c.ObjectType != 'S' {
			return false
		}
	}
	return true
}
