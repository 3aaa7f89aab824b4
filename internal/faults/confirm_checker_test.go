package faults

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	promiseOneWins      promise = "exactly one of the conflicting confirms wins"
	promiseNotRun       promise = "a confirm answered as not run did not run"
	promiseKept         promise = "an accepted version is never lost"
	promiseForward      promise = "no proxy applies an older version"
	promiseInForce      promise = "in force within 6 s on every proxy that can receive it"
	promiseOnlyAccepted promise = "only accepted versions come into force"

	// inForceLimit is the longest time that a proxy that can receive a version may
	// lack it.
	inForceLimit = 6 * time.Second
)

// confirmChecker verifies the promises of confirms and of the distribution of
// accepted versions, independently of the core's own state.
type confirmChecker struct {
	violations []violation
	accepted   map[uint64]config.Head
	// lacking is how long a VM has lacked a version that it can receive.
	lacking map[tables.VMID]time.Duration
	// checked is the number of a VM's versions that were checked.
	checked map[tables.VMID]int
}

func newConfirmChecker() *confirmChecker {
	return &confirmChecker{
		accepted: make(map[uint64]config.Head),
		lacking:  make(map[tables.VMID]time.Duration),
		checked:  make(map[tables.VMID]int),
	}
}

func (c *confirmChecker) fail(p promise, format string, args ...any) {
	if !slices.ContainsFunc(c.violations, func(v violation) bool { return v.promise == p }) {
		c.violations = append(c.violations, violation{promise: p, detail: fmt.Sprintf(format, args...)})
	}
}

// accept records a head that the platform accepted.
func (c *confirmChecker) accept(h config.Head) {
	if old, ok := c.accepted[h.Version]; ok && old.PlanID != h.PlanID {
		c.fail(promiseKept, "version %d was plan %s and is plan %s", h.Version, old.PlanID, h.PlanID)
		return
	}
	c.accepted[h.Version] = h
}

// checkTick checks the proxies after a tick.
func (c *confirmChecker) checkTick(r *confirmRun) {
	for _, vm := range r.cluster.VMs {
		c.checkVersions(vm)
		if vm.World.ConfigVersion >= r.cluster.Head.Version || !r.canReceiveVersion(vm) {
			c.lacking[vm.World.Self] = 0
			continue
		}
		c.lacking[vm.World.Self] += systemstest.TickInterval
		if c.lacking[vm.World.Self] > inForceLimit {
			c.fail(promiseInForce, "%s has %d at %v", vm.World.Self, vm.World.ConfigVersion, r.cluster.Now)
		}
	}
}

// checkVersions checks the versions that a VM brought into force since the last
// tick, or all of them if the VM restarted.
func (c *confirmChecker) checkVersions(vm *systemstest.VM) {
	done := c.checked[vm.World.Self]
	if done > len(vm.Versions) {
		done = 0
	}
	for i := done; i < len(vm.Versions); i++ {
		version := vm.Versions[i]
		if i > 0 && version <= vm.Versions[i-1] {
			c.fail(promiseForward, "%s: %v", vm.World.Self, vm.Versions)
		}
		_, hash, err := vm.Documents[i].Encode()
		if err != nil || c.accepted[version].Hash != hash {
			c.fail(promiseOnlyAccepted, "%s: version %d", vm.World.Self, version)
		}
	}
	c.checked[vm.World.Self] = len(vm.Versions)
}

// canReceiveVersion reports whether vm reaches the platform or a VM that has the
// newest version.
func (r *confirmRun) canReceiveVersion(vm *systemstest.VM) bool {
	if !vm.Running || vm.Paused {
		return false
	}
	if !r.platformDown(vm.World.DataCentre) {
		return true
	}
	return slices.ContainsFunc(r.cluster.VMs, func(other *systemstest.VM) bool {
		return other.Running && !other.Paused && other.World.ConfigVersion >= r.cluster.Head.Version &&
			!r.cluster.Partitioned(vm.World.DataCentre, other.World.DataCentre)
	})
}

// checkConfirmEnd checks the final state and returns how many promises the run
// checked.
func checkConfirmEnd(r *confirmRun, conflicting bool) int {
	c := r.checks
	history, err := r.storeWithoutFaults().History(context.Background())
	if err != nil || len(history) != len(c.accepted) {
		c.fail(promiseKept, "%d of %d versions: %v", len(history), len(c.accepted), err)
	}
	for _, h := range history {
		if c.accepted[h.Version].PlanID != h.PlanID {
			c.fail(promiseKept, "version %d is plan %s", h.Version, h.PlanID)
		}
	}
	winners := 0
	for _, o := range r.operators {
		if o.won && c.accepted[2].PlanID != o.planID {
			c.fail(promiseOneWins, "%s received a success for another plan's version", o.name)
		}
		if o.won {
			winners++
		}
	}
	undecided := slices.ContainsFunc(r.operators, func(o *operator) bool { return o.planID != "" && !o.decided })
	if winners != 1 || undecided {
		c.fail(promiseOneWins, "%d won, undecided %v, two %v", winners, undecided, conflicting)
	}
	return 6
}
