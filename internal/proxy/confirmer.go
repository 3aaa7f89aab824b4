package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// minRoundInterval is the shortest time between the starts of two rounds of one group.
	minRoundInterval = 300 * time.Microsecond
	// statusTimeout bounds one status request of a round.
	statusTimeout = 500 * time.Millisecond
	// maxRoundAge bounds the age of a round's first responses.
	maxRoundAge = statusTimeout
	// maxEvidenceAge is the greatest age of the lease evidence of an acknowledgement
	// when it is returned to the caller. The evidence is older only if this process
	// was paused.
	maxEvidenceAge = statusTimeout
	// resultBuffer is larger than the number of concurrent requests to one group,
	// so that sending a result never blocks.
	resultBuffer = 64
)

// decision is the outcome of a commit.
type decision struct {
	outcome ack.Outcome
	// evidenceAt is when the last status request to the primary before the decision
	// was sent, the time of its lease evidence.
	evidenceAt tables.Time
}

// commitWait is a commit whose caller waits for the decision.
type commitWait struct {
	commit    ack.Commit
	decided   chan decision
	cancelled bool
}

// statusResult is the result of one status request.
type statusResult struct {
	upstream tables.UpstreamID
	sentAt   tables.Time
	status   tables.Status
	cause    tables.Cause
	round    uint64
}

// confirmer decides whether the commits of one group may be acknowledged and
// refreshes the group's freshness point on demand. It does so in rounds of status
// requests to the members; commits that wait at the same time share a round.
type confirmer struct {
	group     tables.GroupID
	core      *core
	upstreams *upstreams
	wake      chan struct{}
	results   chan statusResult

	mu         sync.Mutex
	newCommits []*commitWait
	wantPoint  bool

	// The fields below are used by the goroutine of run only.
	tracker  *ack.Tracker
	members  []tables.UpstreamID
	waiting  map[uint64]*commitWait
	nextID   uint64
	inFlight map[tables.UpstreamID]bool
	// queued holds the round of the request to send to a member after the one in
	// flight.
	queued map[tables.UpstreamID]uint64
	// nextRoundAt is the earliest start of the next round.
	nextRoundAt tables.Time
	// roundAt is when the last round started.
	roundAt tables.Time
	// evidenceAt is the send time of the last status request answered in a round.
	// The last request of a round goes to the primary.
	evidenceAt tables.Time
}

func newConfirmer(g tables.GroupID, c *core, u *upstreams) *confirmer {
	return &confirmer{
		group:     g,
		core:      c,
		upstreams: u,
		wake:      make(chan struct{}, 1),
		results:   make(chan statusResult, resultBuffer),
		waiting:   make(map[uint64]*commitWait),
		inFlight:  make(map[tables.UpstreamID]bool),
		queued:    make(map[tables.UpstreamID]uint64),
	}
}

// refreshPoint requests a new freshness point.
func (c *confirmer) refreshPoint() {
	c.mu.Lock()
	c.wantPoint = true
	c.mu.Unlock()
	c.signal()
}

// signal wakes run.
func (c *confirmer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// acknowledge waits until cm is decided or ctx ends. If the lease evidence of an
// acknowledgement is too old because this process was paused, cm is decided again.
func (c *confirmer) acknowledge(ctx context.Context, cm ack.Commit) (ack.Outcome, error) {
	for {
		d, err := c.decide(ctx, cm)
		if err != nil || d.outcome != ack.Acknowledged || c.core.Now().Sub(d.evidenceAt) <= maxEvidenceAge {
			return d.outcome, err
		}
	}
}

// decide waits for one decision on cm.
func (c *confirmer) decide(ctx context.Context, cm ack.Commit) (decision, error) {
	w := &commitWait{commit: cm, decided: make(chan decision, 1)}
	c.mu.Lock()
	c.newCommits = append(c.newCommits, w)
	c.mu.Unlock()
	c.signal()
	select {
	case d := <-w.decided:
		return d, nil
	case <-ctx.Done():
		c.mu.Lock()
		w.cancelled = true
		c.mu.Unlock()
		c.signal()
		return decision{}, ctx.Err()
	}
}

// run serves until ctx ends.
func (c *confirmer) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
		case res := <-c.results:
			c.handleResult(ctx, res)
		}
		if again := c.step(ctx); again > 0 {
			timer.Reset(again)
		}
	}
}

// step starts the requests that are due and returns the delay until the next
// call; 0 means the next event.
func (c *confirmer) step(ctx context.Context) time.Duration {
	g, ok := c.core.Snapshot().Group(c.group)
	if !ok {
		return 0
	}
	c.updateMembers(g)
	wantPoint := c.acceptCommits()
	c.tracker.Replace(g.Term)
	c.deliverDecisions()
	if !wantPoint && !c.tracker.Active() && c.tracker.Waiting() == 0 {
		return 0
	}
	now := c.core.Now()
	if now < c.nextRoundAt {
		if wantPoint {
			c.mu.Lock()
			c.wantPoint = true
			c.mu.Unlock()
		}
		return c.nextRoundAt.Sub(now)
	}
	c.nextRoundAt = now.Add(minRoundInterval)
	if wantPoint {
		c.queryAll(ctx, now)
	}
	for _, req := range c.nextRequests(now) {
		c.queryForRound(ctx, req, now)
	}
	c.deliverDecisions()
	if c.tracker.Waiting() > 0 {
		return minRoundInterval
	}
	return 0
}

