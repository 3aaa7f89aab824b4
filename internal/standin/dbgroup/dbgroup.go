// Package dbgroup emulates a group of database servers in memory for tests: one
// primary and its replicas, with logs, held replicas, promotions and sessions. A
// commit is acknowledged once one replica has received it.
package dbgroup

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// ErrNotRunning means that the server to promote is unknown or not running.
var ErrNotRunning = errors.New("dbgroup: server is not running")

// Durations in an emulated group.
const (
	// oneWayLatency is the network latency between two processes.
	oneWayLatency = 500 * time.Microsecond
	// receivePollInterval is how often a commit checks whether a replica has
	// received it.
	receivePollInterval = time.Millisecond
	// Lag is the default delay between receiving and applying a commit on a
	// replica; Server.SetLag changes it.
	Lag = 10 * time.Millisecond
)

// record is one commit in a log.
type record struct {
	at    tables.Position
	items map[string]string
}

// Group is a database group. It is safe for concurrent use.
type Group struct {
	// ID is the group's id.
	ID tables.GroupID
	// PromoteDelay is the delay until an accepted promotion takes effect.
	PromoteDelay time.Duration

	mu      sync.Mutex
	servers map[tables.UpstreamID]*Server
	term    tables.Term
	// acknowledged are the commits that were acknowledged to sessions.
	acknowledged []record
	lost         []record
	promotions   int
	ignoreHolds  bool
	// opened counts the sessions that servers accepted, and behind the statements to
	// which a server replied that it lacks their position.
	opened, behind int
	// observe receives the statements that servers run, if set.
	observe func(Run)
	// failureOf returns how a server fails a statement, if set.
	failureOf func(tables.UpstreamID, statement.Statement) Failure
	// rollbackUndoesSettings means that a rollback restores the session state as of the
	// begin of the transaction.
	rollbackUndoesSettings bool
}

// LimitSlots limits the statements that each server runs at the same time; the
// others wait for a slot in order of arrival.
func (g *Group) LimitSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.slots = make(chan struct{}, n)
	}
}

// LimitQueue limits the statements that wait for a slot of a server, which
// replies Busy to any more.
func (g *Group) LimitQueue(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.queueLimit = n
	}
}

// LimitConnections limits the sessions open on each server, over all callers.
func (g *Group) LimitConnections(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.connectionLimit = n
	}
}

// IgnoreHolds makes held replicas report that they are held and still receive
// commits.
func (g *Group) IgnoreHolds() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ignoreHolds = true
}

// Server is one database server.
type Server struct {
	g     *Group
	entry tables.Entry
	// statementTime is how long a read or write takes.
	statementTime time.Duration
	// lag is the delay until a replica applies a commit that it received.
	lag time.Duration

	up     bool
	silent bool
	leads  bool
	// receiveStopped stops the replica from receiving commits.
	receiveStopped bool
	// isolated cuts the server off from the other servers, but not from sessions.
	isolated bool
	// term is the term that the server leads or follows.
	term tables.Term
	// held is the term for which the replica is held: it receives no commits of
	// lower terms. 0 if it is not held.
	held tables.Term
	// log holds the commits received; the first applied ones are visible to reads.
	log     []record
	applied int
	// crashes counts crashes, so that sessions and waits notice one that happened
	// meanwhile.
	crashes int
	// slots holds one element per running statement; nil means no limit.
	slots chan struct{}
	// queued counts the statements that wait for or hold a slot. At most queueLimit
	// wait; 0 means no limit.
	queued, queueLimit int
	// sessions are the open sessions, at most connectionLimit; 0 means no limit.
	sessions        map[*Session]bool
	connectionLimit int
}

// New returns a group whose first server is the primary of term 1.
func New(id tables.GroupID, entries ...tables.Entry) *Group {
	g := &Group{ID: id, PromoteDelay: time.Second, servers: make(map[tables.UpstreamID]*Server), term: 1}
	for i, e := range entries {
		g.add(e).leads = i == 0
	}
	return g
}

func (g *Group) add(e tables.Entry) *Server {
	s := &Server{g: g, entry: e, statementTime: 4 * time.Millisecond, lag: Lag, up: true, term: g.term, sessions: make(map[*Session]bool)}
	g.servers[e.ID] = s
	return s
}

