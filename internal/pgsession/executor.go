// Package pgsession implements the sessions of callers that speak the
// PostgreSQL protocol. It reads the tags that a request declares, inspects how
// the request changes its connection, runs it through package exec on the
// upstreams that package route chooses, waits until a write is acknowledged and
// keeps the session token. All waits end with the request's deadline.
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

// Core is the part of the proxy that sessions depend on: the clock, routing
// snapshots, commit acknowledgement and the upstreams' pools and limiters.
type Core interface {
	// Now returns the process's monotonic time.
	Now() tables.Time
	// Snapshot returns the newest routing snapshot.
	Snapshot() *route.Snapshot
	// Changed returns a channel that is closed when a newer snapshot is published.
	Changed() <-chan struct{}
	// Confirm requests a new freshness point of a group; concurrent calls share
	// one.
	Confirm(group tables.GroupID)
	// Acknowledge waits until the outcome of a commit is decided or ctx ends.
	Acknowledge(ctx context.Context, group tables.GroupID, c ack.Commit) (ack.Outcome, error)
	// Report sends an event to the core without blocking.
	Report(ev event.Event)
	// Pool returns the connections to an upstream; ok is false if it is not configured.
	Pool(u tables.UpstreamID) (p *upstream.Pool, ok bool)
	// Gate returns the admission queue of an upstream; ok is false if it is not configured.
	Gate(u tables.UpstreamID) (g *gate.Limiter, ok bool)
	// Load returns the counts of statements that run on each upstream.
	Load() *Load
}

// Executor opens sessions. It implements callers.Executor.
type Executor struct {
	core      Core
	metrics   *metrics.Metrics
	directory atomic.Pointer[Directory]
	tally     *tally
	budgets   budgets
	// lastUseReport holds, by tables.GroupID, when a group's use was last
	// reported to the core.
	lastUseReport sync.Map
}

var _ callers.Executor = (*Executor)(nil)

// New returns an executor without services; SetDocument adds them.
func New(core Core, m *metrics.Metrics) *Executor {
	e := &Executor{core: core, metrics: m, tally: newTally(m)}
	e.SetDocument(config.Document{})
	return e
}

// SetDocument puts a configuration in force for requests that start now.
func (e *Executor) SetDocument(doc config.Document) {
	e.directory.Store(NewDirectory(doc))
}

// useReportInterval is the shortest time between two reports that a group is in
// use.
const useReportInterval = time.Minute

// reportUse reports to the core that a group is in use, at most once per
// useReportInterval, so that the group stays watched.
func (e *Executor) reportUse(g tables.GroupID) {
	now := e.core.Now()
	if at, ok := e.lastUseReport.Load(g); ok && now.Sub(at.(tables.Time)) < useReportInterval {
		return
	}
	e.lastUseReport.Store(g, now)
	e.core.Report(event.GroupUsed{Group: g})
}

// Configured implements callers.Executor.
func (e *Executor) Configured() bool { return len(e.directory.Load().databases) > 0 }

// User implements callers.Executor.
func (e *Executor) User(name string) (config.User, bool) {
	u, ok := e.directory.Load().users[name]
	return u, ok
}

// Open implements callers.Executor.
func (e *Executor) Open(s callers.Startup) (callers.Session, error) {
	dir := e.directory.Load()
	db, ok := dir.find(s.Database)
	if !ok || !dir.allowed(s.User, db.service.Name) {
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
	e.tally.addCallers(db.service.Name, 1)
	cs := &callerSession{
		exec:        e,
		service:     db.service.Name,
		database:    s.Database,
		tags:        t,
		startupTags: t,
		session:     sess,
		prepared:    make(preparedStatements),
		status:      statement.Idle,
	}
	cs.settings.setStartup(first)
	return cs, nil
}

// Directory finds services, databases and users by name.
type Directory struct {
	databases map[string]serviceDatabase
	users     map[string]config.User
}

// serviceDatabase is one database of a service and the group that serves it.
type serviceDatabase struct {
	service  config.Service
	database string
	group    tables.GroupID
}

// NewDirectory indexes doc. A service with a single database is also found by
// the service's name alone.
func NewDirectory(doc config.Document) *Directory {
	d := &Directory{databases: make(map[string]serviceDatabase), users: make(map[string]config.User)}
	for _, s := range doc.Services {
		for name, g := range s.Databases {
			p := serviceDatabase{service: s, database: name, group: g}
			d.databases[string(s.Name)+"/"+name] = p
			if len(s.Databases) == 1 {
				d.databases[string(s.Name)] = p
			}
		}
	}
	for _, u := range doc.Users {
		d.users[u.Name] = u
	}
	return d
}

func (d *Directory) find(database string) (serviceDatabase, bool) {
	p, ok := d.databases[strings.TrimPrefix(database, "/")]
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

// defaultDeadline applies to requests for which neither the caller nor the
// service declares a deadline.
const defaultDeadline = 30 * time.Second
