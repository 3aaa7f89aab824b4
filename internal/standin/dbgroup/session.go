package dbgroup

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

var (
	// errReset is returned when the session has ended.
	errReset = errors.Wrap(syscall.ECONNRESET, "dbgroup")
	// errRefused is returned when the server is not running.
	errRefused = errors.Wrap(syscall.ECONNREFUSED, "dbgroup")
)

// Session is one connection to a server. It implements the Link interface of the
// proxy's connections to upstreams.
type Session struct {
	s *Server
	// user is the name for which the session was opened.
	user           string
	crashesAtStart int
	queue          []statement.Statement
	deadline       time.Time
	closed         bool
	state          statement.State
	readOnly       bool
	// writes are the items that the open transaction writes.
	writes map[string]string
	// settings is the session state, settingsAtBegin that before the open transaction.
	settings, settingsAtBegin settings
	// ranInTransaction means that a statement ran in the open transaction.
	ranInTransaction bool
}

// Open opens a session on the server with the entry's id for user, a team or the
// proxy.
func (g *Group) Open(ctx context.Context, e tables.Entry, user string) (*Session, statement.Reply, error) {
	time.Sleep(2 * oneWayLatency)
	g.mu.Lock()
	s, ok := g.servers[e.ID]
	if !ok && g.runsAt(e.Address) {
		g.mu.Unlock()
		return nil, statement.Reply{Code: statement.Misrouted}, nil
	}
	up, silent := ok && s.up, ok && s.silent
	g.mu.Unlock()
	if !up {
		return nil, statement.Reply{}, errRefused
	}
	if silent {
		<-ctx.Done()
		return nil, statement.Reply{}, os.ErrDeadlineExceeded
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.full() {
		return nil, statement.Reply{Code: statement.TooMany}, nil
	}
	c := &Session{s: s, user: user, crashesAtStart: s.crashes}
	s.sessions[c] = true
	g.opened++
	return c, statement.Reply{Position: s.appliedAt()}, nil
}

// runsAt reports whether a server runs at an address. The caller holds the lock.
func (g *Group) runsAt(address string) bool {
	for _, s := range g.servers {
		if s.up && s.entry.Address == address {
			return true
		}
	}
	return false
}

// full reports whether the server has reached its connection limit. The caller
// holds the lock.
func (s *Server) full() bool {
	for c := range s.sessions {
		if c.broken() {
			delete(s.sessions, c)
		}
	}
	return s.connectionLimit > 0 && len(s.sessions) >= s.connectionLimit
}

// SetDeadline sets the deadline of the following replies.
func (c *Session) SetDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Send queues statements.
func (c *Session) Send(list ...statement.Statement) error {
	c.queue = append(c.queue, list...)
	return nil
}

// Alive reports whether the session is open.
func (c *Session) Alive() bool {
	c.s.g.mu.Lock()
	defer c.s.g.mu.Unlock()
	return !c.broken()
}

// Close closes the session and rolls back an open transaction.
func (c *Session) Close() error {
	c.s.g.mu.Lock()
	defer c.s.g.mu.Unlock()
	c.closed = true
	return nil
}

// broken reports whether the session has ended. The caller holds the lock.
func (c *Session) broken() bool { return c.closed || !c.s.up || c.s.crashes != c.crashesAtStart }

// Receive runs the oldest queued statement and returns its reply.
func (c *Session) Receive() (statement.Reply, error) {
	st := c.queue[0]
	c.queue = c.queue[1:]
	time.Sleep(oneWayLatency)
	g := c.s.g
	g.mu.Lock()
	if c.broken() {
		g.mu.Unlock()
		return statement.Reply{}, errReset
	}
	if c.s.silent {
		g.mu.Unlock()
		return c.waitForDeadline()
	}
	if statementTime := c.durationOf(st); statementTime > 0 && !c.s.isBehind(st.After) {
		if c.s.queueLimit > 0 && c.s.queued >= c.s.queueLimit+cap(c.s.slots) {
			state := c.state
			g.mu.Unlock()
			time.Sleep(oneWayLatency)
			return statement.Reply{Code: statement.Busy, State: state}, nil
		}
		slots := c.s.slots
		c.s.queued++
		g.mu.Unlock()
		occupy(slots, statementTime)
		g.mu.Lock()
		c.s.queued--
	}
	r, ok := c.run(st)
	late := !c.deadline.IsZero() && time.Now().After(c.deadline)
	ok = ok && !c.broken()
	g.mu.Unlock()
	time.Sleep(oneWayLatency)
	if late {
		return statement.Reply{}, os.ErrDeadlineExceeded
	}
	if !ok {
		return statement.Reply{}, errReset
	}
	return r, nil
}

// occupy holds a slot for the duration of a statement. If slots is nil it only
// waits for that duration.
func occupy(slots chan struct{}, statementTime time.Duration) {
	if slots != nil {
		slots <- struct{}{}
		defer func() { <-slots }()
	}
	time.Sleep(statementTime)
}

func (c *Session) waitForDeadline() (statement.Reply, error) {
	if c.deadline.IsZero() {
		return statement.Reply{}, errReset
	}
	time.Sleep(time.Until(c.deadline))
	return statement.Reply{}, os.ErrDeadlineExceeded
}

func (c *Session) durationOf(st statement.Statement) time.Duration {
	switch st.Kind {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return c.s.statementTime
	default:
		return 0
	}
}

// run executes a statement; false means that its reply is lost. The caller holds
// the lock, which is released while a commit waits.
func (c *Session) run(st statement.Statement) (statement.Reply, bool) {
	s := c.s
	if c.broken() {
		return statement.Reply{}, false
	}
	r := statement.Reply{State: c.state, Position: s.appliedAt()}
	if s.isBehind(st.After) {
		r.Code = statement.Behind
		s.g.behind++
		return r, true
	}
	if c.state == statement.Failed && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		r.Code = statement.Bad
		return r, true
	}
	if f := s.g.failure(s.entry.ID, st); f.Code != statement.OK {
		return c.fail(st, f, r), true
	}
	switch st.Kind {
	case statement.Reset, statement.Set, statement.Prepare:
		c.settings.apply(st)
	case statement.Begin, statement.BeginRead:
		return c.begin(st, r), true
	case statement.Rollback:
		c.rollback()
	case statement.Commit:
		return c.commit(st, r)
	case statement.Read:
		return c.read(st, "", r), true
	case statement.Write:
		return c.write(st, "", r)
	case statement.Execute:
		return c.execute(st, r)
	default:
		return c.control(st, r), true
	}
	r.State = c.state
	return r, true
}

