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
	// overloadDelay makes the servers, not the machine, the bottleneck.
	overloadDelay       = 20 * time.Millisecond
	overloadConnections = 300
	stepTime            = 4 * time.Second
	overloadTime        = 8 * time.Second
	recoveryTime        = 8 * time.Second
	overloadDrain       = 40 * time.Second

	// goodputGoal is the least goodput under overload as a share of its peak.
	goodputGoal = 0.9
	// recoveryGoal is how soon after an overload every operation succeeds again.
	recoveryGoal = 5 * time.Second
	// recoveryRate is the load after the overload as a share of the peak.
	recoveryRate = 0.5
)

// Offered loads in operations per second among which the peak is looked for.
var peakSteps = []float64{80, 110, 140, 170}

// overloadFactors are offered loads as multiples of the peak.
var overloadFactors = []float64{2, 5}

// overload offers one database more than its primary can do. All operations go
// to the primary, and no other load runs.
func overload(ctx context.Context, r *run) ([]*bench.Result, error) {
	r.harmed = r.setUp.victims()
	for _, g := range r.harmed {
		for _, s := range r.setUp.members(g) {
			if err := s.setFaults(ctx, dbserver.Faults{StatementDelay: overloadDelay}); err != nil {
				return nil, err
			}
		}
	}
	o := &overloadRun{run: r}
	peak := 0.0
	for _, rate := range peakSteps {
		got, err := o.offer(ctx, rate, stepTime)
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

// overloadRun collects the results of all phases.
type overloadRun struct {
	*run
	results []*bench.Result
}

// phase is what one offered load gave.
type phase struct {
	goodput   float64
	recovered time.Duration
}

// overloadBy offers a multiple of the peak and then a load that fits.
func (o *overloadRun) overloadBy(ctx context.Context, factor, peak float64) error {
	over, err := o.offer(ctx, factor*peak, overloadTime)
	if err != nil {
		return err
	}
	o.check(over.goodput >= goodputGoal*peak, fmt.Sprintf("goodput at %g times the peak", factor),
		"%.0f/s of %.0f/s, %.2f", over.goodput, peak, over.goodput/peak)
	after, err := o.offer(ctx, recoveryRate*peak, recoveryTime)
	if err != nil {
		return err
	}
	o.check(after.recovered < recoveryGoal, fmt.Sprintf("recovered from %g times the peak", factor), "after %s", after.recovered)
	o.figure(fmt.Sprintf("until recovered from %g times the peak", factor), after.recovered)
	return nil
}

// offer runs one load at a rate.
func (o *overloadRun) offer(ctx context.Context, rate float64, d time.Duration) (phase, error) {
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
	return phase{goodput: goodput(res.Ops, d), recovered: recovered(res.Ops, d)}, nil
}

// goodput returns the operations per second that succeeded within the load.
func goodput(ops []history.Op, d time.Duration) float64 {
	n := 0
	for i := range ops {
		if ops[i].Outcome == history.Acknowledged && ops[i].End <= d {
			n++
		}
	}
	return float64(n) / d.Seconds()
}

// recovered returns when the last operation began that failed.
func recovered(ops []history.Op, d time.Duration) time.Duration {
	last := time.Duration(0)
	for i := range ops {
		if ops[i].Outcome != history.Acknowledged && ops[i].Start <= d {
			last = max(last, ops[i].Start)
		}
	}
	return last
}
