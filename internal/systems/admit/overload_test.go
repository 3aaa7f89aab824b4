package admit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// The simulation has one upstream with simSlots slots, exponentially distributed
// service times, and open-loop callers that time out after simDeadline and retry.
const (
	simSlots    = 3
	simService  = 10 * time.Millisecond
	simDeadline = 200 * time.Millisecond
	simRetries  = 3
	simCapacity = float64(simSlots) / 0.010 // requests per second
)

// admission is the interface under simulation.
type admission interface {
	Offer(tables.Time, Request) Verdict
	Release(tables.Time, time.Duration) Outcome
	Expire(tables.Time) []Refusal
}

// fifo is the baseline: an unbounded queue that runs requests in order of arrival.
type fifo struct {
	running int
	queue   []ID
}

func (f *fifo) Offer(_ tables.Time, r Request) Verdict {
	if f.running < simSlots {
		f.running++
		return Verdict{Kind: Run}
	}
	f.queue = append(f.queue, r.ID)
	return Verdict{Kind: Wait}
}

func (f *fifo) Release(tables.Time, time.Duration) Outcome {
	if len(f.queue) == 0 {
		f.running--
		return Outcome{}
	}
	id := f.queue[0]
	f.queue = f.queue[1:]
	return Outcome{Started: []ID{id}}
}

func (f *fifo) Expire(tables.Time) []Refusal { return nil }

type simKind uint8

const (
	simArrive simKind = iota
	simRetry
	simDone
	simTimeout
	simExpire
)

type simEvent struct {
	at   tables.Time
	seq  int
	kind simKind
	id   ID
	took time.Duration
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type caller struct {
	tries    int
	deadline tables.Time
	settled  bool
}

// simulation runs one admission under a variable load.
type simulation struct {
	adm        admission
	rnd        *rand.Rand
	load       func(tables.Time) float64 // as a multiple of simCapacity
	eventQueue eventQueue
	seq        int
	now        tables.Time
	callers    []caller
	succeeded  []int // requests completed in time, by second
	arrived    []int // requests sent, without retries, by second
}

func simulate(adm admission, seed uint64, seconds int, load func(tables.Time) float64) *simulation {
	s := &simulation{adm: adm, rnd: rand.New(rand.NewPCG(seed, 1)), load: load,
		succeeded: make([]int, seconds+1), arrived: make([]int, seconds+1)}
	end := tables.Time(time.Duration(seconds) * time.Second)
	s.schedule(0, simEvent{kind: simArrive})
	s.schedule(0, simEvent{kind: simExpire})
	for s.eventQueue.Len() > 0 {
		e := heap.Pop(&s.eventQueue).(simEvent)
		if s.now = e.at; s.now >= end {
			break
		}
		s.handle(e)
	}
	return s
}

func (s *simulation) schedule(after time.Duration, e simEvent) {
	s.seq++
	e.at, e.seq = s.now.Add(after), s.seq
	heap.Push(&s.eventQueue, e)
}

func (s *simulation) second() int { return int(time.Duration(s.now) / time.Second) }

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rnd.ExpFloat64() * float64(mean))
}

func (s *simulation) handle(e simEvent) {
	switch e.kind {
	case simArrive:
		s.arrived[s.second()]++
		s.sendRequest(0)
		rate := s.load(s.now) * simCapacity
		s.schedule(s.exponential(time.Duration(float64(time.Second)/rate)), simEvent{kind: simArrive})
	case simRetry:
		s.sendRequest(s.callers[e.id].tries + 1)
	case simDone:
		if c := &s.callers[e.id]; !c.settled {
			c.settled = true
			s.succeeded[s.second()]++
		}
		s.apply(s.adm.Release(s.now, e.took))
	case simTimeout:
		if !s.callers[e.id].settled {
			s.failed(e.id, 0)
		}
	case simExpire:
		s.apply(Outcome{Refused: s.adm.Expire(s.now)})
		s.schedule(2*time.Millisecond, simEvent{kind: simExpire})
	}
}

