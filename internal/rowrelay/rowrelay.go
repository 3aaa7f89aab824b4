// Package rowrelay lets proxies read the platform's metadata store through
// each other: a proxy that the store turns away reads through one that it
// serves, and the proxies of one data centre share their looks at the table of
// records, and their calls for changes, through the first of them by name, the
// looker. Writes are never relayed: who can't reach the store decides nothing.
package rowrelay

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/peer/inquiry"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

const (
	// directoryTable has one row a proxy.
	directoryTable = "cranberrystage-vms"
	// directoryInterval is how often the directory is read.
	directoryInterval = 30 * time.Second
	// directoryFirst is when it is read again after the start: all proxies start
	// within a fraction of a second of each other.
	directoryFirst = time.Second
	// hedgeAfter is how long the store may take until a peer is asked too.
	hedgeAfter = 80 * time.Millisecond
	// hedgeLarge is the same where an urgent table is read whole: 200 kB of configuration take a link of 10 Mbit/s 0.2 s, and a second
	// copy beside it twice that.
	hedgeLarge = 300 * time.Millisecond
	// peerTimeout bounds the wait for a peer's answer, beside the wait that was asked for.
	peerTimeout = 300 * time.Millisecond
	// urgentPatience is how long a peer is asked to wait for changes of an urgent
	// table: with peerTimeout and the store's own time, a peer that goes silent
	// delays news by less than half of the 5 s that the users' deployments allow a
	// configuration.
	urgentPatience = time.Second
	// nearTimeout bounds the wait for a peer of the same data centre that has a look at hand.
	nearTimeout = 60 * time.Millisecond
	// farTimeout is the same for the peer that looks for all data centres; it
	// leaves time to look oneself before a near peer's patience ends.
	farTimeout = 30 * time.Millisecond
	// peerPause is how long a peer that did not answer is left alone; it doubles
	// with each further time, maxMisses times at most.
	peerPause = time.Second
	maxMisses = 5
	// sharedAge is the greatest age of a look that is handed on. It stays under
	// what evidence is good for, freshness.Lease, by the way of the answer.
	sharedAge = 330 * time.Millisecond
	// directPause is the pause between two tries of a store that is lost.
	directPause = 300 * time.Millisecond
	// serving bounds the questions answered at the same time.
	serving = 64
)

// Topics of the messages.
const (
	topicQuestion = "rows-question"
	topicAnswer   = "rows-answer"
)

// question asks a peer for rows.
type question struct {
	Table string `msgpack:"t"`
	// Seen is what the asker knows of the table, so that it is not sent again.
	Seen mark `msgpack:"s,omitempty"`
	// Watch asks for changes after After, waiting WaitMillis for one.
	Watch      bool   `msgpack:"w,omitempty"`
	After      uint64 `msgpack:"a,omitempty"`
	WaitMillis int64  `msgpack:"m,omitempty"`
	// PatienceMillis is how long the asker waits for the peer's answer.
	PatienceMillis int64 `msgpack:"p,omitempty"`
}

// wait returns how long a watch lets the store wait for a change; 0 for a read.
func (q question) wait() time.Duration { return time.Duration(q.WaitMillis) * time.Millisecond }

func (q question) patience() time.Duration { return time.Duration(q.PatienceMillis) * time.Millisecond }

// mark tells two contents of a table apart: every write gives its row a greater
// version, and a removal lessens the number.
type mark struct {
	Version uint64 `msgpack:"v"`
	Rows    int    `msgpack:"n"`
}

func markOf(rows platform.Rows) mark {
	m := mark{Rows: len(rows.Rows)}
	for _, r := range rows.Rows {
		m.Version = max(m.Version, r.Version)
	}
	return m
}

// failure says why there are no rows.
type failure uint8

const (
	failureNone failure = iota
	failureUnavailable
	failureHistory
)

// answer returns the rows.
type answer struct {
	Failure failure       `msgpack:"e,omitempty"`
	Rows    platform.Rows `msgpack:"r"`
	// Same says that the rows are those that the asker has seen, and are left out.
	Same bool `msgpack:"u,omitempty"`
}

