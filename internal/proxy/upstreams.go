package proxy

import (
	"context"
	"errors"
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/sockopt"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/jackc/pgx/v5/pgconn"
)

// poolDatabase is the database name that pooled connections log in to.
const poolDatabase = "cranberrystage"

// remote is one upstream as this process reaches it: a control client and a pool.
type remote struct {
	declared   config.Upstream
	queueLimit int
	control    *group.Client
	pool       *upstream.Pool
	gate       *gate.Limiter
}

// upstreams holds the remotes by name. It is safe for concurrent use.
type upstreams struct {
	settings    settings.Upstreams
	application string
	now         func() tables.Time

	mu sync.RWMutex
	// declared are all servers of the configuration in force.
	declared map[tables.UpstreamID]declaredUpstream
	// by are the remotes of the servers that were used since they were declared.
	by map[tables.UpstreamID]*remote
}

// declaredUpstream is a server as the configuration in force has it.
type declaredUpstream struct {
	upstream   config.Upstream
	queueLimit int
}

func newUpstreams(s settings.Upstreams, vm tables.VMID, dc tables.DataCentreID) *upstreams {
	return &upstreams{
		settings:    s,
		application: string(vm) + "@" + string(dc),
		by:          make(map[tables.UpstreamID]*remote),
	}
}

// apply makes the remotes match the document.
func (u *upstreams) apply(doc config.Document) {
	declared := make(map[tables.UpstreamID]declaredUpstream)
	limits := queueLimits(doc)
	for _, g := range doc.Groups {
		for _, d := range g.Upstreams {
			declared[d.ID] = declaredUpstream{upstream: d, queueLimit: limits[g.ID]}
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.declared = declared
	for id, r := range u.by {
		if d, ok := declared[id]; ok {
			u.ensure(d.upstream, d.queueLimit)
			continue
		}
		delete(u.by, id)
		r.close()
	}
}

// queueLimits returns how many requests may wait for an upstream of each group:
// as many as all services that use the group declare together.
func queueLimits(doc config.Document) map[tables.GroupID]int {
	limits := make(map[tables.GroupID]int)
	for _, s := range doc.Services {
		for _, g := range s.Databases {
			limits[g] += s.QueueLimit
		}
	}
	return limits
}

// ensure makes the remote of d exist at its address. A remote never changes
// once it is visible; a new one takes over the connections. The lock must be held.
func (u *upstreams) ensure(d config.Upstream, queueLimit int) {
	old := u.by[d.ID]
	if old != nil && old.declared.Address == d.Address {
		u.by[d.ID] = u.succeed(old, d, queueLimit)
		return
	}
	if old != nil {
		old.close()
	}
	target := upstream.Target{
		Upstream:    d.ID,
		Address:     d.Address,
		Database:    poolDatabase,
		User:        u.settings.Pool.User,
		Password:    u.settings.Pool.Password.Reveal(),
		Application: u.application,
	}
	r := &remote{
		declared:   d,
		queueLimit: queueLimit,
		gate:       gate.New(d.Slots, queueLimit, u.now),
		control:    u.newControl(d.Address),
		pool:       upstream.NewPool(target, upstream.Limits{Connections: 1, Slots: d.Slots}),
	}
	go r.pool.Run(context.Background()) // ends when the pool closes
	u.by[d.ID] = r
}

// succeed returns a remote with old's connections and d's limits.
func (u *upstreams) succeed(old *remote, d config.Upstream, queueLimit int) *remote {
	r := *old
	r.declared = d
	if r.queueLimit != queueLimit {
		r.queueLimit = queueLimit
		r.gate = gate.New(d.Slots, queueLimit, u.now)
	}
	r.gate.SetSlots(d.Slots)
	return &r
}

func (u *upstreams) newControl(address string) *group.Client {
	return group.NewClient(address, u.settings.Control.User, u.settings.Control.Password.Reveal(), u.application)
}

func (r *remote) close() {
	r.pool.Close()
	go r.control.Close()
}

// get returns the remote of a declared server; it is made at first use.
func (u *upstreams) get(id tables.UpstreamID) (*remote, bool) {
	u.mu.RLock()
	r, ok := u.by[id]
	u.mu.RUnlock()
	if ok {
		return r, true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	d, ok := u.declared[id]
	if !ok {
		return nil, false
	}
	if _, made := u.by[id]; !made {
		u.ensure(d.upstream, d.queueLimit)
	}
	return u.by[id], true
}

// limit sets the pool's share of an upstream's connections.
func (u *upstreams) limit(id tables.UpstreamID, connections int) {
	if r, ok := u.get(id); ok {
		r.pool.SetLimits(upstream.Limits{Connections: connections, Slots: r.declared.Slots})
	}
}

func (u *upstreams) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.declared = nil
	for id, r := range u.by {
		delete(u.by, id)
		r.close()
	}
}

// probe asks for a status over the lasting connection, or over a new one.
func (u *upstreams) probe(ctx context.Context, id tables.UpstreamID, fresh bool) (tables.Status, tables.Cause) {
	r, ok := u.get(id)
	if !ok {
		return tables.Status{}, tables.CauseRefused
	}
	client := r.control
	if fresh {
		client = u.newControl(r.declared.Address)
		defer client.Close()
	}
	st, err := client.Status(ctx)
	return st, causeOf(ctx, err)
}

// causeOf tells how a control call failed. A server that answers with an error,
// such as too many connections, has not failed.
func causeOf(ctx context.Context, err error) tables.Cause {
	if err == nil {
		return tables.CauseNone
	}
	if cause, ok := upstream.CauseOf(err); ok {
		return cause
	}
	var answered *pgconn.PgError
	if errors.As(err, &answered) {
		return tables.CauseBusy
	}
	if ctx.Err() != nil || sockopt.TimedOut(err) {
		return tables.CauseSilent
	}
	return tables.CauseReset
}
