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
	// roundSpacing is the least time between the starts of two rounds of one group.
	roundSpacing = 300 * time.Microsecond
	// statusTimeout bounds one status request of a round.
	statusTimeout = 500 * time.Millisecond
	// roundLimit bounds the age of a round's first answers.
	roundLimit = statusTimeout
	// evidenceWindow is how old the evidence of an acknowledgement may be when it
	// goes to the caller. An answer that was not held up by a pause is younger.
	evidenceWindow = statusTimeout
	// answersQueued exceeds the requests that a group can have under way.
	answersQueued = 64
)

// decision is the outcome of a commit.
type decision struct {
	outcome ack.Outcome
	// evidenceAt is when the primary was last asked before it.
	evidenceAt tables.Time
}

// commitWait is a commit whose caller waits.
type commitWait struct {
	commit  ack.Commit
	decided chan decision
	gone    bool
}

// statusAnswer is the end of one status request.
type statusAnswer struct {
	upstream tables.UpstreamID
	sentAt   tables.Time
	status   tables.Status
	cause    tables.Cause
	round    uint64
}

// confirmer decides the commits of one group and refreshes its confirmed point
// on demand. Requests at the same moment share one round.
type confirmer struct {
	group     tables.GroupID
	core      *core
	upstreams *upstreams
	wake      chan struct{}
	answers   chan statusAnswer

	mu        sync.Mutex
	arrived   []*commitWait
	wantPoint bool

	// The rest belongs to run.
	tracker  *ack.Tracker
	members  []tables.UpstreamID
	waiting  map[uint64]*commitWait
	nextID   uint64
	inFlight map[tables.UpstreamID]bool
	queued   map[tables.UpstreamID]uint64
	notUntil tables.Time
	// roundAt is when the last round began.
	roundAt tables.Time
	// evidenceAt is when the request was sent that ended the last round.
	evidenceAt tables.Time
}

func newConfirmer(g tables.GroupID, c *core, u *upstreams) *confirmer {
	return &confirmer{
		group:     g,
		core:      c,
		upstreams: u,
		wake:      make(chan struct{}, 1),
		answers:   make(chan statusAnswer, answersQueued),
		waiting:   make(map[uint64]*commitWait),
		inFlight:  make(map[tables.UpstreamID]bool),
		queued:    make(map[tables.UpstreamID]uint64),
	}
}

// point asks for a new confirmed point.
func (c *confirmer) point() {
	c.mu.Lock()
	c.wantPoint = true
	c.mu.Unlock()
	c.poke()
}

func (c *confirmer) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// acknowledge waits until cm is decided or ctx ends. A decision whose evidence
// has grown old, because this process was paused, is made again.
func (c *confirmer) acknowledge(ctx context.Context, cm ack.Commit) (ack.Outcome, error) {
	for {
		d, err := c.decide(ctx, cm)
		if err != nil || d.outcome != ack.Acknowledged || c.core.Now().Sub(d.evidenceAt) <= evidenceWindow {
			return d.outcome, err
		}
	}
}

// decide waits for one decision on cm.
func (c *confirmer) decide(ctx context.Context, cm ack.Commit) (decision, error) {
	w := &commitWait{commit: cm, decided: make(chan decision, 1)}
	c.mu.Lock()
	c.arrived = append(c.arrived, w)
	c.mu.Unlock()
	c.poke()
	select {
	case d := <-w.decided:
		return d, nil
	case <-ctx.Done():
		c.mu.Lock()
		w.gone = true
		c.mu.Unlock()
		c.poke()
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
		case a := <-c.answers:
			c.answered(ctx, a)
		}
		if again := c.step(ctx); again > 0 {
			timer.Reset(again)
		}
	}
}

// step starts what is due and returns when to look again; 0 means at the next event.
func (c *confirmer) step(ctx context.Context) time.Duration {
	g, ok := c.core.Snapshot().Group(c.group)
	if !ok {
		return 0
	}
	c.follow(g)
	wantPoint := c.admit()
	c.tracker.Replace(g.Term)
	c.settle()
	if !wantPoint && !c.tracker.Active() && c.tracker.Waiting() == 0 {
		return 0
	}
	now := c.core.Now()
	if now < c.notUntil {
		if wantPoint {
			c.mu.Lock()
			c.wantPoint = true
			c.mu.Unlock()
		}
		return c.notUntil.Sub(now)
	}
	c.notUntil = now.Add(roundSpacing)
	if wantPoint {
		c.askAll(ctx, now)
	}
	for _, a := range c.nextAsks(now) {
		c.askFor(ctx, a, now)
	}
	c.settle()
	if c.tracker.Waiting() > 0 {
		return roundSpacing
	}
	return 0
}

