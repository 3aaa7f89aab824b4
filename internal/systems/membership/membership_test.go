package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const second = tables.Time(time.Second)

// fixture is the system of vm-0 in dc-0.
type fixture struct {
	*System
	w *tables.World
}

func newFixture() fixture {
	f := fixture{
		System: New(DefaultOptions(), rand.New(rand.NewPCG(1, 1))),
		w:      tables.NewWorld("vm-0", "dc-0", "10.0.0.1:1"),
	}
	f.Tick(0, f.w)
	return f
}

func (f fixture) receiveHeartbeat(now tables.Time, id tables.VMID, leaving bool) []action.Action {
	h := peer.Heartbeat{From: id, DataCentre: "dc-1", PeerAddress: "10.0.0.2:1", Leaving: leaving}
	return f.Handle(now, f.w, event.PeerMessage{Message: h})
}

func (f fixture) receiveMember(now tables.Time, m peer.Member) {
	f.Handle(now, f.w, event.PeerMessage{Message: peer.Members{Members: []peer.Member{m}}})
}

func (f fixture) receiveList(now tables.Time, vms ...platform.ListedVM) {
	f.Handle(now, f.w, event.VMsListed{Outcome: event.OutcomeOK, VMs: vms})
}

func (f fixture) vm(id tables.VMID) tables.VM {
	row, _ := f.w.VMs.Get(id)
	return row
}

// tickTo ticks every 100 ms and returns the members that the system sent.
func (f fixture) tickTo(from, to tables.Time) []peer.Member {
	var members []peer.Member
	for now := from; now <= to; now = now.Add(100 * time.Millisecond) {
		for _, a := range f.Tick(now, f.w) {
			if p, ok := a.(action.Publish); ok && p.Topic == peer.TopicMembers {
				members = append(members, p.Message.(peer.Members).Members...)
			}
		}
	}
	return members
}

func listed(id string) platform.ListedVM {
	return platform.ListedVM{ID: id, DataCentre: "dc-1", PeerAddress: "10.0.0.2:1"}
}

func TestUnlistedVMIsLiveAfterHeartbeat(t *testing.T) {
	f := newFixture()
	f.receiveList(second)
	answer := f.receiveHeartbeat(2*second, "vm-1", false)
	assert.Equal(t, len(answer), 2)
	assert.Assert(t, f.vm("vm-1").Live)
	assert.Assert(t, !f.vm("vm-1").Listed)
	assert.Equal(t, len(f.receiveHeartbeat(3*second, "vm-1", false)), 0)
}

func TestListedUnresponsiveVMIsNotLive(t *testing.T) {
	f := newFixture()
	f.receiveList(second, listed("vm-1"))
	assert.Assert(t, f.vm("vm-1").Live)
	f.tickTo(2*second, 6*second)
	assert.Assert(t, f.vm("vm-1").Live)
	f.tickTo(6*second, 8*second)
	assert.Assert(t, !f.vm("vm-1").Live)
	assert.Assert(t, f.vm("vm-1").Listed)
}

func TestUnresponsiveVMIsReportedUnlessIsolated(t *testing.T) {
	cases := []struct {
		name       string
		responsive int
		reported   bool
	}{
		{"most VMs send heartbeats", 3, true},
		{"no VM sends heartbeats", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			ids := []tables.VMID{"vm-2", "vm-3", "vm-4"}
			for _, id := range append(ids, "vm-1") {
				f.receiveHeartbeat(0, id, false)
			}
			f.tickTo(0, 2*second)
			reported := false
			for now := 2 * second; now < 10*second; now += second {
				for _, id := range ids[:c.responsive] {
					f.receiveHeartbeat(now, id, false)
				}
				for _, m := range f.tickTo(now, now+second) {
					reported = reported || m.Unresponsive && m.VM == "vm-1"
				}
			}
			assert.Assert(t, !f.vm("vm-1").Live)
			assert.Equal(t, reported, c.reported)
		})
	}
}

