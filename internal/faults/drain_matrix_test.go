package faults

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// drainMoment is when the fault is injected, relative to when the drain is
// recorded on the platform.
type drainMoment struct {
	name  string
	after time.Duration
}

func drainMoments() []drainMoment {
	return []drainMoment{
		{"1 s before", -time.Second},
		{"at once", 0},
		{"500 ms after", 500 * time.Millisecond},
	}
}

// runDrain injects the fault around a drain, heals it and checks the promises.
func runDrain(seed uint64, f confirmFault, k drainKind, m drainMoment, core confirmCore) result {
	r := newConfirmRun(seed, core)
	d := &drainChecker{kind: k, overdue: make(map[tables.VMID]time.Duration)}
	if err := r.startDrain(d); err != nil {
		panic(err)
	}
	if m.after < 0 {
		f.inject(r)
		r.run(-m.after)
	}
	// The drain is recorded in spite of the platform's fault, which is suspended
	// meanwhile.
	fault := r.fault
	r.memory.Faults.Clear()
	r.leave(d)
	r.memory.Faults.Inject(fault)
	if m.after >= 0 {
		r.run(m.after)
		f.inject(r)
	}
	r.run(confirmFaultTime)
	r.heal()
	r.run(inForceLimit)
	for _, vm := range r.cluster.VMs {
		if !d.marksLeaving(vm) {
			r.checks.fail(promiseEnforced, "%s", vm.World.Self)
		}
	}
	return result{checked: 3 + len(distributionPromises), violations: r.checks.violations, seed: seed}
}

// distributionPromises are the promises of the distribution of versions that also
// apply to a drain.
var distributionPromises = []promise{promiseKept, promiseForward, promiseInForce, promiseOnlyAccepted}

// startDrain brings a configuration into force on all proxies but one and stores
// the plan of a declared drain.
func (r *confirmRun) startDrain(d *drainChecker) error {
	first := r.operators[0]
	r.late = r.cluster.VMs[confirmVMs-1]
	r.cluster.Stop(r.late)
	if err := r.prepare(first, r.drainDocument(nil)); err != nil {
		return err
	}
	r.confirm(first)
	r.run(clusterJoinTime)
	r.onTick = func() { d.checkTick(r) }
	if !d.kind.declared {
		return nil
	}
	return r.prepare(first, r.drainDocument(&d.kind))
}

// TestMatrixOfDrains runs every fault of confirms around the drain of a replica
// and of a VM.
func TestMatrixOfDrains(t *testing.T) {
	m := table{title: "One fault of a drain"}
	for _, k := range drainKinds() {
		for _, w := range drainMoments() {
			m.columns = append(m.columns, k.name+", "+w.name)
		}
	}
	faults, kinds, moments := confirmFaults(), drainKinds(), drainMoments()
	for _, f := range faults {
		m.rows = append(m.rows, f.name)
	}
	n := len(m.columns)
	all := parallel(len(faults)*n, func(i int) outcome {
		if i%cellStride != 0 {
			return outcome{skipped: true}
		}
		f, column := faults[i/n], i%n
		return cell(t, uint64(i+4001), func(seed uint64) result {
			return runDrain(seed, f, kinds[column/len(moments)], moments[column%len(moments)], strictConfirm())
		})
	})
	passed, failed := 0, 0
	m.fill(all, &passed, &failed)
	total := fmt.Sprintf("%d passed, %d failed", passed, failed)
	fmt.Print(m.markdown())
	fmt.Println(total)
	checkPage(t, drainsHead, m.markdown()+total+"\n")
}

const drainsHead = `# Fault matrix of drains

Written by ` + "`go test ./internal/faults -run TestMatrixOfDrains -update`" + `. A replica or an
entry VM leaves, by an operator's plan or by the platform's list. Each column
names who leaves and when the fault is injected, counted from when the platform
knows. At each tick, route.Choose and the candidates of every proxy are asked
whether they still name the one that leaves. A proxy's 3 s run while it reaches
the platform or a proxy that knows. A cell is the number of promises that its
run checked.

`
