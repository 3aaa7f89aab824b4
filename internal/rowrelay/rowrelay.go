// Package rowrelay lets proxies read the platform's metadata store through each
// other. A proxy that can't reach the store reads through one that can. The
// proxies of one data centre share their reads of the table of records, and
// their calls for changes, through a designated reader: the first of them by
// name. Writes are never relayed, so a proxy without access to the store
// decides nothing.
package rowrelay

import (
	"context"
	"encoding/json"
	"hash/maphash"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/peer/rpc"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

const (
	// directoryTable has one row per proxy.
	directoryTable = "cranberrystage-vms"
	// directoryRefreshInterval is how often the directory is read.
	directoryRefreshInterval = 30 * time.Second
	// directoryFirstRefresh is when the directory is read again after the start:
	// all proxies start within a fraction of a second of each other.
	directoryFirstRefresh = time.Second
	// directoryRewriteSpread is the time over which proxies read the directory again
	// in a new era, and register if their row is missing.
	directoryRewriteSpread = 4 * time.Second
	// hedgeDelay is how long the store may take before a peer is queried too.
	hedgeDelay = 80 * time.Millisecond
	// largeReadHedgeDelay is the same for a read of a whole urgent table: 200 kB
	// of configuration take 0.2 s on a link of 10 Mbit/s, and twice that with a
	// second copy beside it.
	largeReadHedgeDelay = 300 * time.Millisecond
	// arrivalHedgeDelay is how long a response of the store may take to arrive before
	// a peer is queried too.
	arrivalHedgeDelay = 2 * time.Second
	// forwardDelay is how long a response of the store may take to arrive before the
	// requests of peers that wait for it fail: they would receive it only after this
	// proxy, and sooner from the store.
	forwardDelay = 300 * time.Millisecond
	// peerTimeout bounds the wait for a peer's response, in addition to the
	// requested wait for changes.
	peerTimeout = 300 * time.Millisecond
	// urgentWatchTimeout is how long a peer may wait for changes of an urgent
	// table. Together with peerTimeout and the store's own time, a peer that
	// stops responding delays a change by less than half of the 5 s that the
	// users' deployments allow for a configuration.
	urgentWatchTimeout = time.Second
	// readerTimeout bounds the wait for the designated reader of the data centre,
	// which normally has a recent copy.
	readerTimeout = 60 * time.Millisecond
	// globalReaderTimeout bounds the wait for the global reader. After it, a
	// designated reader still has time to read the store before a request with
	// readerTimeout ends.
	globalReaderTimeout = 30 * time.Millisecond
	// peerBackoff is the unit of the backoff from a peer that did not respond; it
	// doubles with each further failure, at most maxBackoffDoublings times.
	peerBackoff         = time.Second
	maxBackoffDoublings = 5
	// maxSharedAge is the greatest age of shared rows that are handed on. It is
	// below freshness.Lease, for which evidence holds, by the time that the
	// response takes.
	maxSharedAge = 330 * time.Millisecond
	// storeRetryInterval is the pause between two tries of a lost store.
	storeRetryInterval = 300 * time.Millisecond
	// maxConcurrentRequests bounds the peers' requests served at the same time.
	maxConcurrentRequests = 64
)

// Topics of the messages.
const (
	topicRequest  = "rows-question"
	topicResponse = "rows-answer"
)

// request requests rows from a peer.
type request struct {
	Table string `msgpack:"t"`
	// Seen is the fingerprint of the requester's copy, so that the same rows are
	// not sent again.
	Seen fingerprint `msgpack:"s,omitempty"`
	// Watch requests the changes after version After, waiting WaitMillis for one.
	Watch bool   `msgpack:"w,omitempty"`
	After uint64 `msgpack:"a,omitempty"`
	// Era is the era of After.
	Era        uint64 `msgpack:"x,omitempty"`
	WaitMillis int64  `msgpack:"m,omitempty"`
	// TimeoutMillis is how long the requester waits for the response.
	TimeoutMillis int64 `msgpack:"p,omitempty"`
	// AcceptsParts says that the requester fetches a large response in parts.
	AcceptsParts bool `msgpack:"k,omitempty"`
	// Content, if not 0, requests the part at Offset of a response sent before.
	Content uint64 `msgpack:"c,omitempty"`
	Offset  int    `msgpack:"o,omitempty"`
	// Direct requests that the rows are read from the store, not through a reader.
	Direct bool `msgpack:"d,omitempty"`
	// starting says that a starting proxy waits for the rows; it is not sent.
	starting bool
	// Check asks whether the peer reaches the store.
	Check bool `msgpack:"h,omitempty"`
	// Config is the newest configuration version that the requester knows; 0 with one
	// region.
	Config uint64 `msgpack:"g,omitempty"`
}

// wait returns how long the store may wait for a change; 0 for a read.
func (q request) wait() time.Duration { return time.Duration(q.WaitMillis) * time.Millisecond }

func (q request) timeout() time.Duration { return time.Duration(q.TimeoutMillis) * time.Millisecond }

func (q request) after() tables.Version { return tables.Version{Era: q.Era, Counter: q.After} }

// fingerprint distinguishes two contents of a table: every write of an era raises
// its row's version, and a removal reduces the number of rows.
type fingerprint struct {
	Era     uint64 `msgpack:"x,omitempty"`
	Version uint64 `msgpack:"v"`
	Rows    int    `msgpack:"n"`
}

func fingerprintOf(rows platform.Rows) fingerprint {
	f := fingerprint{Era: rows.Era, Rows: len(rows.Rows)}
	for _, r := range rows.Rows {
		f.Version = max(f.Version, r.Version)
	}
	return f
}

// failure is the reason why a response has no rows.
type failure uint8

const (
	failureNone failure = iota
	failureUnavailable
	failureHistoryLost
	// failureSlow means that the store's response arrives slowly at the peer.
	failureSlow
)

// response holds the rows.
type response struct {
	Failure failure       `msgpack:"e,omitempty"`
	Rows    platform.Rows `msgpack:"r"`
	// Unchanged says that the rows are those of the request's Seen and are
	// omitted.
	Unchanged bool `msgpack:"u,omitempty"`
	// Part is a part of rows that are too large for one message; Rows then has none.
	Part *part `msgpack:"p,omitempty"`
	// Config is the newest configuration version that the peer knows; 0 with one
	// region.
	Config uint64 `msgpack:"g,omitempty"`
}

// Peer is a proxy as listed in the directory.
type Peer struct {
	VM         tables.VMID         `json:"vm"`
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// Address is its IP:port for messages between proxies.
	Address string `json:"address"`
}

// Options holds the dependencies and settings of a Relay.
type Options struct {
	// Self is this proxy.
	Self Peer
	// Store is the direct client of the platform's store.
	Store platform.Metadata
	// SharedTable is the table whose reads the proxies of a data centre share.
	SharedTable string
	// UrgentTables are the tables with large rows whose changes must arrive in time
	// even if a peer stops responding.
	UrgentTables map[string]bool
	// Regions maps data centres to regions. With fewer than two regions it has no
	// effect.
	Regions map[tables.DataCentreID]string
	// ConfigVersion returns the configuration version in force, and OnKnownConfig
	// receives the newest one that peers have. Both may be nil, and are used with
	// several regions only.
	ConfigVersion func() uint64
	OnKnownConfig func(version uint64)
	Bus           rpc.Bus
	// Now is a clock that advances while the machine is suspended.
	Now func() tables.Time
	Log *slog.Logger
}

// Relay reads the store directly or through peers. It implements
// platform.Metadata and is safe for concurrent use.
type Relay struct {
	Options
	log      *slog.Logger
	exchange *rpc.Endpoint[request, response]
	reads    singleflight.Group
	contents contents
	// regional says that there are several regions.
	regional bool
	// directoryRead is closed when the directory has been read.
	directoryRead chan struct{}
	noteDirectory func()

	mu sync.Mutex
	// calls are the reads of the store that are under way.
	calls []*storeCall
	peers []Peer
	// regionOrder are the proxies of this region, if there are several regions, in the
	// order in which they become its reader.
	regionOrder []Peer
	// avoidUntil is when the backoff from a peer ends; failures counts its
	// failures in a row.
	avoidUntil map[tables.VMID]tables.Time
	failures   map[tables.VMID]int
	// storeLostAt is when the store stopped responding; 0 while it responds.
	storeLostAt  tables.Time
	storeTriedAt tables.Time
	// storeCheckedAt is when a lost store was last checked, with several regions.
	storeCheckedAt tables.Time
	// era is the newest era of the store that any response has shown.
	era uint64
	// sharedRows are the newest rows of the shared table, as of sharedRowsAsOf.
	sharedRows     platform.Rows
	sharedRowsAsOf tables.Time
	// eraBegan receives a value when a newer era was found.
	eraBegan chan struct{}
	// storeTimes are the times in which the store responds, and readerTimes those in
	// which a reader sends shared rows.
	storeTimes, readerTimes allowance
	// directory is the copy of the directory for peers, as of directoryAsOf.
	directory     platform.Rows
	directoryAsOf tables.Time
	known         knownConfig
	// copies are the copies of tables with large rows, with several regions.
	copies map[string]*tableCopy
	// across says that this proxy last read through a peer of another region.
	across bool
	// storeCalls and largeCalls are the budgets of calls to the store of a proxy that
	// is not one of the first of its region; largeCalls that for urgent tables.
	storeCalls, largeCalls budget
}

var _ platform.Metadata = (*Relay)(nil)

// New returns a relay without peers.
func New(o Options) *Relay {
	log := logging.For(o.Log, "rowrelay")
	directoryRead := make(chan struct{})
	return &Relay{
		Options: o,
		log:     log,
		exchange: rpc.New[request, response](rpc.Options{
			Address: o.Self.Address, RequestTopic: topicRequest, ResponseTopic: topicResponse, Bus: o.Bus, Log: log,
		}),
		contents:   contents{seed: maphash.MakeSeed()},
		avoidUntil: make(map[tables.VMID]tables.Time),
		failures:   make(map[tables.VMID]int),
		eraBegan:   make(chan struct{}, 1),

		copies:        make(map[string]*tableCopy),
		storeCalls:    budget{interval: storeCallInterval, burst: storeCallBurst},
		largeCalls:    budget{interval: largeCallInterval, burst: largeCallBurst},
		regional:      hasRegions(o.Regions),
		directoryRead: directoryRead,
		noteDirectory: sync.OnceFunc(func() { close(directoryRead) }),
	}
}

// acceptEra reports whether an era is the newest one that any response has shown.
// The lock must be held.
func (r *Relay) acceptEra(era uint64) bool {
	if era > r.era {
		r.log.Info("The store came to a new era.", "era", era, "before", r.era)
		r.era = era
		select {
		case r.eraBegan <- struct{}{}:
		default: // the refresh is still pending
		}
	}
	return era == r.era
}

// Run serves peers and maintains the directory until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	go r.maintainDirectory(ctx)
	limit := maxConcurrentRequests
	if r.regional {
		go r.checkPeers(ctx)
		go r.compareConfigs(ctx)
		limit = maxRegionalRequests
	}
	slots := make(chan struct{}, limit)
	return r.exchange.Run(ctx, func(q request, reply func(response)) {
		select {
		case slots <- struct{}{}:
			go func() {
				r.noteConfig(q.Config)
				res := r.respond(ctx, q)
				res.Config = r.newestConfig()
				reply(res)
				<-slots
			}()
		default:
			reply(response{Failure: failureUnavailable})
		}
	})
}

