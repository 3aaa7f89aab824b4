package faults

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/standin/replog"
	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/detect"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/failover"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Latencies and periods of the simulated deployment.
const (
	crossDataCentreLatency = 500 * time.Microsecond
	sameDataCentreLatency  = 100 * time.Microsecond
	retransmitAfter        = 200 * time.Millisecond
	tickInterval           = 10 * time.Millisecond
	requestTimeout         = time.Second
	statusTimeout          = 300 * time.Millisecond
	roundTimeout           = 500 * time.Millisecond
	roundPause             = 2 * time.Millisecond
	platformFailureDelay   = 100 * time.Millisecond
	callerDeadline         = 5 * time.Second
	maxRecords             = 10_000
	testGroup              = tables.GroupID("g")
)

// step is a point in a sequence of operations at which a fault is injected.
type step string

const (
	stepIdle           step = "idle"
	stepWriteSent      step = "write: sent"
	stepWriteCommitted step = "write: committed"
	stepWriteRecheck   step = "write: primary asked again"
	stepReadPolled     step = "aged read: polled"
	stepFence          step = "failover: fence"
	stepPromote        step = "failover: promote"
	stepFollow         step = "failover: follow"
	stepRow            step = "failover: row write"
	stepPlannedFence   step = "planned: fence"
	stepPlannedPromote step = "planned: promote"
	stepPlannedFollow  step = "planned: follow"
)

// settings configure one run.
type settings struct {
	seed uint64
	rule ack.Rule
	// adjust changes the failover options of each proxy; may be nil.
	adjust func(*failover.Options)
	// ignore selects actions that are dropped, to break the core on purpose.
	ignore func(action.Action) bool
	// unconfirmed uses the position that the primary reports as the confirmed point.
	unconfirmed bool
	// ignoreRowVersion makes the platform ignore the condition on the row's version.
	ignoreRowVersion bool
	// loss is the probability that a packet is lost.
	loss float64
	// writeEvery is the time between two writes of a proxy, replicaEvery that between
	// two pulls of a replica.
	writeEvery   time.Duration
	replicaEvery time.Duration
}

// timer is a scheduled function call.
type timer struct {
	at  tables.Time
	seq uint64
	run func()
}

type timers []timer

func (ts timers) Len() int      { return len(ts) }
func (ts timers) Swap(i, j int) { ts[i], ts[j] = ts[j], ts[i] }
func (ts *timers) Push(x any)   { *ts = append(*ts, x.(timer)) }
func (ts timers) Less(i, j int) bool {
	if ts[i].at != ts[j].at {
		return ts[i].at < ts[j].at
	}
	return ts[i].seq < ts[j].seq
}

func (ts *timers) Pop() any {
	last := len(*ts) - 1
	t := (*ts)[last]
	*ts = (*ts)[:last]
	return t
}

// host is a machine on the network. A paused host queues its input until it
// resumes.
type host struct {
	name       string
	dataCentre tables.DataCentreID
	down       bool
	paused     bool
	inbox      []func()
}

// simulation is one run of several proxies against fakes of servers, platform and
// network.
type simulation struct {
	settings
	now      tables.Time
	seq      uint64
	queue    timers
	random   *rand.Rand
	servers  []*server
	proxies  []*proxy
	platform *rowTable
	// cuts report whether two hosts are cut off from each other; either order of the
	// hosts suffices.
	cuts []func(a, b *host) bool
	// onStep is called when a proxy reaches a step; may be nil.
	onStep func(step, *proxy)
	// onAcknowledged and onTick are hooks for an additional load; may be nil.
	onAcknowledged func(acknowledgement)
	onTick         func(*proxy)
	// planned means that a planned move of the primary was started.
	planned bool
	checks  *checker
	writes  uint64
}

// server is an emulated database server.
type server struct {
	host
	id    tables.UpstreamID
	state *replog.State
	// slow is an additional delay of each request, lag of each replication pull.
	slow time.Duration
	lag  time.Duration
}

