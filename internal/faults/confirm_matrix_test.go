package faults

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// confirmFault is a failure that is injected during a confirm and later healed.
type confirmFault struct {
	name   string
	inject func(*confirmRun)
}

func withPlatform(f memory.Fault) func(*confirmRun) {
	return func(r *confirmRun) { r.inject(f) }
}

func confirmFaults() []confirmFault {
	return []confirmFault{
		{"none", func(*confirmRun) {}},
		{"platform down", withPlatform(memory.Fault{Kind: memory.FaultDown})},
		{"platform down for one call", withPlatform(memory.Fault{Kind: memory.FaultDown, Calls: 1})},
		{"platform slow", withPlatform(memory.Fault{Kind: memory.FaultSlow, Delay: 700 * time.Millisecond})},
		{"platform slower than patience", withPlatform(memory.Fault{Kind: memory.FaultSlow, Delay: 3 * time.Second})},
		{"one answer lost", withPlatform(memory.Fault{Kind: memory.FaultLoseAnswer, Calls: 1})},
		{"answers lost", withPlatform(memory.Fault{Kind: memory.FaultLoseAnswer})},
		{"pollers paused", pausePollers},
		{"proxy starts during the outage", startDuringOutage},
		{"proxy starts", startLate},
		{"packets lost", func(r *confirmRun) { r.cluster.Loss = 0.05 }},
		{"a data centre cut off", func(r *confirmRun) { r.cutOff = "dc-00" }},
		{"a data centre cut from the platform", cutFromPlatform("dc-00")},
		{"two data centres cut from the platform", cutFromPlatform("dc-00", "dc-02")},
	}
}

func cutFromPlatform(centres ...tables.DataCentreID) func(*confirmRun) {
	return func(r *confirmRun) { r.platformCut = centres }
}

// pausePollers pauses the processes of the pollers of one data centre, as SIGSTOP
// does.
func pausePollers(r *confirmRun) {
	for _, vm := range r.cluster.VMs {
		if vm.Running && vm.World.DataCentre == "dc-00" && membership.IsPoller(vm.World) {
			vm.Paused = true
		}
	}
}

func startLate(r *confirmRun) { r.cluster.Start(r.late) }

func startDuringOutage(r *confirmRun) {
	r.inject(memory.Fault{Kind: memory.FaultDown})
	startLate(r)
}

// heal ends every fault.
func (r *confirmRun) heal() {
	r.inject(memory.Fault{})
	r.cutOff, r.platformCut, r.cluster.Loss = "", nil, 0
	for _, vm := range r.cluster.VMs {
		if vm.Paused {
			r.cluster.Resume(vm)
		}
	}
	if !r.late.Running {
		r.cluster.Start(r.late)
	}
}

// confirmStep is a column of the matrix.
type confirmStep struct {
	at step
	// conflicting means that the other operator confirms a conflicting plan at the
	// step.
	conflicting bool
}

func (c confirmStep) name() string {
	if c.conflicting {
		return string(c.at) + ", two operators"
	}
	return string(c.at)
}

func confirmSteps() []confirmStep {
	var out []confirmStep
	for _, conflicting := range []bool{false, true} {
		for _, at := range []step{stepPlanStored, stepHeadRead, stepCommit, stepCommitted} {
			out = append(out, confirmStep{at, conflicting})
		}
	}
	return out
}

// runConfirm injects the fault at a step of a confirm, heals it and checks the
// promises.
func runConfirm(seed uint64, f confirmFault, column confirmStep, core confirmCore) result {
	r := newConfirmRun(seed, core)
	if err := r.bootstrap(column.conflicting); err != nil {
		panic(err)
	}
	reached := false
	r.onStep = func(at step) {
		if at == column.at && !reached {
			reached = true
			r.injectAtStep(f, column.conflicting, seed%2 == 0)
		}
	}
	r.notifyStep(stepPlanStored)
	r.repeatConfirms(r.cluster.Now + confirmFaultTime)
	if !reached {
		panic(errors.Errorf("step %q was not reached", column.at))
	}
	return result{checked: checkConfirmEnd(r, column.conflicting), violations: r.checks.violations, seed: seed}
}

// bootstrap brings version 1 into force and stores the plans for version 2.
func (r *confirmRun) bootstrap(conflicting bool) error {
	first, second := r.operators[0], r.operators[1]
	r.late = r.cluster.VMs[confirmVMs-1]
	r.cluster.Stop(r.late)
	if err := r.prepare(first, r.document()); err != nil {
		return err
	}
	r.confirm(first)
	first.decided, first.won = false, false
	r.run(clusterJoinTime)
	if conflicting {
		if err := r.prepare(second, r.document("vm-b")); err != nil {
			return err
		}
	}
	return r.prepare(first, r.document("vm-a"))
}

// injectAtStep injects the fault, before or after the other operator's confirm if
// there is one.
func (r *confirmRun) injectAtStep(f confirmFault, conflicting, after bool) {
	if !after {
		f.inject(r)
	}
	if conflicting {
		r.confirm(r.operators[1])
	}
	if after {
		f.inject(r)
	}
}

// repeatConfirms repeats the confirms until they are decided, heals the fault at
// the given time and waits for the distribution of the accepted version.
func (r *confirmRun) repeatConfirms(healAt time.Duration) {
	open := func(o *operator) bool { return o.planID != "" && !o.decided }
	r.confirm(r.operators[0])
	for r.cluster.Now < healAt {
		r.run(operatorPause)
		r.retry(open)
	}
	r.heal()
	for tries := 0; tries < 5 && slices.ContainsFunc(r.operators, open); tries++ {
		r.retry(open)
		r.run(operatorPause)
	}
	r.run(inForceLimit + 2*systemstest.TickInterval)
}

func (r *confirmRun) retry(open func(*operator) bool) {
	for _, o := range r.operators {
		if open(o) {
			r.confirm(o)
		}
	}
}

// TestMatrixOfConfirms runs every fault at every step of a confirm, with one
// operator and with two operators whose plans conflict.
func TestMatrixOfConfirms(t *testing.T) {
	m := table{title: "One fault of a confirm"}
	for _, c := range confirmSteps() {
		m.columns = append(m.columns, c.name())
	}
	faults, steps := confirmFaults(), confirmSteps()
	for _, f := range faults {
		m.rows = append(m.rows, f.name)
	}
	all := parallel(len(faults)*len(steps), func(i int) outcome {
		if i%cellStride != 0 {
			return outcome{skipped: true}
		}
		f, column := faults[i/len(steps)], steps[i%len(steps)]
		return cell(t, uint64(i+3001), func(seed uint64) result {
			return runConfirm(seed, f, column, strictConfirm())
		})
	})
	passed, failed := 0, 0
	m.fill(all, &passed, &failed)
	total := fmt.Sprintf("%d passed, %d failed", passed, failed)
	fmt.Print(m.markdown())
	fmt.Println(total)
	checkPage(t, confirmsHead, m.markdown()+total+"\n")
}

const confirmsHead = `# Fault matrix of confirms

Written by ` + "`go test ./internal/faults -run TestMatrixOfConfirms -update`" + `. Operators confirm
plans over a platform in memory, and ten proxies in three data centres bring the
accepted versions in force. Columns are the steps of the first operator's confirm
at which the fault is injected; where there are two operators, the other one
confirms a conflicting plan at that step, before or after the fault. A cell is the
number of promises that its run checked.

`