// Leave removes this proxy from the directory.
func (r *Relay) Leave(ctx context.Context) error {
	_, err := r.Store.Apply(ctx, platform.Change{Table: directoryTable, Remove: []string{string(r.Self.VM)}})
	return err
}

// Proxies returns how many proxies are in the directory, including this one.
func (r *Relay) Proxies() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(len(r.peers), 1)
}

func (r *Relay) maintainDirectory(ctx context.Context) {
	// After a restart of all proxies, the directory still lists the same peers.
	r.readDirectory(ctx)
	for wait, first := directoryFirstRefresh, true; ; wait, first = directoryRefreshInterval, false {
		if err := r.register(ctx); err != nil {
			r.log.Info("Could not register in the directory.", "error", err)
		}
		if r.awaitDirectoryRefresh(ctx, wait) != nil {
			return
		}
		r.refreshDirectory(ctx, first)
	}
}

// awaitDirectoryRefresh waits until the directory is read again. In a new era the
// store may have lost rows of the directory; proxies then read it at random
// moments within directoryRewriteSpread.
func (r *Relay) awaitDirectoryRefresh(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	case <-r.eraBegan:
		return sleep.For(ctx, rand.N(directoryRewriteSpread))
	}
}

func (r *Relay) readDirectory(ctx context.Context) {
	start := r.Now()
	rows, err := r.Store.ReadTable(ctx, directoryTable)
	if err != nil {
		r.log.Info("Could not read the directory of proxies.", "error", err)
		return
	}
	r.recordStoreTime(request{Table: directoryTable}, r.Now().Sub(start))
	r.applyDirectory(rows)
	r.noteDirectory()
}