// newSimulation returns a simulation of three data centres with one server each
// and five proxies.
func newSimulation(set settings) *simulation {
	if set.rule.Quorum == nil {
		set.rule = ack.Strict()
	}
	if set.writeEvery == 0 {
		set.writeEvery = 20 * time.Millisecond
	}
	if set.replicaEvery == 0 {
		set.replicaEvery = 2 * time.Millisecond
	}
	s := &simulation{settings: set, random: rand.New(rand.NewPCG(set.seed, 1)), checks: newChecker()}
	s.platform = &rowTable{host: host{name: "platform"}, outcomes: make(map[string]event.Outcome)}
	centres := []tables.DataCentreID{"east", "west", "north"}
	for i, id := range []tables.UpstreamID{"a", "b", "c"} {
		h := host{name: string(id), dataCentre: centres[i]}
		s.servers = append(s.servers, &server{host: h, id: id, state: replog.New(i == 0)})
	}
	for _, r := range s.servers[1:] {
		_, _ = r.state.Follow("a", 1)
	}
	for i := range 5 {
		s.proxies = append(s.proxies, newProxy(s, i, centres[i%3]))
	}
	for _, r := range s.servers {
		s.after(s.jitter(set.replicaEvery), func() { s.replicate(r) })
	}
	return s
}

// after schedules run after d.
func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, timer{at: s.now.Add(d), seq: s.seq, run: run})
}

// runUntil runs the simulation until the given time.
func (s *simulation) runUntil(end tables.Time) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		t := heap.Pop(&s.queue).(timer)
		s.now = t.at
		t.run()
	}
	s.now = end
}

// runWhile runs in steps of tickInterval until the given time or until more
// returns false.
func (s *simulation) runWhile(end tables.Time, more func() bool) {
	for s.now < end && more() {
		s.runUntil(min(end, s.now.Add(tickInterval)))
	}
}

func (s *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

func (s *simulation) cut(a, b *host) bool {
	for _, c := range s.cuts {
		if c(a, b) || c(b, a) {
			return true
		}
	}
	return false
}

// transmit delivers a message after the network latency. A lost packet is
// retransmitted, as by TCP; nothing is delivered across a cut.
func (s *simulation) transmit(from, to *host, deliver func()) {
	if s.cut(from, to) {
		return
	}
	d := crossDataCentreLatency
	if from.dataCentre == to.dataCentre {
		d = sameDataCentreLatency
	}
	d += s.jitter(d / 5)
	for s.loss > 0 && s.random.Float64() < s.loss {
		d += retransmitAfter
	}
	s.after(d, func() {
		if !s.cut(from, to) {
			to.receive(deliver)
		}
	})
}

func (h *host) receive(deliver func()) {
	if h.paused {
		h.inbox = append(h.inbox, deliver)
		return
	}
	deliver()
}

func (h *host) resume() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, deliver := range inbox {
		h.receive(deliver)
	}
}

// reply is a server's reply to a request.
type reply struct {
	status   tables.Status
	position tables.Position
	servedAt tables.Time
	err      error
	cause    tables.Cause
}

// request sends a request to a server and calls done once, after timeout at the
// latest. A killed server refuses the connection. If the proxy's connection to
// the server is silent, only a request on a fresh connection is delivered.
func (s *simulation) request(p *proxy, id tables.UpstreamID, fresh bool, timeout time.Duration, serve func(*server) reply, done func(reply)) {
	srv := s.server(id)
	finished := false
	finish := func(r reply) {
		if !finished && !p.down {
			finished = true
			done(r)
		}
	}
	s.after(timeout, func() { p.receive(func() { finish(reply{cause: tables.CauseSilent}) }) })
	if !fresh && slices.Contains(p.silent, id) {
		return
	}
	s.transmit(&p.host, &srv.host, func() {
		if srv.down {
			s.transmit(&srv.host, &p.host, func() { finish(reply{cause: tables.CauseRefused}) })
			return
		}
		s.after(srv.slow, func() {
			srv.receive(func() {
				r := serve(srv)
				r.servedAt = s.now
				s.transmit(&srv.host, &p.host, func() { finish(r) })
			})
		})
	})
}

