package plan

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"gotest.tools/v3/assert"
)

// actor is one confirm whose platform requests each wait until runSchedule lets
// them proceed.
type actor struct {
	turn chan struct{}
	// waiting receives true before each request and false when the confirm returns.
	waiting chan bool
	err     error
}

func startActor(f *fakePlatform, a Approval, lostFrom int) *actor {
	act := &actor{turn: make(chan struct{}), waiting: make(chan bool)}
	n := 0
	gate := func() fault {
		act.waiting <- true
		<-act.turn
		n++
		if n == lostFrom {
			return faultLostAfter
		}
		return faultNone
	}
	go func() {
		_, act.err = Confirm(ctx, f.store(gate), a, noon)
		act.waiting <- false
	}()
	return act
}

// runSchedule runs the requests of two actors in a fixed order: bit i of schedule
// is the index of the actor that makes request i. Once an actor has returned, the
// remaining requests are the other one's.
func runSchedule(actors [2]*actor, schedule uint) {
	var live [2]bool
	for i, a := range actors {
		live[i] = <-a.waiting
	}
	for i := 0; live[0] || live[1]; i++ {
		next := schedule >> i & 1
		if !live[next] {
			next = 1 - next
		}
		actors[next].turn <- struct{}{}
		live[next] = <-actors[next].waiting
	}
}

// TestConflictingConfirmsInEveryInterleaving confirms two different plans with the
// same base concurrently, in every order of their requests and with the response
// to each request of one of them lost in turn. Exactly one plan may come into
// force, and each operator must get the right result.
func TestConflictingConfirmsInEveryInterleaving(t *testing.T) {
	const requests = 6 // of a confirm that runs to its end
	base := bootstrap(t)
	ids := [2]string{put(t, base, document("vm-1")), put(t, base, document("vm-2"))}
	approvals := [2]Approval{Approve(ids[0], "anna", anna), Approve(ids[1], "bilal", bilal)}
	for lost := range requests + 1 {
		t.Run(fmt.Sprintf("lost response %d", lost), func(t *testing.T) {
			t.Parallel()
			for schedule := range uint(1 << (2 * requests)) {
				if bits.OnesCount(schedule) == requests {
					checkConflict(t, base.clone(), approvals, schedule, lost)
				}
			}
		})
	}
}

func checkConflict(t *testing.T, f *fakePlatform, approvals [2]Approval, schedule uint, lost int) {
	t.Helper()
	actors := [2]*actor{
		startActor(f, approvals[0], lost),
		startActor(f, approvals[1], 0),
	}
	runSchedule(actors, schedule)

	history, err := f.store(healthy).History(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 2)
	for i, a := range actors {
		won := history[1].PlanID == approvals[i].PlanID
		if a.err == nil {
			assert.Assert(t, won, "schedule %b, lost %d: the losing confirm reported success", schedule, lost)
			continue
		}
		assert.Assert(t, !won, "schedule %b, lost %d: the winning confirm reported %v", schedule, lost, a.err)
		e, ok := codes.From(a.err)
		assert.Assert(t, ok && e.Ran == codes.NotRun, "schedule %b: %v", schedule, a.err)
	}
}
