package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// inForceGoal bounds the time until every proxy uses a confirmed version.
	inForceGoal = 6 * time.Second
	// inForceTimeout bounds the wait for a version that missed inForceGoal.
	inForceTimeout = 15 * time.Second
	confirmRounds  = 4
	platformDelay  = 2 * time.Second
	// lostResponseCalls is the number of platform calls whose response is lost.
	lostResponseCalls = 8
	// drainGoal is the time after which a leaving upstream must receive no new work.
	drainGoal        = 3 * time.Second
	drainObservation = 3 * time.Second
	// lateStartTimeout bounds the wait for the start of a late proxy.
	lateStartTimeout = 30 * time.Second
)

// checkInForce checks that every proxy uses the version within inForceGoal.
func (r *run) checkInForce(ctx context.Context, version uint64) {
	took, ok := r.awaitVersion(ctx, version, inForceTimeout)
	r.check(ok && took < inForceGoal, fmt.Sprintf("version %d in force on every proxy", version), "after %s", took.Round(time.Millisecond))
	r.recordFigure("until a version was in force", took)
}

// newOperatorAtFault waits until faultAt and returns the operator.
func (r *run) newOperatorAtFault(ctx context.Context) (*operator, error) {
	o, err := newOperator(r.setUp.ControlSettings)
	if err != nil {
		return nil, err
	}
	return o, r.waitUntil(ctx, faultAt)
}

func changeConfiguration(ctx context.Context, r *run) error {
	o, err := r.newOperatorAtFault(ctx)
	if err != nil {
		return err
	}
	for range confirmRounds {
		p, err := o.propose(ctx, raiseQueueLimit)
		if err != nil {
			return err
		}
		res, err := o.confirm(ctx, p.ID)
		if err != nil {
			return err
		}
		r.checkInForce(ctx, res.Head.Version)
	}
	return nil
}

// raiseQueueLimitBy returns a change that raises a queue limit by n. Changes with
// different values of n conflict.
func raiseQueueLimitBy(n int) func(*config.Document) error {
	return func(doc *config.Document) error {
		doc.Services[0].QueueLimit += n
		return nil
	}
}

func confirmConflicting(ctx context.Context, r *run) error {
	o, err := r.newOperatorAtFault(ctx)
	if err != nil {
		return err
	}
	for range confirmRounds {
		var plans [2]plan.Plan
		for i := range plans {
			if plans[i], err = o.propose(ctx, raiseQueueLimitBy(i+1)); err != nil {
				return err
			}
		}
		r.confirmBoth(ctx, o, plans)
	}
	return nil
}

// confirmBoth confirms two plans concurrently and checks that one succeeds and
// the other is rejected as stale.
func (r *run) confirmBoth(ctx context.Context, o *operator, plans [2]plan.Plan) {
	var results [2]plan.Result
	var errs [2]error
	var g errgroup.Group
	for i, p := range plans {
		g.Go(func() error {
			results[i], errs[i] = o.confirm(ctx, p.ID)
			return nil
		})
	}
	_ = g.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	r.check(errs[winner] == nil && hasCode(errs[1-winner], codes.StaleBase), "one of two conflicting plans wins",
		"%v; %v", errs[0], errs[1])
	if errs[winner] == nil {
		r.checkInForce(ctx, results[winner].Head.Version)
	}
}

// slowPlatform confirms a plan while the platform is slow, and another while
// the platform's responses are lost.
func slowPlatform(ctx context.Context, r *run) error {
	o, err := newOperator(r.setUp.ControlSettings)
	if err != nil {
		return err
	}
	for _, f := range []memory.Fault{
		{Kind: memory.FaultSlow, Delay: platformDelay},
		{Kind: memory.FaultLoseAnswer, Calls: lostResponseCalls},
	} {
		p, err := o.propose(ctx, raiseQueueLimit)
		if err != nil {
			return err
		}
		if err := r.confirmDuringFault(ctx, o, p, f); err != nil {
			return err
		}
	}
	return nil
}

// confirmDuringFault confirms a plan during a platform fault and then clears the
// fault.
func (r *run) confirmDuringFault(ctx context.Context, o *operator, p plan.Plan, f memory.Fault) error {
	if err := r.setUp.setPlatformFault(ctx, f); err != nil {
		return err
	}
	start := r.elapsed()
	res, err := o.confirmUntilKnown(ctx, p.ID)
	r.check(err == nil, "plan confirmed with the platform "+f.Kind.String(), "%v", err)
	r.recordFigure("confirm with the platform "+f.Kind.String(), r.elapsed()-start)
	if err == nil {
		r.check(res.Head.Version == p.BaseVersion+1, "plan took effect once", "version %d from base %d", res.Head.Version, p.BaseVersion)
		r.checkInForce(ctx, res.Head.Version)
	}
	return r.setUp.setPlatformFault(ctx, memory.Fault{})
}

