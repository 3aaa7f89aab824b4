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
	latencyBetween  = 500 * time.Microsecond
	latencyWithin   = 100 * time.Microsecond
	retransmitAfter = 200 * time.Millisecond
	tickInterval    = 10 * time.Millisecond
	requestTimeout  = time.Second
	askTimeout      = 300 * time.Millisecond
	roundLimit      = 500 * time.Millisecond
	roundPause      = 2 * time.Millisecond
	platformRefusal = 100 * time.Millisecond
	callerDeadline  = 5 * time.Second
	maxRecords      = 10_000
	theGroup        = tables.GroupID("g")
)

// step is a point of a flow at which a fault is injected.
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

// settings describe one run.
type settings struct {
	seed   uint64
	rule   ack.Rule
	adjust func(*failover.Options)
	// ignore drops actions of a core that is broken on purpose.
	ignore func(action.Action) bool
	// unconfirmed takes the primary's word for a confirmed point.
	unconfirmed bool
	// careless lets the platform ignore the condition on a row's version.
	careless     bool
	loss         float64
	writeEvery   time.Duration
	replicaEvery time.Duration
}

// timer is a scheduled call.
type timer struct {
	at  tables.Time
	seq uint64
	run func()
}

type timers []timer

func (q timers) Len() int      { return len(q) }
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q timers) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q *timers) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	*q = (*q)[:last]
	return t
}

// host is a machine on the network. A frozen host keeps its input until it resumes.
type host struct {
	name       string
	dataCentre tables.DataCentreID
	down       bool
	frozen     bool
	inbox      []func()
}

// simulation is one run of several proxies against fakes.
type simulation struct {
	settings
	now      tables.Time
	seq      uint64
	queue    timers
	random   *rand.Rand
	servers  []*server
	proxies  []*proxy
	platform *rowTable
	cuts     []func(a, b *host) bool
	onStep   func(step, *proxy)
	// onAcknowledged and onTick let a load on top follow the run; nil for none.
	onAcknowledged func(acknowledgement)
	onTick         func(*proxy)
	planned        bool
	checks         *checker
	writes         uint64
}

// server is an emulated database server.
type server struct {
	host
	id    tables.UpstreamID
	state *replog.State
	slow  time.Duration
	lag   time.Duration
}

// newSimulation returns three data centres with one server each and five proxies.
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

// after schedules run.
func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, timer{at: s.now.Add(d), seq: s.seq, run: run})
}

// runUntil runs to the given time.
func (s *simulation) runUntil(end tables.Time) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		t := heap.Pop(&s.queue).(timer)
		s.now = t.at
		t.run()
	}
	s.now = end
}

// runWhile runs in short slices until the given time or until more returns false.
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

