package fleet

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/holder"
	"github.com/cranberrystage/cranberrystage/internal/systems/idle"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Server returns a server of a group by its id, and whether it is leaving; ok is false if
// it is unknown or gone.
func (f *Fleet) Server(group tables.GroupID, id tables.UpstreamID) (u *Upstream, leaving, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok = f.upstreams[id]
	if !ok || u.entry.Group != group || f.isGone(u) {
		return nil, false, false
	}
	return u, u.leaving, true
}

// ConnectionShare returns how many of the connections of a group's server this proxy may
// use for one team; see holder.Share.
func (f *Fleet) ConnectionShare(group tables.GroupID) float64 {
	r := f.routing.Load()
	if r == nil {
		return holder.Share(0, 0, 0)
	}
	return holder.Share(r.Groups[group].Connections, f.Proxies(), len(r.Teams))
}

// Group returns the id of the server's group.
func (u *Upstream) Group() tables.GroupID { return u.entry.Group }

// Slots returns how many statements the server runs at the same time, as of its start.
func (u *Upstream) Slots() int { return u.entry.Slots }

// StartForwarded records that a statement for the server was sent to another proxy.
func (u *Upstream) StartForwarded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
}

// EndForwarded records the end of a statement of StartForwarded.
func (u *Upstream) EndForwarded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// RecordForwarded records the server's reply to a statement that another proxy ran and
// that needed the position after, and the time until the reply arrived here. It says
// nothing about this proxy's own path to the server, on which Unreachable and the checks
// of primaries rely.
func (u *Upstream) RecordForwarded(r statement.Reply, after tables.Position, took time.Duration) {
	u.mu.Lock()
	if r.Code == statement.OK {
		u.sampleLatency(took)
	}
	u.mu.Unlock()
	u.recordState(r, after, false)
}

// AvoidForwarded keeps reads away from the server for a time, after another proxy got no
// room there or, if lost, no reply.
func (u *Upstream) AvoidForwarded(lost bool) {
	if lost {
		u.avoidReads(failureAvoidTime)
		return
	}
	u.avoidReads(failureAvoidTime / 4)
}

// idleConnectionShare returns how many idle connections to u this proxy may
// keep: a fraction of one if there are more proxies than connections. The lock must be
// held.
func (f *Fleet) idleConnectionShare(u *Upstream) float64 {
	r := f.routing.Load()
	group := u.entry.Group
	if r == nil || r.Groups[group].Connections <= 0 {
		return 1
	}
	share := idle.Share(r.Groups[group].Connections, f.Proxies())
	if f.Holding == nil || !holder.Needed(f.ConnectionShare(group), u.Slots()) {
		return share
	}
	if len(r.Teams) > 0 {
		// Each proxy holds connections of about as many teams as the others do, so that
		// its part is the same as without holders.
		return share
	}
	near, holds := f.Holding(u.entry.ID)
	g, ok := f.groups[group]
	return idle.HolderShare(share, near, holds, ok && g.Primary == u.entry.ID)
}
