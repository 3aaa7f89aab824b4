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

// trustPrimary returns a rule that acknowledges a write without querying other
// servers.
func trustPrimary() ack.Rule {
	rule := ack.Strict()
	rule.Quorum = func(int) int { return 1 }
	rule.Leads = func(ack.Commit, tables.Status) bool { return true }
	return rule
}

// chooseLowest chooses the fenced server with the lowest position.
func chooseLowest(fenced []failover.Fenced, n int, _ bool) (tables.UpstreamID, bool) {
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

// conflictingChoices makes every second proxy promote the server with the lowest
// position instead of the highest.
func conflictingChoices() func(*failover.Options) {
	n := 0
	return func(o *failover.Options) {
		if n++; n%2 == 0 {
			o.Choose = chooseLowest
		}
		o.Stagger = 0
		o.AttemptTimeout = 0
	}
}

// makesOldPrimaryFollow reports whether a makes the killed primary a replica.
func makesOldPrimaryFollow(a action.Action) bool {
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

// brokenCore is a core that is broken on purpose, and the promise that it breaks.
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

// pausedBriefly pauses the primary for less than the silent timeout.
func pausedBriefly() fault {
	return fault{name: "primary paused", heal: noop, inject: func(s *simulation, _ *proxy) {
		p := s.primary()
		p.paused = true
		s.after(700*time.Millisecond, p.resume)
	}}
}

func brokenCores() []brokenCore {
	cut := []fault{faultNamed("primary's data centre cut off")}
	killed := []fault{faultNamed("primary killed")}
	trusting := func() settings { return settings{rule: trustPrimary()} }
	adjust := func(f func(*failover.Options)) func() settings {
		return func() settings { return settings{adjust: f} }
	}
	noGrants := adjust(func(o *failover.Options) { o.GrantReserve = 0 })
	return []brokenCore{
		{"acknowledges without replicas", promiseDurable, stepIdle, cut, 4, trusting},
		{"acknowledges without replicas", promiseStillPrimary, stepIdle, cut, 4, trusting},
		{"acknowledges without replicas", promiseOnePrimary, stepIdle, cut, 4, trusting},
		{
			"promotes the lowest server", promiseDurable, stepIdle,
			[]fault{faultNamed("replica far behind"), faultNamed("primary killed")}, 8,
			adjust(func(o *failover.Options) { o.Choose = chooseLowest }),
		},
		{
			"grants a term twice", promiseTerm, stepIdle, killed, 40,
			func() settings { return settings{ignoreRowVersion: true, adjust: conflictingChoices()} },
		},
		{"trusts the primary's position", promiseConfirmed, stepIdle, cut, 4, func() settings { return settings{unconfirmed: true} }},
		{"writes the row without a condition", promiseRow, stepIdle, killed, 8, func() settings { return settings{ignoreRowVersion: true} }},
		{"has no grants", promiseAvailable, stepIdle, killed, 1, noGrants},
		{"has no grants", promiseReached, stepFence, killed, 1, noGrants},
		{"never makes the old primary follow", promiseAllFollow, stepIdle, killed, 1, func() settings { return settings{ignore: makesOldPrimaryFollow} }},
		{"never writes the new primary to the row", promiseRowNewest, stepIdle, killed, 1, func() settings { return settings{ignore: namesNewPrimary} }},
		{"never promotes", promisePlanned, stepPlannedFence, []fault{faultNamed("none")}, 1, func() settings { return settings{ignore: isPromote} }},
		{
			"retries without pause", promiseBounded, stepPlannedPromote, []fault{faultNamed("replica killed")}, 8,
			adjust(func(o *failover.Options) { o.Stagger = 0; o.AttemptTimeout = 0 }),
		},
		{
			"ignores the observations of other proxies", promiseNoNeed, stepIdle, []fault{faultNamed("primary out of reach of some proxies")}, 1,
			adjust(func(o *failover.Options) { o.ObservationWindow = 0; o.SoleObserverDelay = 0 }),
		},
		{
			"has no silent timeout", promiseNoNeed, stepIdle, []fault{pausedBriefly()}, 4,
			adjust(func(o *failover.Options) { o.SilentTimeout = 0 }),
		},
	}
}

// TestCheckersDetectBrokenCores checks that every checker fails on a core that is
// broken on purpose, and passes on the real core in the same scenarios.
func TestCheckersDetectBrokenCores(t *testing.T) {
	seen := make(map[promise]bool)
	for _, b := range brokenCores() {
		seen[b.promise] = true
		t.Run(b.name+"/"+string(b.promise), func(t *testing.T) {
			assert.Assert(t, violates(b), "%d seeds showed no violation", b.seeds)
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
		promiseDurable, promiseStillPrimary, promiseOnePrimary, promiseTerm, promiseConfirmed, promiseRow, promiseAvailable,
		promiseNoNeed, promiseReached, promiseAllFollow, promiseRowNewest, promisePlanned, promiseBounded,
	}
}

// violates reports whether one of the seeds shows the broken promise.
func violates(b brokenCore) bool {
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
