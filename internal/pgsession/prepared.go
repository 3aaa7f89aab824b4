package pgsession

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

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
	// injected says, for each ParseComplete and CloseComplete in order,
	// whether the proxy added the message that it responds to.
	injected []bool
	// adds are the shared names that the connection gains if the batch
	// succeeds.
	adds []string
	// closes are the shared names that the connection loses if the batch
	// succeeds.
	closes []string
	// partial is set if the batch ends with a Flush, which has no response of
	// its own.
	partial bool
	// holdCompletions is set if the response is confirmed after execution: no
	// command is reported as completed before that.
	holdCompletions bool
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

// nameAtUpstream returns the name of s at an upstream; the unnamed statement
// stays unnamed.
func nameAtUpstream(callerName string, s preparedStatement) string {
	if callerName == "" {
		return ""
	}
	return s.sharedName
}

func (t *translation) parse(callerName string, s preparedStatement, injected bool) {
	n := nameAtUpstream(callerName, s)
	if n != "" {
		t.evictStatement()
		t.closeBeforeParse(n)
		t.out.adds = append(t.out.adds, n)
	}
	t.send(&pgproto3.Parse{Name: n, Query: s.query, ParameterOIDs: s.oids})
	t.out.injected = append(t.out.injected, injected)
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
	t.closeBeforeParse(n)
	t.out.closes = append(t.out.closes, n)
}

// closeBeforeParse closes a statement that may already exist under a shared
// name.
func (t *translation) closeBeforeParse(n string) {
	t.send(&pgproto3.Close{ObjectType: 'S', Name: n})
	t.out.injected = append(t.out.injected, true)
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
	t.parse(callerName, s, true)
	return n
}

func (t *translation) closeObject(m *pgproto3.Close) {
	v := *m
	if s, ok := t.prepared[m.Name]; ok && m.ObjectType == 'S' {
		v.Name = nameAtUpstream(m.Name, s)
		delete(t.prepared, m.Name)
		t.held.Remove(v.Name)
		delete(t.parsed, v.Name)
	}
	t.send(&v)
	t.out.injected = append(t.out.injected, false)
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
