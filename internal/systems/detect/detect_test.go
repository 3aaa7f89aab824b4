package detect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

const tick = tables.Time(10 * time.Millisecond)

func at(ms int) tables.Time { return tables.Time(time.Duration(ms) * time.Millisecond) }

func newWorld() *tables.World {
	w := tables.NewWorld("vm1", "east", "10.0.0.1:7000")
	for _, vm := range []tables.VMID{"vm1", "vm2", "vm3"} {
		w.VMs.Put(vm, tables.VM{ID: vm})
	}
	members := []tables.UpstreamID{"a", "b", "c"}
	for _, id := range members {
		w.Upstreams.Put(id, tables.Upstream{ID: id, Group: "g"})
	}
	w.Groups.Put("g", tables.Group{ID: "g", Members: members, Term: 1, Primary: "a"})
	return w
}

func newSystem() *System {
	first := func(*tables.World, tables.GroupID) []tables.VMID { return []tables.VMID{"vm1"} }
	return New(DefaultOptions(first), rand.New(rand.NewPCG(1, 1)))
}

func leader(term tables.Term, index uint64) tables.Status {
	return tables.Status{Role: tables.RolePrimary, Fenced: term, Last: tables.Position{LogTerm: term, Index: index}}
}

func follower(term tables.Term, index uint64) tables.Status {
	return tables.Status{Fenced: term, Last: tables.Position{LogTerm: term, Index: index}, Following: "a"}
}

// probesOf returns the probes of one upstream among actions.
func probesOf(id tables.UpstreamID, actions []action.Action) []action.Probe {
	var out []action.Probe
	for _, a := range actions {
		if p, ok := a.(action.Probe); ok && p.Upstream == id {
			out = append(out, p)
		}
	}
	return out
}

func closesOf(actions []action.Action) []action.CloseConnections {
	var out []action.CloseConnections
	for _, a := range actions {
		if c, ok := a.(action.CloseConnections); ok {
			out = append(out, c)
		}
	}
	return out
}

func observationsOf(id tables.UpstreamID, actions []action.Action) []peer.Observation {
	var out []peer.Observation
	for _, a := range actions {
		p, ok := a.(action.Publish)
		if !ok {
			continue
		}
		if o, ok := p.Message.(peer.Observation); ok && o.Upstream == id {
			out = append(out, o)
		}
	}
	return out
}

func upstream(t *testing.T, w *tables.World, id tables.UpstreamID) tables.Upstream {
	t.Helper()
	u, ok := w.Upstreams.Get(id)
	assert.Assert(t, ok)
	return u
}

// run ticks from one time to another; answer returns the result of each probe.
func run(s *System, w *tables.World, from, to tables.Time, answer func(now tables.Time, p action.Probe) (event.ProbeDone, bool)) []action.Action {
	var all []action.Action
	for now := from; now <= to; now += tick {
		queue := s.Tick(now, w)
		for len(queue) > 0 {
			a := queue[0]
			queue = queue[1:]
			all = append(all, a)
			p, ok := a.(action.Probe)
			if !ok {
				continue
			}
			if done, ok := answer(now, p); ok {
				done.Upstream, done.SentAt, done.Fresh = p.Upstream, now, p.Fresh
				queue = append(queue, s.Handle(now, w, done)...)
			}
		}
	}
	return all
}

func healthy(_ tables.Time, p action.Probe) (event.ProbeDone, bool) {
	if p.Upstream == "a" {
		return event.ProbeDone{Status: leader(1, 5)}, true
	}
	return event.ProbeDone{Status: follower(1, 5)}, true
}

// failingA answers like healthy, but probes of upstream a fail with cause from a
// time on.
func failingA(from tables.Time, cause tables.Cause) func(tables.Time, action.Probe) (event.ProbeDone, bool) {
	return func(now tables.Time, p action.Probe) (event.ProbeDone, bool) {
		if p.Upstream != "a" || now < from {
			return healthy(now, p)
		}
		return event.ProbeDone{Cause: cause}, cause != tables.CauseSilent
	}
}

func TestProbeIntervalOfCandidatesAndOthers(t *testing.T) {
	cases := []struct {
		name        string
		candidates  []tables.VMID
		wantPrimary int
		wantReplica int
	}{
		{"candidate", []tables.VMID{"vm2", "vm1"}, 81, 5},
		{"other", []tables.VMID{"vm2"}, 3, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, s := newWorld(), newSystem()
			s.options.Candidates = func(*tables.World, tables.GroupID) []tables.VMID { return c.candidates }
			all := run(s, w, 0, at(4000), healthy)
			assert.Equal(t, len(probesOf("a", all)), c.wantPrimary)
			assert.Equal(t, len(probesOf("b", all)), c.wantReplica)
		})
	}
}

