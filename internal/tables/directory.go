package tables

import "time"

// Entry is what a database server says of itself in the platform's store.
type Entry struct {
	// ID names the server; a server may start again under its name.
	ID UpstreamID
	// Group is the database group it belongs to.
	Group GroupID
	// Address is its IP:port. Another server may use it later.
	Address string
	// DataCentre is where it runs.
	DataCentre DataCentreID
	// Slots is how many statements it runs at once, over all proxies.
	Slots int
	// Leaving says that it must receive no new work.
	Leaving bool
	// ClaimsToLead says that it takes itself for the primary.
	ClaimsToLead bool
	// StartedAt is its own time of its start, in Unix milliseconds; it only
	// tells one lifetime from the next.
	StartedAt int64
}

// Freshness says what a read of a route must have seen.
type Freshness uint8

const (
	// FreshNewest needs every commit that was acknowledged before the read.
	FreshNewest Freshness = iota
	// FreshBounded needs the commits acknowledged longer ago than the route's age.
	FreshBounded
	// FreshSession needs those and every commit of the same session.
	FreshSession
)

// String returns the label used in logs and metrics.
func (f Freshness) String() string {
	return [...]string{"newest", "bounded age", "own session"}[f]
}

// Route says how a database that callers ask for is served.
type Route struct {
	// Name names the route.
	Name string
	// Database is the name that callers ask for.
	Database string
	// Group serves it.
	Group GroupID
	// Freshness is what its reads must have seen.
	Freshness Freshness
	// MaxAge is the age that reads accept; 0 means none.
	MaxAge time.Duration
	// StatementTimeout bounds one statement.
	StatementTimeout time.Duration
	// TargetLatency is the time within which an operation earns its full worth.
	TargetLatency time.Duration
	// Priority orders routes; 0 goes first.
	Priority int
}

// GroupLimits are the operator's limits of one group.
type GroupLimits struct {
	// Connections is how many connections each server accepts, over all proxies.
	Connections int
	// SyncReplicas is how many replicas receive a commit before it is acknowledged.
	SyncReplicas int
}

// Routing is the operator's configuration as the proxy uses it. It never
// changes once built.
type Routing struct {
	// Version grows with every configuration.
	Version uint64
	// Routes are by Database.
	Routes map[string]Route
	// Groups are the configured groups.
	Groups map[GroupID]GroupLimits
	// IdleSessionTimeout is how long a session may rest; 0 means forever.
	IdleSessionTimeout time.Duration
	// IdleTransactionTimeout is how long a transaction may rest before it may be ended.
	IdleTransactionTimeout time.Duration
	// StartupTimeout bounds the wait for a caller's first message.
	StartupTimeout time.Duration
}