// Peer is another proxy.
type Peer struct {
	VM         tables.VMID         `json:"vm"`
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// Address is its IP:port for messages.
	Address string `json:"address"`
}

// Options are what a Relay is made of.
type Options struct {
	// Self is this proxy.
	Self Peer
	// Store is the platform's store.
	Store platform.Metadata
	// SharedTable is the table whose reads a data centre's proxies share.
	SharedTable string
	// UrgentTables are the tables whose changes must be heard in time also beside a
	// peer that goes silent, and whose rows are large.
	UrgentTables map[string]bool
	Bus          inquiry.Bus
	// Now is a clock that counts suspensions.
	Now func() tables.Time
	Log *slog.Logger
}

// Relay is the store as read directly or through peers. It implements
// platform.Metadata and is safe for concurrent use.
type Relay struct {
	Options
	log   *slog.Logger
	desk  *inquiry.Endpoint[question, answer]
	reads singleflight.Group

	mu      sync.Mutex
	watches map[string]*watchCall
	peers   []Peer
	avoid   map[tables.VMID]tables.Time
	misses  map[tables.VMID]int
	// lostAt is when the store stopped answering; 0 while it answers.
	lostAt    tables.Time
	triedAt   tables.Time
	look      platform.Rows
	lookBegan tables.Time
}

var _ platform.Metadata = (*Relay)(nil)

// New returns a relay without peers.
func New(o Options) *Relay {
	log := logging.For(o.Log, "rowrelay")
	return &Relay{
		Options: o,
		log:     log,
		desk: inquiry.New[question, answer](inquiry.Options{
			Address: o.Self.Address, RequestTopic: topicQuestion, ResponseTopic: topicAnswer, Bus: o.Bus, Log: log,
		}),
		watches: make(map[string]*watchCall),
		avoid:   make(map[tables.VMID]tables.Time),
		misses:  make(map[tables.VMID]int),
	}
}

// Run answers peers and keeps the directory until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	go r.keepDirectory(ctx)
	slots := make(chan struct{}, serving)
	return r.desk.Run(ctx, func(q question, reply func(answer)) {
		select {
		case slots <- struct{}{}:
			go func() {
				reply(r.answer(ctx, q))
				<-slots
			}()
		default:
			reply(answer{Failure: failureUnavailable})
		}
	})
}

// Leave takes this proxy out of the directory.
func (r *Relay) Leave(ctx context.Context) error {
	_, err := r.Store.Apply(ctx, platform.Change{Table: directoryTable, Remove: []string{string(r.Self.VM)}})
	return err
}

// Proxies returns how many proxies the directory names, this one included.
func (r *Relay) Proxies() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(len(r.peers), 1)
}

func (r *Relay) keepDirectory(ctx context.Context) {
	// After a restart of all, the peers of before are those of now.
	r.readDirectory(ctx)
	for wait := directoryFirst; ; wait = directoryInterval {
		if err := r.register(ctx); err != nil {
			r.log.Info("This proxy is not in the directory yet.", "error", err)
		}
		if sleep.For(ctx, wait) != nil {
			return
		}
		r.readDirectory(ctx)
	}
}

func (r *Relay) readDirectory(ctx context.Context) {
	rows, err := r.Store.ReadTable(ctx, directoryTable)
	if err != nil {
		r.log.Info("The directory of proxies can't be read.", "error", err)
		return
	}
	r.takeDirectory(rows)
}

// register writes this proxy's row unless the directory as read has it.
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

func (r *Relay) takeDirectory(rows platform.Rows) {
	peers := make([]Peer, 0, len(rows.Rows))
	for _, row := range rows.Rows {
		var p Peer
		if err := json.Unmarshal(row.Value, &p); err != nil || p.Address == "" {
			r.log.Warn("Ignored a row of the directory.", "key", row.Key, "error", err)
			continue
		}
		peers = append(peers, p)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(peers) != len(r.peers) {
		r.log.Info("Learnt of other proxies.", "proxies", len(peers), "before", len(r.peers))
	}
	r.peers = peers
}