func TestSecondRefusedProbeMarksUpstreamAsFailing(t *testing.T) {
	w, s := newWorld(), newSystem()
	run(s, w, 0, at(90), healthy)
	s.Tick(at(100), w)
	again := s.Handle(at(101), w, event.ProbeDone{Upstream: "a", SentAt: at(100), Cause: tables.CauseRefused})
	assert.DeepEqual(t, probesOf("a", again), []action.Probe{{Upstream: "a", Fresh: true}})
	assert.Equal(t, upstream(t, w, "a").Cause, tables.CauseNone)

	out := s.Handle(at(102), w, event.ProbeDone{Upstream: "a", SentAt: at(101), Cause: tables.CauseRefused, Fresh: true})
	assert.Equal(t, upstream(t, w, "a").Cause, tables.CauseRefused)
	assert.Equal(t, upstream(t, w, "a").FailingSince, at(100))
	assert.Equal(t, len(observationsOf("a", out)), 1)
	assert.Equal(t, observationsOf("a", out)[0].FailingMillis, int64(2))
}

func TestSingleResetDoesNotMarkUpstream(t *testing.T) {
	w, s := newWorld(), newSystem()
	run(s, w, 0, at(90), healthy)
	s.Tick(at(100), w)
	s.Handle(at(101), w, event.ProbeDone{Upstream: "a", SentAt: at(100), Cause: tables.CauseReset})
	s.Handle(at(102), w, event.ProbeDone{Upstream: "a", SentAt: at(101), Status: leader(1, 5), Fresh: true})
	s.Tick(at(150), w)
	s.Handle(at(151), w, event.ProbeDone{Upstream: "a", SentAt: at(150), Cause: tables.CauseReset})
	assert.Equal(t, upstream(t, w, "a").Cause, tables.CauseNone)
}

func TestTimeoutOnBothConnectionsMarksUpstream(t *testing.T) {
	w, s := newWorld(), newSystem()
	run(s, w, 0, at(640), failingA(at(100), tables.CauseSilent))
	u := upstream(t, w, "a")
	assert.Equal(t, u.Cause, tables.CauseSilent)
	assert.Equal(t, u.FailingSince, at(100))
	assert.Equal(t, upstream(t, w, "b").Cause, tables.CauseNone)
}

func TestPathLostClosesConnections(t *testing.T) {
	cases := []struct {
		name   string
		result event.ProbeDone
		ends   bool
	}{
		{"the old connection's probe never ends", event.ProbeDone{}, false},
		{"the old connection's probe times out", event.ProbeDone{Cause: tables.CauseSilent}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, s := newWorld(), newSystem()
			all := run(s, w, 0, at(1200), func(now tables.Time, p action.Probe) (event.ProbeDone, bool) {
				if p.Upstream == "a" && !p.Fresh && now >= at(100) {
					return c.result, c.ends
				}
				return healthy(now, p)
			})
			assert.DeepEqual(t, closesOf(all)[0], action.CloseConnections{Upstream: "a"})
			assert.Assert(t, !upstream(t, w, "a").Cause.Failing())
		})
	}
}

func TestPathLostIsRecorded(t *testing.T) {
	w, s := newWorld(), newSystem()
	run(s, w, 0, at(90), healthy)
	s.Tick(at(100), w)
	s.Handle(at(101), w, event.ProbeDone{Upstream: "a", SentAt: at(100), Cause: tables.CauseSilent})
	s.Handle(at(102), w, event.ProbeDone{Upstream: "a", SentAt: at(101), Status: leader(1, 5), Fresh: true})
	assert.Equal(t, upstream(t, w, "a").Cause, tables.CausePathLost)
}

func TestOneLateAnswerKeepsConnections(t *testing.T) {
	w, s := newWorld(), newSystem()
	all := run(s, w, 0, at(500), func(now tables.Time, p action.Probe) (event.ProbeDone, bool) {
		if p.Upstream == "a" && !p.Fresh && now == at(100) {
			return event.ProbeDone{}, false
		}
		return healthy(now, p)
	})
	assert.Equal(t, len(closesOf(all)), 0)
	assert.Equal(t, upstream(t, w, "a").Cause, tables.CauseNone)
}