func (s *simulation) server(id tables.UpstreamID) *server {
	for _, srv := range s.servers {
		if srv.id == id {
			return srv
		}
	}
	panic(errors.Errorf("no server %s", id))
}

// replicate makes a replica pull records from the primary that it follows.
func (s *simulation) replicate(r *server) {
	s.after(s.replicaEvery+r.lag, func() { s.replicate(r) })
	following, term := r.state.Status().Following, r.state.FollowedTerm()
	if r.down || r.paused || following == "" {
		return
	}
	p := s.server(following)
	index := uint64(r.state.Len())
	s.transmit(&r.host, &p.host, func() {
		if p.down {
			return
		}
		previous, records, err := p.state.Entries(term, index, maxRecords)
		if err != nil {
			return
		}
		s.transmit(&p.host, &r.host, func() {
			if !r.down && uint64(r.state.Len()) >= index {
				_, _ = r.state.Apply(term, index, previous, records)
			}
		})
	})
}

// notifyStep calls the fault hook, if any, when a proxy reaches a step.
func (s *simulation) notifyStep(at step, p *proxy) {
	if s.onStep != nil {
		s.onStep(at, p)
	}
}

// notifyAcknowledged passes the newest acknowledgement to the load, if any.
func (s *simulation) notifyAcknowledged() {
	if s.onAcknowledged != nil {
		s.onAcknowledged(s.checks.acks[len(s.checks.acks)-1])
	}
}

// rowTable is the fake of the platform's table, which holds the row of one group.
type rowTable struct {
	host
	row         tables.GroupRow
	version     uint64
	outcomes    map[string]event.Outcome
	slow        time.Duration
	loseReplies bool
}

func (s *simulation) readRow(p *proxy) {
	s.transmit(&p.host, &s.platform.host, func() {
		e := event.GroupRowRead{Group: testGroup, Row: s.platform.row, Version: s.platform.version}
		d := s.platform.slow
		switch {
		case s.platform.down:
			e = event.GroupRowRead{Group: testGroup, Outcome: event.OutcomeFailed}
			d = platformFailureDelay
		case s.platform.version == 0:
			e.Outcome = event.OutcomeNotFound
		}
		s.after(d, func() { s.transmit(&s.platform.host, &p.host, func() { p.handle(e) }) })
	})
}

func (s *simulation) writeRow(p *proxy, a action.WriteGroupRow) {
	s.transmit(&p.host, &s.platform.host, func() {
		e := event.GroupRowWritten{Group: testGroup, TxnID: a.TxnID, Outcome: s.platform.commit(s, a)}
		d := s.platform.slow
		if s.platform.down {
			d = platformFailureDelay
		}
		if s.platform.loseReplies && e.Outcome == event.OutcomeOK {
			e.Outcome = event.OutcomeUnknown
		}
		s.after(d, func() { s.transmit(&s.platform.host, &p.host, func() { p.handle(e) }) })
	})
}

func (t *rowTable) commit(s *simulation, a action.WriteGroupRow) event.Outcome {
	if t.down {
		return event.OutcomeFailed
	}
	if o, ok := t.outcomes[a.TxnID]; ok {
		return o
	}
	o := event.OutcomeConflict
	if a.Version == t.version || s.ignoreRowVersion {
		o = event.OutcomeOK
		s.checks.rowWritten(t.row, a.Row)
		t.row = a.Row
		t.version++
	}
	t.outcomes[a.TxnID] = o
	return o
}

