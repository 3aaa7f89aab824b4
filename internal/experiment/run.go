// Package experiment brings about one fault at a time in a set-up of separate
// processes under load, ends it, and checks what callers were told and saw
// against the promises. It signals processes and asks the emulators for
// faults; it starts no process.
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

// Times of an experiment, from the start of its load.
const (
	faultAt = 4 * time.Second
	healAt  = 10 * time.Second
	// settleTime is how long after a fault's end a failed operation still belongs to it.
	settleTime = 2 * time.Second
	pollPause  = 20 * time.Millisecond
)

// gapLimit is the longest span without a successful write that callers bear.
const gapLimit = 20 * time.Second

// Experiment is one fault and what must hold beside the promises of history.
type Experiment struct {
	// Name is what the command line calls it.
	Name string
	// Text says what happens.
	Text string
	// GapGoal bounds the span without a successful write on the harmed
	// databases; 0 means that only the limit for all databases holds.
	GapGoal time.Duration

	// fault runs beside the load; nil for none.
	fault func(ctx context.Context, r *run) error
	// alone replaces the loads and the fault; nil for none.
	alone func(ctx context.Context, r *run) ([]*bench.Result, error)
	// after checks the results of the load; nil for none.
	after func(r *run, results []*bench.Result)
}

// Figure is one measured duration.
type Figure struct {
	// Name says what was measured.
	Name string `json:"name"`
	// Value is how long it took.
	Value time.Duration `json:"value"`
}

// Report is the outcome of an experiment.
type Report struct {
	// Experiment is its name.
	Experiment string
	// Seed fixed the loads' arrivals and choices.
	Seed uint64
	// Harmed are the groups that the fault hit.
	Harmed []tables.GroupID
	// Figures are what was measured beside the loads.
	Figures []Figure
	// Results are the loads'.
	Results []*bench.Result
	// Verdicts are all checks, the loads' included.
	Verdicts []bench.Verdict
	// FailedLater counts operations that began after the fault had ended and
	// settled, and failed.
	FailedLater int
}

// run is an experiment under way. The fault's goroutine is its only user until
// the load has ended.
type run struct {
	setUp    *SetUp
	loads    []bench.Options
	began    time.Time
	ended    time.Duration
	harmed   []tables.GroupID
	figures  []Figure
	verdicts []bench.Verdict
}

// Run brings about the experiment's fault under the loads.
func Run(ctx context.Context, e Experiment, setUp *SetUp, loads []bench.Options) (*Report, error) {
	r := &run{setUp: setUp, loads: loads, began: time.Now()}
	var results []*bench.Result
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		var err error
		if e.alone != nil {
			results, err = e.alone(ctx, r)
			return errors.Wrap(err, e.Name)
		}
		results, err = bench.Demo{Loads: loads}.Run(ctx)
		return err
	})
	if e.fault != nil {
		g.Go(func() error {
			err := e.fault(ctx, r)
			r.ended = r.clock()
			return errors.Wrap(err, e.Name)
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if e.alone == nil {
		r.checkGaps(e.GapGoal, results)
	}
	r.checkLimits(context.WithoutCancel(ctx))
	if e.after != nil {
		e.after(r, results)
	}
	return r.report(e, results), nil
}

func (r *run) report(e Experiment, results []*bench.Result) *Report {
	out := &Report{Experiment: e.Name, Harmed: r.harmed, Figures: r.figures, Results: results}
	for _, res := range results {
		out.Seed = res.Seed
		out.Verdicts = append(out.Verdicts, res.Verdicts...)
		out.FailedLater += failedAfter(res.Ops, r.ended+settleTime)
	}
	out.Verdicts = append(out.Verdicts, r.verdicts...)
	return out
}

// failedAfter counts the operations that began after at and were not answered.
func failedAfter(ops []history.Op, at time.Duration) int {
	n := 0
	for i := range ops {
		if ops[i].Start > at && ops[i].Outcome != history.Acknowledged {
			n++
		}
	}
	return n
}

// clock returns the time since the experiment began.
func (r *run) clock() time.Duration { return time.Since(r.began) }

// until waits for a time since the experiment began.
func (r *run) until(ctx context.Context, at time.Duration) error {
	return sleep.For(ctx, at-r.clock())
}

func (r *run) check(passed bool, name, format string, args ...any) {
	r.verdicts = append(r.verdicts, bench.Verdict{Name: name, Passed: passed, Detail: fmt.Sprintf(format, args...)})
}

func (r *run) figure(name string, d time.Duration) {
	r.figures = append(r.figures, Figure{Name: name, Value: d})
}

// isHarmed reports whether the fault hit the group of a database, written as
// service/database.
func (r *run) isHarmed(database string) bool {
	for _, g := range r.harmed {
		if strings.HasSuffix(database, "/"+string(g)) {
			return true
		}
	}
	return false
}

// checkGaps compares the spans without a successful write with the goals.
func (r *run) checkGaps(goal time.Duration, results []*bench.Result) {
	for _, res := range results {
		for _, gap := range res.Gaps {
			limit := gapLimit
			if goal > 0 && r.isHarmed(gap.Database) {
				limit = goal
			}
			r.check(gap.Longest < limit, "gap of "+gap.Database+" below "+limit.String(), "%s", gap.Longest.Round(time.Millisecond))
		}
	}
}

// checkLimits checks that no server that still answers was over its limits.
func (r *run) checkLimits(ctx context.Context) {
	var over, refused int64
	asked := 0
	for _, s := range r.setUp.Servers {
		st, err := s.stats(ctx)
		if err != nil {
			continue
		}
		asked++
		over += st.OverSlots
		refused += st.RefusedConnections
	}
	r.check(asked > 0 && over == 0, "no server over its slots", "%d statements, %d servers asked", over, asked)
	r.check(asked > 0 && refused == 0, "no server over its connections", "%d refused, %d servers asked", refused, asked)
}