func TestAnySourceMarksVMAsLeaving(t *testing.T) {
	leaving := listed("vm-1")
	leaving.Leaving = true
	cases := []struct {
		name  string
		apply func(f fixture)
	}{
		{"the VM itself", func(f fixture) { f.receiveHeartbeat(second, "vm-1", true) }},
		{"the list", func(f fixture) { f.receiveList(second, leaving) }},
		{"the list, passed on", func(f fixture) {
			f.receiveMember(second, peer.Member{VM: "vm-1", PeerAddress: "10.0.0.2:1", LastSeenMillis: -1, ListedLeaving: true})
		}},
		{"the configuration", func(f fixture) {
			f.w.LeavingVMs = []tables.VMID{"vm-1"}
			f.w.ConfigVersion = 1
			f.Tick(second, f.w)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.receiveHeartbeat(0, "vm-1", false)
			c.apply(f)
			assert.Assert(t, f.vm("vm-1").Leaving)
			assert.Assert(t, f.vm("vm-1").Live)
		})
	}
}

func TestHeartbeatClearsLeavingAfterRestart(t *testing.T) {
	f := newFixture()
	f.receiveHeartbeat(second, "vm-1", true)
	f.receiveHeartbeat(2*second, "vm-1", false)
	assert.Assert(t, !f.vm("vm-1").Leaving)
}

func TestOwnLeavingIsSentImmediately(t *testing.T) {
	f := newFixture()
	f.receiveHeartbeat(0, "vm-1", false)
	f.tickTo(0, 2*second)
	f.w.Leaving = true
	sent := f.Tick(2*second+1, f.w)
	assert.Equal(t, len(sent), 1)
	assert.Assert(t, sent[0].(action.Publish).Message.(peer.Heartbeat).Leaving)
	assert.Equal(t, len(f.Tick(2*second+2, f.w)), 0)
}

func TestListMarksUpstreamAsLeaving(t *testing.T) {
	f := newFixture()
	f.w.Upstreams.Put("u", tables.Upstream{ID: "u"})
	f.receiveHeartbeat(0, "vm-1", false)
	f.receiveList(second, platform.ListedVM{ID: "u", Leaving: true})
	row, _ := f.w.Upstreams.Get("u")
	assert.Assert(t, row.Leaving)
	passed := f.tickTo(second, 2*second)
	assert.Assert(t, slices.ContainsFunc(passed, func(m peer.Member) bool { return m.VM == "u" && m.ListedLeaving }))
	f.receiveList(3*second, platform.ListedVM{ID: "u"})
	row, _ = f.w.Upstreams.Get("u")
	assert.Assert(t, !row.Leaving)
}

func TestListMarksUpstreamBeforeItIsDeclared(t *testing.T) {
	f := newFixture()
	f.receiveHeartbeat(0, "vm-1", false)
	f.receiveList(second, platform.ListedVM{ID: "u", Leaving: true})
	f.w.Upstreams.Put("u", tables.Upstream{ID: "u"})
	f.tickTo(second, 2*second)
	row, _ := f.w.Upstreams.Get("u")
	assert.Assert(t, row.Leaving)
}

func TestProbeIsAnswered(t *testing.T) {
	f := newFixture()
	probe := peer.Heartbeat{From: "vm-1", DataCentre: "dc-1", PeerAddress: "10.0.0.2:1", Probe: true}
	f.receiveHeartbeat(0, "vm-1", false)
	answer := f.Handle(second, f.w, event.PeerMessage{Message: probe})
	assert.Equal(t, len(answer), 1)
	assert.DeepEqual(t, answer[0].(action.Publish).To, []tables.VMID{"vm-1"})
	assert.Assert(t, !answer[0].(action.Publish).Message.(peer.Heartbeat).Probe)
}

