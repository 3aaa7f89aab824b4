package reap

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func world() *tables.World {
	w := tables.NewWorld("vm-1", "dc", "")
	w.VMs.Put("vm-1", tables.VM{ID: "vm-1", Live: true})
	w.VMs.Put("vm-2", tables.VM{ID: "vm-2", Live: true})
	w.Groups.Put("own", tables.Group{ID: "own", Members: []tables.UpstreamID{"own-a", "own-b"}})
	w.Groups.Put("others", tables.Group{ID: "others", Members: []tables.UpstreamID{"others-a"}})
	return w
}

func candidates(_ *tables.World, g tables.GroupID) []tables.VMID {
	if g == "own" {
		return []tables.VMID{"vm-1", "vm-3"}
	}
	return []tables.VMID{"vm-3", "vm-1"}
}

func setLive(w *tables.World, id tables.VMID, live bool) {
	w.VMs.Put(id, tables.VM{ID: id, Live: live})
}

func TestSessionsAreTerminatedOncePerFailure(t *testing.T) {
	w := world()
	s := New(DefaultOptions(candidates))
	second := func(n int) tables.Time { return tables.Time(time.Duration(n) * time.Second) }
	want := []action.Action{
		action.TerminateSessions{Upstream: "own-a", VM: "vm-2"},
		action.TerminateSessions{Upstream: "own-b", VM: "vm-2"},
	}

	assert.Equal(t, len(s.Tick(second(1), w)), 0)
	setLive(w, "vm-2", false)
	assert.Equal(t, len(s.Tick(second(2), w)), 0)
	assert.Equal(t, len(s.Tick(second(6), w)), 0)
	assert.DeepEqual(t, s.Tick(second(7), w), want)
	assert.Equal(t, len(s.Tick(second(8), w)), 0)

	setLive(w, "vm-2", true)
	assert.Equal(t, len(s.Tick(second(9), w)), 0)
	setLive(w, "vm-2", false)
	assert.Equal(t, len(s.Tick(second(10), w)), 0)
	assert.DeepEqual(t, s.Tick(second(15), w), want)
}

// The first candidate may fail before it acts; the next one must act instead.
func TestNextCandidateTerminatesSessions(t *testing.T) {
	first := tables.VMID("vm-3")
	options := DefaultOptions(func(*tables.World, tables.GroupID) []tables.VMID { return []tables.VMID{first} })
	w := world()
	s := New(options)
	setLive(w, "vm-2", false)
	for n := range 10 {
		assert.Equal(t, len(s.Tick(tables.Time(time.Duration(n)*time.Second), w)), 0)
	}
	first = "vm-1"
	assert.Equal(t, len(s.Tick(tables.Time(10*time.Second), w)), 3)
	assert.Equal(t, len(s.Tick(tables.Time(11*time.Second), w)), 0)
}
