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
	promiseSessionsEnded    promise = "the sessions of a stopped VM are ended within 13 s at every server"
	promiseLiveSessionsKept promise = "no sessions of a live VM are ended"

	slotsLimit = 13 * time.Second
	// liveAfter is how long a VM must have run without a disturbance to count as
	// live.
	liveAfter = 3 * time.Second
	stoppedVM = tables.VMID("vm-0004")
)

// reapingSystems returns the systems of a proxy that ends the sessions of stopped
// VMs.
func reapingSystems(options reap.Options) func(*rand.Rand) []systemstest.System {
	return func(rng *rand.Rand) []systemstest.System {
		return append(distributionSystems(rng), reap.New(options))
	}
}

func strictSlots() confirmCore {
	core := strictConfirm()
	core.systems = reapingSystems(reap.DefaultOptions(membership.Candidates))
	return core
}

// slotsChecker checks which VMs' sessions are ended at which servers.
type slotsChecker struct {
	run *confirmRun
	// endedAt are the servers at which the stopped VM's sessions were ended.
	endedAt map[tables.UpstreamID]bool
	// disturbed is when a VM was last stopped, paused or cut off.
	disturbed map[tables.VMID]time.Duration
}

func newSlotsChecker(r *confirmRun) *slotsChecker {
	c := &slotsChecker{run: r, endedAt: make(map[tables.UpstreamID]bool), disturbed: make(map[tables.VMID]time.Duration)}
	r.onTick = c.checkTick
	r.cluster.OnAction = func(vm *systemstest.VM, a action.Action) {
		if t, ok := a.(action.TerminateSessions); ok {
			c.ended(vm, t)
		}
	}
	return c
}

// checkTick records which VMs are disturbed.
func (c *slotsChecker) checkTick() {
	for _, vm := range c.run.cluster.VMs {
		if !vm.Running || vm.Paused || c.run.cutOff != "" {
			c.disturbed[vm.World.Self] = c.run.cluster.Now
		}
	}
}

// ended records a request to end sessions; the request is lost if the server is
// cut off from the requesting VM.
func (c *slotsChecker) ended(by *systemstest.VM, t action.TerminateSessions) {
	if last, ok := c.disturbed[t.VM]; !ok || c.run.cluster.Now-last > liveAfter {
		c.run.checks.fail(promiseLiveSessionsKept, "%s ended those of %s at %v", by.World.Self, t.VM, c.run.cluster.Now)
	}
	u, _ := by.World.Upstreams.Get(t.Upstream)
	if t.VM == stoppedVM && !c.run.cluster.Partitioned(by.World.DataCentre, u.DataCentre) {
		c.endedAt[t.Upstream] = true
	}
}

// check reports the servers at which the stopped VM still has sessions.
func (c *slotsChecker) check() {
	for _, g := range c.run.drainDocument(nil).Groups {
		for _, u := range g.Upstreams {
			if !c.endedAt[u.ID] {
				c.run.checks.fail(promiseSessionsEnded, "not at %s by %v", u.ID, c.run.cluster.Now)
			}
		}
	}
}

// slotFaults returns the faults of confirms that apply without an operator, and
// faults of the VMs that end sessions.
func slotFaults() []confirmFault {
	out := slices.DeleteFunc(confirmFaults(), func(f confirmFault) bool {
		return f.name == "platform down for one call" || f.name == "one answer lost" // these affect only calls by operators
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

// firstCandidate returns the VM that acts for the middle group: the first running
// VM, other than the stopped one, among the candidates in the tables of one VM.
func (r *confirmRun) firstCandidate() *systemstest.VM {
	for _, id := range membership.Candidates(r.cluster.VMs[0].World, "g-1") {
		for _, vm := range r.cluster.VMs {
			if vm.World.Self == id && vm.Running && id != stoppedVM {
				return vm
			}
		}
	}
	panic("no candidate is running")
}

func dropFromList(r *confirmRun) {
	r.cluster.List = slices.DeleteFunc(slices.Clone(r.cluster.List), func(vm platform.ListedVM) bool {
		return vm.ID == string(stoppedVM)
	})
}