func TestSlowUpstreamIsNotFailing(t *testing.T) {
	w, s := newWorld(), newSystem()
	s.Tick(0, w)
	s.Handle(at(900), w, event.ProbeDone{Upstream: "a", SentAt: 0, Status: leader(1, 5), Cause: tables.CauseSlow})
	u := upstream(t, w, "a")
	assert.Equal(t, u.Cause, tables.CauseSlow)
	assert.Assert(t, u.HasStatus)
	assert.Assert(t, Reached(at(900), u))
}

func TestOlderAnswerDoesNotReplaceNewerStatus(t *testing.T) {
	w, s := newWorld(), newSystem()
	s.Handle(at(60), w, event.ProbeDone{Upstream: "a", SentAt: at(50), Status: leader(1, 9)})
	s.Handle(at(70), w, event.ProbeDone{Upstream: "a", SentAt: at(10), Status: leader(1, 5)})
	assert.Equal(t, upstream(t, w, "a").Status.Last.Index, uint64(9))
}

// A pause of this process must not make an upstream appear unresponsive.
func TestOwnPauseDoesNotMarkUpstream(t *testing.T) {
	w, s := newWorld(), newSystem()
	run(s, w, 0, at(90), healthy)
	s.Tick(at(100), w)
	s.Tick(at(5000), w)
	s.Tick(at(5010), w)
	assert.Equal(t, upstream(t, w, "a").Cause, tables.CauseNone)
}

func TestFailedStatementTriggersProbe(t *testing.T) {
	w, s := newWorld(), newSystem()
	run(s, w, 0, at(90), healthy)
	out := s.Handle(at(95), w, event.StatementFailed{Upstream: "a", Cause: tables.CauseReset})
	assert.DeepEqual(t, out, []action.Action{action.Probe{Upstream: "a", Fresh: true}})
	assert.Assert(t, s.Handle(at(96), w, event.StatementFailed{Upstream: "a"}) == nil)
	assert.Assert(t, s.Handle(at(96), w, event.StatementFailed{Upstream: "x"}) == nil)
}

func TestRecordPrimary(t *testing.T) {
	cases := []struct {
		name    string
		term    tables.Term
		primary tables.UpstreamID
		want    tables.UpstreamID
		closes  int
	}{
		{"higher term", 2, "b", "b", 1},
		{"same term", 1, "b", "a", 0},
		{"lower term", 0, "b", "a", 0},
		{"not a member", 2, "x", "a", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			out := RecordPrimary(w, "g", c.term, c.primary)
			g, _ := w.Groups.Get("g")
			assert.Equal(t, g.Primary, c.want)
			assert.Equal(t, len(out), c.closes)
		})
	}
}

func TestRecordsPrimaryFromStatusAndPeers(t *testing.T) {
	w, s := newWorld(), newSystem()
	s.Handle(at(1), w, event.ProbeDone{Upstream: "b", SentAt: 0, Status: leader(4, 5)})
	g, _ := w.Groups.Get("g")
	assert.Equal(t, g.Term, tables.Term(4))
	s.Handle(at(2), w, event.PeerMessage{Message: peer.GroupState{Group: "g", Term: 6, Primary: "c"}})
	g, _ = w.Groups.Get("g")
	assert.Equal(t, g.Primary, tables.UpstreamID("c"))
}

func TestConfirmedPointNeedsMajority(t *testing.T) {
	w, s := newWorld(), newSystem()
	s.Handle(at(11), w, event.ProbeDone{Upstream: "b", SentAt: at(9), Status: follower(1, 5)})
	s.Handle(at(12), w, event.ProbeDone{Upstream: "a", SentAt: at(10), Status: leader(1, 5)})
	g, _ := w.Groups.Get("g")
	assert.Equal(t, g.Confirmed.Term, tables.Term(0))
	s.Handle(at(13), w, event.ProbeDone{Upstream: "c", SentAt: at(10), Status: follower(1, 4)})
	g, _ = w.Groups.Get("g")
	assert.Equal(t, g.Confirmed, tables.ConfirmedPoint{Term: 1, Position: tables.Position{LogTerm: 1, Index: 5}, SentAt: at(10)})
}

func TestIsolatedPrimaryIsNotConfirmed(t *testing.T) {
	w, s := newWorld(), newSystem()
	s.Handle(at(12), w, event.ProbeDone{Upstream: "a", SentAt: at(10), Status: leader(1, 5)})
	s.Handle(at(13), w, event.ProbeDone{Upstream: "b", SentAt: at(10), Status: follower(2, 5)})
	g, _ := w.Groups.Get("g")
	assert.Equal(t, g.Confirmed.Term, tables.Term(0))
}

