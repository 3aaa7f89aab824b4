package failover

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func at(ms int) tables.Time { return tables.Time(time.Duration(ms) * time.Millisecond) }

// newWorld returns a world in which a is the primary of a group of three at term
// 1 and all servers answer.
func newWorld() *tables.World {
	w := tables.NewWorld("vm1", "east", "10.0.0.1:7000")
	w.VMs.Put("vm1", tables.VM{ID: "vm1"})
	w.VMs.Put("vm2", tables.VM{ID: "vm2"})
	w.Upstreams.Put("a", tables.Upstream{ID: "a", Group: "g", HasStatus: true, Status: status(tables.RolePrimary, 1, "")})
	w.Upstreams.Put("b", tables.Upstream{ID: "b", Group: "g", HasStatus: true, Status: status(tables.RoleReplica, 1, "a")})
	w.Upstreams.Put("c", tables.Upstream{ID: "c", Group: "g", HasStatus: true, Status: status(tables.RoleReplica, 1, "a")})
	w.Groups.Put("g", tables.Group{ID: "g", Members: []tables.UpstreamID{"a", "b", "c"}, Term: 1, Primary: "a"})
	return w
}

func newSystem() *System {
	order := func(*tables.World, tables.GroupID) []tables.VMID { return []tables.VMID{"vm1", "vm2"} }
	return New(DefaultOptions(order), rand.New(rand.NewPCG(1, 1)))
}

// withGrants returns a system that has read the row and was granted terms.
func withGrants(w *tables.World, terms ...tables.Term) *System {
	s := newSystem()
	st := s.state("g")
	st.rowState.grants = terms
	st.rowState.nextAt = at(1_000_000)
	st.rowState.writeAt = at(1_000_000)
	s.groups.Put("g", st)
	row := tables.GroupRow{Term: 1, Primary: "a", Next: 20}
	w.Rows.Put("g", tables.StoredGroupRow{Row: row, Version: 3})
	return s
}

// refuseConnections makes the connections to a server refused, here and at vm2.
func refuseConnections(w *tables.World, id tables.UpstreamID) {
	u, _ := w.Upstreams.Get(id)
	u.Cause = tables.CauseRefused
	w.Upstreams.Put(id, u)
	key := tables.NewObservationKey("vm2", id)
	w.Observations.Put(key, tables.Observation{From: "vm2", Upstream: id, Cause: tables.CauseRefused})
}

func fenced(id tables.UpstreamID, term tables.Term, index uint64) event.ControlDone {
	st := tables.Status{Fenced: term, Last: tables.Position{LogTerm: 1, Index: index}}
	return event.ControlDone{Group: "g", Upstream: id, Term: term, Step: tables.StepFence, Status: st}
}

func TestReplacesPrimaryThatRefusesConnections(t *testing.T) {
	w := newWorld()
	s := withGrants(w, 5, 9)
	refuseConnections(w, "a")
	assert.DeepEqual(t, s.Tick(at(10), w), []action.Action{
		action.Fence{Group: "g", Upstream: "a", Term: 5},
		action.Fence{Group: "g", Upstream: "b", Term: 5},
		action.Fence{Group: "g", Upstream: "c", Term: 5},
	})
	assert.Assert(t, s.Handle(at(11), w, fenced("b", 5, 7)) == nil)
	assert.DeepEqual(t, s.Handle(at(12), w, fenced("c", 5, 8)), []action.Action{
		action.Promote{Group: "g", Upstream: "c", Term: 5},
	})
	assert.Assert(t, s.Handle(at(12), w, fenced("a", 5, 99)) == nil)

	out := s.Handle(at(13), w, event.ControlDone{Group: "g", Upstream: "c", Term: 5, Step: tables.StepPromote})
	assert.DeepEqual(t, out, []action.Action{
		action.CloseConnections{Upstream: "a", BelowTerm: 5},
		action.Follow{Group: "g", Upstream: "a", Primary: "c", Term: 5},
		action.Follow{Group: "g", Upstream: "b", Primary: "c", Term: 5},
		action.Publish{To: []tables.VMID{"vm2"}, Topic: peer.TopicGroup, Message: peer.GroupState{Group: "g", Term: 5, Primary: "c"}},
	})
	g, _ := w.Groups.Get("g")
	assert.Equal(t, g.Term, tables.Term(5))
	assert.Equal(t, w.Coordinations.Len(), 0)
}

