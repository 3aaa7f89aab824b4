package faults

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/failover"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// onPrimarysWord acknowledges without asking anyone else.
func onPrimarysWord() ack.Rule {
	rule := ack.Strict()
	rule.Quorum = func(int) int { return 1 }
	rule.Leads = func(ack.Commit, tables.Status) bool { return true }
	return rule
}

// lowest promotes the fenced server with the lowest position.
func lowest(fenced []failover.Fenced, n int, _ bool) (tables.UpstreamID, bool) {
	if len(fenced) < tables.Majority(n) {
		return "", false
	}
	low := fenced[0]
	for _, f := range fenced[1:] {
		if low.Status.Last.AtLeast(f.Status.Last) {
			low = f
		}
	}
	return low.Upstream, true
}

// disagree lets every second proxy promote the lowest instead of the highest server.
func disagree() func(*failover.Options) {
	n := 0
	return func(o *failover.Options) {
		if n++; n%2 == 0 {
			o.Choose = lowest
		}
		o.Stagger = 0
		o.AttemptTimeout = 0
	}
}

// returns reports whether a brings the killed primary back in line.
func returns(a action.Action) bool {
	f, ok := a.(action.Follow)
	return ok && f.Upstream == "a"
}

func isPromote(a action.Action) bool {
	_, ok := a.(action.Promote)
	return ok
}

func namesNewPrimary(a action.Action) bool {
	w, ok := a.(action.WriteGroupRow)
	return ok && w.Row.Term > 1
}

// brokenCore is a core broken on purpose and the promise that it breaks.
type brokenCore struct {
	name    string
	promise promise
	at      step
	faults  []fault
	seeds   uint64
	// set returns the settings of one run.
	set func() settings
}

func faultNamed(name string) fault {
	for _, f := range allFaults() {
		if f.name == name {
			return f
		}
	}
	panic(name)
}

// pausedBriefly freezes the primary for less than the silent timeout.
func pausedBriefly() fault {
	return fault{name: "primary paused", heal: nothing, inject: func(s *simulation, _ *proxy) {
		p := s.primary()
		p.frozen = true
		s.after(700*time.Millisecond, p.resume)
	}}
}

func brokenCores() []brokenCore {
	cut := []fault{faultNamed("primary's data centre cut off")}
	killed := []fault{faultNamed("primary killed")}
	word := func() settings { return settings{rule: onPrimarysWord()} }
	adjust := func(f func(*failover.Options)) func() settings {
		return func() settings { return settings{adjust: f} }
	}
	noGrants := adjust(func(o *failover.Options) { o.GrantReserve = 0 })
	return []brokenCore{
		{"acknowledges on the primary's word", promiseDurable, stepIdle, cut, 4, word},
		{"acknowledges on the primary's word", promiseInOffice, stepIdle, cut, 4, word},
		{"acknowledges on the primary's word", promiseOne, stepIdle, cut, 4, word},
		{
			"promotes the lowest server", promiseDurable, stepIdle,
			[]fault{faultNamed("replica far behind"), faultNamed("primary killed")}, 8,
			adjust(func(o *failover.Options) { o.Choose = lowest }),
		},
		{
			"grants a term twice", promiseTerm, stepIdle, killed, 40,
			func() settings { return settings{careless: true, adjust: disagree()} },
		},
		{"trusts the primary's position", promiseConfirmed, stepIdle, cut, 4, func() settings { return settings{unconfirmed: true} }},
		{"writes the row without a condition", promiseRow, stepIdle, killed, 8, func() settings { return settings{careless: true} }},
		{"has no grants", promiseAvailable, stepIdle, killed, 1, noGrants},
		{"has no grants", promiseReached, stepFence, killed, 1, noGrants},
		{"forgets the old primary", promiseInLine, stepIdle, killed, 1, func() settings { return settings{ignore: returns} }},
		{"leaves the row as it was", promiseRowNew, stepIdle, killed, 1, func() settings { return settings{ignore: namesNewPrimary} }},
		{"promotes nobody", promisePlanned, stepPlannedFence, []fault{faultNamed("none")}, 1, func() settings { return settings{ignore: isPromote} }},
		{
			"retries without pause", promiseBounded, stepPlannedPromote, []fault{faultNamed("replica killed")}, 8,
			adjust(func(o *failover.Options) { o.Stagger = 0; o.AttemptTimeout = 0 }),
		},
		{
			"listens to no other proxy", promiseNoNeed, stepIdle, []fault{faultNamed("primary out of reach of some proxies")}, 1,
			adjust(func(o *failover.Options) { o.ObservationWindow = 0; o.SoleObserverDelay = 0 }),
		},
		{
			"takes any silence for a failure", promiseNoNeed, stepIdle, []fault{pausedBriefly()}, 4,
			adjust(func(o *failover.Options) { o.SilentTimeout = 0 }),
		},
	}
}

// TestCheckersSeeBrokenCores shows that every checker fails on a core that is
// broken on purpose, and passes the same runs of the real one.
func TestCheckersSeeBrokenCores(t *testing.T) {
	seen := make(map[promise]bool)
	for _, b := range brokenCores() {
		seen[b.promise] = true
		t.Run(b.name+"/"+string(b.promise), func(t *testing.T) {
			assert.Assert(t, breaks(b), "%d seeds broke nothing", b.seeds)
			sound := newScenario(b.at, 1, b.faults...)
			r := runScenario(sound)
			assert.Equal(t, len(r.violations), 0, "%v", r.violations)
		})
	}
	for _, p := range allPromises() {
		assert.Check(t, seen[p], "no broken core for: %s", p)
	}
}

func allPromises() []promise {
	return []promise{
		promiseDurable, promiseInOffice, promiseOne, promiseTerm, promiseConfirmed, promiseRow, promiseAvailable,
		promiseNoNeed, promiseReached, promiseInLine, promiseRowNew, promisePlanned, promiseBounded,
	}
}

// breaks reports whether a seed shows the broken promise.
func breaks(b brokenCore) bool {
	for seed := uint64(1); seed <= b.seeds; seed++ {
		sc := newScenario(b.at, seed, b.faults...)
		every, replica := sc.set.writeEvery, sc.set.replicaEvery
		sc.set = b.set()
		sc.set.writeEvery, sc.set.replicaEvery = every, replica
		for _, v := range runScenario(sc).violations {
			if v.promise == b.promise {
				return true
			}
		}
	}
	return false
}