func TestPublicationRateIsLimited(t *testing.T) {
	w, s := newWorld(), newSystem()
	all := run(s, w, 0, at(60_000), healthy)
	assert.Assert(t, len(observationsOf("a", all)) <= 15, "%d", len(observationsOf("a", all)))
	assert.Assert(t, len(observationsOf("a", all)) >= 10, "%d", len(observationsOf("a", all)))
	assert.Assert(t, len(observationsOf("b", all)) <= 3, "%d", len(observationsOf("b", all)))
}

func TestPrimaryProbesAreLimitedByBudget(t *testing.T) {
	w, s := newWorld(), newSystem()
	s.options.PrimaryProbes = 5
	all := run(s, w, 0, at(4000), healthy)
	assert.Assert(t, len(probesOf("a", all)) <= 25, "%d", len(probesOf("a", all)))
}

func TestLargeClusterProbesPrimariesLessOften(t *testing.T) {
	w, s := newWorld(), newSystem()
	for i := range s.options.FullMesh {
		id := tables.VMID(fmt.Sprintf("other-%02d", i))
		w.VMs.Put(id, tables.VM{ID: id})
	}
	all := run(s, w, 0, at(4000), healthy)
	assert.Assert(t, len(probesOf("a", all)) <= 50, "%d", len(probesOf("a", all)))
	assert.Assert(t, len(probesOf("a", all)) >= 35, "%d", len(probesOf("a", all)))
}

func TestAllServersAreProbedFastWhilePrimaryFails(t *testing.T) {
	w, s := newWorld(), newSystem()
	all := run(s, w, 0, at(4000), failingA(at(2000), tables.CauseRefused))
	assert.Assert(t, len(probesOf("b", all)) >= 35, "%d", len(probesOf("b", all)))
}

func TestFailingObservationTriggersReplyAndProbe(t *testing.T) {
	w, s := newWorld(), newSystem()
	run(s, w, 0, at(1000), healthy)
	failing := peer.Observation{From: "vm2", Upstream: "a", Cause: tables.CauseRefused, FailingMillis: 5}
	got := s.Handle(at(1005), w, event.PeerMessage{Message: failing})
	assert.Equal(t, len(probesOf("a", got)), 1)
	assert.Equal(t, len(observationsOf("a", got)), 1)

	again := s.Handle(at(1010), w, event.PeerMessage{Message: failing})
	assert.Equal(t, len(again), 0)
	healthyNow := peer.Observation{From: "vm2", Upstream: "a", Cause: tables.CauseNone}
	assert.Equal(t, len(s.Handle(at(1500), w, event.PeerMessage{Message: healthyNow})), 0)
}

func TestPeerObservationsAreStored(t *testing.T) {
	w, s := newWorld(), newSystem()
	m := peer.Observation{From: "vm2", DataCentre: "west", Upstream: "a", Cause: tables.CauseSilent, FailingMillis: 300, Quorum: true, AgeMillis: 4}
	s.Handle(at(20), w, event.PeerMessage{Message: m})
	got, ok := w.Observations.Get(tables.NewObservationKey("vm2", "a"))
	assert.Assert(t, ok)
	assert.Equal(t, got, tables.Observation{
		From: "vm2", DataCentre: "west", Upstream: "a", Cause: tables.CauseSilent,
		FailingFor: 300 * time.Millisecond, Quorum: true, Age: 4 * time.Millisecond, ReceivedAt: at(20),
	})
	m.From = "vm1"
	s.Handle(at(30), w, event.PeerMessage{Message: m})
	assert.Equal(t, w.Observations.Len(), 1)
}

func TestBusyServerIsNotFailingAndKeepsItsStatus(t *testing.T) {
	w, s := newWorld(), newSystem()
	run(s, w, 0, at(1000), healthy)
	before, _ := w.Upstreams.Get("a")
	run(s, w, at(1000), at(5000), failingA(at(1000), tables.CauseBusy))
	after, _ := w.Upstreams.Get("a")
	assert.Equal(t, after.Cause, tables.CauseBusy)
	assert.Assert(t, !after.Cause.Failing())
	assert.Equal(t, after.Status, before.Status)
	assert.Equal(t, after.StatusAt, before.StatusAt)
}