func (s *simulation) sendRequest(tries int) {
	id := ID(len(s.callers))
	deadline := s.now.Add(simDeadline)
	s.callers = append(s.callers, caller{tries: tries, deadline: deadline})
	s.schedule(simDeadline, simEvent{kind: simTimeout, id: id})
	v := s.adm.Offer(s.now, Request{ID: id, Service: "s", Weight: 1, Deadline: deadline})
	switch v.Kind {
	case Run:
		s.start(id)
	case Refuse:
		s.failed(id, v.Err.RetryAfter)
	}
	if v.Evicted != nil {
		s.failed(v.Evicted.ID, v.Evicted.Err.RetryAfter)
	}
}

func (s *simulation) start(id ID) {
	took := s.exponential(simService)
	s.schedule(took, simEvent{kind: simDone, id: id, took: took})
}

// failed ends a try that was refused or timed out and schedules the next one.
func (s *simulation) failed(id ID, after time.Duration) {
	c := &s.callers[id]
	c.settled = true
	if c.tries < simRetries {
		s.schedule(after+s.exponential(20*time.Millisecond), simEvent{kind: simRetry, id: id})
	}
}

func (s *simulation) apply(o Outcome) {
	for _, id := range o.Started {
		s.start(id)
	}
	for _, r := range o.Refused {
		s.failed(r.ID, r.Err.RetryAfter)
	}
}

// goodput returns the mean number of requests completed in time per second,
// without the first two seconds.
func (s *simulation) goodput() float64 {
	sum := 0
	for _, n := range s.succeeded[2 : len(s.succeeded)-1] {
		sum += n
	}
	return float64(sum) / float64(len(s.succeeded)-3)
}

func constant(x float64) func(tables.Time) float64 {
	return func(tables.Time) float64 { return x }
}

func TestGoodputUnderOverload(t *testing.T) {
	peak := 0.0
	at := make(map[float64]float64)
	t.Log("load  this package  first in, first out   (requests completed in time per second, capacity 300)")
	for _, x := range []float64{0.5, 1, 2, 5} {
		ours := simulate(NewQueue(simSlots, 200), 7, 30, constant(x)).goodput()
		base := simulate(&fifo{}, 7, 30, constant(x)).goodput()
		t.Logf("%4.1f  %12.1f  %19.1f", x, ours, base)
		peak, at[x] = max(peak, ours), ours
	}
	assert.Assert(t, at[2] >= 0.9*peak, "%.1f of %.1f", at[2], peak)
	assert.Assert(t, at[5] >= 0.9*peak, "%.1f of %.1f", at[5], peak)
}

// recovery simulates ten seconds of load at five times the capacity. It returns
// the number of seconds from then until 99% of new requests complete in time.
func recovery(adm admission) int {
	const end = 10
	s := simulate(adm, 7, 60, func(now tables.Time) float64 {
		if now < tables.Time(end*time.Second) {
			return 5
		}
		return 0.5
	})
	for i := end; i < 59; i++ {
		if float64(s.succeeded[i]) >= 0.99*float64(s.arrived[i])-2 {
			return i - end
		}
	}
	return 60 - end
}

func TestRecoveryAfterOverload(t *testing.T) {
	ours, base := recovery(NewQueue(simSlots, 200)), recovery(&fifo{})
	t.Logf("seconds to recover: this package %d, first in first out %d", ours, base)
	assert.Assert(t, ours <= 2)
	assert.Assert(t, base > ours, "the baseline must recover more slowly, else the load is too low for the test")
}

func TestRefusalsHaveNotRunAndRetryAfter(t *testing.T) {
	q := NewQueue(simSlots, 5)
	for id := ID(0); id < 100; id++ {
		v := q.Offer(0, Request{ID: id, Priority: -int(id)})
		if v.Kind != Refuse {
			continue
		}
		assert.Equal(t, v.Err.Ran, codes.NotRun)
		assert.Assert(t, v.Err.RetryAfter > 0)
	}
}
