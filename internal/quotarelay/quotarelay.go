// Package quotarelay enforces the teams' limits of operations over all proxies. It
// carries the messages of package quota over the bus between proxies and runs its
// timers.
package quotarelay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/peer/rpc"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/systems/quota"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// admitTimeout bounds the wait in Admit.
	admitTimeout = 50 * time.Millisecond
	// hedgeDelay is how long the allocator may take before another one is queried too. A
	// round trip within a data centre takes 0.4 ms.
	hedgeDelay = 15 * time.Millisecond
	// unresponsiveTime is how long a proxy is not made the allocator after it did not
	// respond twice in a row.
	unresponsiveTime = 3 * time.Second
	// lostTime is how long an allocator that did not respond is not waited for. The next
	// renewal finds out whether it responds again.
	lostTime = time.Second
	// renewInterval is how often the share is lent again. A lease takes 1.1 s, so that one
	// lost message does not end it.
	renewInterval = 350 * time.Millisecond
	// startInterval is the same until the directory was read.
	startInterval = 20 * time.Millisecond
	// exchangeInterval is how often data centres exchange their demand.
	exchangeInterval = 500 * time.Millisecond
	// formerTime is how long the previous allocator is still queried: it
	// keeps shares for the length of a lease.
	formerTime = 2 * time.Second
	// minRetryAfter is the shortest retry time given to a refused caller; a random time
	// of up to retrySpread is added, so that callers don't return at once.
	minRetryAfter, retrySpread = 100 * time.Millisecond, 400 * time.Millisecond
)

// Topics of the messages.
const (
	topicRequest  = "quota-request"
	topicResponse = "quota-response"
	topicDemand   = "quota-demand"
)

// Directory is what the relay needs to know of the directory of proxies.
type Directory struct {
	quota.Directory
	// Allocators are the addresses of the allocators of the other data centres.
	Allocators map[tables.DataCentreID]string
}

// Options holds the dependencies and settings of a Relay.
type Options struct {
	// Address is this proxy's IP:port for messages between proxies.
	Address    string
	VM         tables.VMID
	DataCentre tables.DataCentreID
	Bus        rpc.Bus
	// Allocator returns the address of the allocator of this data centre; ok is false
	// if it is this proxy.
	Allocator func() (address string, ok bool)
	// Directory returns what is known of the directory of proxies.
	Directory func() Directory
	// Routing returns the configuration in force; nil before the first.
	Routing func() *tables.Routing
	// Tolerance says how limits are measured.
	Tolerance quota.Tolerance
	// Now is a clock that advances while the machine is suspended.
	Now     func() tables.Time
	Log     *slog.Logger
	Metrics *metrics.Metrics
}

// Relay enforces limits. It implements relay.Limiter and is safe for concurrent use.
type Relay struct {
	Options
	log      *slog.Logger
	exchange *rpc.Endpoint[quota.Request, quota.Response]
	// ready is closed once the directory was read.
	ready chan struct{}
	// routing is the configuration that the limits are from.
	routing atomic.Pointer[tables.Routing]

	mu        sync.Mutex
	node      *quota.Node
	teams     map[tables.TeamID]*team
	directory Directory
	// allocator is the state of the present allocator, former that of the last one.
	allocator, former peerState
	// lostOthers holds the allocators of other data centres that did not respond, and
	// when.
	lostOthers map[string]tables.Time
	// unresponsiveUntil is when proxies of this data centre that did not respond may be
	// the allocator again.
	unresponsiveUntil map[string]tables.Time
}

// team is the state of a limited team.
type team struct {
	limit tables.Team
	// call is the request that is under way, next the one to be sent after it.
	call, next *call
	// admitted and refused count operations, requested and granted count tokens.
	counters metrics.TeamQuota
	// refusals were not logged since loggedAt.
	refusals int
	loggedAt tables.Time
}

// call is a request for tokens that several operations wait for.
type call struct {
	waiting int
	done    chan struct{}
}

