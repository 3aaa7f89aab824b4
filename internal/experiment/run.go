// Package experiment injects one fault at a time into a deployment of separate
// processes under load, reverts it, and checks that the responses that callers
// received keep the consistency promises. It sends signals to processes and
// sets faults on the emulators; it starts no process.
package experiment

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Times of a fault, counted from the start of the experiment's load.
const (
	faultAt  = 4 * time.Second
	revertAt = 10 * time.Second
	// settleTime is the time after a fault's end during which failed operations
	// still count as an effect of the fault.
	settleTime   = 2 * time.Second
	pollInterval = 20 * time.Millisecond
)

// maxWriteGap is the longest time without a successful write that is acceptable
// to callers, on any database.
const maxWriteGap = 20 * time.Second

// Experiment is one fault, with the checks that it adds to those of the history.
type Experiment struct {
	// Name is its name on the command line.
	Name string
	// Text describes the fault.
	Text string
	// GapGoal bounds the longest time without a successful write on the
	// affected databases; 0 means that only maxWriteGap applies.
	GapGoal time.Duration

	// fault runs concurrently with the load; nil for none.
	fault func(ctx context.Context, r *run) error
	// runAlone runs instead of the loads and the fault; nil for none.
	runAlone func(ctx context.Context, r *run) ([]*bench.Result, error)
	// checkResults checks the results of the load; nil for none.
	checkResults func(r *run, results []*bench.Result)
}

// Figure is one measured duration.
type Figure struct {
	// Name describes what was measured.
	Name  string        `json:"name"`
	Value time.Duration `json:"value"`
}

// Report is the result of an experiment.
type Report struct {
	// Experiment is the name of the experiment.
	Experiment string
	// Seed is the seed of the loads' random arrivals and operations.
	Seed uint64
	// Affected are the groups on which the fault was injected.
	Affected []tables.GroupID
	// Figures are the durations measured in addition to the loads' results.
	Figures []Figure
	// Results are the results of the loads.
	Results []*bench.Result
	// Verdicts are the results of all checks, those of the loads included.
	Verdicts []bench.Verdict
	// FailedLater counts the failed operations that started more than settleTime
	// after the fault's end.
	FailedLater int
}

// run is an experiment in progress. It is not safe for concurrent use: only the
// goroutine of the fault uses it until the load has ended.
type run struct {
	setUp      *SetUp
	loads      []bench.Options
	start      time.Time
	faultEnded time.Duration
	affected   []tables.GroupID
	figures    []Figure
	verdicts   []bench.Verdict
}

// Run injects the experiment's fault under the loads and checks the results.
func Run(ctx context.Context, e Experiment, setUp *SetUp, loads []bench.Options) (*Report, error) {
	r := &run{setUp: setUp, loads: loads, start: time.Now()}
	var results []*bench.Result
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		var err error
		if e.runAlone != nil {
			results, err = e.runAlone(ctx, r)
			return errors.Wrap(err, e.Name)
		}
		results, err = bench.Demo{Loads: loads}.Run(ctx)
		return err
	})
	if e.fault != nil {
		g.Go(func() error {
			err := e.fault(ctx, r)
			r.faultEnded = r.elapsed()
			return errors.Wrap(err, e.Name)
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if e.runAlone == nil {
		r.checkGaps(e.GapGoal, results)
	}
	r.checkLimits(context.WithoutCancel(ctx))
	if e.checkResults != nil {
		e.checkResults(r, results)
	}
	return r.report(e, results), nil
}

func (r *run) report(e Experiment, results []*bench.Result) *Report {
	out := &Report{Experiment: e.Name, Affected: r.affected, Figures: r.figures, Results: results}
	for _, res := range results {
		out.Seed = res.Seed
		out.Verdicts = append(out.Verdicts, res.Verdicts...)
		out.FailedLater += failedAfter(res.Ops, r.faultEnded+settleTime)
	}
	out.Verdicts = append(out.Verdicts, r.verdicts...)
	return out
}

// failedAfter counts the operations that started after at and were not
// acknowledged.
func failedAfter(ops []history.Op, at time.Duration) int {
	n := 0
	for i := range ops {
		if ops[i].Start > at && ops[i].Outcome != history.Acknowledged {
			n++
		}
	}
	return n
}

// elapsed returns the time since the experiment started.
func (r *run) elapsed() time.Duration { return time.Since(r.start) }

// waitUntil waits until at, a time since the experiment started.
func (r *run) waitUntil(ctx context.Context, at time.Duration) error {
	return sleep.For(ctx, at-r.elapsed())
}

// check records the verdict of one check.
func (r *run) check(passed bool, name, format string, args ...any) {
	r.verdicts = append(r.verdicts, bench.Verdict{Name: name, Passed: passed, Detail: fmt.Sprintf(format, args...)})
}

// recordFigure records one measured duration.
func (r *run) recordFigure(name string, d time.Duration) {
	r.figures = append(r.figures, Figure{Name: name, Value: d})
}

// isAffected reports whether the fault affects the group of a database, given as
// service/database.
func (r *run) isAffected(database string) bool {
	for _, g := range r.affected {
		if strings.HasSuffix(database, "/"+string(g)) {
			return true
		}
	}
	return false
}

// checkGaps checks each database's longest time without a successful write
// against its bound.
func (r *run) checkGaps(goal time.Duration, results []*bench.Result) {
	for _, res := range results {
		for _, gap := range res.Gaps {
			limit := maxWriteGap
			if goal > 0 && r.isAffected(gap.Database) {
				limit = goal
			}
			r.check(gap.Longest < limit, "gap of "+gap.Database+" below "+limit.String(), "%s", gap.Longest.Round(time.Millisecond))
		}
	}
}

// checkLimits checks that no reachable server exceeded its limits of slots and
// connections.
func (r *run) checkLimits(ctx context.Context) {
	var over, refused int64
	reachable := 0
	for _, s := range r.setUp.Servers {
		st, err := s.stats(ctx)
		if err != nil {
			continue
		}
		reachable++
		over += st.OverSlots
		refused += st.RefusedConnections
	}
	r.check(reachable > 0 && over == 0, "no server over its slots", "%d statements, %d servers asked", over, reachable)
	r.check(reachable > 0 && refused == 0, "no server over its connections", "%d refused, %d servers asked", refused, reachable)
}
