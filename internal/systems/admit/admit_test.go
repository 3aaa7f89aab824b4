package admit

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = tables.Time(time.Millisecond)

func offer(t *testing.T, q *Queue, now tables.Time, r Request, want Kind) Verdict {
	t.Helper()
	v := q.Offer(now, r)
	assert.Equal(t, v.Kind, want)
	return v
}

func TestRunsThenQueuesThenRefuses(t *testing.T) {
	q := NewQueue(2, 1)
	offer(t, q, 0, Request{ID: 1}, Run)
	offer(t, q, 0, Request{ID: 2}, Run)
	offer(t, q, 0, Request{ID: 3, Priority: 1}, Wait)
	v := offer(t, q, 0, Request{ID: 4}, Refuse)
	assert.Equal(t, v.Err.Code, codes.QueueFull)
	assert.Equal(t, v.Err.Ran, codes.NotRun)
	assert.Equal(t, v.Err.RetryAfter, InitialServiceTime*3/2)
	assert.DeepEqual(t, q.Release(5*ms, 5*time.Millisecond).Started, []ID{3})
	assert.Equal(t, q.Running(), 2)
}

func TestRefusesRequestsThatMissTheirDeadline(t *testing.T) {
	q := NewQueue(1, 10)
	assert.Equal(t, offer(t, q, 10*ms, Request{ID: 1, Deadline: 10 * ms}, Refuse).Err.Code, codes.DeadlineTooShort)
	offer(t, q, 0, Request{ID: 2, Deadline: 1 * ms}, Run)
	assert.Equal(t, offer(t, q, 0, Request{ID: 3, Deadline: 9 * ms}, Refuse).Err.Code, codes.DeadlineTooShort)
	offer(t, q, 0, Request{ID: 4, Deadline: 12 * ms}, Wait)
	next, ok := q.NextExpiry()
	assert.Assert(t, ok)
	assert.Equal(t, next, 7*ms)
	assert.Equal(t, len(q.Expire(7*ms)), 0)
	refused := q.Expire(7*ms + 1)
	assert.Equal(t, refused[0].ID, ID(4))
	assert.Equal(t, refused[0].Err.Code, codes.DeadlineTooShort)
}

func TestReleaseRefusesRequestThatMissesItsDeadline(t *testing.T) {
	q := NewQueue(1, 10)
	offer(t, q, 0, Request{ID: 1}, Run)
	offer(t, q, 0, Request{ID: 2, Deadline: 20 * ms}, Wait)
	out := q.Release(18*ms, 5*time.Millisecond)
	assert.Equal(t, len(out.Started), 0)
	assert.Equal(t, out.Refused[0].ID, ID(2))
}

func TestRunsByPriorityThenArrival(t *testing.T) {
	q := NewQueue(1, 10)
	offer(t, q, 0, Request{ID: 1}, Run)
	offer(t, q, 0, Request{ID: 2}, Wait)
	offer(t, q, 0, Request{ID: 3}, Wait)
	offer(t, q, 0, Request{ID: 4, Priority: 5}, Wait)
	for _, want := range []ID{4, 2, 3} {
		assert.DeepEqual(t, q.Release(ms, time.Millisecond).Started, []ID{want})
	}
}

func TestOverloadRunsNewestFirstAndLimitsWait(t *testing.T) {
	q := NewQueue(1, 10)
	offer(t, q, 0, Request{ID: 1}, Run)
	offer(t, q, 0, Request{ID: 2}, Wait)
	offer(t, q, 95*ms, Request{ID: 3}, Wait)
	offer(t, q, 96*ms, Request{ID: 4}, Wait)
	assert.Assert(t, !q.Overloaded(99*ms) && q.Overloaded(100*ms))
	refused := q.Expire(101 * ms)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].ID, ID(2))
	assert.Equal(t, refused[0].Err.Code, codes.NoSlot)
	assert.DeepEqual(t, q.Release(101*ms, time.Millisecond).Started, []ID{4})
}

func TestFullQueueEvictsFromServiceOverItsShare(t *testing.T) {
	q := NewQueue(1, 3)
	offer(t, q, 0, Request{ID: 1, Service: "a"}, Run)
	for id := ID(2); id <= 4; id++ {
		offer(t, q, 0, Request{ID: id, Service: "a"}, Wait)
	}
	v := offer(t, q, 0, Request{ID: 5, Service: "b"}, Wait)
	assert.Equal(t, v.Evicted.ID, ID(2))
	assert.Equal(t, v.Evicted.Err.Code, codes.QueueFull)
	assert.Equal(t, q.Len(), 3)
}

func TestSharesSlotsByWeight(t *testing.T) {
	q := NewQueue(1, 1000)
	offer(t, q, 0, Request{ID: 1, Service: "a", Weight: 3}, Run)
	for id := ID(2); id < 800; id += 2 {
		offer(t, q, 0, Request{ID: id, Service: "a", Weight: 3}, Wait)
		offer(t, q, 0, Request{ID: id + 1, Service: "b", Weight: 1}, Wait)
	}
	byA := 0
	for range 400 {
		if q.Release(0, time.Millisecond).Started[0]%2 == 0 {
			byA++
		}
	}
	assert.Assert(t, byA >= 298 && byA <= 302, "a ran %d of 400", byA)
}