// peerState is what is known of an allocator in this data centre.
type peerState struct {
	address string
	// requestedAt is when it was last sent a request, respondedAt when it last responded.
	requestedAt, respondedAt tables.Time
	// lostAt is when it last did not respond; 0 if it responded since.
	lostAt tables.Time
}

// New returns a relay. Run must be called for it to admit anything for limited teams.
func New(o Options) *Relay {
	if o.Tolerance.Window <= 0 {
		o.Tolerance.Window = quota.DefaultWindow
	}
	log := logging.For(o.Log, "quota")
	return &Relay{
		Options: o,
		log:     log,
		exchange: rpc.New[quota.Request, quota.Response](rpc.Options{
			Address: o.Address, RequestTopic: topicRequest, ResponseTopic: topicResponse, Bus: o.Bus, Log: log,
		}),
		ready:      make(chan struct{}),
		lostOthers: make(map[string]tables.Time),

		unresponsiveUntil: make(map[string]tables.Time),
		node:              quota.NewNode(o.VM, o.DataCentre, rand.Uint64()|1, o.Now()),
	}
}

// Run responds to other proxies and keeps leases and shares until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	demands, err := r.Bus.Subscribe(ctx, topicDemand)
	if err != nil {
		return errors.Wrap(err, "subscribe to demands")
	}
	go func() {
		for m := range demands {
			var e quota.Exchange
			err := msgpack.Unmarshal(m.Payload, &e)
			m.Ack()
			if err != nil || e.DataCentre == "" || e.DataCentre == r.DataCentre {
				r.log.Warn("Ignored a malformed demand of another data centre.", "from", e.DataCentre, "error", err)
				continue
			}
			r.mu.Lock()
			r.node.Accept(e, r.Now())
			r.mu.Unlock()
		}
	}()
	go r.renew(ctx)
	go r.exchangeDemand(ctx)
	return r.exchange.Run(ctx, func(q quota.Request, reply func(quota.Response)) {
		r.configure()
		r.mu.Lock()
		resp := r.node.Respond(q, r.Now())
		r.mu.Unlock()
		reply(resp)
	})
}

// configure applies the limits of a new configuration.
func (r *Relay) configure() {
	routing := r.Routing()
	if routing == r.routing.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if routing == r.routing.Load() {
		return
	}
	limits := make(map[tables.TeamID]quota.Limit)
	teams := make(map[tables.TeamID]*team)
	for id, t := range routing.Teams {
		if t.Rate <= 0 {
			continue
		}
		limits[id] = quota.Limit{Rate: t.Rate, Burst: t.Burst}
		state := r.teams[id]
		if state == nil {
			state = &team{counters: r.Metrics.TeamQuota(id)}
		}
		if r.routing.Load() != nil && (state.limit.Rate != t.Rate || state.limit.Burst != t.Burst) {
			r.log.Info("A team's limit changed.", "team", id, "rate", t.Rate, "burst", t.Burst,
				"rateBefore", state.limit.Rate, "burstBefore", state.limit.Burst, "config", routing.Version)
		}
		state.limit = *t
		teams[id] = state
	}
	if r.routing.Load() == nil && len(teams) > 0 {
		r.log.Info("Teams with a limit are configured.", "teams", len(teams), "config", routing.Version)
	}
	r.teams = teams
	r.node.Configure(limits, r.Tolerance, r.Now())
	r.routing.Store(routing)
}

// Admit implements relay.Limiter.
func (r *Relay) Admit(ctx context.Context, id tables.TeamID) (retryAfter time.Duration, ok bool) {
	r.configure()
	r.mu.Lock()
	t := r.teams[id]
	if t == nil {
		r.mu.Unlock()
		return 0, true
	}
	now := r.Now() // not before the lock: tokens may end during the wait
	r.node.Count(id, now)
	if r.node.Take(id, now) {
		t.counters.Admitted.Inc()
		r.mu.Unlock()
		return 0, true
	}
	r.mu.Unlock()
	if r.admitByRequest(ctx, id, t) {
		t.counters.Admitted.Inc()
		return 0, true
	}
	return r.refuse(id, t), false
}