func TestStartsOnlyWithGrantAboveObservedTerms(t *testing.T) {
	cases := []struct {
		name   string
		grants []tables.Term
		want   tables.Term
	}{
		{"no grant", nil, 0},
		{"grants not above the observed term", []tables.Term{2, 3}, 0},
		{"lowest grant above the observed term", []tables.Term{3, 4, 8}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			s := withGrants(w, c.grants...)
			refuseConnections(w, "a")
			b, _ := w.Upstreams.Get("b")
			b.Status.Fenced = 3
			w.Upstreams.Put("b", b)
			s.Tick(at(0), w)
			s.Tick(at(999), w)
			assert.Equal(t, w.Coordinations.Len(), 0)
			w.Observations.Put("vm2/a", tables.Observation{From: "vm2", Upstream: "a", Cause: tables.CauseRefused, ReceivedAt: at(990)})
			s.Tick(at(1000), w)
			got, _ := w.Coordinations.Get("g")
			assert.Equal(t, got.Term, c.want)
		})
	}
}

func TestStalledAttemptRestartsWithNextGrant(t *testing.T) {
	w := newWorld()
	s := withGrants(w, 5, 9)
	refuseConnections(w, "a")
	s.Tick(at(10), w)
	assert.Equal(t, len(s.Tick(at(210), w)), 3)
	s.Handle(at(211), w, fenced("b", 5, 7))
	assert.Equal(t, len(s.Tick(at(420), w)), 2)
	for _, id := range []tables.UpstreamID{"b", "c"} {
		u, _ := w.Upstreams.Get(id)
		u.StatusAt = at(1000)
		w.Upstreams.Put(id, u)
	}
	s.Tick(at(1010), w)
	c, ok := w.Coordinations.Get("g")
	assert.Assert(t, ok)
	assert.Equal(t, c.Term, tables.Term(9))
	assert.Equal(t, c.Fenced.Len(), 0)
}

func TestCandidateOfTermNeverChanges(t *testing.T) {
	w := newWorld()
	s := withGrants(w, 5)
	refuseConnections(w, "a")
	s.Tick(at(10), w)
	s.Handle(at(11), w, fenced("b", 5, 7))
	s.Handle(at(12), w, fenced("c", 5, 8))
	s.Handle(at(13), w, event.ControlDone{Group: "g", Upstream: "c", Term: 5, Step: tables.StepPromote, Outcome: event.OutcomeUnknown})
	s.Handle(at(14), w, fenced("a", 5, 99))
	assert.DeepEqual(t, s.Tick(at(300), w), []action.Action{action.Promote{Group: "g", Upstream: "c", Term: 5}})
	assert.Assert(t, s.Handle(at(301), w, event.ControlDone{Group: "g", Upstream: "b", Term: 5, Step: tables.StepPromote}) == nil)
}

func TestSupersededAttemptEnds(t *testing.T) {
	cases := []struct {
		name    string
		observe func(s *System, w *tables.World)
	}{
		{"fence refused", func(s *System, w *tables.World) {
			s.Handle(at(11), w, event.ControlDone{Group: "g", Upstream: "b", Term: 5, Step: tables.StepFence, Outcome: event.OutcomeFenced})
		}},
		{"higher term in a status", func(s *System, w *tables.World) {
			b, _ := w.Upstreams.Get("b")
			b.Status.Fenced = 6
			w.Upstreams.Put("b", b)
		}},
		{"a later primary is known", func(s *System, w *tables.World) {
			g, _ := w.Groups.Get("g")
			g.Term, g.Primary = 6, "b"
			w.Groups.Put("g", g)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			s := withGrants(w, 5, 9)
			refuseConnections(w, "a")
			s.Tick(at(10), w)
			c.observe(s, w)
			s.Tick(at(20), w)
			assert.Equal(t, w.Coordinations.Len(), 0)
			assert.Assert(t, s.Handle(at(21), w, fenced("c", 5, 8)) == nil)
		})
	}
}

func TestPlannedMoveWaitsForOldPrimary(t *testing.T) {
	w := newWorld()
	s := withGrants(w, 5)
	a, _ := w.Upstreams.Get("a")
	a.Leaving = true
	w.Upstreams.Put("a", a)
	s.Tick(at(10), w)
	c, _ := w.Coordinations.Get("g")
	assert.Assert(t, c.Planned)
	s.Handle(at(11), w, fenced("b", 5, 8))
	assert.Assert(t, s.Handle(at(11), w, fenced("c", 5, 7)) == nil)
	assert.DeepEqual(t, s.Handle(at(12), w, fenced("a", 5, 9)), []action.Action{
		action.Promote{Group: "g", Upstream: "b", Term: 5},
	})
}

