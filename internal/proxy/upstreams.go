package proxy

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
)

// poolDatabase is the database name that pooled connections log in to.
const poolDatabase = "cranberrystage"

// remote is one upstream as this process reaches it: a control client and a pool.
type remote struct {
	declared config.Upstream
	control  *group.Client
	pool     *upstream.Pool
}

// upstreams holds the remotes by name. It is safe for concurrent use.
type upstreams struct {
	settings    settings.Upstreams
	application string

	mu sync.RWMutex
	by map[tables.UpstreamID]*remote
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
	u.mu.Lock()
	defer u.mu.Unlock()
	seen := make(map[tables.UpstreamID]bool)
	for _, g := range doc.Groups {
		for _, d := range g.Upstreams {
			seen[d.ID] = true
			u.ensure(d)
		}
	}
	for id, r := range u.by {
		if !seen[id] {
			delete(u.by, id)
			r.close()
		}
	}
}

// ensure makes the remote of d exist at its address. The lock must be held.
func (u *upstreams) ensure(d config.Upstream) {
	old := u.by[d.ID]
	if old != nil && old.declared.Address == d.Address {
		old.declared = d
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
		declared: d,
		control:  u.newControl(d.Address),
		pool:     upstream.NewPool(target, upstream.Limits{Connections: 1, Slots: d.Slots}),
	}
	go r.pool.Run(context.Background()) // ends when the pool closes
	u.by[d.ID] = r
}

func (u *upstreams) newControl(address string) *group.Client {
	return group.NewClient(address, u.settings.Control.User, u.settings.Control.Password.Reveal(), u.application)
}

func (r *remote) close() {
	r.pool.Close()
	go r.control.Close()
}

func (u *upstreams) get(id tables.UpstreamID) (*remote, bool) {
	u.mu.RLock()
	defer u.mu.RUnlock()
	r, ok := u.by[id]
	return r, ok
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

// causeOf tells how a control call failed.
func causeOf(ctx context.Context, err error) tables.Cause {
	if err == nil {
		return tables.CauseNone
	}
	if cause, ok := upstream.CauseOf(err); ok {
		return cause
	}
	var netErr net.Error
	if ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout() {
		return tables.CauseSilent
	}
	return tables.CauseReset
}