// admitByRequest requests tokens and waits for the response.
func (r *Relay) admitByRequest(ctx context.Context, id tables.TeamID, t *team) bool {
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	select {
	case <-r.ready:
	case <-ctx.Done():
		return false
	}
	// The request under way may have been sent before this operation arrived.
	for range 2 {
		r.mu.Lock()
		if r.node.Denied(id, r.Now()) > 0 {
			r.mu.Unlock()
			break
		}
		c := r.join(id, t)
		r.mu.Unlock()
		select {
		case <-c.done:
		case <-ctx.Done():
		}
		r.mu.Lock()
		taken := r.node.Take(id, r.Now())
		r.mu.Unlock()
		if taken {
			return true
		}
		if ctx.Err() != nil {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	return r.node.Take(id, now) || r.node.Fallback(id, now)
}

// join adds an operation to the next request of a team. The lock must be held.
func (r *Relay) join(id tables.TeamID, t *team) *call {
	if t.call == nil {
		t.call = &call{waiting: 1, done: make(chan struct{})}
		go r.serveCalls(id, t)
		return t.call
	}
	if t.next == nil {
		t.next = &call{done: make(chan struct{})}
	}
	t.next.waiting++
	return t.next
}

// serveCalls sends the requests of a team, one after the other, until none is left.
func (r *Relay) serveCalls(id tables.TeamID, t *team) {
	for {
		r.mu.Lock()
		c := t.call
		r.mu.Unlock()
		r.request(id, t, c.waiting)
		r.mu.Lock()
		close(c.done)
		t.call, t.next = t.next, nil
		more := t.call != nil
		r.mu.Unlock()
		if !more {
			return
		}
	}
}

// refuse counts a refusal and returns the time after which the caller should try again.
func (r *Relay) refuse(id tables.TeamID, t *team) time.Duration {
	t.counters.Refused.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	t.refusals++
	if t.loggedAt == 0 || now.Sub(t.loggedAt) >= refusalLogInterval {
		r.log.Warn("Refused operations of a team that has reached its limit.", "team", id, "refused", t.refusals,
			"rate", t.limit.Rate, "burst", t.limit.Burst, "config", r.routing.Load().Version,
			"allocator", r.allocator.address, "allocatorLost", r.allocator.lostAt != 0)
		t.refusals, t.loggedAt = 0, now
	}
	return max(minRetryAfter, r.node.Denied(id, now)) + rand.N(retrySpread)
}

// refusalLogInterval is the shortest time between two lines about refusals of a team.
const refusalLogInterval = 10 * time.Second

// renew lends this proxy's share to the allocator again and again, until ctx ends.
func (r *Relay) renew(ctx context.Context) {
	for {
		known := r.readDirectory()
		if address, remote := r.Allocator(); known && remote && r.limited() {
			r.renewAt(ctx, address)
		}
		wait := renewInterval
		if !known {
			wait = startInterval
		}
		if sleep.For(ctx, wait) != nil {
			return
		}
	}
}

// readDirectory takes a reading of the directory. It returns false until it was read. An
// empty directory is one that the store has lost: the last one stays in use.
func (r *Relay) readDirectory() bool {
	r.configure()
	d := r.Directory()
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.directory.Proxies == 0
	if d.Proxies == 0 {
		return !first
	}
	r.directory = d
	r.node.SetDirectory(d.Directory, r.Now())
	if first {
		close(r.ready)
	}
	return true
}

// limited reports whether any team has a limit.
func (r *Relay) limited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.teams) > 0
}

// exchangeDemand sends the demand to the allocators of other data centres, while this
// proxy is one, until ctx ends.
func (r *Relay) exchangeDemand(ctx context.Context) {
	for sleep.For(ctx, exchangeInterval) == nil {
		if _, remote := r.Allocator(); remote || !r.limited() {
			continue
		}
		r.mu.Lock()
		now := r.Now()
		messages := make(map[string]quota.Exchange, len(r.directory.Allocators))
		for dc, address := range r.directory.Allocators {
			messages[address] = r.node.Exchange(dc, now)
		}
		r.mu.Unlock()
		for address, e := range messages {
			r.Bus.Send(address, topicDemand, e)
		}
	}
}