// controlReply runs a control request on a server and records a promotion.
func (s *simulation) controlReply(srv *server, run func(*replog.State) (tables.Status, error)) reply {
	before := srv.state.Status()
	status, err := run(srv.state)
	after := srv.state.Status()
	if after.Role == tables.RolePrimary && before.Role != tables.RolePrimary {
		s.checks.promoted(s.now, srv.id, srv.state)
	}
	return reply{status: status, err: err}
}

func outcomeOf(r reply) event.Outcome {
	switch {
	case r.cause == tables.CauseRefused:
		return event.OutcomeFailed
	case r.cause.Failing():
		return event.OutcomeUnknown
	case errors.Is(r.err, group.ErrFenced):
		return event.OutcomeFenced
	default:
		return event.OutcomeOK
	}
}

// proxy is an entry VM that runs the real decision core.
type proxy struct {
	host
	sim      *simulation
	world    *tables.World
	detect   *detect.System
	failover *failover.System
	tracker  *ack.Tracker
	// candidateOrder are the candidates for the coordination of a failover, the first
	// choice first.
	candidateOrder []tables.VMID
	// silent are the servers to which this proxy's open connection is silent.
	silent []tables.UpstreamID

	pending []pendingWrite
	// roundAt is when the current round of status requests started.
	roundAt tables.Time
	// evidenceAt is the time of the evidence of the current round: when the replica
	// that completed the quorum replied, before that when the round started.
	evidenceAt tables.Time
	// confirmed is the group's confirmed point that was last passed to the checker.
	confirmed tables.ConfirmedPoint
}

// pendingWrite is a committed write that is not acknowledged yet.
type pendingWrite struct {
	commit ack.Commit
	body   string
	sentAt tables.Time
}

func newProxy(s *simulation, i int, dc tables.DataCentreID) *proxy {
	id := vmID(i)
	p := &proxy{host: host{name: string(id), dataCentre: dc}, sim: s, world: tables.NewWorld(id, dc, "")}
	members := []tables.UpstreamID{"a", "b", "c"}
	for j, m := range members {
		p.world.Upstreams.Put(m, tables.Upstream{ID: m, Group: testGroup, DataCentre: s.servers[j].dataCentre})
	}
	for j := range 5 {
		p.world.VMs.Put(vmID(j), tables.VM{ID: vmID(j)})
		p.candidateOrder = append(p.candidateOrder, vmID((j+1)%5))
	}
	p.world.Groups.Put(testGroup, tables.Group{ID: testGroup, Members: members})
	candidates := func(*tables.World, tables.GroupID) []tables.VMID { return p.candidateOrder }
	options := failover.DefaultOptions(candidates)
	if s.adjust != nil {
		s.adjust(&options)
	}
	p.detect = detect.New(detect.DefaultOptions(candidates), rand.New(rand.NewPCG(s.seed, uint64(i)+10)))
	p.failover = failover.New(options, rand.New(rand.NewPCG(s.seed, uint64(i)+20)))
	p.tracker = ack.NewTrackerWithRule(members, s.rule)
	s.after(s.jitter(tickInterval), p.tick)
	s.after(s.jitter(s.writeEvery), p.write)
	return p
}

func vmID(i int) tables.VMID { return tables.VMID("vm" + strconv.Itoa(i+1)) }

func (p *proxy) tick() {
	if p.down {
		return
	}
	p.sim.after(tickInterval, func() { p.receive(p.tick) })
	p.perform(p.detect.Tick(p.sim.now, p.world))
	p.perform(p.failover.Tick(p.sim.now, p.world))
	p.propagate()
	if p.sim.onTick != nil {
		p.sim.onTick(p)
	}
}

func (p *proxy) handle(ev event.Event) {
	if p.down {
		return
	}
	p.perform(p.detect.Handle(p.sim.now, p.world, ev))
	p.perform(p.failover.Handle(p.sim.now, p.world, ev))
	p.propagate()
}

