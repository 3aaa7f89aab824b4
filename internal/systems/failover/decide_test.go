package failover

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func TestDecide(t *testing.T) {
	refused := DecisionInput{Trigger: TriggerRefused, Members: 3, Reached: 2, Observers: 2}
	silent := DecisionInput{Trigger: TriggerSilent, Members: 3, Reached: 2, Observers: 2, TriggeredFor: 800 * time.Millisecond}
	cases := []struct {
		name string
		base DecisionInput
		edit func(*DecisionInput)
		want bool
	}{
		{"refused, immediately", refused, func(*DecisionInput) {}, true},
		{"refused, no majority", refused, func(e *DecisionInput) { e.Reached = 1 }, false},
		{"refused, second rank waits", refused, func(e *DecisionInput) { e.Rank = 1; e.TriggeredFor = 99 * time.Millisecond }, false},
		{"refused, second rank acts", refused, func(e *DecisionInput) { e.Rank = 1; e.TriggeredFor = 100 * time.Millisecond }, true},
		{"refused, another proxy reaches it", refused, func(e *DecisionInput) { e.Reaching = 1 }, false},
		{"refused, as many reach it as see it fail", refused, func(e *DecisionInput) { e.Reaching = 2; e.Failing = 1 }, false},
		{"refused, more see it fail", refused, func(e *DecisionInput) { e.Reaching = 1; e.Failing = 1 }, true},
		{"refused, no other observers", refused, func(e *DecisionInput) { e.Observers = 0; e.TriggeredFor = 2999 * time.Millisecond }, false},
		{"refused, no other observers, long delay passed", refused, func(e *DecisionInput) { e.Observers = 0; e.TriggeredFor = 3 * time.Second }, true},
		{"silent", silent, func(*DecisionInput) {}, true},
		{"silent, not long enough", silent, func(e *DecisionInput) { e.TriggeredFor = 799 * time.Millisecond }, false},
		{"silent, no other observers", silent, func(e *DecisionInput) { e.Observers = 0 }, false},
		{"contended", refused, func(e *DecisionInput) { e.Contended = true; e.ContendedFor = 999 * time.Millisecond }, false},
		{"contended long ago", refused, func(e *DecisionInput) { e.Contended = true; e.ContendedFor = time.Second }, true},
		{"no trigger", DecisionInput{Members: 3, Reached: 3, TriggeredFor: time.Hour}, func(*DecisionInput) {}, false},
		{"unknown primary", DecisionInput{Trigger: TriggerUnknown, Members: 3, Reached: 3, TriggeredFor: time.Second}, func(*DecisionInput) {}, false},
		{"unknown primary, delay passed", DecisionInput{Trigger: TriggerUnknown, Members: 3, Reached: 3, TriggeredFor: 3 * time.Second}, func(*DecisionInput) {}, true},
		{"deposed", DecisionInput{Trigger: TriggerDeposed, Members: 3, Reached: 2, TriggeredFor: time.Second}, func(*DecisionInput) {}, true},
		{"deposed just now", DecisionInput{Trigger: TriggerDeposed, Members: 3, Reached: 2}, func(*DecisionInput) {}, false},
		{"stray just now", DecisionInput{Trigger: TriggerStray, Members: 3, Reached: 3, TriggeredFor: time.Second}, func(*DecisionInput) {}, false},
		{"stray, delay passed", DecisionInput{Trigger: TriggerStray, Members: 3, Reached: 3, TriggeredFor: 3 * time.Second}, func(*DecisionInput) {}, true},
		{"planned", DecisionInput{Trigger: TriggerPlanned, Members: 3, Reached: 3}, func(*DecisionInput) {}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := c.base
			c.edit(&e)
			assert.Equal(t, Decide(e, DefaultOptions(nil)), c.want)
		})
	}
}

func fencedAt(id tables.UpstreamID, logTerm tables.Term, index uint64) Fenced {
	return Fenced{Upstream: id, Status: tables.Status{Last: tables.Position{LogTerm: logTerm, Index: index}}}
}