func TestIdleServiceEarnsNoCredit(t *testing.T) {
	q := NewQueue(1, 1000)
	offer(t, q, 0, Request{ID: 1, Service: "a"}, Run)
	for id := ID(2); id < 400; id += 2 {
		offer(t, q, 0, Request{ID: id, Service: "a"}, Wait)
	}
	for range 100 {
		q.Release(0, time.Millisecond)
	}
	for id := ID(401); id < 600; id += 2 {
		offer(t, q, 0, Request{ID: id, Service: "b"}, Wait)
	}
	byB := 0
	for range 40 {
		byB += int(q.Release(0, time.Millisecond).Started[0] % 2)
	}
	assert.Assert(t, byB >= 19 && byB <= 21, "b ran %d of 40", byB)
}

func TestServiceTimeRecoversAfterSlowRequests(t *testing.T) {
	q := NewQueue(1, 10)
	for range 100 {
		offer(t, q, 0, Request{ID: 1}, Run)
		q.Release(0, 10*time.Second)
	}
	for range 200 {
		offer(t, q, 0, Request{ID: 2, Deadline: 50 * ms}, Run)
		q.Release(0, time.Millisecond)
	}
	assert.Assert(t, q.ServiceTime() < 2*time.Millisecond)
}

// For random requests, the slot and queue limits are never exceeded and each
// request is started or refused exactly once.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, limit := rapid.IntRange(1, 3).Draw(t, "slots"), rapid.IntRange(0, 4).Draw(t, "limit")
		q := NewQueue(slots, limit)
		ended := make(map[ID]int)
		var now tables.Time
		started := 0
		record := func(o Outcome) {
			started += len(o.Started)
			for _, id := range o.Started {
				ended[id]++
			}
			for _, r := range o.Refused {
				ended[r.ID]++
			}
		}
		for id := ID(1); id < 60; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			record(Outcome{Refused: q.Expire(now)})
			if q.Running() > 0 && rapid.Bool().Draw(t, "release") {
				record(q.Release(now, 5*time.Millisecond))
			}
			r := Request{ID: id, Service: rapid.SampledFrom([]tables.ServiceID{"a", "b"}).Draw(t, "service"), Priority: rapid.IntRange(0, 1).Draw(t, "priority")}
			if rapid.Bool().Draw(t, "deadline") {
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "left")) * time.Millisecond)
			}
			v := q.Offer(now, r)
			if v.Kind != Wait {
				ended[id]++
			}
			if v.Evicted != nil {
				ended[v.Evicted.ID]++
			}
			assert.Assert(t, q.Running() <= slots && q.Len() <= limit)
		}
		record(Outcome{Refused: q.Expire(now)})
		for q.Running() > 0 {
			record(q.Release(now, 5*time.Millisecond))
		}
		assert.Equal(t, q.Len(), 0)
		for id := ID(1); id < 60; id++ {
			assert.Equal(t, ended[id], 1, "request %d", id)
		}
	})
}

// A request must not be refused because of the pace while the reserve has room, and
// without a reserve the queue must refuse it as before.
func TestReserveRunsRequestsInsteadOfRefusingThem(t *testing.T) {
	for _, reserve := range []int{0, 2} {
		q := NewQueue(1, 1)
		q.SetReserve(reserve)
		assert.Equal(t, q.Offer(0, Request{ID: 1}).Kind, Run)
		assert.Equal(t, q.Offer(0, Request{ID: 2, Deadline: 20 * ms}).Kind, Wait)
		full := q.Offer(0, Request{ID: 3, Deadline: 8 * ms})
		if reserve == 0 {
			assert.Equal(t, full.Kind, Refuse)
			assert.Equal(t, len(q.StartUrgent(16*ms)), 0)
			assert.Equal(t, len(q.Expire(16*ms)), 1)
			continue
		}
		assert.Equal(t, full.Kind, Run)
		assert.Equal(t, len(q.StartUrgent(5*ms)), 0, "it can wait for a slot")
		next, ok := q.NextExpiry()
		assert.Assert(t, ok && next <= 10*ms)
		assert.DeepEqual(t, q.StartUrgent(11*ms), []ID{2})
		assert.Equal(t, q.Running(), 3)
		assert.Equal(t, q.Offer(11*ms, Request{ID: 4, Deadline: 12 * ms}).Kind, Refuse, "the reserve is full")
	}
}

// Under overload the reserve runs the request of the highest priority first.
func TestReserveRunsHighestPriorityFirst(t *testing.T) {
	q := NewQueue(1, 9)
	q.SetReserve(1)
	q.Offer(0, Request{ID: 1})
	for id := ID(2); id < 5; id++ {
		q.Offer(0, Request{ID: id, Priority: int(id) % 4, MaxWait: 50 * time.Millisecond})
	}
	assert.DeepEqual(t, q.StartUrgent(200*ms), []ID{3})
}