// propagate passes changes of the group's term and confirmed point to the tracker
// and the checker.
func (p *proxy) propagate() {
	g, _ := p.world.Groups.Get(testGroup)
	p.tracker.Replace(g.Term)
	if p.sim.unconfirmed {
		g.Confirmed = p.unconfirmedPoint(g)
	}
	if g.Confirmed != p.confirmed {
		p.confirmed = g.Confirmed
		p.sim.checks.confirmed(g.Confirmed)
		p.sim.notifyStep(stepReadPolled, p)
	}
	p.advanceTracker()
}

// unconfirmedPoint returns the point that a core would use if it trusted the
// position that the primary reports.
func (p *proxy) unconfirmedPoint(g tables.Group) tables.ConfirmedPoint {
	u, ok := p.world.Upstreams.Get(g.Primary)
	if !ok || u.Status.Role != tables.RolePrimary {
		return p.confirmed
	}
	return tables.ConfirmedPoint{Term: u.Status.Fenced, Position: u.Status.Last, SentAt: u.StatusSentAt}
}

func (p *proxy) perform(actions []action.Action) {
	s := p.sim
	for _, a := range actions {
		if p.down {
			return
		}
		if s.ignore != nil && s.ignore(a) {
			continue
		}
		switch a := a.(type) {
		case action.Probe:
			p.probe(a)
		case action.Fence:
			p.notifyControlStep(stepFence, stepPlannedFence)
			p.control(a.Upstream, a.Term, tables.StepFence, func(st *replog.State) (tables.Status, error) { return st.Fence(a.Term) })
		case action.Promote:
			p.notifyControlStep(stepPromote, stepPlannedPromote)
			p.control(a.Upstream, a.Term, tables.StepPromote, func(st *replog.State) (tables.Status, error) { return st.Promote(a.Term) })
		case action.Follow:
			p.notifyControlStep(stepFollow, stepPlannedFollow)
			p.control(a.Upstream, a.Term, tables.StepFollow, func(st *replog.State) (tables.Status, error) { return st.Follow(a.Primary, a.Term) })
		case action.Publish:
			for _, q := range s.proxies {
				if slices.Contains(a.To, q.world.Self) {
					s.transmit(&p.host, &q.host, func() { q.handle(event.PeerMessage{Message: a.Message}) })
				}
			}
		case action.ReadGroupRow:
			s.readRow(p)
		case action.WriteGroupRow:
			if g, _ := p.world.Groups.Get(testGroup); a.Row.Term == g.Term && a.Row.Term > s.platform.row.Term {
				s.notifyStep(stepRow, p)
			}
			s.writeRow(p, a)
		case action.CloseConnections:
			p.silent = slices.DeleteFunc(p.silent, func(u tables.UpstreamID) bool { return u == a.Upstream })
		}
	}
}

func (p *proxy) notifyControlStep(failing, planned step) {
	at := failing
	if p.sim.planned {
		at = planned
	}
	p.sim.notifyStep(at, p)
}

func (p *proxy) probe(a action.Probe) {
	sentAt := p.sim.now
	p.sim.request(p, a.Upstream, a.Fresh, requestTimeout, statusOf, func(r reply) {
		p.handle(event.ProbeDone{Upstream: a.Upstream, SentAt: sentAt, Status: r.status, Cause: r.cause, Fresh: a.Fresh})
	})
}

func statusOf(srv *server) reply { return reply{status: srv.state.Status()} }

func (p *proxy) control(id tables.UpstreamID, term tables.Term, st tables.Step, run func(*replog.State) (tables.Status, error)) {
	if p.down {
		return
	}
	serve := func(srv *server) reply { return p.sim.controlReply(srv, run) }
	p.sim.request(p, id, true, requestTimeout, serve, func(r reply) {
		p.handle(event.ControlDone{Group: testGroup, Upstream: id, Term: term, Step: st, Outcome: outcomeOf(r), Status: r.status})
	})
}

