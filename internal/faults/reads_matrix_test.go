package faults

import (
	"fmt"
	"testing"
	"time"
)

func readSteps() []step {
	return []step{
		stepIdle, stepWriteRecheck, stepReadPolled, stepReadChosen, stepReadServed, stepReadAnswered,
		stepFence, stepPromote, stepFollow, stepPlannedPromote,
	}
}

// replicaPause is shorter than the timeout of a read and longer than some of the
// declared max ages.
const replicaPause = 800 * time.Millisecond

// readFaults returns the faults of TestMatrix and one more: a replica that pauses
// and then answers the reads that waited.
func readFaults() []fault {
	return append(allFaults(), fault{name: "replica paused", inject: pauseReplica, heal: noop})
}

func pauseReplica(s *simulation, _ *proxy) {
	r := s.replica()
	r.paused = true
	s.after(replicaPause, r.resume)
}

// runReads injects the scenario's faults while sessions read through all proxies,
// and checks the promises.
func runReads(sc scenario, rules readRules) result {
	sc.set.seed = sc.seed
	s := newSimulation(sc.set)
	l := newReadLoad(s, rules)
	s.runUntil(at(warmUpTime).Add(s.jitter(100 * time.Millisecond)))
	affected, injectedAt, ok := injectAt(s, sc)
	if !ok {
		s.checks.fail(promiseReached, "%s", sc.at)
		return result{violations: s.checks.violations, seed: sc.seed}
	}
	holdFaults(s, injectedAt)
	healAll(s, sc.faults, affected)
	healedAt := s.now
	s.runWhile(healedAt.Add(recoveryLimit), func() bool {
		return !settled(s, healedAt) || !l.allAnswered(healedAt) || !l.replicaAnsweredSince(healedAt)
	})
	s.runUntil(s.now.Add(500 * time.Millisecond))
	checked := checkEnd(s, sc, healedAt) + checkReadsEnd(l, healedAt)
	return result{checked: checked, violations: s.checks.violations, seed: sc.seed}
}

// newReadScenario returns a scenario with fewer writes than newScenario, as reads
// are under test.
func newReadScenario(at step, seed uint64, faults ...fault) scenario {
	sc := newScenario(at, seed, faults...)
	sc.set.writeEvery = 80 * time.Millisecond
	return sc
}

// TestMatrixOfReads runs every fault at every step with sessions that read their
// own writes through varying proxies.
func TestMatrixOfReads(t *testing.T) {
	m := table{title: "One fault, with reads"}
	for _, at := range readSteps() {
		m.columns = append(m.columns, string(at))
	}
	faults, steps := readFaults(), readSteps()
	for _, f := range faults {
		m.rows = append(m.rows, f.name)
	}
	all := parallel(len(faults)*len(steps), func(i int) outcome {
		if i%cellStride != 0 {
			return outcome{skipped: true}
		}
		f, at := faults[i/len(steps)], steps[i%len(steps)]
		return cell(t, uint64(i+2001), func(seed uint64) result {
			return runReads(newReadScenario(at, seed, f), strictReads())
		})
	})
	passed, failed := 0, 0
	m.fill(all, &passed, &failed)
	total := fmt.Sprintf("%d passed, %d failed", passed, failed)
	fmt.Print(m.markdown())
	fmt.Println(total)
	checkPage(t, readsHead, m.markdown()+total+"\n")
}

const readsHead = `# Fault matrix of reads

Written by ` + "`go test ./internal/faults -run TestMatrixOfReads -update`" + `. Four sessions
write, and read through a proxy drawn anew for each read: with a token or by name,
with an age of 10 s, 500 ms or 0 s or with none. Each answer is compared with the
simulation's own record of when each write was acknowledged. A cell is the number
of promises that its run checked, those of the first matrix included.

`
