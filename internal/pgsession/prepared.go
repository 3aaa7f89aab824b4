package pgsession

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/jackc/pgx/v5/pgproto3"
)

// declared is a prepared statement as the caller declared it.
type declared struct {
	query string
	oids  []uint32
	// shared is the name under which upstreams hold it. Equal statements of
	// all callers share one name.
	shared string
}

const (
	sharedPrefix    = "cs_"
	sharedHashBytes = 16
)

func newDeclared(m *pgproto3.Parse) declared {
	h := sha256.New()
	h.Write([]byte(m.Query))
	for _, oid := range m.ParameterOIDs {
		h.Write(binary.BigEndian.AppendUint32([]byte{0}, oid))
	}
	return declared{
		query:  m.Query,
		oids:   m.ParameterOIDs,
		shared: sharedPrefix + hex.EncodeToString(h.Sum(nil)[:sharedHashBytes]),
	}
}

// prepared are a caller's statements by the caller's names; the unnamed one has
// the empty name.
type prepared map[string]declared

// Bounds of the named statements of one caller.
const (
	maxNamed      = 1000
	maxNamedBytes = 4 << 20
)

// admits refuses a batch whose named statements would exceed the bounds.
func (p prepared) admits(messages []pgproto3.FrontendMessage) error {
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

// outgoing is a batch as it goes to one upstream connection.
type outgoing struct {
	messages []pgproto3.FrontendMessage
	// injected says, for each ParseComplete and CloseComplete in order, that the
	// caller did not ask for it.
	injected []bool
	// adds are the shared names that the connection holds after success.
	adds []string
	// closes are the shared names that the connection lacks after success.
	closes []string
	// partial says that the batch ends with a Flush, which has no answer of its own.
	partial bool
	// confirmed says that the answer is confirmed after it ran: no command is
	// reported as completed before.
	confirmed bool
}

// translate rewrites a batch for a connection that holds the statements in
// held: names become shared names, and statements that it lacks are parsed first.
func (p prepared) translate(messages []pgproto3.FrontendMessage, partial bool, held *upstream.Statements) outgoing {
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
	prepared prepared
	held     *upstream.Statements
	parsed   map[string]struct{}
	out      outgoing
}

func (t *translation) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		s := newDeclared(m)
		t.prepared[m.Name] = s
		t.parse(m.Name, s, false)
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

// name returns the name of s at an upstream; the unnamed statement stays unnamed.
func name(callerName string, s declared) string {
	if callerName == "" {
		return ""
	}
	return s.shared
}

func (t *translation) parse(callerName string, s declared, injected bool) {
	n := name(callerName, s)
	if n != "" {
		t.makeRoom()
		t.closeFirst(n)
		t.out.adds = append(t.out.adds, n)
	}
	t.send(&pgproto3.Parse{Name: n, Query: s.query, ParameterOIDs: s.oids})
	t.out.injected = append(t.out.injected, injected)
	t.parsed[n] = struct{}{}
}

// makeRoom closes the longest unused statement of a connection that holds its
// bound.
func (t *translation) makeRoom() {
	n, ok := t.held.Surplus()
	if !ok {
		return
	}
	t.held.Remove(n)
	t.closeFirst(n)
	t.out.closes = append(t.out.closes, n)
}

// closeFirst closes a statement that may stand under a shared name.
func (t *translation) closeFirst(n string) {
	t.send(&pgproto3.Close{ObjectType: 'S', Name: n})
	t.out.injected = append(t.out.injected, true)
}

// ensure makes the statement exist on the connection and returns its name there.
func (t *translation) ensure(callerName string) string {
	s, ok := t.prepared[callerName]
	if !ok {
		return callerName
	}
	n := name(callerName, s)
	if _, ok := t.parsed[n]; ok {
		return n
	}
	if n != "" && t.held.Use(n) {
		return n
	}
	t.parse(callerName, s, true)
	return n
}

func (t *translation) closeObject(m *pgproto3.Close) {
	v := *m
	if s, ok := t.prepared[m.Name]; ok && m.ObjectType == 'S' {
		v.Name = name(m.Name, s)
		delete(t.prepared, m.Name)
		t.held.Remove(v.Name)
		delete(t.parsed, v.Name)
	}
	t.send(&v)
	t.out.injected = append(t.out.injected, false)
}

// text returns the SQL that a batch is about: that of its first statement.
func (p prepared) text(messages []pgproto3.FrontendMessage) string {
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

// texts returns the SQL of every statement that a batch parses, describes or binds.
func (p prepared) texts(messages []pgproto3.FrontendMessage) []string {
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
