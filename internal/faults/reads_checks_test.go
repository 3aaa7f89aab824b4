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

// brokenReads are rules of reads that are broken on purpose, and the promise that
// they break.
type brokenReads struct {
	name    string
	promise promise
	at      step
	fault   string
	rules   func(*readRules)
	adjust  func(*failover.Options)
}

func dropSession(s session.Session, a *time.Duration) (session.Session, *time.Duration) {
	return session.Session{Complete: s.Complete}, a
}

// assumeComplete treats the cached state of a session identified by name as
// complete.
func assumeComplete(s session.Session, a *time.Duration) (session.Session, *time.Duration) {
	s.Complete = true
	return s, a
}

func ignoreMaxAge(s session.Session, a *time.Duration) (session.Session, *time.Duration) {
	if a == nil {
		return s, nil
	}
	return s, age(time.Hour)
}

// overstatePositions builds snapshots in which every replica holds the newest
// confirmed point.
func overstatePositions(now tables.Time, w *tables.World, previous *route.Snapshot) *route.Snapshot {
	s := route.Build(now, w, previous)
	g, _ := s.Group(testGroup)
	for i := range g.Members {
		if len(g.Points) > 0 && g.Points[0].Position.AtLeast(g.Members[i].Position) {
			g.Members[i].Position = g.Points[0].Position
		}
	}
	return s
}

// keepFirstSnapshot keeps the first snapshot that has a confirmed point.
func keepFirstSnapshot(now tables.Time, w *tables.World, previous *route.Snapshot) *route.Snapshot {
	if previous != nil {
		if g, _ := previous.Group(testGroup); len(g.Points) > 0 {
			return previous
		}
	}
	return route.Build(now, w, previous)
}

// markReplicasLeaving builds snapshots in which every server is leaving.
func markReplicasLeaving(now tables.Time, w *tables.World, previous *route.Snapshot) *route.Snapshot {
	s := route.Build(now, w, previous)
	g, _ := s.Group(testGroup)
	for i := range g.Members {
		g.Members[i].Leaving = true
	}
	return s
}

func brokenReadRules() []brokenReads {
	return []brokenReads{
		{name: "ignores the session", promise: promiseOwnWrite, at: stepIdle, fault: "replica far behind", rules: func(r *readRules) { r.declare = dropSession }},
		{name: "treats a name as a token", promise: promiseOwnWrite, at: stepIdle, fault: "replica far behind", rules: func(r *readRules) { r.declare = assumeComplete }},
		{name: "answers unconfirmed", promise: promiseOwnWrite, at: stepReadChosen, fault: "primary's data centre cut off", rules: func(r *readRules) { r.unconfirmed = true }},
		{name: "ignores the max age", promise: promiseAge, at: stepIdle, fault: "replica far behind", rules: func(r *readRules) { r.declare = ignoreMaxAge }},
		{name: "does not check a late answer", promise: promiseAge, at: stepIdle, fault: "replica paused", rules: func(r *readRules) { r.skipAgeCheck = true }},
		{name: "overstates positions", promise: promiseHeld, at: stepIdle, fault: "replica far behind", rules: func(r *readRules) { r.snapshot = overstatePositions }},
		{name: "keeps its first snapshot", promise: promiseReadsBack, at: stepIdle, fault: "none", rules: func(r *readRules) { r.snapshot = keepFirstSnapshot }},
		{name: "excludes all replicas", promise: promiseReplicas, at: stepIdle, fault: "none", rules: func(r *readRules) { r.snapshot = markReplicasLeaving }},
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

// TestReadCheckersDetectBrokenRules checks that every checker of reads fails on
// rules that are broken on purpose, and passes on the real ones.
func TestReadCheckersDetectBrokenRules(t *testing.T) {
	seen := make(map[promise]bool)
	for _, b := range brokenReadRules() {
		seen[b.promise] = true
		t.Run(b.name+"/"+string(b.promise), func(t *testing.T) {
			rules := strictReads()
			b.rules(&rules)
			assert.Assert(t, violatesReads(b, rules), "no seed showed the violation")
			sound := runReads(newReadScenario(b.at, 1, readFaultNamed(b.fault)), strictReads())
			assert.Equal(t, len(sound.violations), 0, "%v", sound.violations)
		})
	}
	for _, p := range []promise{promiseOwnWrite, promiseAge, promiseHeld, promiseReadsBack, promiseReplicas, promiseReached} {
		assert.Check(t, seen[p], "no broken rules for: %s", p)
	}
}

// violatesReads reports whether one of a few seeds shows the broken promise.
func violatesReads(b brokenReads, rules readRules) bool {
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
