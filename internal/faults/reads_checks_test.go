package faults

import (
	"slices"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/failover"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/systems/session"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// brokenReads are rules of reads broken on purpose and the promise that they break.
type brokenReads struct {
	name    string
	promise promise
	at      step
	fault   string
	rules   func(*readRules)
	adjust  func(*failover.Options)
}

func forgetSession(s session.Session, a *time.Duration) (session.Session, *time.Duration) {
	return session.Session{Complete: s.Complete}, a
}

// trustToken takes what is known of a named session for all of it.
func trustToken(s session.Session, a *time.Duration) (session.Session, *time.Duration) {
	s.Complete = true
	return s, a
}

func forgetAge(s session.Session, a *time.Duration) (session.Session, *time.Duration) {
	if a == nil {
		return s, nil
	}
	return s, age(time.Hour)
}

// overstated believes that every replica holds all that was confirmed.
func overstated(now tables.Time, w *tables.World, previous *route.Snapshot) *route.Snapshot {
	s := route.Build(now, w, previous)
	g, _ := s.Group(theGroup)
	for i := range g.Members {
		if len(g.Points) > 0 && g.Points[0].Position.AtLeast(g.Members[i].Position) {
			g.Members[i].Position = g.Points[0].Position
		}
	}
	return s
}

// neverNew keeps the first snapshot that has a confirmed point.
func neverNew(now tables.Time, w *tables.World, previous *route.Snapshot) *route.Snapshot {
	if previous != nil {
		if g, _ := previous.Group(theGroup); len(g.Points) > 0 {
			return previous
		}
	}
	return route.Build(now, w, previous)
}

// leavesOut takes every replica for one that leaves.
func leavesOut(now tables.Time, w *tables.World, previous *route.Snapshot) *route.Snapshot {
	s := route.Build(now, w, previous)
	g, _ := s.Group(theGroup)
	for i := range g.Members {
		g.Members[i].Leaving = true
	}
	return s
}

func brokenReadRules() []brokenReads {
	return []brokenReads{
		{name: "forgets the session", promise: promiseOwnWrite, at: stepIdle, fault: "replica far behind", rules: func(r *readRules) { r.declare = forgetSession }},
		{name: "takes a name for a token", promise: promiseOwnWrite, at: stepIdle, fault: "replica far behind", rules: func(r *readRules) { r.declare = trustToken }},
		{name: "answers unconfirmed", promise: promiseOwnWrite, at: stepReadChosen, fault: "primary's data centre cut off", rules: func(r *readRules) { r.unconfirmed = true }},
		{name: "forgets the age", promise: promiseAge, at: stepIdle, fault: "replica far behind", rules: func(r *readRules) { r.declare = forgetAge }},
		{name: "does not check a late answer", promise: promiseAge, at: stepIdle, fault: "replica paused", rules: func(r *readRules) { r.anyAge = true }},
		{name: "overstates positions", promise: promiseHeld, at: stepIdle, fault: "replica far behind", rules: func(r *readRules) { r.snapshot = overstated }},
		{name: "keeps its first snapshot", promise: promiseReadsBack, at: stepIdle, fault: "none", rules: func(r *readRules) { r.snapshot = neverNew }},
		{name: "leaves all replicas out", promise: promiseReplicas, at: stepIdle, fault: "none", rules: func(r *readRules) { r.snapshot = leavesOut }},
		{
			name: "has no grants", promise: promiseReached, at: stepFence, fault: "none",
			rules: func(*readRules) {}, adjust: func(o *failover.Options) { o.GrantReserve = 0 },
		},
	}
}

func readFaultNamed(name string) fault {
	i := slices.IndexFunc(readFaults(), func(f fault) bool { return f.name == name })
	return readFaults()[i]
}

// TestReadCheckersSeeBrokenRules shows that every checker of reads fails on
// rules that are broken on purpose, and passes the same run of the real ones.
func TestReadCheckersSeeBrokenRules(t *testing.T) {
	seen := make(map[promise]bool)
	for _, b := range brokenReadRules() {
		seen[b.promise] = true
		t.Run(b.name+"/"+string(b.promise), func(t *testing.T) {
			rules := strictReads()
			b.rules(&rules)
			assert.Assert(t, breaksReads(b, rules), "no seed broke it")
			sound := runReads(newReadScenario(b.at, 1, readFaultNamed(b.fault)), strictReads())
			assert.Equal(t, len(sound.violations), 0, "%v", sound.violations)
		})
	}
	for _, p := range []promise{promiseOwnWrite, promiseAge, promiseHeld, promiseReadsBack, promiseReplicas, promiseReached} {
		assert.Check(t, seen[p], "no broken rules for: %s", p)
	}
}

// breaksReads reports whether one of a few seeds shows the broken promise.
func breaksReads(b brokenReads, rules readRules) bool {
	for seed := uint64(1); seed <= 4; seed++ {
		sc := newReadScenario(b.at, seed, readFaultNamed(b.fault))
		sc.set.adjust = b.adjust
		for _, v := range runReads(sc, rules).violations {
			if v.promise == b.promise {
				return true
			}
		}
	}
	return false
}
