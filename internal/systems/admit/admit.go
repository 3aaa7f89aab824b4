// Package admit implements admission control for the slots of an upstream: it
// decides which requests run, wait or are refused. A Queue is a pure state
// machine: it has no clock and starts no goroutines.
//
// As long as the queue becomes empty from time to time, requests run in order of
// arrival. Once it has not been empty for OverloadAfter, it counts as overloaded:
// the newest request then runs first, and a request that has waited longer than a
// few service times is refused at once. This keeps responses well within the
// callers' deadlines under any load.
package admit

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// OverloadAfter is how long the queue must not have been empty to count as overloaded.
	OverloadAfter = 100 * time.Millisecond
	// MinMaxWait is the lower bound of the maximum wait under overload.
	MinMaxWait = 10 * time.Millisecond
	// MaxWaitServiceTimes is the default maximum wait under overload, in service times.
	MaxWaitServiceTimes = 2
	// InitialServiceTime is the assumed service time before the first measurement.
	InitialServiceTime = 5 * time.Millisecond
	// smoothing is the reciprocal of the weight of a new sample in the moving average
	// of the service time.
	smoothing = 16
	// strideUnit is the virtual time by which one request of a service of weight 1
	// advances that service's pass (stride scheduling).
	strideUnit = 1 << 20
)

// ID identifies a request while it waits or runs.
type ID uint64

// Request is a request for a slot.
type Request struct {
	// ID identifies the request.
	ID ID
	// Service is the service whose share the slot counts against.
	Service tables.ServiceID
	// Weight is the service's relative share of the slots; at least 1.
	Weight int
	// Priority orders the requests of one service; higher runs first.
	Priority int
	// Deadline is when the caller stops waiting; 0 means never.
	Deadline tables.Time
	// MaxWait is the maximum wait under overload; 0 means MaxWaitServiceTimes
	// service times.
	MaxWait time.Duration
}

// Kind is the decision on an offered request.
type Kind uint8

const (
	// Run means that the request has a slot and starts now.
	Run Kind = iota
	// Wait means that the request is queued.
	Wait
	// Refuse means that the request is not run.
	Refuse
)

// Refusal is a request that is not run.
type Refusal struct {
	// ID identifies the request.
	ID ID
	// Err has codes.NotRun and the delay after which a retry is useful.
	Err *codes.Error
}

// Verdict is the result of Offer.
type Verdict struct {
	// Kind is the decision on the offered request.
	Kind Kind
	// Err is valid for Refuse.
	Err *codes.Error
	// Evicted is the waiting request that was evicted for the offered one, if any.
	Evicted *Refusal
}

// Outcome lists the waiting requests that were started or refused.
type Outcome struct {
	// Started are the requests that now have a slot.
	Started []ID
	// Refused are the requests that are not run.
	Refused []Refusal
}

type waitingRequest struct {
	Request
	queuedAt tables.Time
}

// serviceQueue holds the waiting requests of one service in order of arrival.
type serviceQueue struct {
	service tables.ServiceID
	weight  int
	pass    uint64 // virtual time at which the service is scheduled next
	queue   []waitingRequest
}

// Queue distributes the slots of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots         int
	reserve       int // slots beyond slots for requests that would otherwise be refused
	running       int
	limit         int
	length        int
	serviceTime   time.Duration
	nonEmptySince tables.Time // when the queue stopped being empty; valid while length > 0
	virtualTime   uint64
	serviceQueues []*serviceQueue
}