// write sends one caller's write to the primary in this proxy's cached state.
func (p *proxy) write() {
	if p.down {
		return
	}
	s := p.sim
	s.after(s.writeEvery, func() { p.receive(p.write) })
	g, _ := p.world.Groups.Get(testGroup)
	if g.Primary == "" {
		return
	}
	s.writes++
	id, sentAt := s.writes, s.now
	body := strconv.FormatUint(id, 10)
	s.notifyStep(stepWriteSent, p)
	serve := func(srv *server) reply {
		pos, err := srv.state.Append(g.Term, body)
		return reply{position: pos, err: err}
	}
	s.request(p, g.Primary, false, requestTimeout, serve, func(r reply) {
		if r.cause.Failing() {
			p.handle(event.StatementFailed{Upstream: g.Primary, Cause: r.cause})
			return
		}
		if r.err != nil {
			return
		}
		s.notifyStep(stepWriteCommitted, p)
		c := ack.Commit{ID: id, Primary: g.Primary, Term: g.Term, Position: r.position}
		p.pending = append(p.pending, pendingWrite{commit: c, body: body, sentAt: sentAt})
		p.tracker.Commit(c)
		p.advanceTracker()
		s.after(callerDeadline, func() { p.receive(func() { p.cancelWrite(id) }) })
	})
}

// cancelWrite removes a pending write whose caller's deadline has passed.
func (p *proxy) cancelWrite(id uint64) {
	p.tracker.Cancel(id)
	p.pending = slices.DeleteFunc(p.pending, func(w pendingWrite) bool { return w.commit.ID == id })
}

// advanceTracker reports the tracker's decisions and starts a new round of status
// requests unless one is under way.
func (p *proxy) advanceTracker() {
	for _, r := range p.tracker.Done() {
		i := slices.IndexFunc(p.pending, func(w pendingWrite) bool { return w.commit.ID == r.ID })
		if i < 0 {
			continue // the caller's deadline passed before the decision
		}
		w := p.pending[i]
		p.pending = slices.Delete(p.pending, i, i+1)
		if r.Outcome == ack.Acknowledged {
			p.sim.checks.acknowledged(p.world.Self, w, p.evidenceAt, p.sim.now)
			p.sim.notifyAcknowledged()
		}
	}
	if p.tracker.Active() || p.down {
		return
	}
	requests := p.tracker.Start()
	p.roundAt = p.sim.now
	p.evidenceAt = p.sim.now
	p.requestStatus(requests)
}

func (p *proxy) requestStatus(requests []ack.StatusRequest) {
	for _, a := range requests {
		p.sim.request(p, a.Upstream, false, statusTimeout, statusOf, func(r reply) { p.handleStatusReply(a, r) })
	}
}

// handleStatusReply passes a reply to the tracker. A round that exceeds
// roundTimeout, for example because this process was paused, is aborted and
// started again.
func (p *proxy) handleStatusReply(a ack.StatusRequest, r reply) {
	switch {
	case p.sim.now.Sub(p.roundAt) >= roundTimeout:
		p.tracker.Abort()
	case r.cause.Failing():
		p.tracker.Fail(a.Round, a.Upstream)
	default:
		p.applyStatusReply(a, r)
	}
	p.sim.after(roundPause, func() { p.receive(p.continueRound) })
}

// continueRound repeats the requests to lagging replicas or starts the next round.
func (p *proxy) continueRound() {
	if p.down {
		return
	}
	p.requestStatus(p.tracker.Retry())
	p.advanceTracker()
}

func (p *proxy) applyStatusReply(a ack.StatusRequest, r reply) {
	requests := p.tracker.Answer(a.Round, a.Upstream, r.status)
	if requests != nil {
		p.evidenceAt = r.servedAt
		p.sim.notifyStep(stepWriteRecheck, p)
	}
	if !p.down {
		p.requestStatus(requests)
	}
}

func at(d time.Duration) tables.Time { return tables.Time(d) }