// Entry returns the entry that a server publishes about itself.
func (g *Group) Entry(id tables.UpstreamID) tables.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id].publishedEntry()
}

// Entries returns the entries that all servers publish.
func (g *Group) Entries() []tables.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []tables.Entry
	for _, id := range slices.Sorted(maps.Keys(g.servers)) {
		out = append(out, g.servers[id].publishedEntry())
	}
	return out
}

func (s *Server) publishedEntry() tables.Entry {
	e := s.entry
	e.ClaimsToLead = s.leads
	return e
}

// Change calls change for a server with the group's lock held.
func (g *Group) Change(id tables.UpstreamID, change func(s *Server)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.servers[id])
}

// Crash stops a server's process; its log is kept.
func (s *Server) Crash() {
	s.up, s.held = false, 0
	s.crashes++
}

// Held reports whether the replica is held.
func (s *Server) Held() bool { return s.held != 0 }

// Up reports whether the server's process runs.
func (s *Server) Up() bool { return s.up }

// Restart starts the server again, as a replica if another server was promoted.
func (s *Server) Restart() {
	s.up = true
	s.leads = s.leads && s.term == s.g.term
}

// ReturnAs starts a crashed server again under a new id, at its address and with its log.
func (g *Group) ReturnAs(id, newID tables.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	delete(g.servers, id)
	s.entry.ID = newID
	g.servers[newID] = s
	s.Restart()
}

// IDs returns the ids of the servers.
func (g *Group) IDs() []tables.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.servers))
}

// Depose makes the primary a replica, as DEMOTE does.
func (s *Server) Depose() { s.leads = false }

// SetSilent makes the server accept requests without replying.
func (s *Server) SetSilent(on bool) { s.silent = on }

// SetReceiveStopped stops a replica from receiving commits.
func (s *Server) SetReceiveStopped(on bool) { s.receiveStopped = on }

// SetIsolated cuts the server off from the other servers.
func (s *Server) SetIsolated(on bool) { s.isolated = on }

// SetLag sets the delay between receiving and applying a commit.
func (s *Server) SetLag(d time.Duration) { s.lag = d }

// SetStatementTime sets how long a read or write takes.
func (s *Server) SetStatementTime(d time.Duration) { s.statementTime = d }

// Primary returns the primary of the newest term; empty if there is none.
func (g *Group) Primary() tables.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, s := range g.servers {
		if s.leads && s.term == g.term {
			return id
		}
	}
	return ""
}

// Promotions returns how many promotions took effect.
func (g *Group) Promotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotions
}

// Lost returns the acknowledged commits that were missing from the log of a
// server when it was promoted.
func (g *Group) Lost() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for _, r := range g.lost {
		out = append(out, fmt.Sprint(r.at))
	}
	return out
}

// LostItems returns the values of the commits that Lost returns, by item.
func (g *Group) LostItems() []map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []map[string]string
	for _, r := range g.lost {
		out = append(out, r.items)
	}
	return out
}

// Opened returns how many sessions the servers accepted.
func (g *Group) Opened() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened
}

// Behind returns how many statements a server refused because it lacked their position.
func (g *Group) Behind() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.behind
}

// Acknowledged returns how many commits were acknowledged to sessions.
func (g *Group) Acknowledged() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.acknowledged)
}

// Written returns how often each "item value" was committed in the primary's log.
func (g *Group) Written() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	times := make(map[string]int)
	for _, s := range g.servers {
		if !s.leads || s.term != g.term {
			continue
		}
		for _, r := range s.log {
			for item, value := range r.items {
				times[item+" "+value]++
			}
		}
	}
	return times
}

// Promote makes a server the primary of the next term after the promotion delay.
func (g *Group) Promote(ctx context.Context, id tables.UpstreamID) error {
	time.Sleep(2 * oneWayLatency)
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.servers[id]
	if !ok || !s.up {
		return ErrNotRunning
	}
	if s.leads && s.term == g.term {
		return nil
	}
	time.AfterFunc(g.PromoteDelay, func() { g.becomePrimary(s) })
	return ctx.Err()
}