// NewQueue returns an empty queue for an upstream with the given number of slots
// and at most limit waiting requests.
func NewQueue(slots, limit int) *Queue {
	return &Queue{slots: slots, limit: limit, serviceTime: InitialServiceTime}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Running returns the number of requests that have a slot.
func (q *Queue) Running() int { return q.running }

// ServiceTime returns the moving average of the service time.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// Overloaded reports whether the queue has not been empty for OverloadAfter.
func (q *Queue) Overloaded(now tables.Time) bool {
	return q.length > 0 && now.Sub(q.nonEmptySince) >= OverloadAfter
}

// Offer requests a slot for r.
func (q *Queue) Offer(now tables.Time, r Request) Verdict {
	if r.Deadline != 0 && r.Deadline <= now {
		return q.refuse(codes.DeadlineTooShort)
	}
	if q.running < q.slots && q.length == 0 {
		// The service time is not checked here. Otherwise no request would run
		// after a slow period and the average could never recover.
		q.running++
		q.charge(q.serviceQueue(r))
		return Verdict{Kind: Run}
	}
	if r.Deadline != 0 && now.Add(q.waitOfNewest(now)+q.serviceTime) > r.Deadline {
		if q.runInReserve(r) {
			return Verdict{Kind: Run}
		}
		return q.refuse(codes.DeadlineTooShort)
	}
	var evicted *Refusal
	if q.length >= q.limit {
		if q.runInReserve(r) {
			return Verdict{Kind: Run}
		}
		if evicted = q.evictFor(r); evicted == nil {
			return q.refuse(codes.QueueFull)
		}
	}
	q.enqueue(now, r)
	return Verdict{Kind: Wait, Evicted: evicted}
}

// Release returns the slot of a request that ran for took, and starts waiting
// requests.
func (q *Queue) Release(now tables.Time, took time.Duration) Outcome {
	q.running--
	q.serviceTime += (took - q.serviceTime) / smoothing
	return q.startWaiting(now)
}

// SetSlots changes the number of slots; running requests keep theirs.
func (q *Queue) SetSlots(now tables.Time, slots int) Outcome {
	q.slots = slots
	return q.startWaiting(now)
}

// SetReserve sets how many requests may run in addition to the slots if they would
// otherwise be refused. The slots are then a pace at which the upstream is used and
// not its capacity, and no request is to be refused for the pace alone.
func (q *Queue) SetReserve(n int) { q.reserve = n }

// runInReserve starts r in the reserve and reports whether there is room.
func (q *Queue) runInReserve(r Request) bool {
	if q.running >= q.slots+q.reserve {
		return false
	}
	q.running++
	q.charge(q.serviceQueue(r))
	return true
}

// StartUrgent starts the waiting requests that would soon be refused, as far as the
// reserve has room. It is called before Expire.
func (q *Queue) StartUrgent(now tables.Time) []ID {
	var out []ID
	for q.reserve > 0 && q.length > 0 && q.running < q.slots+q.reserve {
		l, i := q.mostUrgent(now)
		if l == nil {
			break
		}
		w := q.remove(l, i)
		q.running++
		q.charge(l)
		out = append(out, w.ID)
	}
	return out
}

// mostUrgent returns the request with the highest priority, and the oldest of them,
// that would be refused within one service time; nil if there is none.
func (q *Queue) mostUrgent(now tables.Time) (list *serviceQueue, index int) {
	for _, l := range q.serviceQueues {
		for i, w := range l.queue {
			tooLate := w.Deadline != 0 && w.Deadline <= now
			if tooLate || q.refusalCode(now.Add(q.urgentMargin()), w) == codes.OK {
				continue
			}
			if list == nil || w.Priority > list.queue[index].Priority ||
				w.Priority == list.queue[index].Priority && w.queuedAt < list.queue[index].queuedAt {
				list, index = l, i
			}
		}
	}
	return list, index
}

// urgentMargin is how long before its refusal a request may use the reserve.
func (q *Queue) urgentMargin() time.Duration {
	if q.reserve == 0 {
		return 0
	}
	return q.serviceTime
}

// Cancel removes a waiting request whose caller has stopped waiting. It reports
// whether the request was in the queue.
func (q *Queue) Cancel(id ID) bool {
	for _, l := range q.serviceQueues {
		i := slices.IndexFunc(l.queue, func(w waitingRequest) bool { return w.ID == id })
		if i >= 0 {
			q.remove(l, i)
			return true
		}
	}
	return false
}

// Expire removes the waiting requests that can no longer meet their deadline or
// that exceed the maximum wait under overload.
func (q *Queue) Expire(now tables.Time) []Refusal {
	var out []Refusal
	for _, l := range q.serviceQueues {
		for i := 0; i < len(l.queue); {
			code := q.refusalCode(now, l.queue[i])
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

// NextExpiry returns the earliest time at which Expire may remove a request. The
// result is false if no request waits.
func (q *Queue) NextExpiry() (tables.Time, bool) {
	next, found := tables.Time(0), false
	consider := func(t tables.Time) {
		if !found || t < next {
			next, found = t, true
		}
	}
	for _, l := range q.serviceQueues {
		for _, w := range l.queue {
			consider(max(w.queuedAt.Add(q.maxWait(w)), q.nonEmptySince.Add(OverloadAfter)).Add(-q.urgentMargin()))
			if w.Deadline != 0 {
				consider(w.Deadline.Add(-q.serviceTime - q.urgentMargin()))
			}
		}
	}
	return next, found
}

// DrainTime returns the estimated time until the waiting and running requests
// have completed. It is the retry delay sent to refused callers.
func (q *Queue) DrainTime() time.Duration {
	return q.serviceTime * time.Duration(q.length+q.running) / time.Duration(max(q.slots, 1))
}

// waitOfNewest returns the estimated wait of a request that is queued now.
func (q *Queue) waitOfNewest(now tables.Time) time.Duration {
	ahead := q.length + 1
	if q.Overloaded(now) {
		ahead = 1
	}
	return q.serviceTime * time.Duration(ahead) / time.Duration(max(q.slots, 1))
}

// maxWait returns the maximum wait of w under overload.
func (q *Queue) maxWait(w waitingRequest) time.Duration {
	if w.MaxWait > 0 {
		return max(MinMaxWait, w.MaxWait)
	}
	return max(MinMaxWait, MaxWaitServiceTimes*q.serviceTime)
}

// refusalCode returns the code with which w must be refused at now, or codes.OK if
// it may still run.
func (q *Queue) refusalCode(now tables.Time, w waitingRequest) codes.Code {
	if w.Deadline != 0 && now.Add(q.serviceTime) > w.Deadline {
		return codes.DeadlineTooShort
	}
	if q.Overloaded(now) && now.Sub(w.queuedAt) > q.maxWait(w) {
		return codes.NoSlot
	}
	return codes.OK
}

func (q *Queue) enqueue(now tables.Time, r Request) {
	if q.length == 0 {
		q.nonEmptySince = now
	}
	l := q.serviceQueue(r)
	if len(l.queue) == 0 {
		// A service earns no credit for the time in which it was idle.
		l.pass = max(l.pass, q.virtualTime)
	}
	l.queue = append(l.queue, waitingRequest{Request: r, queuedAt: now})
	q.length++
}

func (q *Queue) remove(l *serviceQueue, i int) waitingRequest {
	w := l.queue[i]
	l.queue = slices.Delete(l.queue, i, i+1)
	q.length--
	return w
}

// startWaiting starts waiting requests while there are free slots.
func (q *Queue) startWaiting(now tables.Time) Outcome {
	var out Outcome
	for q.running < q.slots && q.length > 0 {
		l := q.nextServiceQueue()
		w := q.remove(l, l.next(q.Overloaded(now)))
		if code := q.refusalCode(now, w); code != codes.OK {
			out.Refused = append(out.Refused, q.refusal(w.ID, code))
			continue
		}
		q.running++
		q.charge(l)
		out.Started = append(out.Started, w.ID)
	}
	return out
}

// nextServiceQueue returns the non-empty queue with the lowest pass.
func (q *Queue) nextServiceQueue() *serviceQueue {
	var best *serviceQueue
	for _, l := range q.serviceQueues {
		if len(l.queue) > 0 && (best == nil || l.pass < best.pass) {
			best = l
		}
	}
	return best
}

// charge advances the pass of l by one request.
func (q *Queue) charge(l *serviceQueue) {
	l.pass = max(l.pass, q.virtualTime)
	q.virtualTime = l.pass
	l.pass += strideUnit / uint64(l.weight)
}

func (q *Queue) serviceQueue(r Request) *serviceQueue {
	i, ok := slices.BinarySearchFunc(q.serviceQueues, r.Service, func(l *serviceQueue, s tables.ServiceID) int {
		switch {
		case l.service < s:
			return -1
		case l.service > s:
			return 1
		}
		return 0
	})
	if !ok {
		q.serviceQueues = slices.Insert(q.serviceQueues, i, &serviceQueue{service: r.Service})
	}
	q.serviceQueues[i].weight = min(max(r.Weight, 1), strideUnit)
	return q.serviceQueues[i]
}

// next returns the index of the request with the highest priority: the newest of
// them if newest is set, else the oldest.
func (q *serviceQueue) next(newest bool) int {
	best := 0
	for i, w := range q.queue {
		higher := w.Priority > q.queue[best].Priority
		if higher || newest && w.Priority == q.queue[best].Priority {
			best = i
		}
	}
	return best
}

// evictFor makes space for r. It evicts the oldest request of the lowest priority
// from the service with the most waiting requests relative to its weight. It
// returns nil if r itself is to be refused.
func (q *Queue) evictFor(r Request) *Refusal {
	l := q.longestServiceQueue()
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

func (q *Queue) longestServiceQueue() *serviceQueue {
	var longest *serviceQueue
	for _, l := range q.serviceQueues {
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