func leaving(f Fenced) Fenced {
	f.Leaving = true
	return f
}

func TestChoose(t *testing.T) {
	cases := []struct {
		name    string
		fenced  []Fenced
		planned bool
		want    tables.UpstreamID
		ok      bool
	}{
		{"no majority", []Fenced{fencedAt("a", 1, 5)}, false, "", false},
		{"longer log", []Fenced{fencedAt("a", 1, 5), fencedAt("b", 1, 6)}, false, "b", true},
		{"newer term beats longer log", []Fenced{fencedAt("a", 1, 50), fencedAt("b", 2, 6)}, false, "b", true},
		{"equal, the first server", []Fenced{fencedAt("b", 1, 6), fencedAt("c", 1, 6)}, false, "b", true},
		{"equal, the server that is not leaving", []Fenced{leaving(fencedAt("b", 1, 6)), fencedAt("c", 1, 6)}, false, "c", true},
		{"a longer log wins even on a leaving server", []Fenced{leaving(fencedAt("b", 1, 7)), fencedAt("c", 1, 6)}, false, "b", true},
		{"planned, caught up", []Fenced{leaving(fencedAt("a", 1, 6)), fencedAt("c", 1, 6)}, true, "c", true},
		{"planned, waits for a replica to catch up", []Fenced{leaving(fencedAt("a", 1, 7)), fencedAt("c", 1, 6)}, true, "a", false},
		{"planned, staying majority", []Fenced{leaving(fencedAt("a", 1, 9)), fencedAt("b", 1, 7), fencedAt("c", 1, 8)}, true, "c", true},
		{"planned, all leave", []Fenced{leaving(fencedAt("a", 1, 9)), leaving(fencedAt("b", 1, 7)), leaving(fencedAt("c", 1, 8))}, true, "a", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := Choose(c.fenced, 3, c.planned)
			assert.Equal(t, ok, c.ok)
			if ok {
				assert.Equal(t, got, c.want)
			}
		})
	}
}

func status(role tables.Role, fenced tables.Term, following tables.UpstreamID) tables.Status {
	return tables.Status{Role: role, Fenced: fenced, Last: tables.Position{LogTerm: 1, Index: 4}, Following: following}
}

func TestDiagnose(t *testing.T) {
	cases := []struct {
		name string
		edit func(a, b, c *tables.Upstream, g *tables.Group)
		want Trigger
	}{
		{"healthy", func(a, b, c *tables.Upstream, g *tables.Group) {}, TriggerNone},
		{"refused", func(a, b, c *tables.Upstream, g *tables.Group) { a.Cause = tables.CauseRefused }, TriggerRefused},
		{"reset", func(a, b, c *tables.Upstream, g *tables.Group) { a.Cause = tables.CauseReset }, TriggerRefused},
		{"silent", func(a, b, c *tables.Upstream, g *tables.Group) { a.Cause = tables.CauseSilent }, TriggerSilent},
		{"slow", func(a, b, c *tables.Upstream, g *tables.Group) { a.Cause = tables.CauseSlow }, TriggerNone},
		{"path lost", func(a, b, c *tables.Upstream, g *tables.Group) { a.Cause = tables.CausePathLost }, TriggerNone},
		{"replica failing", func(a, b, c *tables.Upstream, g *tables.Group) { b.Cause = tables.CauseRefused }, TriggerNone},
		{"no known primary", func(a, b, c *tables.Upstream, g *tables.Group) { g.Primary = "" }, TriggerUnknown},
		{"primary is a replica", func(a, b, c *tables.Upstream, g *tables.Group) { a.Status.Role = tables.RoleReplica }, TriggerDeposed},
		{"primary promised more", func(a, b, c *tables.Upstream, g *tables.Group) {
			a.Status.Fenced = 2
			a.Status.Role = tables.RoleReplica
		}, TriggerDeposed},
		{"replicas promised more", func(a, b, c *tables.Upstream, g *tables.Group) { b.Status.Fenced = 2; c.Status.Fenced = 2 }, TriggerDeposed},
		{"one replica promised more", func(a, b, c *tables.Upstream, g *tables.Group) { b.Status.Fenced = 2 }, TriggerStray},
		{"primary leaves", func(a, b, c *tables.Upstream, g *tables.Group) { a.Leaving = true }, TriggerPlanned},
		{"all leave", func(a, b, c *tables.Upstream, g *tables.Group) { a.Leaving, b.Leaving, c.Leaving = true, true, true }, TriggerNone},
		{"replica leaves", func(a, b, c *tables.Upstream, g *tables.Group) { b.Leaving = true }, TriggerNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			a, _ := w.Upstreams.Get("a")
			b, _ := w.Upstreams.Get("b")
			d, _ := w.Upstreams.Get("c")
			g, _ := w.Groups.Get("g")
			c.edit(&a, &b, &d, &g)
			for _, u := range []tables.Upstream{a, b, d} {
				w.Upstreams.Put(u.ID, u)
			}
			assert.Equal(t, diagnose(0, w, g), c.want)
		})
	}
}

