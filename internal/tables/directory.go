package tables

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Entry is the record that a database server keeps about itself in the
// platform's store.
type Entry struct {
	// ID names the server; it stays the same when the server restarts.
	ID UpstreamID
	// Group is the database group it belongs to.
	Group GroupID
	// Address is its IP:port. Another server may use the same address later.
	Address string
	// DataCentre is where it runs.
	DataCentre DataCentreID
	// Slots is how many statements it runs at once, over all proxies.
	Slots int
	// Leaving means that it must receive no new work.
	Leaving bool
	// ClaimsToLead means that the server considers itself the primary.
	ClaimsToLead bool
	// StartedAt is the server's start time by its own clock, in Unix
	// milliseconds. It only distinguishes one run of the server from another.
	StartedAt int64
	// Sequence grows with each entry of one run of the server; 0 if unknown.
	Sequence uint64
	// WarmupLeft is how much longer the server stays slow after its start, as it
	// states itself. It is a hint: it may be missing or wrong.
	WarmupLeft time.Duration
}

// maxSlots is the greatest number of slots of a server that is plausible.
const maxSlots = 1 << 16

// Check returns an error if the entry names no server that can be used. Other writers may
// leave entries of their own among those of the servers.
func (e Entry) Check() error {
	address, err := netip.ParseAddrPort(e.Address)
	switch {
	case err != nil:
		return errors.Wrap(err, "invalid address")
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return errors.Errorf("no server can have the address %s", e.Address)
	case e.Slots < 1 || e.Slots > maxSlots:
		return errors.Errorf("%d slots", e.Slots)
	case e.ID == "" || e.Group == "":
		return errors.New("no id or group")
	}
	return nil
}

// Outdates reports whether e is a later entry than other of the same run of the
// server. An earlier one appears again when the store comes back from an older copy.
func (e Entry) Outdates(other Entry) bool {
	return e.StartedAt == other.StartedAt && other.Sequence != 0 && other.Sequence < e.Sequence
}

// Freshness is the set of commits that a read of a route must include.
type Freshness uint8

const (
	// FreshNewest requires every commit acknowledged before the read.
	FreshNewest Freshness = iota
	// FreshBounded requires the commits acknowledged longer ago than Route.MaxAge.
	FreshBounded
	// FreshSession requires the same as FreshBounded and every commit of the session.
	FreshSession
)

// String returns the label used in logs and metrics.
func (f Freshness) String() string {
	return [...]string{"newest", "bounded age", "own session"}[f]
}

// Route describes how requests for one database name are served.
type Route struct {
	// Name names the route.
	Name string
	// Database is the database name that callers connect to.
	Database string
	// Group serves it.
	Group GroupID
	// Freshness is the freshness that its reads require.
	Freshness Freshness
	// MaxAge is the staleness that reads accept; 0 means none.
	MaxAge time.Duration
	// StatementTimeout limits the duration of one statement.
	StatementTimeout time.Duration
	// TargetLatency is the response time within which an operation has its full
	// value to the caller.
	TargetLatency time.Duration
	// Priority orders routes; 0 is the highest priority.
	Priority int
	// Open means that callers need no key.
	Open bool
}

// TeamID names a team, a customer that shares the upstreams with others.
type TeamID string

// Team is one team of the configuration.
type Team struct {
	// ID names the team; upstreams are told this name.
	ID TeamID
	// Priority orders teams; 0 is the highest priority.
	Priority int
	// Rate is how many operations the team may start each second, over all
	// proxies; 0 means no limit.
	Rate float64
	// Burst is how many operations the team may start at once.
	Burst float64
}

// GroupLimits are the operator's limits of one group.
type GroupLimits struct {
	// Connections is how many connections each server accepts, over all proxies.
	Connections int
	// SyncReplicas is how many replicas receive a commit before it is acknowledged.
	SyncReplicas int
}

// Routing is the operator's configuration in the form that the proxy uses. It
// is immutable.
type Routing struct {
	// Version increases with every configuration.
	Version uint64
	// Routes is keyed by Route.Database.
	Routes map[string]Route
	// Groups are the configured groups.
	Groups map[GroupID]GroupLimits
	// IdleSessionTimeout is the idle timeout of a session; 0 means no timeout.
	IdleSessionTimeout time.Duration
	// IdleTransactionTimeout is the idle time after which a transaction may be
	// aborted.
	IdleTransactionTimeout time.Duration
	// StartupTimeout limits the wait for a caller's first message.
	StartupTimeout time.Duration
	// Problems are mistakes that did not keep the configuration from being used. They
	// contain no key.
	Problems []string `json:"-"`
	// Teams are the configured teams; nil if the deployment has no teams, and callers
	// then need no key.
	Teams map[TeamID]*Team
	// Keys holds the team of each key of a caller. Keys are secret: they must not be
	// logged or sent on.
	Keys map[string]*Team
}

// Authorize returns the team of a caller with the given key. team is nil for a caller
// of an open route whose key is unknown, and in a deployment without teams. ok is
// false if the caller may not use the route.
func (r *Routing) Authorize(route Route, key string) (team *Team, ok bool) {
	if r.Teams == nil {
		return nil, true
	}
	team, known := r.Keys[key]
	return team, known || route.Open
}

// RemovesKeys reports whether a key that an earlier configuration has is missing from
// r, or belongs to another team there.
func (r *Routing) RemovesKeys(earlier *Routing) bool {
	for key, team := range earlier.Keys {
		if now, ok := r.Keys[key]; !ok || now.ID != team.ID {
			return true
		}
	}
	return false
}
