// Package fleet keeps what a proxy on the users' platform knows: the
// operator's configuration, the database servers and how they answer, and who
// leads each group. It takes the platform's news, asks the pure systems what
// follows, and carries replacements of primaries through.
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
	"github.com/cranberrystage/cranberrystage/internal/systems/keep"
	"github.com/cranberrystage/cranberrystage/internal/systems/pace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"golang.org/x/sync/singleflight"
)

// Promoter gives the platform's order that a server leads its group.
type Promoter interface {
	// Promote returns nil once the order was accepted, ErrNotRunning if the
	// server is not there, or an error of package platform.
	Promote(ctx context.Context, token uint64, group tables.GroupID, u tables.UpstreamID) error
}

// Peers are the other proxies.
type Peers interface {
	// Ask returns what one of them knows of a group; ok is false if none tells in time.
	Ask(ctx context.Context, id tables.GroupID) (k freshness.Report, ok bool)
	// AskLooker returns what the proxy knows of groups that asks primaries for
	// this one's data centre; nothing if that is this proxy itself.
	AskLooker(ctx context.Context, groups []tables.GroupID) map[tables.GroupID]freshness.Report
}

// Codec reads the platform's documents.
type Codec struct {
	// ConfigTable and ConfigKey say where the operator's configuration lies.
	ConfigTable, ConfigKey string
	// Config reads it.
	Config func([]byte) (*tables.Routing, error)
	// EntryTable is the table of server entries.
	EntryTable string
	// Entry reads the entry of a server.
	Entry func(id string, value []byte) (tables.Entry, error)
	// NotRunning is the Promoter's error for a server that is not there.
	NotRunning error
}

// Options are what a Fleet is made of.
type Options struct {
	VM         tables.VMID
	DataCentre tables.DataCentreID
	Store      platform.Metadata
	Promoter   Promoter
	Codec      Codec
	Open       links.Open
	Peers      Peers
	// Proxies returns how many proxies share the servers.
	Proxies func() int
	Now     func() tables.Time
	Log     *slog.Logger
	Metrics *metrics.Metrics
	// DrainLimit is how long after its notice a leaving server may get new work.
	DrainLimit time.Duration
}

// Fleet is safe for concurrent use.
type Fleet struct {
	Options
	log     *slog.Logger
	routing atomic.Pointer[tables.Routing]
	looks   singleflight.Group
	// gather is how long changes of a table are let come together, by table.
	gather map[string]time.Duration
	// ready is closed once callers can be served.
	ready chan struct{}

	mu        sync.Mutex
	upstreams map[tables.UpstreamID]*Upstream
	groups    map[tables.GroupID]*group
	// entriesReadAt is when the table of entries was first read; 0 before.
	entriesReadAt tables.Time
	// storeLostAt is when the store stopped answering; 0 while it answers.
	storeLostAt tables.Time
	// storeBackAt is when it answered again.
	storeBackAt tables.Time
	// entryBackAt is when a server's entry last came back that had been missing.
	entryBackAt tables.Time
	// unprovenAt is when evidence for a primary was last sought in vain.
	unprovenAt tables.Time
	duty       duty
}

// group is one database group.
type group struct {
	id tables.GroupID
	freshness.Leadership
	// record is the store's record of the primary; version 0 means none.
	record  tables.PrimaryRecord
	version uint64
	// term is the primary's term; 0 while it was not asked.
	term tables.Term
	// storeProvenAt is when the newest look at the store gave evidence.
	storeProvenAt tables.Time
	// usedAt is when a statement last needed the group, here or at a proxy that
	// asks this one for points.
	usedAt tables.Time
	// askedAt is when the newest point was last sought.
	askedAt tables.Time
	// replacing says that this proxy works on a replacement.
	replacing bool
	// restUntil is when the next replacement may begin.
	restUntil tables.Time
	// leaderChanged is closed when the primary changes.
	leaderChanged chan struct{}
	// promoteTook is how long the last order took to take effect.
	promoteTook time.Duration
	// members are the servers whose logs a replacement needs, as the store has them.
	members        []tables.UpstreamID
	membersVersion uint64
	// membersBusy says that this proxy works on the list of members.
	membersBusy bool
	// membersRest is when it may do so again.
	membersRest tables.Time
	// announcedAt is when the replacement under way was learnt of.
	announcedAt tables.Time
}

