// Package dbgroup is a stand-in of a group of database servers for tests: one
// primary and its replicas with logs, holds, promotions and sessions, in
// memory. A commit is acknowledged once one replica has received it.
package dbgroup

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// ErrNotRunning means that a promoted server is not there.
var ErrNotRunning = errors.New("dbgroup: server is not running")

// Times of a group.
const (
	// travel is the way between two servers, or a proxy and a server.
	travel = 500 * time.Microsecond
	// receivePause is how often a commit looks whether a replica has received it.
	receivePause = time.Millisecond
	// Lag is how much later a replica applies what it received, unless it is changed.
	Lag = 10 * time.Millisecond
)

// record is one commit in a log.
type record struct {
	at    tables.Position
	items map[string]string
}

// Group is a database group. It is safe for concurrent use.
type Group struct {
	// ID names the group.
	ID tables.GroupID
	// PromoteTakes is how long an order takes to take effect.
	PromoteTakes time.Duration

	mu      sync.Mutex
	servers map[tables.UpstreamID]*Server
	term    tables.Term
	// Acknowledged are the commits that callers' sessions were told of.
	acknowledged []record
	lost         []string
	promotions   int
	ignoreHolds  bool
}

// LimitSlots bounds what each server runs at the same time; the rest waits
// there in order of arrival.
func (g *Group) LimitSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.slots = make(chan struct{}, n)
	}
}

// LimitQueue bounds what waits for a slot of a server; it answers busy beyond that.
func (g *Group) LimitQueue(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.queueLimit = n
	}
}

// LimitConnections bounds the sessions that each server takes, over all callers.
func (g *Group) LimitConnections(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.connectionLimit = n
	}
}

// IgnoreHolds makes the servers say that they are held and receive all the same.
func (g *Group) IgnoreHolds() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ignoreHolds = true
}

// Server is one database server.
type Server struct {
	g     *Group
	entry tables.Entry
	// work is how long a read or write takes.
	work time.Duration
	// lag is how much later a replica applies what it received.
	lag time.Duration

	up     bool
	silent bool
	leads  bool
	// deaf says that it receives nothing.
	deaf bool
	// isolated says that it neither feeds nor follows others; sessions still reach it.
	isolated bool
	term     tables.Term
	held     tables.Term
	log      []record
	applied  int
	lives    int
	slots    chan struct{}
	// queued counts the statements that wait for a slot, at most queueLimit; 0 is no bound.
	queued, queueLimit int
	// sessions are those that stand, at most connectionLimit; 0 is no bound.
	sessions        map[*Session]bool
	connectionLimit int
}

// New returns a group whose first server leads term 1.
func New(id tables.GroupID, entries ...tables.Entry) *Group {
	g := &Group{ID: id, PromoteTakes: time.Second, servers: make(map[tables.UpstreamID]*Server), term: 1}
	for i, e := range entries {
		g.add(e).leads = i == 0
	}
	return g
}

func (g *Group) add(e tables.Entry) *Server {
	s := &Server{g: g, entry: e, work: 4 * time.Millisecond, lag: Lag, up: true, term: g.term, sessions: make(map[*Session]bool)}
	g.servers[e.ID] = s
	return s
}

// Entry returns what a server says of itself.
func (g *Group) Entry(id tables.UpstreamID) tables.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	e := s.entry
	e.ClaimsToLead = s.leads
	return e
}

// Change changes a server under the group's lock.
func (g *Group) Change(id tables.UpstreamID, change func(s *Server)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.servers[id])
}

// Crash ends a server's process; its log stays.
func (s *Server) Crash() {
	s.up, s.held = false, 0
	s.lives++
}

// Restart starts it again, as a replica if another server was promoted.
func (s *Server) Restart() {
	s.up = true
	s.leads = s.leads && s.term == s.g.term
}

// Depose makes a primary a replica, as DEMOTE does.
func (s *Server) Depose() { s.leads = false }

// SetSilent makes the server take bytes and answer nothing.
func (s *Server) SetSilent(on bool) { s.silent = on }

// SetDeaf makes a replica receive nothing.
func (s *Server) SetDeaf(on bool) { s.deaf = on }

