package ramp_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/pace"
	"github.com/cranberrystage/cranberrystage/internal/systems/place"
	"github.com/cranberrystage/cranberrystage/internal/systems/ramp"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// A play runs one group of three servers behind many proxies in virtual time. The
// proxies decide with the packages that are in use: admit, pace, place and ramp.
const (
	playEnd     = 20 * time.Second
	serverUpAt  = 4 * time.Second
	serverQueue = 24
	target      = 400 * time.Millisecond
	failureTime = 300 * time.Millisecond
	idleTime    = time.Second
	tick        = 2 * time.Millisecond
)

type mode string

const (
	today     mode = "today"
	fixedRamp mode = "fixed ramp"
	thisRamp  mode = "this ramp"
)

// scenario is what happens to server 0, which comes up at serverUpAt.
type scenario struct {
	name string
	// slow is the factor of its statements at first, which falls to 1 within warm.
	slow float64
	warm time.Duration
	// downs are the times after serverUpAt at which it fails for a second.
	downs []time.Duration
	// writes are sent to server 0 alone; those of the second before wait for it.
	writes bool
	load   float64
}

type queued struct {
	q         *query
	handshake bool
}

type server struct {
	slots, running, longest int
	waiting                 []queued
	down                    bool
	run                     int // number of the run, to ignore results of an earlier one
	served                  int
}

// access is one proxy's view of one server.
type access struct {
	queue     *admit.Queue
	waiting   map[admit.ID]*query
	pace      pace.Limit
	ramp      ramp.Ramp
	rampFrom  tables.Time
	latency   time.Duration
	inFlight  int
	idle      []tables.Time
	avoid     tables.Time
	fullSince tables.Time
}

type query struct {
	proxy, server   int
	arrived, sentAt tables.Time
	admittedAt      tables.Time
	tried           [3]bool
}

type event struct {
	at  tables.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

type play struct {
	scenario
	mode    mode
	rnd     *rand.Rand
	now     tables.Time
	events  events
	seq     int
	lastID  admit.ID
	proxies [][3]*access
	servers [3]server
	asked   int
	inTime  int
	refused int
}

func newPlay(m mode, sc scenario, proxies, slots int, seed uint64) *play {
	p := &play{scenario: sc, mode: m, rnd: rand.New(rand.NewPCG(seed, 3)), proxies: make([][3]*access, proxies)}
	for i := range p.servers {
		p.servers[i].slots = slots
	}
	p.servers[0].down = true
	for i := range p.proxies {
		for j := range p.proxies[i] {
			p.proxies[i][j] = &access{queue: admit.NewQueue(slots, 256), waiting: make(map[admit.ID]*query), pace: pace.New(slots)}
		}
		p.proxies[i][0].avoid = tables.Time(math.MaxInt64)
	}
	return p
}

func (p *play) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, event{at: p.now.Add(d), seq: p.seq, do: do})
}