// New returns a fleet that knows nothing yet.
func New(o Options) *Fleet {
	return &Fleet{
		Options:   o,
		log:       logging.For(o.Log, "fleet"),
		gather:    map[string]time.Duration{o.Codec.EntryTable: gatherEntries, RecordTable: gatherRecords},
		ready:     make(chan struct{}),
		upstreams: make(map[tables.UpstreamID]*Upstream),
		groups:    make(map[tables.GroupID]*group),
	}
}

// Routing returns the configuration in force, or nil before the first one.
func (f *Fleet) Routing() *tables.Routing { return f.routing.Load() }

// SetDrainLimit changes how long after its notice a leaving server may get new work.
func (f *Fleet) SetDrainLimit(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.DrainLimit = d
}

// Ready reports whether callers can be served: a configuration is in force and
// the servers' entries were read.
func (f *Fleet) Ready() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// AwaitReady waits for Ready for a time and reports whether it is.
func (f *Fleet) AwaitReady(ctx context.Context, patience time.Duration) bool {
	if f.Ready() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case <-f.ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// learnt ends the waits for Ready once all that it needs is known. The lock
// must be held.
func (f *Fleet) learnt() {
	if f.routing.Load() != nil && f.entriesReadAt != 0 && !f.Ready() {
		close(f.ready)
	}
}

// isolatedAfter is how long the store must have been lost, through peers too,
// until a proxy counts as cut off.
const isolatedAfter = 400 * time.Millisecond

// Isolated reports whether this proxy is cut off: it reaches the store neither
// itself nor through peers, and has since failed to show otherwise who leads, or
// reaches few primaries. Callers are served better elsewhere.
func (f *Fleet) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := f.storeLostAt
	if lost == 0 || f.Now().Sub(lost) <= isolatedAfter {
		return false
	}
	return f.unprovenAt > lost || f.reachesFewPrimaries()
}

// reachesFewPrimaries reports whether more than half of the primaries do not
// answer this proxy. The lock must be held.
func (f *Fleet) reachesFewPrimaries() bool {
	known, silent := 0, 0
	for _, g := range f.groups {
		u, ok := f.upstreams[g.Primary]
		if !ok {
			continue
		}
		known++
		if u.Unreachable() {
			silent++
		}
	}
	return 2*silent > known
}

// Run follows the platform until ctx ends.
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
		g = &group{id: id, leaderChanged: make(chan struct{})}
		f.groups[id] = g
	}
	return g
}

// connectionLimit is how many of a server's connections this proxy may open.
// Others need some too, and a server that is full says so.
func connectionLimit(limits tables.GroupLimits, slots int) int {
	if limits.Connections <= 0 {
		return 2 * slots
	}
	return max(2, min(limits.Connections/2, 3*slots))
}

// keptConnections returns how many unused connections to u this proxy may keep,
// a part of one if there are more proxies than connections.
func (f *Fleet) keptConnections(u *Upstream) float64 {
	r := f.routing.Load()
	if r == nil || r.Groups[u.entry.Group].Connections <= 0 {
		return 1
	}
	return keep.Share(r.Groups[u.entry.Group].Connections, f.Proxies())
}

// gateLimit is how many statements may wait for one server.
const gateLimit = 256

func (f *Fleet) newUpstream(e tables.Entry) *Upstream {
	limits := tables.GroupLimits{}
	if r := f.routing.Load(); r != nil {
		limits = r.Groups[e.Group]
	}
	return &Upstream{
		fleet: f,
		entry: e,
		local: e.DataCentre == f.DataCentre,
		slots: e.Slots,
		pool:  links.NewPool(e, connectionLimit(limits, e.Slots), f.Open, f.Now),
		gate:  gate.New(e.Slots, gateLimit, f.Now),
		pace:  pace.New(e.Slots),
	}
}