// isBehind reports whether the server has not applied a position yet. The reply
// Behind takes no slot.
func (s *Server) isBehind(after tables.Position) bool {
	return after != (tables.Position{}) && !s.appliedAt().AtLeast(after)
}

func (c *Session) begin(st statement.Statement, r statement.Reply) statement.Reply {
	if st.Kind == statement.Begin && !c.s.leads {
		r.Code = statement.ReadOnly
		return r
	}
	c.state, c.readOnly, c.writes = statement.Open, st.Kind == statement.BeginRead, nil
	c.ranInTransaction = false
	c.settingsAtBegin = c.settings.clone()
	r.State = c.state
	return r
}

// rollback ends the open transaction without its effects.
func (c *Session) rollback() {
	if c.state != statement.Idle && c.s.g.rollbackUndoesSettings {
		c.settings = c.settingsAtBegin
	}
	c.state, c.writes = statement.Idle, nil
}

// read runs a read; text is its definition if it was prepared.
func (c *Session) read(st statement.Statement, text string, r statement.Reply) statement.Reply {
	c.ran(st, text)
	r.Rows, r.Proof = []string{c.s.read(st.Arguments)}, string(c.s.entry.ID)
	return r
}

func (c *Session) execute(st statement.Statement, r statement.Reply) (statement.Reply, bool) {
	p, ok := c.settings.prepared[st.Name]
	if !ok {
		r.Code = statement.NoStatement
		return r, true
	}
	if p.Writes {
		return c.write(st, p.Value, r)
	}
	return c.read(st, p.Value, r), true
}

// write runs a write; text is its definition if it was prepared.
func (c *Session) write(st statement.Statement, text string, r statement.Reply) (statement.Reply, bool) {
	if !c.s.leads {
		r.Code = statement.ReadOnly
		if c.state == statement.Open {
			c.state = statement.Failed
		}
		r.State = c.state
		return r, true
	}
	c.ran(st, text)
	item, value := splitWrite(st.Arguments)
	if c.state == statement.Open {
		if c.writes == nil {
			c.writes = make(map[string]string)
		}
		c.writes[item] = value
		r.Proof = string(c.s.entry.ID)
		return r, true
	}
	return c.commitWrites(map[string]string{item: value}, r)
}

func (c *Session) commit(st statement.Statement, r statement.Reply) (statement.Reply, bool) {
	if c.state == statement.Failed {
		c.rollback()
		r.Code, r.State = statement.Aborted, c.state
		return r, true
	}
	c.ran(st, "")
	writes := c.writes
	c.state, c.writes = statement.Idle, nil
	r.State = c.state
	r.Proof = string(c.s.entry.ID)
	if len(writes) == 0 {
		return r, true
	}
	if !c.s.leads {
		r.Code = statement.ReadOnly
		return r, true
	}
	return c.commitWrites(writes, r)
}

// commitWrites commits items and records the acknowledgement if the reply
// arrives before the deadline.
func (c *Session) commitWrites(items map[string]string, r statement.Reply) (statement.Reply, bool) {
	at, ok := c.s.commit(items, func() bool {
		return c.broken() || !c.deadline.IsZero() && time.Now().After(c.deadline)
	})
	if !ok || c.broken() {
		return r, false
	}
	if c.deadline.IsZero() || time.Now().Add(oneWayLatency).Before(c.deadline) {
		c.s.g.acknowledged = append(c.s.g.acknowledged, record{at: at, items: items})
	}
	r.Proof, r.Position = string(c.s.entry.ID), c.s.appliedAt()
	return r, true
}

// control runs the statements that inspect or change the server's state.
func (c *Session) control(st statement.Statement, r statement.Reply) statement.Reply {
	s := c.s
	switch st.Kind {
	case statement.Hold:
		if !s.leads && st.Term > s.g.term {
			s.held = max(s.held, st.Term)
		}
	case statement.Resume:
		s.held = 0
	case statement.Demote:
		if s.leads && st.Term > s.term {
			// Commits that the new primary lacks are truncated once this server
			// follows it.
			s.leads = false
		}
	case statement.Status:
	default:
		r.Code = statement.Bad
		return r
	}
	r.Status = &statement.ServerStatus{Leads: s.leads, Term: s.term, Received: s.received(), Held: s.held}
	return r
}