func TestMoreRecentStateWins(t *testing.T) {
	member := func(ageMillis int64, unresponsive bool) peer.Member {
		return peer.Member{VM: "vm-1", DataCentre: "dc-1", PeerAddress: "10.0.0.2:1", LastSeenMillis: ageMillis, Unresponsive: unresponsive}
	}
	f := newFixture()
	f.receiveHeartbeat(10*second, "vm-1", false)
	f.receiveMember(14*second, member(9000, true))
	assert.Assert(t, f.vm("vm-1").Live)
	f.receiveMember(20*second, member(6000, true))
	assert.Assert(t, !f.vm("vm-1").Live)
	f.receiveMember(20*second, member(8000, false))
	assert.Assert(t, !f.vm("vm-1").Live)
	f.receiveMember(20*second, member(100, false))
	assert.Assert(t, f.vm("vm-1").Live)
}

func TestRefutesReportOfOwnUnresponsiveness(t *testing.T) {
	f := newFixture()
	f.receiveHeartbeat(0, "vm-1", false)
	f.tickTo(0, second)
	f.receiveMember(2*second, peer.Member{VM: "vm-0", PeerAddress: "10.0.0.1:1", LastSeenMillis: 6000, Unresponsive: true})
	assert.Assert(t, f.vm("vm-0").Live)
	passed := f.tickTo(2*second, 3*second)
	assert.Equal(t, len(passed), 1)
	assert.Equal(t, passed[0].VM, tables.VMID("vm-0"))
	assert.Assert(t, !passed[0].Unresponsive)
	assert.Equal(t, passed[0].LastSeenMillis, int64(0))
}

func TestFailedListChangesNothing(t *testing.T) {
	f := newFixture()
	f.receiveList(second, listed("vm-1"))
	f.Handle(2*second, f.w, event.VMsListed{Outcome: event.OutcomeFailed})
	assert.Assert(t, f.vm("vm-1").Listed)
	f.receiveList(3 * second)
	assert.Assert(t, !f.vm("vm-1").Listed)
}

func TestUnlistedUnresponsiveVMIsEvicted(t *testing.T) {
	f := newFixture()
	f.receiveHeartbeat(0, "vm-1", false)
	f.tickTo(0, 5*second)
	f.tickTo(600*second, 610*second)
	_, known := f.w.VMs.Get("vm-1")
	assert.Assert(t, !known)
}

func TestSeedReceivesHeartbeat(t *testing.T) {
	opts := DefaultOptions()
	opts.Seeds = []tables.VM{{ID: "vm-9", DataCentre: "dc-1", PeerAddress: "10.0.0.9:1"}}
	s := New(opts, rand.New(rand.NewPCG(1, 1)))
	w := tables.NewWorld("vm-0", "dc-0", "10.0.0.1:1")
	for _, a := range s.Tick(0, w) {
		if p, ok := a.(action.Publish); ok {
			assert.DeepEqual(t, p.To, []tables.VMID{"vm-9"})
			return
		}
	}
	t.Fatal("no message was sent to the seed")
}

func putVM(w *tables.World, id tables.VMID, dc tables.DataCentreID) {
	w.VMs.Put(id, tables.VM{ID: id, DataCentre: dc, Live: true, Listed: true})
}

func TestCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := tables.NewWorld("vm-a", "dc-0", "")
		dcs := rapid.IntRange(1, 6).Draw(t, "data centres")
		for i := range rapid.IntRange(1, 30).Draw(t, "VMs") {
			id := tables.VMID(rune('a' + i))
			putVM(w, id, tables.DataCentreID(rune('0'+i%dcs)))
			row, _ := w.VMs.Get(id)
			row.Live = rapid.Bool().Draw(t, "live")
			row.Leaving = rapid.Bool().Draw(t, "leaving")
			w.VMs.Put(id, row)
		}
		candidates := Candidates(w, "g")
		assert.DeepEqual(t, candidates, Candidates(w, "g"))
		perDC := make(map[tables.DataCentreID]int)
		for i, id := range candidates {
			row, _ := w.VMs.Get(id)
			assert.Assert(t, row.Live && !row.Leaving)
			assert.Equal(t, Rank(w, "g", id), i)
			perDC[row.DataCentre]++
		}
		assert.Equal(t, Rank(w, "g", "none"), -1)
		for _, row := range w.VMs.All() {
			left := row.Live && !row.Leaving && !slices.Contains(candidates, row.ID)
			fair := perDC[row.DataCentre] >= len(candidates)/(dcs+1)
			assert.Assert(t, !left || len(candidates) == candidateLimit && fair)
		}
	})
}