// becomePrimary makes s the primary of the next term. Servers that are up and
// not isolated follow it at once.
func (g *Group) becomePrimary(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.up {
		return
	}
	g.term++
	g.promotions++
	for _, r := range g.acknowledged {
		if !s.hasRecord(r.at) {
			g.lost = append(g.lost, r)
		}
	}
	s.leads, s.term, s.held, s.applied = true, g.term, 0, len(s.log)
	for _, o := range g.servers {
		if o != s && o.up && !o.isolated && !o.heldAbove(g.term) {
			o.follow(s)
		}
	}
}

// heldAbove reports whether s is held for a higher term. A promotion lifts holds of its own
// term and of lower ones only.
func (s *Server) heldAbove(term tables.Term) bool { return s.held > term && !s.g.ignoreHolds }

// follow makes s a replica of the primary p and truncates its log where it
// diverges from p's.
func (s *Server) follow(p *Server) {
	s.leads, s.term, s.held = false, p.term, 0
	n := 0
	for n < len(s.log) && n < len(p.log) && s.log[n].at == p.log[n].at {
		n++
	}
	s.log = s.log[:n]
	s.applied = min(s.applied, n)
}

func (s *Server) hasRecord(at tables.Position) bool {
	for i := len(s.log) - 1; i >= 0; i-- {
		if s.log[i].at == at {
			return true
		}
	}
	return false
}

// emptyLog is the position before the first commit.
var emptyLog = tables.Position{LogTerm: 1}

func (s *Server) received() tables.Position {
	if len(s.log) == 0 {
		return emptyLog
	}
	return s.log[len(s.log)-1].at
}

func (s *Server) appliedAt() tables.Position {
	if s.applied == 0 {
		return emptyLog
	}
	return s.log[s.applied-1].at
}

// read returns the item's applied value, or "-" if it has none.
func (s *Server) read(item string) string {
	for i := s.applied - 1; i >= 0; i-- {
		if v, ok := s.log[i].items[item]; ok {
			return v
		}
	}
	return "-"
}

// commit appends items to the primary's log and waits until a replica has
// received them. The caller holds the lock, which is released while waiting. It
// returns false if the server crashed, lost its role or cancelled returned true
// while waiting.
func (s *Server) commit(items map[string]string, cancelled func() bool) (tables.Position, bool) {
	g := s.g
	term, crashesAtStart := s.term, s.crashes
	at := tables.Position{LogTerm: term, Index: s.received().Index + 1}
	s.log = append(s.log, record{at: at, items: items})
	s.applied = len(s.log)
	for {
		g.replicate(s)
		if g.receivedByReplica(s, at) {
			return at, true
		}
		g.mu.Unlock()
		time.Sleep(receivePollInterval)
		g.mu.Lock()
		if !s.up || s.crashes != crashesAtStart || !s.leads || s.term != term || cancelled() {
			return at, false
		}
	}
}

// replicate copies p's log to its replicas. The caller holds the lock.
func (g *Group) replicate(p *Server) {
	if p.isolated {
		return
	}
	for _, s := range g.servers {
		if s == p || !s.up || s.receiveStopped || s.isolated || s.leads || s.heldAbove(p.term) || s.term > p.term {
			continue
		}
		if s.term < p.term {
			s.follow(p)
		}
		for len(s.log) < len(p.log) {
			s.log = append(s.log, p.log[len(s.log)])
			n, crashesAtStart := len(s.log), s.crashes
			time.AfterFunc(s.lag, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if s.crashes == crashesAtStart && !s.leads {
					s.applied = max(s.applied, min(n, len(s.log)))
				}
			})
		}
	}
}

func (g *Group) receivedByReplica(p *Server, at tables.Position) bool {
	for _, s := range g.servers {
		if s != p && s.hasRecord(at) {
			return true
		}
	}
	return false
}

// Item returns the newest acknowledged value of an item, or "-" if it has none.
func (g *Group) Item(item string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.acknowledged) - 1; i >= 0; i-- {
		if v, ok := g.acknowledged[i].items[item]; ok {
			return v
		}
	}
	return "-"
}

// splitWrite splits the arguments of a write, "item value".
func splitWrite(arguments string) (item, value string) {
	item, value, _ = strings.Cut(arguments, " ")
	return item, value
}