// nextAsks begins a round, or asks those again whose answers covered nothing,
// so that a round does not wait for a server that never answers. A round that a
// pause of this process made old rests on old answers and is begun anew.
func (c *confirmer) nextAsks(now tables.Time) []ack.StatusRequest {
	if c.tracker.Active() && now.Sub(c.roundAt) <= roundLimit {
		return c.tracker.Retry()
	}
	c.tracker.Abort()
	c.roundAt = now
	return c.tracker.Start()
}

// follow makes the tracker match the group's members.
func (c *confirmer) follow(g *route.Group) {
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

// admit hands new commits to the tracker and drops those whose callers left.
func (c *confirmer) admit() (wantPoint bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, w := range c.waiting {
		if w.gone {
			c.tracker.Cancel(id)
			delete(c.waiting, id)
		}
	}
	for _, w := range c.arrived {
		if w.gone {
			continue
		}
		c.nextID++
		w.commit.ID = c.nextID
		c.waiting[c.nextID] = w
		c.tracker.Commit(w.commit)
	}
	c.arrived = c.arrived[:0]
	wantPoint = c.wantPoint
	c.wantPoint = false
	return wantPoint
}

// settle tells callers what was decided.
func (c *confirmer) settle() {
	for _, r := range c.tracker.Done() {
		if w, ok := c.waiting[r.ID]; ok {
			w.decided <- decision{outcome: r.Outcome, evidenceAt: c.evidenceAt}
			delete(c.waiting, r.ID)
		}
	}
}

// askAll asks every member that has no request under way. All requests carry
// the same time, so that the primary's answer can be confirmed by the others'
// whatever the order in which they leave.
func (c *confirmer) askAll(ctx context.Context, now tables.Time) {
	for _, m := range c.members {
		if !c.inFlight[m] {
			c.ask(ctx, m, 0, now)
		}
	}
}

// askFor sends a request of a round, after the one under way if there is one.
func (c *confirmer) askFor(ctx context.Context, a ack.StatusRequest, now tables.Time) {
	if c.inFlight[a.Upstream] {
		c.queued[a.Upstream] = a.Round
		return
	}
	c.ask(ctx, a.Upstream, a.Round, now)
}

// ask sends a request; sentAt is no later than the moment at which it leaves.
func (c *confirmer) ask(ctx context.Context, u tables.UpstreamID, round uint64, sentAt tables.Time) {
	c.inFlight[u] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		a := statusAnswer{upstream: u, sentAt: sentAt, round: round}
		a.status, a.cause = c.upstreams.probe(ctx, u, false)
		c.answers <- a
	}()
}

func (c *confirmer) answered(ctx context.Context, a statusAnswer) {
	c.inFlight[a.upstream] = false
	c.core.Report(event.ProbeDone{Upstream: a.upstream, SentAt: a.sentAt, Status: a.status, Cause: a.cause})
	if a.round != 0 {
		c.roundAnswer(ctx, a)
	}
	if round, ok := c.queued[a.upstream]; ok && !c.inFlight[a.upstream] {
		delete(c.queued, a.upstream)
		c.ask(ctx, a.upstream, round, c.core.Now())
	}
}

func (c *confirmer) roundAnswer(ctx context.Context, a statusAnswer) {
	if a.cause != tables.CauseNone {
		c.tracker.Fail(a.round, a.upstream)
		return
	}
	c.evidenceAt = a.sentAt
	for _, next := range c.tracker.Answer(a.round, a.upstream, a.status) {
		c.askFor(ctx, next, c.core.Now())
	}
}

// confirmers holds one confirmer per group, made on first use.
type confirmers struct {
	ctx       context.Context
	core      *core
	upstreams *upstreams
	by        sync.Map // tables.GroupID to *confirmer
}

func (cs *confirmers) get(g tables.GroupID) *confirmer {
	if v, ok := cs.by.Load(g); ok {
		return v.(*confirmer)
	}
	c := newConfirmer(g, cs.core, cs.upstreams)
	v, loaded := cs.by.LoadOrStore(g, c)
	if !loaded {
		go c.run(cs.ctx)
	}
	return v.(*confirmer)
}