// transmit carries a message. A lost packet is sent again, as by TCP; across a
// cut nothing arrives.
func (s *simulation) transmit(from, to *host, deliver func()) {
	if s.cut(from, to) {
		return
	}
	d := latencyBetween
	if from.dataCentre == to.dataCentre {
		d = latencyWithin
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
	if h.frozen {
		h.inbox = append(h.inbox, deliver)
		return
	}
	deliver()
}

func (h *host) resume() {
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, deliver := range inbox {
		h.receive(deliver)
	}
}

// reply is what a server answers.
type reply struct {
	status   tables.Status
	position tables.Position
	servedAt tables.Time
	err      error
	cause    tables.Cause
}

// request asks a server; done runs once, at the latest after timeout. A killed
// server refuses. A silent connection carries nothing unless it is a fresh one.
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

// replicate lets a replica pull from the primary that it follows.
func (s *simulation) replicate(r *server) {
	s.after(s.replicaEvery+r.lag, func() { s.replicate(r) })
	following, term := r.state.Status().Following, r.state.FollowedTerm()
	if r.down || r.frozen || following == "" {
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

// reach tells the armed fault that a flow is at a step.
func (s *simulation) reach(at step, p *proxy) {
	if s.onStep != nil {
		s.onStep(at, p)
	}
}

// tellAcknowledged passes on the newest acknowledgement.
func (s *simulation) tellAcknowledged() {
	if s.onAcknowledged != nil {
		s.onAcknowledged(s.checks.acks[len(s.checks.acks)-1])
	}
}

// rowTable is the fake of the platform's table with the one row.
type rowTable struct {
	host
	row      tables.GroupRow
	version  uint64
	outcomes map[string]event.Outcome
	slow     time.Duration
	loses    bool
}

func (s *simulation) readRow(p *proxy) {
	s.transmit(&p.host, &s.platform.host, func() {
		e := event.GroupRowRead{Group: theGroup, Row: s.platform.row, Version: s.platform.version}
		d := s.platform.slow
		switch {
		case s.platform.down:
			e = event.GroupRowRead{Group: theGroup, Outcome: event.OutcomeFailed}
			d = platformRefusal
		case s.platform.version == 0:
			e.Outcome = event.OutcomeNotFound
		}
		s.after(d, func() { s.transmit(&s.platform.host, &p.host, func() { p.handle(e) }) })
	})
}

func (s *simulation) writeRow(p *proxy, a action.WriteGroupRow) {
	s.transmit(&p.host, &s.platform.host, func() {
		e := event.GroupRowWritten{Group: theGroup, TxnID: a.TxnID, Outcome: s.platform.commit(s, a)}
		d := s.platform.slow
		if s.platform.down {
			d = platformRefusal
		}
		if s.platform.loses && e.Outcome == event.OutcomeOK {
			e.Outcome = event.OutcomeUnknown
		}
		s.after(d, func() { s.transmit(&s.platform.host, &p.host, func() { p.handle(e) }) })
	})
}

func (f *rowTable) commit(s *simulation, a action.WriteGroupRow) event.Outcome {
	if f.down {
		return event.OutcomeFailed
	}
	if o, ok := f.outcomes[a.TxnID]; ok {
		return o
	}
	o := event.OutcomeConflict
	if a.Version == f.version || s.careless {
		o = event.OutcomeOK
		s.checks.rowWritten(f.row, a.Row)
		f.row = a.Row
		f.version++
	}
	f.outcomes[a.TxnID] = o
	return o
}

// controlReply carries out a control request on a server.
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

// proxy is one entry VM with the real decision core.
type proxy struct {
	host
	sim      *simulation
	world    *tables.World
	detect   *detect.System
	failover *failover.System
	tracker  *ack.Tracker
	order    []tables.VMID
	silent   []tables.UpstreamID

	commits    []pendingWrite
	roundAt    tables.Time
	evidenceAt tables.Time
	confirmed  tables.ConfirmedPoint
}

// pendingWrite is a committed write that waits to be acknowledged.
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
		p.world.Upstreams.Put(m, tables.Upstream{ID: m, Group: theGroup, DataCentre: s.servers[j].dataCentre})
	}
	for j := range 5 {
		p.world.VMs.Put(vmID(j), tables.VM{ID: vmID(j)})
		p.order = append(p.order, vmID((j+1)%5))
	}
	p.world.Groups.Put(theGroup, tables.Group{ID: theGroup, Members: members})
	candidates := func(*tables.World, tables.GroupID) []tables.VMID { return p.order }
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
	p.do(p.detect.Tick(p.sim.now, p.world))
	p.do(p.failover.Tick(p.sim.now, p.world))
	p.settle()
	if p.sim.onTick != nil {
		p.sim.onTick(p)
	}
}

func (p *proxy) handle(ev event.Event) {
	if p.down {
		return
	}
	p.do(p.detect.Handle(p.sim.now, p.world, ev))
	p.do(p.failover.Handle(p.sim.now, p.world, ev))
	p.settle()
}

// settle passes what the systems learnt to the tracker and the checker.
func (p *proxy) settle() {
	g, _ := p.world.Groups.Get(theGroup)
	p.tracker.Replace(g.Term)
	if p.sim.unconfirmed {
		g.Confirmed = p.unconfirmedPoint(g)
	}
	if g.Confirmed != p.confirmed {
		p.confirmed = g.Confirmed
		p.sim.checks.confirmed(g.Confirmed)
		p.sim.reach(stepReadPolled, p)
	}
	p.pump()
}

// unconfirmedPoint is what a core would take that trusts the primary's word.
func (p *proxy) unconfirmedPoint(g tables.Group) tables.ConfirmedPoint {
	u, ok := p.world.Upstreams.Get(g.Primary)
	if !ok || u.Status.Role != tables.RolePrimary {
		return p.confirmed
	}
	return tables.ConfirmedPoint{Term: u.Status.Fenced, Position: u.Status.Last, SentAt: u.StatusSentAt}
}

func (p *proxy) do(actions []action.Action) {
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
			p.reachControl(stepFence, stepPlannedFence)
			p.control(a.Upstream, a.Term, tables.StepFence, func(st *replog.State) (tables.Status, error) { return st.Fence(a.Term) })
		case action.Promote:
			p.reachControl(stepPromote, stepPlannedPromote)
			p.control(a.Upstream, a.Term, tables.StepPromote, func(st *replog.State) (tables.Status, error) { return st.Promote(a.Term) })
		case action.Follow:
			p.reachControl(stepFollow, stepPlannedFollow)
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
			if g, _ := p.world.Groups.Get(theGroup); a.Row.Term == g.Term && a.Row.Term > s.platform.row.Term {
				s.reach(stepRow, p)
			}
			s.writeRow(p, a)
		case action.CloseConnections:
			p.silent = slices.DeleteFunc(p.silent, func(u tables.UpstreamID) bool { return u == a.Upstream })
		}
	}
}

