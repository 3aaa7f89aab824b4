// Package pgsession holds the sessions of callers that speak PostgreSQL: it
// reads what a request declares and does to its connection, plans its way
// through package exec by what package route answers, waits until a write is
// safe and keeps the session's token. All waiting ends with the request's
// deadline.
package pgsession

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/systems/session"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
)

// Core is the process's decision core as the statement path sees it.
type Core interface {
	// Now returns the process's monotonic time.
	Now() tables.Time
	// Snapshot returns the newest routing snapshot.
	Snapshot() *route.Snapshot
	// Changed returns a channel that is closed when a newer snapshot is published.
	Changed() <-chan struct{}
	// Confirm asks for a new confirmed point of a group; calls at the same moment share one.
	Confirm(group tables.GroupID)
	// Acknowledge waits until a commit is decided or ctx ends.
	Acknowledge(ctx context.Context, group tables.GroupID, c ack.Commit) (ack.Outcome, error)
	// Report tells the core of an event without blocking.
	Report(ev event.Event)
	// Pool returns the connections to an upstream; ok is false if it is not configured.
	Pool(u tables.UpstreamID) (p *upstream.Pool, ok bool)
	// Gate returns the admission queue of an upstream; ok is false if it is not configured.
	Gate(u tables.UpstreamID) (g *gate.Limiter, ok bool)
	// Load returns how many statements run on an upstream now.
	Load() *Load
}

// Executor opens sessions. It implements callers.Executor.
type Executor struct {
	core      Core
	metrics   *metrics.Metrics
	directory atomic.Pointer[Directory]
	tally     *tally
	budgets   budgets
	// touched holds, by tables.GroupID, when the core was last told of a group's use.
	touched sync.Map
}

var _ callers.Executor = (*Executor)(nil)

// New returns an executor that knows no services until SetDocument.
func New(core Core, m *metrics.Metrics) *Executor {
	e := &Executor{core: core, metrics: m, tally: newTally(m)}
	e.SetDocument(config.Document{})
	return e
}

// SetDocument puts a configuration in force for requests that start now.
func (e *Executor) SetDocument(doc config.Document) {
	e.directory.Store(NewDirectory(doc))
}

// touchInterval is the time between two reports that a group is in use.
const touchInterval = time.Minute

// touch reports now and then that a group is in use, so that it stays watched.
func (e *Executor) touch(g tables.GroupID) {
	now := e.core.Now()
	if at, ok := e.touched.Load(g); ok && now.Sub(at.(tables.Time)) < touchInterval {
		return
	}
	e.touched.Store(g, now)
	e.core.Report(event.GroupUsed{Group: g})
}

// Configured implements callers.Executor.
func (e *Executor) Configured() bool { return len(e.directory.Load().places) > 0 }

// User implements callers.Executor.
func (e *Executor) User(name string) (config.User, bool) {
	u, ok := e.directory.Load().users[name]
	return u, ok
}

// Open implements callers.Executor.
func (e *Executor) Open(s callers.Startup) (callers.Session, error) {
	dir := e.directory.Load()
	place, ok := dir.find(s.Database)
	if !ok || !dir.allowed(s.User, place.service.Name) {
		return nil, codes.New(codes.UnknownService, codes.NotRun, 0, s.Database)
	}
	var t tags.Tags
	for name, value := range s.Parameters {
		if _, err := t.SetParameter(name, value); err != nil {
			return nil, err
		}
	}
	sess, err := session.FromTag(t.Session)
	if err != nil {
		return nil, err
	}
	first, err := startupSettings(s.Parameters)
	if err != nil {
		return nil, err
	}
	e.tally.caller(place.service.Name, 1)
	cs := &callerSession{
		exec:      e,
		service:   place.service.Name,
		database:  s.Database,
		tags:      t,
		firstTags: t,
		session:   sess,
		prepared:  make(prepared),
		status:    statement.Idle,
	}
	cs.settings.startWith(first)
	return cs, nil
}

// Directory finds services, databases and users by name.
type Directory struct {
	places map[string]place
	users  map[string]config.User
}

// place is one database of a service.
type place struct {
	service  config.Service
	database string
	group    tables.GroupID
}

// NewDirectory indexes doc.
func NewDirectory(doc config.Document) *Directory {
	d := &Directory{places: make(map[string]place), users: make(map[string]config.User)}
	for _, s := range doc.Services {
		for name, g := range s.Databases {
			p := place{service: s, database: name, group: g}
			d.places[string(s.Name)+"/"+name] = p
			if len(s.Databases) == 1 {
				d.places[string(s.Name)] = p
			}
		}
	}
	for _, u := range doc.Users {
		d.users[u.Name] = u
	}
	return d
}

func (d *Directory) find(database string) (place, bool) {
	p, ok := d.places[strings.TrimPrefix(database, "/")]
	return p, ok
}

func (d *Directory) allowed(user string, service tables.ServiceID) bool {
	u, ok := d.users[user]
	if !ok {
		return false
	}
	if len(u.Services) == 0 {
		return true
	}
	for _, s := range u.Services {
		if s == service {
			return true
		}
	}
	return false
}

// defaultDeadline bounds a request where neither caller nor service does.
const defaultDeadline = 30 * time.Second