// run plays the load, as a part of what all servers can run.
func (p *play) run(load float64) {
	rate := load * float64(p.servers[0].slots) / 0.031
	if !p.writes {
		rate *= 3
	}
	var arrive func()
	arrive = func() {
		q := &query{proxy: p.rnd.IntN(len(p.proxies)), arrived: p.now}
		if !p.writes || p.now >= tables.Time(serverUpAt-time.Second) {
			p.arrive(q)
		}
		p.after(time.Duration(p.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	p.after(0, arrive)
	p.after(0, p.tick)
	p.after(serverUpAt, func() { p.up(p.upReason()) })
	for _, d := range p.downs {
		p.after(serverUpAt+d, p.fail)
		p.after(serverUpAt+d+time.Second, func() { p.up(ramp.Recovered) })
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(event)
		if p.now = e.at; p.now > tables.Time(playEnd) {
			return
		}
		e.do()
	}
}

func (p *play) upReason() ramp.Reason {
	if p.writes {
		return ramp.Promoted
	}
	return ramp.Started
}

func (p *play) up(why ramp.Reason) {
	s := &p.servers[0]
	s.down = false
	s.run++
	for i := range p.proxies {
		p.after(time.Duration(p.rnd.IntN(50))*time.Millisecond, func() {
			a := p.proxies[i][0]
			a.avoid, a.rampFrom, a.fullSince = 0, p.now, 0
			if why == ramp.Started {
				a.latency = 0
			}
			if p.mode == thisRamp {
				a.ramp.Begin(p.now, why, ramp.Server{Slots: s.slots, Proxies: len(p.proxies), Others: p.proxies[i][1].latency}, p.rnd.Float64())
			}
			p.setSlots(a)
		})
	}
}

func (p *play) fail() {
	s := &p.servers[0]
	lost := s.waiting
	s.down, s.run, s.running, s.waiting = true, s.run+1, 0, nil
	for _, w := range lost {
		p.lost(w.q)
	}
}

func (p *play) tick() {
	used := len(p.servers)
	if p.writes {
		used = 1
	}
	for i := range p.proxies {
		for j, a := range p.proxies[i][:used] {
			if j == 0 && (a.ramp.Active() || a.rampFrom != 0 && a.fullSince == 0) {
				a.ramp.SetOthers(p.proxies[i][1].latency)
				a.ramp.Advance(p.now)
				p.setSlots(a)
			}
			if len(a.waiting) > 0 {
				p.started(a, a.queue.StartUrgent(p.now))
				p.refuseAll(a, a.queue.Expire(p.now))
			}
		}
	}
	p.after(tick, p.tick)
}

// limits returns how many statements a may run, and how many more instead of refusing them.
func (p *play) limits(a *access) (slots, reserve int) {
	limit := a.pace.Slots()
	if p.mode == fixedRamp && a.rampFrom != 0 && p.now.Sub(a.rampFrom) < ramp.FullWithin {
		slots = min(limit, max(1, int(float64(limit)*float64(p.now.Sub(a.rampFrom))/float64(ramp.FullWithin))))
		return slots, limit - slots
	}
	return a.ramp.Slots(limit), a.ramp.Reserve(limit)
}

func (p *play) setSlots(a *access) {
	slots, reserve := p.limits(a)
	if a.fullSince == 0 && a.rampFrom != 0 && reserve == 0 && !a.ramp.Active() {
		a.fullSince = p.now
	}
	a.queue.SetReserve(reserve)
	p.outcome(a, a.queue.SetSlots(p.now, slots))
}

func (p *play) arrive(q *query) {
	if p.now > tables.Time(serverUpAt-time.Second) && p.now < tables.Time(playEnd-time.Second) {
		p.asked++
	}
	p.choose(q)
}

func (p *play) choose(q *query) {
	if p.now.Sub(q.arrived) > target && !p.writes {
		p.refused++
		return
	}
	if p.writes {
		if a := p.proxies[q.proxy][0]; p.now < a.avoid {
			p.after(tick, func() { p.choose(q) })
			return
		}
		p.offer(q, 0)
		return
	}
	var list [3]place.Candidate
	for i, a := range p.proxies[q.proxy] {
		slots, _ := p.limits(a)
		elsewhere := a.ramp.Elsewhere(p.now, a.inFlight) || p.mode == fixedRamp && slots < a.pace.Slots() && a.inFlight >= slots
		list[i] = place.Candidate{Local: true, Excluded: q.tried[i] || p.now < a.avoid, Elsewhere: elsewhere,
			Slots: p.servers[i].slots, Outstanding: a.inFlight, Latency: a.latency}
	}
	i, ok := place.Choose(list[:], p.rnd.Uint32())
	if !ok {
		q.tried = [3]bool{}
		p.after(20*time.Millisecond, func() { p.choose(q) })
		return
	}
	p.offer(q, i)
}

func (p *play) offer(q *query, i int) {
	q.server = i
	a := p.proxies[q.proxy][i]
	a.inFlight++
	a.ramp.Sent(p.now, len(a.idle) == 0)
	p.lastID++
	v := a.queue.Offer(p.now, admit.Request{ID: p.lastID, Weight: 1, Deadline: p.now.Add(2 * time.Second), MaxWait: min(target/5, max(target-p.now.Sub(q.arrived), 1))})
	if v.Evicted != nil {
		p.refuseAll(a, []admit.Refusal{*v.Evicted})
	}
	switch v.Kind {
	case admit.Run:
		p.connect(q)
	case admit.Wait:
		a.waiting[p.lastID] = q
	case admit.Refuse:
		p.again(q, true)
	}
}

func (p *play) started(a *access, ids []admit.ID) {
	for _, id := range ids {
		q := a.waiting[id]
		delete(a.waiting, id)
		p.connect(q)
	}
}

func (p *play) refuseAll(a *access, list []admit.Refusal) {
	for _, r := range list {
		q := a.waiting[r.ID]
		delete(a.waiting, r.ID)
		p.again(q, true)
	}
}

func (p *play) outcome(a *access, o admit.Outcome) {
	p.started(a, o.Started)
	p.refuseAll(a, o.Refused)
}

// again tries a query that has not run at another server. A write is tried again if
// the server refused it, as long as its caller has time to try another proxy.
func (p *play) again(q *query, atGate bool) {
	p.proxies[q.proxy][q.server].inFlight--
	q.tried[q.server] = true
	if p.writes && (atGate || p.now.Sub(q.arrived) > target*2/5) {
		p.refused++
		return
	}
	if p.writes {
		p.after(15*time.Millisecond, func() { p.choose(q) })
		return
	}
	p.after(0, func() { p.choose(q) })
}

// connect sends an admitted query, after a handshake if there is no idle connection.
func (p *play) connect(q *query) {
	a := p.proxies[q.proxy][q.server]
	q.admittedAt = p.now
	for len(a.idle) > 0 && p.now.Sub(a.idle[0]) > idleTime {
		a.idle = a.idle[1:]
	}
	if n := len(a.idle); n > 0 {
		a.idle = a.idle[:n-1]
		q.sentAt = p.now
		p.enqueue(queued{q: q})
		return
	}
	p.enqueue(queued{q: q, handshake: true})
}

func (p *play) enqueue(w queued) {
	s := &p.servers[w.q.server]
	switch {
	case s.down:
		p.lost(w.q)
	case s.running < s.slots:
		p.start(s, w)
	case len(s.waiting) >= serverQueue:
		a := p.proxies[w.q.proxy][w.q.server]
		if !w.handshake {
			a.idle = append(a.idle, p.now)
			a.pace.Refused(p.now)
			a.ramp.Refused(p.now)
		} else {
			a.avoid = p.now.Add(failureTime / 4)
		}
		p.release(w.q)
		p.again(w.q, false)
	default:
		s.waiting = append(s.waiting, w)
		s.longest = max(s.longest, len(s.waiting))
	}
}

func (p *play) start(s *server, w queued) {
	s.running++
	took := 12 * time.Millisecond
	if !w.handshake {
		took = time.Duration(24 * math.Exp(0.7*p.rnd.NormFloat64()) * p.factor(w.q.server) * float64(time.Millisecond))
	}
	run := s.run
	p.after(took, func() {
		if s.run != run {
			p.lost(w.q)
			return
		}
		s.running--
		if w.handshake {
			w.q.sentAt = p.now
			p.enqueue(queued{q: w.q})
		} else {
			p.answered(s, w.q)
		}
		if len(s.waiting) > 0 && s.running < s.slots {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			p.start(s, next)
		}
	})
}

// factor returns how much slower than usual a server runs a statement now.
func (p *play) factor(i int) float64 {
	since := p.now.Sub(tables.Time(serverUpAt))
	for _, d := range p.downs {
		if since >= d+time.Second {
			since -= d + time.Second
		}
	}
	if i != 0 || since >= p.warm {
		return 1
	}
	return 1 + (p.slow-1)*(1-float64(since)/float64(p.warm))
}

func (p *play) release(q *query) {
	a := p.proxies[q.proxy][q.server]
	p.outcome(a, a.queue.Release(p.now, p.now.Sub(q.admittedAt)))
}

func (p *play) answered(s *server, q *query) {
	a := p.proxies[q.proxy][q.server]
	took := p.now.Sub(q.sentAt)
	a.inFlight--
	a.idle = append(a.idle, p.now)
	if a.latency == 0 {
		a.latency = took
	}
	a.latency += (took - a.latency) / 8
	a.pace.Answered(p.now, took, target)
	a.ramp.Answered(p.now, took, target)
	a.ramp.Advance(p.now)
	if since := p.now.Sub(tables.Time(serverUpAt)); since >= 0 && since < ramp.FullWithin {
		s.served++
	}
	late := p.now.Sub(q.arrived) > target
	if p.writes && q.arrived < tables.Time(serverUpAt) {
		late = p.now.Sub(tables.Time(serverUpAt)) > target // it waited for the promotion
	}
	counted := q.arrived > tables.Time(serverUpAt-time.Second) && q.arrived < tables.Time(playEnd-time.Second)
	if !late && counted {
		p.inTime++
	}
	p.release(q)
	p.setSlots(a)
}

// lost records that the server failed with the query, which is a read and tried elsewhere.
func (p *play) lost(q *query) {
	a := p.proxies[q.proxy][q.server]
	a.idle = nil
	a.avoid = p.now.Add(failureTime)
	p.release(q)
	p.again(q, false)
}

// full returns how long the last proxy took to use all slots, since it learned that the
// server was up the last time.
func (p *play) full() time.Duration {
	last := time.Duration(0)
	for _, a := range p.proxies {
		if a[0].fullSince == 0 {
			return playEnd
		}
		last = max(last, a[0].fullSince.Sub(a[0].rampFrom))
	}
	return last
}

// Neither the server's longest queue nor the part answered in time may get worse than
// without a ramp (half a percent is left for chance), and the time until full use must
// keep its bounds.
func TestPlayedStarts(t *testing.T) {
	scenarios := []scenario{
		{name: "healthy at once", slow: 1},
		{name: "warm-up x4, 2 s", slow: 4, warm: 2 * time.Second},
		{name: "slow start x8, 5 s", slow: 8, warm: 5 * time.Second},
		{name: "flaps, x4, 1 s", slow: 4, warm: time.Second, downs: []time.Duration{1500 * time.Millisecond, 4 * time.Second}},
		{name: "promoted, x1", slow: 1, warm: time.Second, writes: true, load: 0.4},
		{name: "promoted, x1.5, 1 s", slow: 1.5, warm: time.Second, writes: true, load: 0.4},
		{name: "promoted, x3, 1 s", slow: 3, warm: time.Second, writes: true, load: 0.4},
	}
	text := fmt.Sprintf("%-19s %7s  %-10s  %7s  %8s  %8s  %6s  %6s\n", "server", "proxies", "way", "in time", "refused", "queue", "3 s", "full")
	for _, sc := range scenarios {
		for _, d := range []struct{ proxies, slots int }{{5, 6}, {37, 5}, {83, 4}} {
			part, queue := map[mode]float64{}, map[mode]int{}
			for _, m := range []mode{today, fixedRamp, thisRamp} {
				seeds := 3
				if sc.writes {
					seeds = 30 // with 12, chance alone made a difference of 0.005
				}
				var asked, inTime, refused, served int
				var full time.Duration
				for seed := range seeds {
					p := newPlay(m, sc, d.proxies, d.slots, uint64(seed))
					p.run(map[bool]float64{false: 0.55, true: sc.load}[sc.writes])
					asked, inTime, refused, served = asked+p.asked, inTime+p.inTime, refused+p.refused, served+p.servers[0].served
					queue[m], full = max(queue[m], p.servers[0].longest), max(full, p.full())
				}
				part[m] = float64(inTime) / float64(asked)
				text += fmt.Sprintf("%-19s %7d  %-10s  %7.4f  %8d  %8d  %6d  %5.1fs\n", sc.name, d.proxies, m, part[m], refused, queue[m], served/seeds, full.Seconds())
				if m == thisRamp {
					limit := ramp.LongestRamp
					if sc.slow == 1 || sc.writes {
						limit = ramp.FullWithin
					}
					assert.Check(t, full <= limit+tick, "%s, %d proxies: %s", sc.name, d.proxies, full)
				}
			}
			assert.Check(t, part[thisRamp] >= part[today]-0.005, "%s, %d proxies", sc.name, d.proxies)
			assert.Check(t, queue[thisRamp] <= queue[today], "%s, %d proxies", sc.name, d.proxies)
		}
	}
	t.Log("\n" + text)
}
