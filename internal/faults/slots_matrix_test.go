package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/reap"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// slotMoments are when the fault is injected, relative to when the VM stops.
func slotMoments() []time.Duration {
	return []time.Duration{
		-time.Second, time.Second, 4 * time.Second, 7 * time.Second, 9500 * time.Millisecond, 10500 * time.Millisecond,
	}
}

// runSlots stops a VM, injects the fault, heals it and checks the promises.
func runSlots(seed uint64, f confirmFault, after time.Duration, core confirmCore) result {
	r := newConfirmRun(seed, core)
	c := newSlotsChecker(r)
	if err := r.startDrain(&drainChecker{}); err != nil {
		panic(err)
	}
	r.onTick = c.checkTick
	r.run(liveAfter)
	stop := func() { r.cluster.Stop(r.cluster.VMs[4]) }
	if after < 0 {
		f.inject(r)
		r.run(-after)
		stop()
	} else {
		stop()
		r.run(after)
		f.inject(r)
	}
	r.run(slotsLimit)
	c.check()
	r.heal()
	r.run(2 * inForceLimit)
	return result{checked: 2, violations: r.checks.violations, seed: seed}
}

// TestMatrixOfSlots runs every fault around the time at which the sessions of a
// stopped VM are ended.
func TestMatrixOfSlots(t *testing.T) {
	m := table{title: "One fault while a VM vanishes"}
	for _, at := range slotMoments() {
		m.columns = append(m.columns, at.String())
	}
	faults, moments := slotFaults(), slotMoments()
	for _, f := range faults {
		m.rows = append(m.rows, f.name)
	}
	all := parallel(len(faults)*len(moments), func(i int) outcome {
		if i%cellStride != 0 {
			return outcome{skipped: true}
		}
		return cell(t, uint64(i+5001), func(seed uint64) result {
			return runSlots(seed, faults[i/len(moments)], moments[i%len(moments)], strictSlots())
		})
	})
	passed, failed := 0, 0
	m.fill(all, &passed, &failed)
	total := fmt.Sprintf("%d passed, %d failed", passed, failed)
	fmt.Print(m.markdown())
	fmt.Println(total)
	checkPage(t, slotsHead, m.markdown()+total+"\n")
}

const slotsHead = `# Fault matrix of slots

Written by ` + "`go test ./internal/faults -run TestMatrixOfSlots -update`" + `. An entry VM
vanishes with open sessions at nine servers. Columns are when the fault is
injected, counted from then. The sessions must be ended at every server within
13 s of the later of the two, by a VM that reaches the server. A cell is the
number of promises that its run checked.

`

// seesNoLiveVM considers all other VMs unresponsive.
type seesNoLiveVM struct{ systemstest.System }

func (s seesNoLiveVM) Tick(now tables.Time, w *tables.World) []action.Action {
	for id, vm := range w.VMs.All() {
		vm.Live = id == w.Self
		w.VMs.Put(id, vm)
	}
	return s.System.Tick(now, w)
}

// TestSlotCheckersDetectBrokenCores checks that both checkers fail on a core that
// is broken on purpose, and pass on the real core.
func TestSlotCheckersDetectBrokenCores(t *testing.T) {
	slowOptions := reap.DefaultOptions(membership.Candidates)
	slowOptions.DownAfter = time.Minute
	cases := []struct {
		name    string
		promise promise
		systems func(*rand.Rand) []systemstest.System
	}{
		{"waits a minute", promiseSessionsEnded, reapingSystems(slowOptions)},
		{"considers all VMs unresponsive", promiseLiveSessionsKept, func(rng *rand.Rand) []systemstest.System {
			return append(distributionSystems(rng), seesNoLiveVM{reap.New(reap.DefaultOptions(membership.Candidates))})
		}},
	}
	for _, c := range cases {
		t.Run(c.name+"/"+string(c.promise), func(t *testing.T) {
			core := strictSlots()
			core.systems = c.systems
			broken := runSlots(1, slotFaults()[0], time.Second, core)
			assert.Assert(t, slices.ContainsFunc(broken.violations, func(v violation) bool { return v.promise == c.promise }),
				"%v", broken.violations)
			sound := runSlots(1, slotFaults()[0], time.Second, strictSlots())
			assert.Equal(t, len(sound.violations), 0, "%v", sound.violations)
		})
	}
}
