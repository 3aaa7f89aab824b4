// Package fleet holds a proxy's view of the users' platform: the operator's
// configuration, the database servers and their health, and the primary of each
// group. It follows the platform's metadata store, lets the pure packages under
// systems decide, and carries out replacements of primaries.
package fleet

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/systems/pace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"golang.org/x/sync/singleflight"
)

// Promoter sends the platform the order to promote a server to primary of its
// group.
type Promoter interface {
	// Promote returns nil if the order was accepted, Codec.NotRunning if the
	// server is not running, or an error of package platform.
	Promote(ctx context.Context, o Order) error
}

// Order is the order to promote a server.
type Order struct {
	// Token is the fencing token of the coordinator lease.
	Token    uint64
	Group    tables.GroupID
	Upstream tables.UpstreamID
	// MayWrite reports whether the coordinator lease still lasts. The promoter calls it
	// immediately before it writes the order.
	MayWrite func() bool
}

// Peers queries the other proxies.
type Peers interface {
	// Query returns the cached state of a group at one of them; ok is false if none
	// replies in time.
	Query(ctx context.Context, id tables.GroupID) (report freshness.Report, ok bool)
	// QueryReader returns the cached state of groups at the designated reader, the
	// proxy that queries primaries for this proxy's data centre. It returns
	// nothing if this proxy is the reader.
	QueryReader(ctx context.Context, groups []tables.GroupID) map[tables.GroupID]freshness.Report
}

// Codec decodes the platform's documents.
type Codec struct {
	// ConfigTable and ConfigKey locate the operator's configuration.
	ConfigTable, ConfigKey string
	// Config decodes the configuration.
	Config func([]byte) (*tables.Routing, error)
	// EntryTable is the table of server entries.
	EntryTable string
	// Entry decodes the entry of a server.
	Entry func(id string, value []byte) (tables.Entry, error)
	// NotRunning is the Promoter's error for a server that is not running.
	NotRunning error
}

// Options holds the dependencies and settings of a Fleet.
type Options struct {
	VM         tables.VMID
	DataCentre tables.DataCentreID
	Store      platform.Metadata
	Promoter   Promoter
	Codec      Codec
	Open       links.Open
	Peers      Peers
	// Proxies returns the number of proxies that share the servers.
	Proxies func() int
	// Holding returns the number of proxies of this data centre, and whether this one
	// holds their connections to a server; see package holder. nil means that reads are
	// not forwarded.
	Holding func(server tables.UpstreamID) (near int, holds bool)
	// SeveralRegions says that the deployment has several regions. Reads of the store
	// then pass readers, which bound their number also while the store is slow.
	SeveralRegions bool
	Now            func() tables.Time
	Log            *slog.Logger
	Metrics        *metrics.Metrics
	// DrainLimit is how long a server may still get new work after it announced
	// that it is leaving.
	DrainLimit time.Duration
}

// Fleet is safe for concurrent use.
type Fleet struct {
	Options
	log     *slog.Logger
	routing atomic.Pointer[tables.Routing]
	lookups singleflight.Group
	// batchDelay is, by table, the pause after a change that lets further changes
	// accumulate for the next call.
	batchDelay map[string]time.Duration
	// ready is closed once callers can be served.
	ready chan struct{}

	mu        sync.Mutex
	upstreams map[tables.UpstreamID]*Upstream
	// ended holds the last entries of servers that were removed: the store may come
	// back from a copy that still has them.
	ended  map[tables.UpstreamID]endedServer
	groups map[tables.GroupID]*group
	// entriesReadAt is when the table of entries was first read; 0 before.
	entriesReadAt tables.Time
	// storeLostAt is when the store stopped responding; 0 while it responds.
	storeLostAt tables.Time
	// storeRegainedAt is when the store last responded again after a loss.
	storeRegainedAt tables.Time
	// outageEndedAt is when the last outage of the store ended.
	outageEndedAt tables.Time
	// entryReturnedAt is when a missing entry of a server last reappeared.
	entryReturnedAt tables.Time
	// noEvidenceAt is when a search for lease evidence last failed; 0 once a replica has
	// given some again.
	noEvidenceAt tables.Time
	era          storeEra
	coordinator  coordinatorLease
}

