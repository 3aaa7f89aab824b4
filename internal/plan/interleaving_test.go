package plan

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"gotest.tools/v3/assert"
)

// actor is one confirm whose platform requests wait for the schedule's turn.
type actor struct {
	turn chan struct{}
	// waiting receives true at each request and false at the end.
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

// runSchedule lets the actors take turns: bit i of schedule says whose request
// is i-th; an actor that has ended leaves its turns to the other.
func runSchedule(actors [2]*actor, schedule uint) {
	var live [2]bool
	for i, a := range actors {
		live[i] = <-a.waiting
	}
	for i := 0; live[0] || live[1]; i++ {
		who := schedule >> i & 1
		if !live[who] {
			who = 1 - who
		}
		actors[who].turn <- struct{}{}
		live[who] = <-actors[who].waiting
	}
}

// TestConflictingConfirmsInEveryInterleaving runs two confirms of different
// plans with the same base, with every order of their requests and with the
// answer to each request of one of them lost. Exactly one plan comes in force.
func TestConflictingConfirmsInEveryInterleaving(t *testing.T) {
	const requests = 6 // of each confirm that is not cut short
	base := bootstrap(t)
	ids := [2]string{put(t, base, document("vm-1")), put(t, base, document("vm-2"))}
	approvals := [2]Approval{Approve(ids[0], "anna", anna), Approve(ids[1], "bilal", bilal)}
	for lost := range requests + 1 {
		t.Run(fmt.Sprintf("lost answer %d", lost), func(t *testing.T) {
			t.Parallel()
			for schedule := range uint(1 << (2 * requests)) {
				if bits.OnesCount(schedule) == requests {
					conflict(t, base.clone(), approvals, schedule, lost)
				}
			}
		})
	}
}

func conflict(t *testing.T, f *fakePlatform, approvals [2]Approval, schedule uint, lost int) {
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
			assert.Assert(t, won, "schedule %b, lost %d: the loser was told that it won", schedule, lost)
			continue
		}
		assert.Assert(t, !won, "schedule %b, lost %d: the winner was told %v", schedule, lost, a.err)
		e, ok := codes.From(a.err)
		assert.Assert(t, ok && e.Ran == codes.NotRun, "schedule %b: %v", schedule, a.err)
	}
}
