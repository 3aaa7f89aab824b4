// Package admit decides which requests run, wait or are refused where the
// slots of an upstream are scarce. A Queue is a plain state machine: it has no
// clock and starts nothing itself.
//
// While the queue drains now and then, requests run in order of arrival. Once
// it has not been empty for OverloadAfter it holds a standing queue: then the
// newest request runs first, and one that has waited longer than a few service
// times is refused at once. Answers then stay well inside the callers'
// deadlines however high the load is.
package admit

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// OverloadAfter is how long a queue must not have been empty to count as overloaded.
	OverloadAfter = 100 * time.Millisecond
	// MinTarget is the shortest wait that is allowed under overload.
	MinTarget = 10 * time.Millisecond
	// TargetServiceTimes is the wait allowed under overload, in service times.
	TargetServiceTimes = 2
	// InitialServiceTime is assumed until a request has been measured.
	InitialServiceTime = 5 * time.Millisecond
	// smoothing is the weight divisor of a new measurement of the service time.
	smoothing = 16
	// strideUnit is the virtual time that one request of a service of weight 1 costs.
	strideUnit = 1 << 20
)

// ID names a request for as long as it waits or runs.
type ID uint64

// Request asks for a slot.
type Request struct {
	// ID names the request.
	ID ID
	// Service is whom the slot is charged to.
	Service tables.ServiceID
	// Weight is the service's share; at least 1.
	Weight int
	// Priority orders requests of one service; higher goes first.
	Priority int
	// Deadline is when the caller stops waiting; 0 means never.
	Deadline tables.Time
	// MaxWait is how long a wait under overload is still of use to the caller;
	// 0 means a few service times.
	MaxWait time.Duration
}

// Kind is the answer to an Offer.
type Kind uint8

const (
	// Run means that the request holds a slot and starts now.
	Run Kind = iota
	// Wait means that the request is queued.
	Wait
	// Refuse means that the request is not run.
	Refuse
)

// Refusal is a request that is not run.
type Refusal struct {
	// ID names the request.
	ID ID
	// Err has codes.NotRun and the time after which it is useful to ask again.
	Err *codes.Error
}

// Verdict is the answer to an Offer.
type Verdict struct {
	// Kind is what happens to the request offered.
	Kind Kind
	// Err is valid for Refuse.
	Err *codes.Error
	// Evicted is a waiting request that made room, if any.
	Evicted *Refusal
}

// Outcome lists what changed for waiting requests.
type Outcome struct {
	// Started hold a slot now.
	Started []ID
	// Refused are not run.
	Refused []Refusal
}

type waiting struct {
	Request
	since tables.Time
}

// lane holds the waiting requests of one service in order of arrival.
type lane struct {
	service tables.ServiceID
	weight  int
	pass    uint64 // virtual time at which the service is next due
	queue   []waiting
}

// Queue shares the slots of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots       int
	running     int
	limit       int
	length      int
	service     time.Duration
	busySince   tables.Time // when the queue was last empty; valid while length > 0
	virtualTime uint64
	lanes       []*lane
}

// NewQueue returns an empty queue for an upstream with slots and at most limit
// waiting requests.
func NewQueue(slots, limit int) *Queue {
	return &Queue{slots: slots, limit: limit, service: InitialServiceTime}
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return q.length }

// Running returns how many requests hold a slot.
func (q *Queue) Running() int { return q.running }

// ServiceTime returns the measured service time.
func (q *Queue) ServiceTime() time.Duration { return q.service }

// Overloaded reports whether the queue has been standing for long.
func (q *Queue) Overloaded(now tables.Time) bool {
	return q.length > 0 && now.Sub(q.busySince) >= OverloadAfter
}

// Offer asks for a slot.
func (q *Queue) Offer(now tables.Time, r Request) Verdict {
	if r.Deadline != 0 && r.Deadline <= now {
		return q.refuse(codes.DeadlineTooShort)
	}
	if q.running < q.slots && q.length == 0 {
		// The measured time is not asked here, so that it can recover after a slow spell.
		q.running++
		q.charge(q.lane(r))
		return Verdict{Kind: Run}
	}
	if r.Deadline != 0 && now.Add(q.waitOfNewest(now)+q.service) > r.Deadline {
		return q.refuse(codes.DeadlineTooShort)
	}
	var evicted *Refusal
	if q.length >= q.limit {
		if evicted = q.makeRoom(r); evicted == nil {
			return q.refuse(codes.QueueFull)
		}
	}
	q.push(now, r)
	return Verdict{Kind: Wait, Evicted: evicted}
}

// Release gives a slot back after a request ran for took, and starts waiting
// requests.
func (q *Queue) Release(now tables.Time, took time.Duration) Outcome {
	q.running--
	q.service += (took - q.service) / smoothing
	return q.fill(now)
}

// SetSlots changes the number of slots; running requests keep theirs.
func (q *Queue) SetSlots(now tables.Time, slots int) Outcome {
	q.slots = slots
	return q.fill(now)
}

// Cancel removes a waiting request whose caller is gone; it reports whether
// the request was waiting.
func (q *Queue) Cancel(id ID) bool {
	for _, l := range q.lanes {
		i := slices.IndexFunc(l.queue, func(w waiting) bool { return w.ID == id })
		if i >= 0 {
			q.remove(l, i)
			return true
		}
	}
	return false
}

// Expire removes the waiting requests that can no longer make their deadline
// or have waited too long under overload.
func (q *Queue) Expire(now tables.Time) []Refusal {
	var out []Refusal
	for _, l := range q.lanes {
		for i := 0; i < len(l.queue); {
			code := q.hopeless(now, l.queue[i])
			if code == codes.OK {
				i++
				continue
			}
			out = append(out, q.refusal(l.queue[i].ID, code))
			q.remove(l, i)
		}
	}
	return out
}

