package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
)

const (
	// overloadDelay slows statements, so that the servers' slots limit the
	// throughput and not the CPU of the test machine.
	overloadDelay       = 20 * time.Millisecond
	overloadConnections = 300
	stepDuration        = 4 * time.Second
	overloadDuration    = 8 * time.Second
	recoveryDuration    = 8 * time.Second
	overloadDrain       = 40 * time.Second

	// goodputGoal is the minimum goodput under overload, as a share of the peak goodput.
	goodputGoal = 0.9
	// recoveryGoal bounds the time after an overload until every operation succeeds again.
	recoveryGoal = 5 * time.Second
	// recoveryRate is the load after the overload, as a share of the peak goodput.
	recoveryRate = 0.5
)

// peakSteps are the offered loads, in operations per second, at which the peak
// goodput is measured.
var peakSteps = []float64{80, 110, 140, 170}

// overloadFactors are the overloads, as multiples of the peak goodput.
var overloadFactors = []float64{2, 5}

// overload offers one database more load than its primary can serve. All
// operations go to the primary, and no other load runs.
func overload(ctx context.Context, r *run) ([]*bench.Result, error) {
	r.affected = r.setUp.targetGroups()
	for _, g := range r.affected {
		for _, s := range r.setUp.members(g) {
			if err := s.setFaults(ctx, dbserver.Faults{StatementDelay: overloadDelay}); err != nil {
				return nil, err
			}
		}
	}
	o := &overloadPhases{run: r}
	peak := 0.0
	for _, rate := range peakSteps {
		got, err := o.offerLoad(ctx, rate, stepDuration)
		if err != nil {
			return nil, err
		}
		peak = max(peak, got.goodput)
	}
	for _, factor := range overloadFactors {
		if err := o.overloadBy(ctx, factor, peak); err != nil {
			return nil, err
		}
	}
	return o.results, nil
}

// overloadPhases runs the phases of the overload experiment and collects their results.
type overloadPhases struct {
	*run
	results []*bench.Result
}

// phase is the result of one offered load.
type phase struct {
	goodput     float64       // successful operations per second
	lastFailure time.Duration // start of the last failed operation
}

// overloadBy offers a multiple of the peak and then a load within capacity.
func (o *overloadPhases) overloadBy(ctx context.Context, factor, peak float64) error {
	over, err := o.offerLoad(ctx, factor*peak, overloadDuration)
	if err != nil {
		return err
	}
	o.check(over.goodput >= goodputGoal*peak, fmt.Sprintf("goodput at %g times the peak", factor),
		"%.0f/s of %.0f/s, %.2f", over.goodput, peak, over.goodput/peak)
	recovery, err := o.offerLoad(ctx, recoveryRate*peak, recoveryDuration)
	if err != nil {
		return err
	}
	o.check(recovery.lastFailure < recoveryGoal, fmt.Sprintf("recovered from %g times the peak", factor), "after %s", recovery.lastFailure)
	o.recordFigure(fmt.Sprintf("until recovered from %g times the peak", factor), recovery.lastFailure)
	return nil
}

// offerLoad runs a load of rate operations per second for d.
func (o *overloadPhases) offerLoad(ctx context.Context, rate float64, d time.Duration) (phase, error) {
	opts := o.loads[0]
	opts.Databases = opts.Databases[:1]
	opts.Rate, opts.Duration, opts.Connections = rate, d, overloadConnections
	opts.Drain = overloadDrain
	opts.Undeclared, opts.GapProbe, opts.Roam = true, 0, 0
	opts.RunID = fmt.Sprintf("%s-%d", opts.RunID, len(o.results))
	res, err := bench.Load(ctx, opts)
	if err != nil {
		return phase{}, err
	}
	res.Workload = fmt.Sprintf("%.0f/s", rate)
	for i := range res.Rows {
		res.Rows[i].Workload = res.Workload
	}
	for i := range res.Verdicts {
		res.Verdicts[i].Name = res.Workload + " " + res.Verdicts[i].Name
	}
	o.results = append(o.results, res)
	return phase{goodput: goodput(res.Ops, d), lastFailure: lastFailure(res.Ops, d)}, nil
}

// goodput returns the operations per second that succeeded within d, the
// duration of the load.
func goodput(ops []history.Op, d time.Duration) float64 {
	n := 0
	for i := range ops {
		if ops[i].Outcome == history.Acknowledged && ops[i].End <= d {
			n++
		}
	}
	return float64(n) / d.Seconds()
}

// lastFailure returns the start of the last failed operation of a load of
// duration d.
func lastFailure(ops []history.Op, d time.Duration) time.Duration {
	last := time.Duration(0)
	for i := range ops {
		if ops[i].Outcome != history.Acknowledged && ops[i].Start <= d {
			last = max(last, ops[i].Start)
		}
	}
	return last
}