// refreshDirectory reads the directory again, through readers if there are several
// regions and first is false. The first refresh must show the proxies that started at
// the same time.
func (r *Relay) refreshDirectory(ctx context.Context, first bool) {
	if !r.regional || first {
		r.readDirectory(ctx)
		return
	}
	rows, err := r.readInRegion(ctx, request{Table: directoryTable})
	if err != nil {
		r.log.Info("Could not read the directory of proxies.", "error", err)
		return
	}
	r.applyDirectory(rows)
}

// register writes this proxy's row unless the directory as read contains it.
func (r *Relay) register(ctx context.Context) error {
	r.mu.Lock()
	for _, p := range r.peers {
		if p == r.Self {
			r.mu.Unlock()
			return nil
		}
	}
	r.mu.Unlock()
	value, err := json.Marshal(r.Self)
	if err != nil {
		return errors.Wrap(err, "encode a row of the directory")
	}
	_, err = r.Store.Apply(ctx, platform.Change{
		Table:  directoryTable,
		Writes: []platform.Write{{Key: string(r.Self.VM), Value: value}},
	})
	return err
}

func (r *Relay) applyDirectory(rows platform.Rows) {
	peers := make([]Peer, 0, len(rows.Rows))
	for _, row := range rows.Rows {
		var p Peer
		if err := json.Unmarshal(row.Value, &p); err != nil || p.Address == "" {
			r.log.Warn("Ignored an invalid row of the directory.", "key", row.Key, "error", err)
			continue
		}
		peers = append(peers, p)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(peers) != len(r.peers) {
		r.log.Info("The number of proxies changed.", "proxies", len(peers), "before", len(r.peers))
	}
	r.peers = peers
	if r.regional {
		r.regionOrder = r.orderRegion(peers)
	}
}