// nextRequests starts a round, or repeats the requests of the current one whose
// responses covered no commit, so that a round does not wait for a server that
// never responds. A round older than maxRoundAge, because this process was paused,
// is based on old responses and starts again.
func (c *confirmer) nextRequests(now tables.Time) []ack.StatusRequest {
	if c.tracker.Active() && now.Sub(c.roundAt) <= maxRoundAge {
		return c.tracker.Retry()
	}
	c.tracker.Abort()
	c.roundAt = now
	return c.tracker.Start()
}

// updateMembers replaces the tracker if the group's members have changed.
func (c *confirmer) updateMembers(g *route.Group) {
	same := c.tracker != nil && len(c.members) == len(g.Members)
	for i := range g.Members {
		same = same && c.members[i] == g.Members[i].ID
	}
	if same {
		return
	}
	c.members = c.members[:0]
	for i := range g.Members {
		c.members = append(c.members, g.Members[i].ID)
	}
	c.tracker = ack.NewTracker(c.members)
	for _, w := range c.waiting {
		c.tracker.Commit(w.commit)
	}
}

// acceptCommits adds new commits to the tracker and removes those whose callers no
// longer wait. It returns whether a new freshness point was requested.
func (c *confirmer) acceptCommits() (wantPoint bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, w := range c.waiting {
		if w.cancelled {
			c.tracker.Cancel(id)
			delete(c.waiting, id)
		}
	}
	for _, w := range c.newCommits {
		if w.cancelled {
			continue
		}
		c.nextID++
		w.commit.ID = c.nextID
		c.waiting[c.nextID] = w
		c.tracker.Commit(w.commit)
	}
	c.newCommits = c.newCommits[:0]
	wantPoint = c.wantPoint
	c.wantPoint = false
	return wantPoint
}

// deliverDecisions sends decisions to the callers that wait for them.
func (c *confirmer) deliverDecisions() {
	for _, r := range c.tracker.Done() {
		if w, ok := c.waiting[r.ID]; ok {
			w.decided <- decision{outcome: r.Outcome, evidenceAt: c.evidenceAt}
			delete(c.waiting, r.ID)
		}
	}
}

// queryAll sends a status request to every member without one in flight. All
// requests carry the same send time, so that the responses of the replicas can
// confirm that of the primary in whatever order the requests are sent.
func (c *confirmer) queryAll(ctx context.Context, now tables.Time) {
	for _, m := range c.members {
		if !c.inFlight[m] {
			c.query(ctx, m, 0, now)
		}
	}
}

// queryForRound sends a request of a round, or queues it if the member has a
// request in flight.
func (c *confirmer) queryForRound(ctx context.Context, req ack.StatusRequest, now tables.Time) {
	if c.inFlight[req.Upstream] {
		c.queued[req.Upstream] = req.Round
		return
	}
	c.query(ctx, req.Upstream, req.Round, now)
}

// query sends a status request. sentAt must not be later than the actual time of
// sending.
func (c *confirmer) query(ctx context.Context, u tables.UpstreamID, round uint64, sentAt tables.Time) {
	c.inFlight[u] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		res := statusResult{upstream: u, sentAt: sentAt, round: round}
		res.status, res.cause = c.upstreams.probe(ctx, u, false)
		c.results <- res
	}()
}

// handleResult reports the result of a status request to the core and the round
// that it belongs to, and sends the request queued behind it.
func (c *confirmer) handleResult(ctx context.Context, res statusResult) {
	c.inFlight[res.upstream] = false
	c.core.Report(event.ProbeDone{Upstream: res.upstream, SentAt: res.sentAt, Status: res.status, Cause: res.cause})
	if res.round != 0 {
		c.handleRoundResult(ctx, res)
	}
	if round, ok := c.queued[res.upstream]; ok && !c.inFlight[res.upstream] {
		delete(c.queued, res.upstream)
		c.query(ctx, res.upstream, round, c.core.Now())
	}
}

func (c *confirmer) handleRoundResult(ctx context.Context, res statusResult) {
	if res.cause != tables.CauseNone {
		c.tracker.Fail(res.round, res.upstream)
		return
	}
	c.evidenceAt = res.sentAt
	for _, next := range c.tracker.Answer(res.round, res.upstream, res.status) {
		c.queryForRound(ctx, next, c.core.Now())
	}
}

// confirmers holds one confirmer per group, created on first use.
type confirmers struct {
	ctx       context.Context
	core      *core
	upstreams *upstreams
	byGroup   sync.Map // tables.GroupID to *confirmer
}

func (cs *confirmers) get(g tables.GroupID) *confirmer {
	if v, ok := cs.byGroup.Load(g); ok {
		return v.(*confirmer)
	}
	c := newConfirmer(g, cs.core, cs.upstreams)
	v, loaded := cs.byGroup.LoadOrStore(g, c)
	if !loaded {
		go c.run(cs.ctx)
	}
	return v.(*confirmer)
}