// group is one database group.
type group struct {
	id tables.GroupID
	freshness.Leadership
	// record is the store's record of the primary; the zero version means none.
	record  tables.PrimaryRecord
	version tables.Version
	// restored are the rows of earlier eras.
	restored restoredRows
	// confirmation is the state of confirming the group in a new era.
	confirmation confirmation
	// term is the primary's term; 0 until the primary was queried.
	term tables.Term
	// storeEvidenceAt is the moment of the newest lease evidence from the store.
	storeEvidenceAt tables.Time
	// usedAt is when a statement last needed the group, at this proxy or at one
	// that requests freshness points from it.
	usedAt tables.Time
	// pointRequestedAt is when the newest freshness point was last requested.
	pointRequestedAt tables.Time
	// nextCoveringAt is the earliest time of the next query for a covering point.
	nextCoveringAt tables.Time
	// attemptRunning says that this proxy is replacing the primary or recording a
	// new one.
	attemptRunning bool
	// nextReplaceAt is the earliest time of the next replacement, and failedAttempts
	// how many have failed in a row because a replica did not answer.
	nextReplaceAt  tables.Time
	failedAttempts int
	// leaderChanged is closed when the primary changes.
	leaderChanged chan struct{}
	// lastPrimary is the last primary that this proxy knew.
	lastPrimary tables.UpstreamID
	// promoteTook is the time from the last promotion order until its server led.
	promoteTook time.Duration
	// members are the servers whose logs a replacement needs, as recorded in the
	// store.
	members        []tables.UpstreamID
	membersVersion tables.Version
	// addresses are the addresses of members and other servers, also of those that ended.
	addresses map[tables.UpstreamID]string
	// updatingMembers says that this proxy is updating the list of members.
	updatingMembers bool
	// nextMembersUpdateAt is the earliest time of the next update of the list.
	nextMembersUpdateAt tables.Time
	// unlisted are servers that were removed without an entry although their processes may
	// run, with the time of their removal.
	unlisted map[tables.UpstreamID]tables.Time
	// nextUnlistedCheckAt is the earliest time of the next query of its servers without an
	// entry, unlistedCheckFrom that of one that nobody waits for.
	nextUnlistedCheckAt, unlistedCheckFrom tables.Time
	// announcedAt is when this proxy saw the announcement of the replacement
	// under way.
	announcedAt tables.Time
	leaderless  leaderless
	// unheldRecord is the version of the record for which this proxy found no replica
	// held, nextHoldCheckAt the earliest time of the next check.
	unheldRecord    tables.Version
	nextHoldCheckAt tables.Time
}

// New returns a fleet without configuration, servers or groups; Run fills it.
func New(o Options) *Fleet {
	return &Fleet{
		Options:    o,
		log:        logging.For(o.Log, "fleet"),
		batchDelay: map[string]time.Duration{o.Codec.EntryTable: entryBatchDelay, RecordTable: recordBatchDelay},
		ready:      make(chan struct{}),
		upstreams:  make(map[tables.UpstreamID]*Upstream),
		ended:      make(map[tables.UpstreamID]endedServer),
		groups:     make(map[tables.GroupID]*group),
	}
}

// Routing returns the configuration in force, or nil before the first one.
func (f *Fleet) Routing() *tables.Routing { return f.routing.Load() }

// SetDrainLimit changes Options.DrainLimit.
func (f *Fleet) SetDrainLimit(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.DrainLimit = d
}

// Ready reports whether callers can be served: a configuration is in force and
// the table of server entries was read.
func (f *Fleet) Ready() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// AwaitReady waits for at most timeout until Ready and reports whether it is.
func (f *Fleet) AwaitReady(ctx context.Context, timeout time.Duration) bool {
	if f.Ready() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-f.ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// signalReady ends the waits for Ready once its conditions hold. The lock must
// be held.
func (f *Fleet) signalReady() {
	if f.routing.Load() != nil && f.entriesReadAt != 0 && !f.Ready() {
		close(f.ready)
	}
}

// isolationDelay is how long the store must have been unreachable, directly and
// through peers, before a proxy counts as isolated.
const isolationDelay = 400 * time.Millisecond

// Isolated reports whether this proxy is isolated: it has lost the store,
// directly and through peers, and since then either found no evidence of who
// leads a group or reaches fewer than half of the primaries. Callers are better
// served by another proxy.
func (f *Fleet) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := f.storeLostAt
	if lost == 0 || f.Now().Sub(lost) <= isolationDelay {
		return false
	}
	return f.noEvidenceAt > lost || f.reachesFewPrimaries()
}

// reachesFewPrimaries reports whether more than half of the primaries are
// unreachable from this proxy. The lock must be held.
func (f *Fleet) reachesFewPrimaries() bool {
	total, unreachable := 0, 0
	for _, g := range f.groups {
		u, ok := f.upstreams[g.Primary]
		if !ok {
			continue
		}
		total++
		if u.Unreachable() {
			unreachable++
		}
	}
	return 2*unreachable > total
}

// Run follows the store and checks the primaries until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){f.watchConfig, f.watchEntries, f.watchRecords, f.watchPrimaries} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(ctx)
		}()
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.pool.Close()
	}
}

func (f *Fleet) group(id tables.GroupID) *group {
	g, ok := f.groups[id]
	if !ok {
		g = &group{id: id, leaderChanged: make(chan struct{}), addresses: make(map[tables.UpstreamID]string), unlisted: make(map[tables.UpstreamID]tables.Time)}
		f.groups[id] = g
	}
	return g
}

// connectionLimit returns how many of a server's connections this proxy may
// open. The other proxies need some too, and a full server refuses further ones
// with a code of its own.
func connectionLimit(limits tables.GroupLimits, slots int) int {
	if limits.Connections <= 0 {
		return 2 * slots
	}
	return max(2, min(limits.Connections/2, 3*slots))
}

// gateQueueLimit is how many statements may wait for one server.
const gateQueueLimit = 256

func (f *Fleet) newUpstream(e tables.Entry) *Upstream {
	limits := tables.GroupLimits{}
	if r := f.routing.Load(); r != nil {
		limits = r.Groups[e.Group]
	}
	return &Upstream{
		fleet:    f,
		entry:    e,
		local:    e.DataCentre == f.DataCentre,
		slots:    e.Slots,
		joinedAt: f.Now(),
		pool:     links.NewPool(e, connectionLimit(limits, e.Slots), f.Open, f.Now),
		gate:     gate.New(e.Slots, gateQueueLimit, f.Now),
		pace:     pace.New(e.Slots),
	}
}