// NextExpiry returns the earliest time at which Expire may remove a request;
// it reports false while nothing waits for a time limit.
func (q *Queue) NextExpiry() (tables.Time, bool) {
	next, found := tables.Time(0), false
	consider := func(t tables.Time) {
		if !found || t < next {
			next, found = t, true
		}
	}
	for _, l := range q.lanes {
		for _, w := range l.queue {
			consider(max(w.since.Add(q.target(w)), q.busySince.Add(OverloadAfter)))
			if w.Deadline != 0 {
				consider(w.Deadline.Add(-q.service))
			}
		}
	}
	return next, found
}

// DrainTime returns how long the waiting and running requests keep the slots
// busy. It is what refused callers are told to wait.
func (q *Queue) DrainTime() time.Duration {
	return q.service * time.Duration(q.length+q.running) / time.Duration(max(q.slots, 1))
}

// waitOfNewest returns how long a request that is queued now would wait.
func (q *Queue) waitOfNewest(now tables.Time) time.Duration {
	ahead := q.length + 1
	if q.Overloaded(now) {
		ahead = 1
	}
	return q.service * time.Duration(ahead) / time.Duration(max(q.slots, 1))
}

// target returns how long w may wait under overload.
func (q *Queue) target(w waiting) time.Duration {
	if w.MaxWait > 0 {
		return max(MinTarget, w.MaxWait)
	}
	return max(MinTarget, TargetServiceTimes*q.service)
}

// hopeless returns the code with which w is refused at now, or codes.OK.
func (q *Queue) hopeless(now tables.Time, w waiting) codes.Code {
	if w.Deadline != 0 && now.Add(q.service) > w.Deadline {
		return codes.DeadlineTooShort
	}
	if q.Overloaded(now) && now.Sub(w.since) > q.target(w) {
		return codes.NoSlot
	}
	return codes.OK
}

func (q *Queue) push(now tables.Time, r Request) {
	if q.length == 0 {
		q.busySince = now
	}
	l := q.lane(r)
	if len(l.queue) == 0 {
		// A service that was idle has no claim on the time it did not use.
		l.pass = max(l.pass, q.virtualTime)
	}
	l.queue = append(l.queue, waiting{Request: r, since: now})
	q.length++
}

func (q *Queue) remove(l *lane, i int) waiting {
	w := l.queue[i]
	l.queue = slices.Delete(l.queue, i, i+1)
	q.length--
	return w
}

// fill starts waiting requests while there are free slots.
func (q *Queue) fill(now tables.Time) Outcome {
	var out Outcome
	for q.running < q.slots && q.length > 0 {
		l := q.nextLane()
		w := q.remove(l, l.next(q.Overloaded(now)))
		if code := q.hopeless(now, w); code != codes.OK {
			out.Refused = append(out.Refused, q.refusal(w.ID, code))
			continue
		}
		q.running++
		q.charge(l)
		out.Started = append(out.Started, w.ID)
	}
	return out
}

// nextLane returns the service that is due first.
func (q *Queue) nextLane() *lane {
	var best *lane
	for _, l := range q.lanes {
		if len(l.queue) > 0 && (best == nil || l.pass < best.pass) {
			best = l
		}
	}
	return best
}

// charge moves a service's due time on by one request.
func (q *Queue) charge(l *lane) {
	l.pass = max(l.pass, q.virtualTime)
	q.virtualTime = l.pass
	l.pass += strideUnit / uint64(l.weight)
}

func (q *Queue) lane(r Request) *lane {
	i, ok := slices.BinarySearchFunc(q.lanes, r.Service, func(l *lane, s tables.ServiceID) int {
		switch {
		case l.service < s:
			return -1
		case l.service > s:
			return 1
		}
		return 0
	})
	if !ok {
		q.lanes = slices.Insert(q.lanes, i, &lane{service: r.Service})
	}
	q.lanes[i].weight = min(max(r.Weight, 1), strideUnit)
	return q.lanes[i]
}

// next returns the request of the highest priority: the newest of them under
// overload, else the oldest.
func (l *lane) next(newest bool) int {
	best := 0
	for i, w := range l.queue {
		higher := w.Priority > l.queue[best].Priority
		if higher || newest && w.Priority == l.queue[best].Priority {
			best = i
		}
	}
	return best
}

// makeRoom evicts the oldest request of the lowest priority of the service
// that holds most of the queue for its weight. It returns nil if the newcomer
// is the one to be refused.
func (q *Queue) makeRoom(r Request) *Refusal {
	l := q.longestLane()
	if l == nil {
		return nil
	}
	victim := 0
	for i, w := range l.queue {
		if w.Priority < l.queue[victim].Priority {
			victim = i
		}
	}
	if l.service == r.Service && l.queue[victim].Priority > r.Priority {
		return nil
	}
	out := q.refusal(q.remove(l, victim).ID, codes.QueueFull)
	return &out
}

func (q *Queue) longestLane() *lane {
	var longest *lane
	for _, l := range q.lanes {
		if len(l.queue) == 0 {
			continue
		}
		if longest == nil || len(l.queue)*longest.weight > len(longest.queue)*l.weight {
			longest = l
		}
	}
	return longest
}

func (q *Queue) refuse(c codes.Code) Verdict {
	return Verdict{Kind: Refuse, Err: q.refusal(0, c).Err}
}

func (q *Queue) refusal(id ID, c codes.Code) Refusal {
	return Refusal{ID: id, Err: codes.New(c, codes.NotRun, q.DrainTime(), "")}
}