func TestConnectionShare(t *testing.T) {
	w := tables.NewWorld("vm-0", "dc-0", "")
	w.Upstreams.Put("u", tables.Upstream{ID: "u", Connections: 20})
	for _, id := range []tables.VMID{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"} {
		putVM(w, id, "dc-0")
	}
	assert.Equal(t, ConnectionShare(w, "u", second), 1)
	assert.Equal(t, ConnectionShare(w, "u", 10*second), 2)
	row, _ := w.VMs.Get("vm-4")
	row.Live = false
	w.VMs.Put("vm-4", row)
	assert.Equal(t, ConnectionShare(w, "u", 10*second), 2)
	row.Listed = false
	w.VMs.Put("vm-4", row)
	assert.Equal(t, ConnectionShare(w, "u", 10*second), 3)
	assert.Equal(t, ConnectionShare(w, "none", 10*second), 1)
}

func TestSharesAndControlConnectionsStayWithinLimit(t *testing.T) {
	for vms := 1; vms <= 6; vms++ {
		w := tables.NewWorld("vm-0", "dc-0", "")
		w.Upstreams.Put("u", tables.Upstream{ID: "u", Connections: 20})
		for i := range vms {
			putVM(w, tables.VMID(fmt.Sprintf("vm-%d", i)), "dc-0")
		}
		all := vms * (ConnectionShare(w, "u", 10*second) + controlConnections)
		assert.Assert(t, all <= 20, "%d VMs: %d", vms, all)
	}
}

func TestIsCandidateAgreesWithCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := tables.NewWorld("vm-00", "dc-0", "")
		dcs := rapid.IntRange(1, 8).Draw(t, "data centres")
		for i := range rapid.IntRange(1, 40).Draw(t, "VMs") {
			id := tables.VMID(fmt.Sprintf("vm-%02d", i))
			putVM(w, id, tables.DataCentreID(fmt.Sprintf("dc-%d", i%dcs)))
			row, _ := w.VMs.Get(id)
			row.Live = rapid.IntRange(0, 4).Draw(t, "live") > 0
			row.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			w.VMs.Put(id, row)
		}
		r := NewRanking()
		for g := range 20 {
			id := tables.GroupID(fmt.Sprint(g))
			assert.Equal(t, r.IsCandidate(w, id), slices.Contains(Candidates(w, id), w.Self))
		}
	})
}

func TestSeedIsReplacedByVMWithItsAddress(t *testing.T) {
	opts := DefaultOptions()
	opts.Seeds = []tables.VM{
		{ID: "seed 10.0.0.1:1", PeerAddress: "10.0.0.1:1"},
		{ID: "seed 10.0.0.2:1", PeerAddress: "10.0.0.2:1"},
	}
	s := New(opts, rand.New(rand.NewPCG(1, 1)))
	w := tables.NewWorld("vm-0", "dc-0", "10.0.0.1:1")
	s.Tick(second, w)
	assert.DeepEqual(t, w.VMs.Keys(), []tables.VMID{"seed 10.0.0.2:1", "vm-0"})

	heartbeat := peer.Heartbeat{From: "vm-1", DataCentre: "dc-0", PeerAddress: "10.0.0.2:1"}
	s.Handle(2*second, w, event.PeerMessage{Message: heartbeat})
	s.Tick(10*second, w)
	assert.DeepEqual(t, w.VMs.Keys(), []tables.VMID{"vm-0", "vm-1"})
}