func (p *proxy) reachControl(failing, planned step) {
	at := failing
	if p.sim.planned {
		at = planned
	}
	p.sim.reach(at, p)
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
		p.handle(event.ControlDone{Group: theGroup, Upstream: id, Term: term, Step: st, Outcome: outcomeOf(r), Status: r.status})
	})
}

// write sends one caller's write to the primary that this proxy knows.
func (p *proxy) write() {
	if p.down {
		return
	}
	s := p.sim
	s.after(s.writeEvery, func() { p.receive(p.write) })
	g, _ := p.world.Groups.Get(theGroup)
	if g.Primary == "" {
		return
	}
	s.writes++
	id, sentAt := s.writes, s.now
	body := strconv.FormatUint(id, 10)
	s.reach(stepWriteSent, p)
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
		s.reach(stepWriteCommitted, p)
		c := ack.Commit{ID: id, Primary: g.Primary, Term: g.Term, Position: r.position}
		p.commits = append(p.commits, pendingWrite{commit: c, body: body, sentAt: sentAt})
		p.tracker.Commit(c)
		p.pump()
		s.after(callerDeadline, func() { p.receive(func() { p.giveUp(id) }) })
	})
}

// giveUp ends the wait for a write whose caller's deadline has passed.
func (p *proxy) giveUp(id uint64) {
	p.tracker.Cancel(id)
	p.commits = slices.DeleteFunc(p.commits, func(w pendingWrite) bool { return w.commit.ID == id })
}

// pump reports decisions and keeps one round of questions under way.
func (p *proxy) pump() {
	for _, r := range p.tracker.Done() {
		i := slices.IndexFunc(p.commits, func(w pendingWrite) bool { return w.commit.ID == r.ID })
		if i < 0 {
			continue // its caller had given up when the decision came
		}
		w := p.commits[i]
		p.commits = slices.Delete(p.commits, i, i+1)
		if r.Outcome == ack.Acknowledged {
			p.sim.checks.acknowledged(p.world.Self, w, p.evidenceAt, p.sim.now)
			p.sim.tellAcknowledged()
		}
	}
	if p.tracker.Active() || p.down {
		return
	}
	asks := p.tracker.Start()
	p.roundAt = p.sim.now
	p.evidenceAt = p.sim.now
	p.ask(asks)
}

func (p *proxy) ask(asks []ack.StatusRequest) {
	for _, a := range asks {
		p.sim.request(p, a.Upstream, false, askTimeout, statusOf, func(r reply) { p.answer(a, r) })
	}
}

// answer passes an answer on. A round that took too long, as when this process
// was paused, is asked again from the start.
func (p *proxy) answer(a ack.StatusRequest, r reply) {
	switch {
	case p.sim.now.Sub(p.roundAt) >= roundLimit:
		p.tracker.Abort()
	case r.cause.Failing():
		p.tracker.Fail(a.Round, a.Upstream)
	default:
		p.answered(a, r)
	}
	p.sim.after(roundPause, func() { p.receive(p.carryOn) })
}

// carryOn asks lagging replicas again or starts the next round.
func (p *proxy) carryOn() {
	if p.down {
		return
	}
	p.ask(p.tracker.Retry())
	p.pump()
}

func (p *proxy) answered(a ack.StatusRequest, r reply) {
	asks := p.tracker.Answer(a.Round, a.Upstream, r.status)
	if asks != nil {
		p.evidenceAt = r.servedAt
		p.sim.reach(stepWriteRecheck, p)
	}
	if !p.down {
		p.ask(asks)
	}
}

func at(d time.Duration) tables.Time { return tables.Time(d) }