func TestLeavingProxyStartsNoAttempt(t *testing.T) {
	w := newWorld()
	s := withGrants(w, 5)
	w.Leaving = true
	refuseConnections(w, "a")
	s.Tick(at(10), w)
	assert.Equal(t, w.Coordinations.Len(), 0)
}

func TestSendsFollowToServerWithWrongPrimary(t *testing.T) {
	w := newWorld()
	s := withGrants(w, 5)
	c, _ := w.Upstreams.Get("c")
	c.Status.Following = "b"
	w.Upstreams.Put("c", c)
	follow := []action.Action{action.Follow{Group: "g", Upstream: "c", Primary: "a", Term: 1}}
	assert.DeepEqual(t, s.Tick(at(10), w), follow)
	assert.Assert(t, s.Tick(at(20), w) == nil)
	assert.DeepEqual(t, s.Tick(at(510), w), follow)
}

func TestPlanRow(t *testing.T) {
	g := tables.Group{ID: "g", Term: 4, Primary: "b"}
	cases := []struct {
		name      string
		row       tables.GroupRow
		high      tables.Term
		wantGrant bool
		expect    tables.GroupRow
		granted   tables.Term
		changed   bool
	}{
		{"up to date", tables.GroupRow{Term: 4, Primary: "b", Next: 9}, 4, false, tables.GroupRow{Term: 4, Primary: "b", Next: 9}, 0, false},
		{"older primary", tables.GroupRow{Term: 3, Primary: "a", Next: 9}, 4, false, tables.GroupRow{Term: 4, Primary: "b", Next: 9}, 0, true},
		{"newer primary is kept", tables.GroupRow{Term: 6, Primary: "a", Next: 9}, 4, false, tables.GroupRow{Term: 6, Primary: "a", Next: 9}, 0, false},
		{
			"grant", tables.GroupRow{Term: 4, Primary: "b", Next: 9}, 4, true,
			tables.GroupRow{Term: 4, Primary: "b", Next: 10, Grants: []tables.TermGrant{{VM: "vm1", Term: 9}}}, 9, true,
		},
		{
			"grant above every term seen", tables.GroupRow{Term: 4, Primary: "b", Next: 9}, 30, true,
			tables.GroupRow{Term: 4, Primary: "b", Next: 32, Grants: []tables.TermGrant{{VM: "vm1", Term: 31}}}, 31, true,
		},
		{
			"first row", tables.GroupRow{}, 4, true,
			tables.GroupRow{Term: 4, Primary: "b", Next: 6, Grants: []tables.TermGrant{{VM: "vm1", Term: 5}}}, 5, true,
		},
		{
			"used grants are dropped", tables.GroupRow{Term: 3, Primary: "a", Next: 9, Grants: []tables.TermGrant{{VM: "vm2", Term: 4}, {VM: "vm2", Term: 7}}}, 4, false,
			tables.GroupRow{Term: 4, Primary: "b", Next: 9, Grants: []tables.TermGrant{{VM: "vm2", Term: 7}}}, 0, true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			row, granted, changed := planRow(c.row, g, c.high, "vm1", c.wantGrant)
			assert.Equal(t, changed, c.changed)
			assert.Equal(t, granted, c.granted)
			if len(row.Grants) == 0 {
				row.Grants = nil
			}
			assert.DeepEqual(t, row, c.expect)
		})
	}
}

// writeOf returns the row write among actions.
func writeOf(t *testing.T, actions []action.Action) action.WriteGroupRow {
	t.Helper()
	for _, a := range actions {
		if w, ok := a.(action.WriteGroupRow); ok {
			return w
		}
	}
	t.Fatal("no write")
	return action.WriteGroupRow{}
}