func TestCountObservers(t *testing.T) {
	const second = tables.Time(time.Second)
	cases := []struct {
		name string
		o    tables.Observation
		want DecisionInput
	}{
		{"failing there too", tables.Observation{Cause: tables.CauseSilent, ReceivedAt: second}, DecisionInput{Observers: 1, Failing: 1}},
		{"reached it after", tables.Observation{Quorum: true, ReceivedAt: second}, DecisionInput{Observers: 1, Reaching: 1}},
		{"reached it after with a slow answer", tables.Observation{Cause: tables.CauseSlow, Quorum: true, ReceivedAt: second}, DecisionInput{Observers: 1, Reaching: 1}},
		{"reached it before", tables.Observation{Quorum: true, ReceivedAt: second, Age: 600 * time.Millisecond}, DecisionInput{Observers: 1}},
		{"reaches it without a majority", tables.Observation{ReceivedAt: second}, DecisionInput{Observers: 1}},
		{"too old", tables.Observation{Quorum: true, ReceivedAt: second - tables.Time(1600*time.Millisecond)}, DecisionInput{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			c.o.From, c.o.Upstream = "vm2", "a"
			w.Observations.Put("vm2/a", c.o)
			p := tables.Upstream{ID: "a", FailingSince: tables.Time(500 * time.Millisecond)}
			var e DecisionInput
			countObservers(second, w, p, DefaultOptions(nil), &e)
			assert.Equal(t, e, c.want)
		})
	}
}

func TestNeedsFollow(t *testing.T) {
	g := tables.Group{ID: "g", Term: 5, Primary: "a"}
	cases := []struct {
		name string
		u    tables.Upstream
		want bool
	}{
		{"the primary", tables.Upstream{ID: "a", Status: status(tables.RolePrimary, 5, "")}, false},
		{"follows the primary", tables.Upstream{ID: "b", Status: status(tables.RoleReplica, 5, "a")}, false},
		{"follows nobody", tables.Upstream{ID: "b", Status: status(tables.RoleReplica, 5, "")}, true},
		{"follows another", tables.Upstream{ID: "b", Status: status(tables.RoleReplica, 5, "c")}, true},
		{"old primary", tables.Upstream{ID: "b", Status: status(tables.RolePrimary, 4, "")}, true},
		{"old term", tables.Upstream{ID: "b", Status: status(tables.RoleReplica, 4, "a")}, true},
		{"promised a higher term", tables.Upstream{ID: "b", Status: status(tables.RoleReplica, 6, "")}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, needsFollow(g, c.u), c.want) })
	}
	assert.Equal(t, needsFollow(tables.Group{ID: "g"}, tables.Upstream{ID: "b"}), false)
}