// awaitLateProxy confirms a plan, makes the platform unavailable and waits for
// a proxy that another process starts meanwhile. That proxy must receive the
// configuration from its peers.
func awaitLateProxy(ctx context.Context, r *run) error {
	if r.setUp.LateAdmin == "" {
		return errors.New("no late proxy is given")
	}
	o, err := newOperator(r.setUp.ControlSettings)
	if err != nil {
		return err
	}
	p, err := o.propose(ctx, raiseQueueLimit)
	if err != nil {
		return err
	}
	res, err := o.confirm(ctx, p.ID)
	if err != nil {
		return err
	}
	r.checkInForce(ctx, res.Head.Version)
	if err := r.setUp.setPlatformFault(ctx, memory.Fault{Kind: memory.FaultDown}); err != nil {
		return err
	}
	return r.checkLateProxy(ctx, Proxy{Admin: r.setUp.LateAdmin}, res.Head.Version)
}

// checkLateProxy waits for a proxy that is not running yet, and checks that it
// uses the version within inForceGoal of its start.
func (r *run) checkLateProxy(ctx context.Context, late Proxy, version uint64) error {
	if _, err := late.status(ctx); err == nil {
		return errors.New("the late proxy was running before the platform failed")
	}
	started := poll(ctx, lateStartTimeout, func() bool {
		_, err := late.status(ctx)
		return err == nil
	})
	r.check(started, "late proxy started", "at %s", r.elapsed().Round(time.Millisecond))
	start := r.elapsed()
	ok := poll(ctx, inForceTimeout, func() bool {
		st, err := late.status(ctx)
		return err == nil && st.ConfigVersion >= version && st.Ready
	})
	took := r.elapsed() - start
	r.check(ok && took < inForceGoal, "late proxy took the configuration from its peers", "after %s", took.Round(time.Millisecond))
	r.recordFigure("until the late proxy was ready", took)
	return ctx.Err()
}

// setLeaving sets the leaving flag of the upstreams in ids.
func setLeaving(doc *config.Document, ids []tables.UpstreamID, leaving bool) error {
	for g := range doc.Groups {
		ups := doc.Groups[g].Upstreams
		for i := range ups {
			for _, id := range ids {
				if ups[i].ID == id {
					ups[i].Leaving = leaving
				}
			}
		}
	}
	return nil
}

// drain marks servers as leaving and checks that they receive no statements once
// drainGoal has passed since the confirm.
func (r *run) drain(ctx context.Context, leaving []Server) error {
	o, err := newOperator(r.setUp.ControlSettings)
	if err != nil {
		return err
	}
	var ids []tables.UpstreamID
	for _, s := range leaving {
		ids = append(ids, s.ID)
	}
	p, err := o.propose(ctx, func(doc *config.Document) error { return setLeaving(doc, ids, true) })
	if err != nil {
		return err
	}
	if _, err := o.confirm(ctx, p.ID); err != nil {
		return err
	}
	if err := sleep.For(ctx, drainGoal); err != nil {
		return err
	}
	return r.checkIdle(ctx, leaving, drainObservation)
}

// checkIdle checks that servers receive no statements for the duration watch.
func (r *run) checkIdle(ctx context.Context, servers []Server, watch time.Duration) error {
	before := make([]int64, len(servers))
	for i, s := range servers {
		st, err := s.stats(ctx)
		if err != nil {
			return err
		}
		before[i] = st.Statements
	}
	if err := sleep.For(ctx, watch); err != nil {
		return err
	}
	for i, s := range servers {
		st, err := s.stats(ctx)
		if err != nil {
			return err
		}
		n := st.Statements - before[i]
		r.check(n == 0 && before[i] > 0, "no new work on "+string(s.ID)+" "+drainGoal.String()+" after the confirm",
			"%d statements, %d before", n, before[i])
	}
	return nil
}

func drainReplica(ctx context.Context, r *run) error {
	if err := r.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	var leaving []Server
	for _, g := range r.setUp.targetGroups() {
		p, err := r.primaryOf(ctx, g)
		if err != nil {
			return err
		}
		for _, s := range r.setUp.members(g) {
			if s.ID != p.ID {
				leaving = append(leaving, s)
				break
			}
		}
	}
	r.affected = r.setUp.targetGroups()
	return r.drain(ctx, leaving)
}

func drainPrimary(ctx context.Context, r *run) error {
	if err := r.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	found, err := r.primaries(ctx)
	if err != nil {
		return err
	}
	var leaving []Server
	for _, p := range found {
		leaving = append(leaving, p.Server)
	}
	if err := r.drain(ctx, leaving); err != nil {
		return err
	}
	return r.checkReplaced(ctx, found)
}