func TestGrantIsUsableOnlyAfterSuccessfulWrite(t *testing.T) {
	cases := []struct {
		outcome event.Outcome
		grants  int
		repeats bool
	}{
		{event.OutcomeOK, 1, false},
		{event.OutcomeConflict, 0, false},
		{event.OutcomeFailed, 0, true},
		{event.OutcomeUnknown, 0, true},
	}
	for _, c := range cases {
		w, s := newWorld(), newSystem()
		assert.DeepEqual(t, s.Tick(at(0), w), []action.Action{action.ReadGroupRow{Group: "g"}})
		s.Handle(at(1), w, event.GroupRowRead{Group: "g", Row: tables.GroupRow{Term: 1, Primary: "a", Next: 2}, Version: 1})
		first := writeOf(t, s.Tick(at(10), w))
		assert.Equal(t, first.Version, uint64(1))
		s.Handle(at(11), w, event.GroupRowWritten{Group: "g", TxnID: "another", Outcome: event.OutcomeOK})
		assert.Equal(t, len(s.state("g").rowState.grants), 0)
		s.Handle(at(12), w, event.GroupRowWritten{Group: "g", TxnID: first.TxnID, Outcome: c.outcome})
		assert.Equal(t, len(s.state("g").rowState.grants), c.grants)
		assert.Equal(t, s.state("g").rowState.writing, c.repeats)
		if c.repeats {
			assert.DeepEqual(t, writeOf(t, s.Tick(at(1100), w)), first)
		}
	}
}

func TestUnansweredWriteIsRepeatedWithSameID(t *testing.T) {
	w, s := newWorld(), newSystem()
	s.Tick(at(0), w)
	s.Handle(at(1), w, event.GroupRowRead{Group: "g", Outcome: event.OutcomeNotFound})
	first := writeOf(t, s.Tick(at(10), w))
	assert.Equal(t, first.Version, uint64(0))
	assert.Assert(t, s.Tick(at(2009), w) == nil)
	assert.DeepEqual(t, writeOf(t, s.Tick(at(2010), w)), first)
}

func TestOlderRowIsIgnored(t *testing.T) {
	w, s := newWorld(), newSystem()
	s.Handle(at(1), w, event.GroupRowRead{Group: "g", Row: tables.GroupRow{Term: 7, Primary: "b", Next: 9}, Version: 4})
	s.Handle(at(2), w, event.GroupRowRead{Group: "g", Row: tables.GroupRow{Term: 3, Primary: "c", Next: 4}, Version: 3})
	row, _ := w.Rows.Get("g")
	assert.Equal(t, row.Version, uint64(4))
	g, _ := w.Groups.Get("g")
	assert.Equal(t, g.Primary, tables.UpstreamID("b"))
}

// A trigger observed for one primary must not count against its successor.
func TestTriggerDelayRestartsWithNewPrimary(t *testing.T) {
	w := newWorld()
	s := withGrants(w, 5, 9)
	a, _ := w.Upstreams.Get("a")
	a.Status = status(tables.RoleReplica, 3, "")
	w.Upstreams.Put("a", a)
	s.Tick(at(0), w)
	s.Tick(at(990), w)
	g, _ := w.Groups.Get("g")
	g.Term, g.Primary = 3, "b"
	w.Groups.Put("g", g)
	s.Tick(at(995), w)
	s.Tick(at(1000), w)
	assert.Equal(t, w.Coordinations.Len(), 0)
}

// The trigger delay must not include a time in which no majority was reached.
func TestTriggerDelayStartsWhenMajorityIsReached(t *testing.T) {
	w := newWorld()
	s := withGrants(w, 5)
	for _, id := range []tables.UpstreamID{"a", "b"} {
		u, _ := w.Upstreams.Get(id)
		u.Cause = tables.CauseSilent
		w.Upstreams.Put(id, u)
	}
	s.Tick(at(0), w)
	observe := func(ms int) {
		w.Observations.Put("vm2/a", tables.Observation{From: "vm2", Upstream: "a", Cause: tables.CauseSilent, ReceivedAt: at(ms)})
		for _, id := range []tables.UpstreamID{"b", "c"} {
			u, _ := w.Upstreams.Get(id)
			u.Cause, u.StatusAt = tables.CauseNone, at(ms)
			w.Upstreams.Put(id, u)
		}
	}
	observe(5000)
	s.Tick(at(5000), w)
	assert.Equal(t, w.Coordinations.Len(), 0)
	observe(5790)
	s.Tick(at(5790), w)
	assert.Equal(t, w.Coordinations.Len(), 0)
	s.Tick(at(5800), w)
	assert.Equal(t, w.Coordinations.Len(), 1)
}
