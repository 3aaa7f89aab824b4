package faults

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/reap"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	promiseFreed promise = "a gone VM's sessions end within 13 s at every server"
	promiseHeard promise = "no sessions of a VM that is heard are ended"

	slotsLimit = 13 * time.Second
	// heardFor is how long a VM must have been undisturbed to count as heard.
	heardFor = 3 * time.Second
	goneVM   = tables.VMID("vm-0004")
)

// reapingSystems are the systems of a proxy that ends the sessions of gone VMs.
func reapingSystems(options reap.Options) func(*rand.Rand) []systemstest.System {
	return func(rng *rand.Rand) []systemstest.System {
		return append(spreadSystems(rng), reap.New(options))
	}
}

func strictSlots() confirmCore {
	core := strictConfirm()
	core.systems = reapingSystems(reap.DefaultOptions(membership.Candidates))
	return core
}

// slotsChecker watches whose sessions end where.
type slotsChecker struct {
	run *confirmRun
	// freed are the servers at which the gone VM's sessions were ended.
	freed map[tables.UpstreamID]bool
	// disturbed is when a VM last was not running, paused or cut off.
	disturbed map[tables.VMID]time.Duration
}

func newSlotsChecker(r *confirmRun) *slotsChecker {
	c := &slotsChecker{run: r, freed: make(map[tables.UpstreamID]bool), disturbed: make(map[tables.VMID]time.Duration)}
	r.onTick = c.look
	r.cluster.OnAction = func(vm *systemstest.VM, a action.Action) {
		if t, ok := a.(action.TerminateSessions); ok {
			c.ended(vm, t)
		}
	}
	return c
}

// look notes which VMs are disturbed at the moment.
func (c *slotsChecker) look() {
	for _, vm := range c.run.cluster.VMs {
		if !vm.Running || vm.Paused || c.run.cutOff != "" {
			c.disturbed[vm.World.Self] = c.run.cluster.Now
		}
	}
}

// ended takes a request to end sessions, which is lost where the server is cut off.
func (c *slotsChecker) ended(by *systemstest.VM, t action.TerminateSessions) {
	if last, ok := c.disturbed[t.VM]; !ok || c.run.cluster.Now-last > heardFor {
		c.run.checks.fail(promiseHeard, "%s ended those of %s at %v", by.World.Self, t.VM, c.run.cluster.Now)
	}
	u, _ := by.World.Upstreams.Get(t.Upstream)
	if t.VM == goneVM && !c.run.cluster.Partitioned(by.World.DataCentre, u.DataCentre) {
		c.freed[t.Upstream] = true
	}
}

// check reports the servers at which the gone VM still has its sessions.
func (c *slotsChecker) check() {
	for _, g := range c.run.drainDocument(nil).Groups {
		for _, u := range g.Upstreams {
			if !c.freed[u.ID] {
				c.run.checks.fail(promiseFreed, "not at %s by %v", u.ID, c.run.cluster.Now)
			}
		}
	}
}

// slotFaults adds to the faults of the spread those of the VMs that end sessions.
func slotFaults() []confirmFault {
	out := slices.DeleteFunc(confirmFaults(), func(f confirmFault) bool {
		return f.name == "platform down for one call" || f.name == "one answer lost" // no operator calls
	})
	return append(out,
		confirmFault{"first candidate vanishes", func(r *confirmRun) { r.cluster.Stop(r.firstCandidate()) }},
		confirmFault{"first candidate paused", func(r *confirmRun) { r.firstCandidate().Paused = true }},
		confirmFault{"two first candidates vanish", func(r *confirmRun) {
			r.cluster.Stop(r.firstCandidate())
			r.run(2 * time.Second)
			r.cluster.Stop(r.firstCandidate())
		}},
		confirmFault{"the VM's data centre cut off", func(r *confirmRun) { r.cutOff = "dc-01" }},
		confirmFault{"list drops the VM", dropFromList},
	)
}

// firstCandidate returns the VM that acts for the middle group: of all running
// VMs the first that another one's tables name.
func (r *confirmRun) firstCandidate() *systemstest.VM {
	for _, id := range membership.Candidates(r.cluster.VMs[0].World, "g-1") {
		for _, vm := range r.cluster.VMs {
			if vm.World.Self == id && vm.Running && id != goneVM {
				return vm
			}
		}
	}
	panic("no candidate runs")
}

func dropFromList(r *confirmRun) {
	r.cluster.List = slices.DeleteFunc(slices.Clone(r.cluster.List), func(vm platform.ListedVM) bool {
		return vm.ID == string(goneVM)
	})
}