// SetIsolated cuts the server off from the other servers.
func (s *Server) SetIsolated(on bool) { s.isolated = on }

// SetLag sets how much later it applies what it received.
func (s *Server) SetLag(d time.Duration) { s.lag = d }

// SetWork sets how long a read or write takes.
func (s *Server) SetWork(d time.Duration) { s.work = d }

// Primary returns the server that leads the newest term.
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

// Promotions returns how many orders took effect.
func (g *Group) Promotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotions
}

// Lost returns the acknowledged commits that a promoted server lacked.
func (g *Group) Lost() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.lost...)
}

// Acknowledged returns how many commits sessions were told of.
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

// Promote orders that a server leads the next term; it takes effect later.
func (g *Group) Promote(ctx context.Context, id tables.UpstreamID) error {
	time.Sleep(2 * travel)
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.servers[id]
	if !ok || !s.up {
		return ErrNotRunning
	}
	if s.leads && s.term == g.term {
		return nil
	}
	time.AfterFunc(g.PromoteTakes, func() { g.takeLead(s) })
	return ctx.Err()
}

func (g *Group) takeLead(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.up {
		return
	}
	g.term++
	g.promotions++
	for _, r := range g.acknowledged {
		if !s.has(r.at) {
			g.lost = append(g.lost, fmt.Sprint(r.at))
		}
	}
	s.leads, s.term, s.held, s.applied = true, g.term, 0, len(s.log)
	for _, o := range g.servers {
		if o != s && o.up && !o.isolated {
			o.follow(s)
		}
	}
}

// follow makes s a replica of the primary p; what p does not have is cut off.
func (s *Server) follow(p *Server) {
	s.leads, s.term, s.held = false, p.term, 0
	n := 0
	for n < len(s.log) && n < len(p.log) && s.log[n].at == p.log[n].at {
		n++
	}
	s.log = s.log[:n]
	s.applied = min(s.applied, n)
}

func (s *Server) has(at tables.Position) bool {
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

// read returns the item as applied.
func (s *Server) read(item string) string {
	for i := s.applied - 1; i >= 0; i-- {
		if v, ok := s.log[i].items[item]; ok {
			return v
		}
	}
	return "-"
}

// commit appends items to the primary's log and waits until a replica has
// received them. The lock must be held; it is released while waiting. It
// returns false if the server stopped leading or ended meanwhile.
func (s *Server) commit(items map[string]string, gone func() bool) (tables.Position, bool) {
	g := s.g
	term, life := s.term, s.lives
	at := tables.Position{LogTerm: term, Index: s.received().Index + 1}
	s.log = append(s.log, record{at: at, items: items})
	s.applied = len(s.log)
	for {
		g.feed(s)
		if g.receivedElsewhere(s, at) {
			return at, true
		}
		g.mu.Unlock()
		time.Sleep(receivePause)
		g.mu.Lock()
		if !s.up || s.lives != life || !s.leads || s.term != term || gone() {
			return at, false
		}
	}
}

// feed gives the replicas that follow p its log. The lock must be held.
func (g *Group) feed(p *Server) {
	if p.isolated {
		return
	}
	for _, s := range g.servers {
		if s == p || !s.up || s.deaf || s.isolated || s.leads || s.held > p.term && !g.ignoreHolds || s.term > p.term {
			continue
		}
		if s.term < p.term {
			s.follow(p)
		}
		for len(s.log) < len(p.log) {
			s.log = append(s.log, p.log[len(s.log)])
			n, life := len(s.log), s.lives
			time.AfterFunc(s.lag, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if s.lives == life && !s.leads {
					s.applied = max(s.applied, min(n, len(s.log)))
				}
			})
		}
	}
}

func (g *Group) receivedElsewhere(p *Server, at tables.Position) bool {
	for _, s := range g.servers {
		if s != p && s.has(at) {
			return true
		}
	}
	return false
}

// Item returns the newest acknowledged value of an item as of now.
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

func splitWrite(arguments string) (item, value string) {
	item, value, _ = strings.Cut(arguments, " ")
	return item, value
}
