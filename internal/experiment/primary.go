package experiment

import (
	"context"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	// stepDownTime is how long a replaced primary that is back may take to follow.
	stepDownTime   = 3 * time.Second
	statementDelay = 100 * time.Millisecond
	replicaDelay   = 3 * time.Second
)

// primary is a server that leads, and the term under which it does.
type primary struct {
	Server
	term tables.Term
}

// primaryOf returns the server that leads a group.
func (r *run) primaryOf(ctx context.Context, group tables.GroupID) (primary, error) {
	members := r.setUp.members(group)
	addresses := make([]string, len(members))
	for i, s := range members {
		addresses[i] = s.Address
	}
	address, err := bench.FindPrimary(ctx, addresses)
	if err != nil {
		return primary{}, err
	}
	st, err := bench.ServerStatus(ctx, address)
	if err != nil {
		return primary{}, errors.Wrap(err, "status of the primary")
	}
	for _, s := range members {
		if s.Address == address {
			return primary{Server: s, term: st.Fenced}, nil
		}
	}
	return primary{}, errors.Errorf("%s is not listed", address)
}

// primaries returns the primaries of the groups that are to be harmed.
func (r *run) primaries(ctx context.Context) ([]primary, error) {
	var out []primary
	for _, g := range r.setUp.victims() {
		p, err := r.primaryOf(ctx, g)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	r.harmed = r.setUp.victims()
	return out, nil
}

// harm applies do to each primary at the time of the fault.
func (r *run) harm(ctx context.Context, do func(p primary) error) ([]primary, error) {
	if err := r.until(ctx, faultAt); err != nil {
		return nil, err
	}
	found, err := r.primaries(ctx)
	if err != nil {
		return nil, err
	}
	for _, p := range found {
		if err := do(p); err != nil {
			return nil, err
		}
	}
	return found, nil
}

// harmAndHeal applies do to each primary and later undo to the same.
func (r *run) harmAndHeal(ctx context.Context, do, undo func(p primary) error) ([]primary, error) {
	found, err := r.harm(ctx, do)
	if err != nil {
		return nil, err
	}
	if err := r.until(ctx, healAt); err != nil {
		return nil, err
	}
	for _, p := range found {
		if err := undo(p); err != nil {
			return nil, err
		}
	}
	return found, nil
}

func killPrimary(ctx context.Context, r *run) error {
	found, err := r.harm(ctx, func(p primary) error { return p.Process.signal(syscall.SIGKILL) })
	if err != nil {
		return err
	}
	for _, old := range found {
		var now primary
		replaced := poll(ctx, gapLimit, func() bool {
			var err error
			now, err = r.primaryOf(ctx, old.Group)
			return err == nil && now.ID != old.ID && now.term > old.term
		})
		r.check(replaced, "killed primary "+string(old.ID)+" replaced", "%s leads at term %d", now.ID, now.term)
	}
	return ctx.Err()
}

func freezePrimary(ctx context.Context, r *run) error {
	found, err := r.harmAndHeal(ctx,
		func(p primary) error { return p.Process.signal(syscall.SIGSTOP) },
		func(p primary) error { return p.Process.signal(syscall.SIGCONT) })
	if err != nil {
		return err
	}
	return r.checkReplaced(ctx, found)
}

func isolatePrimary(ctx context.Context, r *run) error {
	found, err := r.harmAndHeal(ctx,
		func(p primary) error { return p.setFaults(ctx, dbserver.Faults{IsolatedFrom: []string{"*"}}) },
		func(p primary) error { return p.setFaults(ctx, dbserver.Faults{}) })
	if err != nil {
		return err
	}
	return r.checkReplaced(ctx, found)
}

func slowPrimary(ctx context.Context, r *run) error {
	found, err := r.harmAndHeal(ctx,
		func(p primary) error { return p.setFaults(ctx, dbserver.Faults{StatementDelay: statementDelay}) },
		func(p primary) error { return p.setFaults(ctx, dbserver.Faults{}) })
	if err != nil {
		return err
	}
	return r.checkKept(ctx, found)
}

func silenceConnections(ctx context.Context, r *run) error {
	found, err := r.harm(ctx, func(p primary) error { return p.silence(ctx) })
	if err != nil {
		return err
	}
	if err := r.until(ctx, healAt); err != nil {
		return err
	}
	return r.checkKept(ctx, found)
}

// delayReplicas stops one replica and makes the other apply records late.
func delayReplicas(ctx context.Context, r *run) error {
	set := func(p primary, stopped, late dbserver.Faults) error {
		faults := []dbserver.Faults{stopped, late}
		for _, s := range r.setUp.members(p.Group) {
			if s.ID == p.ID {
				continue
			}
			if err := s.setFaults(ctx, faults[0]); err != nil {
				return err
			}
			faults = faults[1:]
		}
		return nil
	}
	found, err := r.harmAndHeal(ctx,
		func(p primary) error {
			return set(p, dbserver.Faults{ReplicationStopped: true}, dbserver.Faults{})
		},
		func(p primary) error {
			return set(p, dbserver.Faults{}, dbserver.Faults{})
		})
	if err != nil {
		return err
	}
	return r.checkKept(ctx, found)
}

// lateReplicas makes all replicas apply records late, so that writes wait.
func lateReplicas(ctx context.Context, r *run) error {
	set := func(p primary, f dbserver.Faults) error {
		for _, s := range r.setUp.members(p.Group) {
			if s.ID == p.ID {
				continue
			}
			if err := s.setFaults(ctx, f); err != nil {
				return err
			}
		}
		return nil
	}
	found, err := r.harmAndHeal(ctx,
		func(p primary) error { return set(p, dbserver.Faults{ReplicationDelay: replicaDelay}) },
		func(p primary) error { return set(p, dbserver.Faults{}) })
	if err != nil {
		return err
	}
	return r.checkKept(ctx, found)
}

// killPrimaryWithoutPlatform makes the platform unavailable for the whole run.
func killPrimaryWithoutPlatform(ctx context.Context, r *run) error {
	if err := r.setUp.setPlatformFault(ctx, memory.Fault{Kind: memory.FaultDown}); err != nil {
		return err
	}
	return killPrimary(ctx, r)
}

// checkReplaced checks that each primary has a successor and follows soon.
func (r *run) checkReplaced(ctx context.Context, before []primary) error {
	for _, old := range before {
		began := r.clock()
		var st tables.Status
		var now primary
		followed := poll(ctx, stepDownTime, func() bool {
			var err error
			st, err = bench.ServerStatus(ctx, old.Address)
			if err != nil {
				return false
			}
			now, err = r.primaryOf(ctx, old.Group)
			return err == nil && now.ID != old.ID && st.Role == tables.RoleReplica
		})
		r.check(followed, "replaced primary "+string(old.ID)+" follows", "%s leads at term %d", now.ID, now.term)
		r.figure("until "+string(old.ID)+" follows", r.clock()-began)
	}
	return ctx.Err()
}

// checkKept checks that no primary was replaced.
func (r *run) checkKept(ctx context.Context, before []primary) error {
	for _, old := range before {
		now, err := r.primaryOf(ctx, old.Group)
		if err != nil {
			return err
		}
		r.check(now.ID == old.ID && now.term == old.term, "primary of "+string(old.Group)+" kept",
			"%s at term %d, was %s at term %d", now.ID, now.term, old.ID, old.term)
	}
	return nil
}

// poll asks until done or the time is over.
func poll(ctx context.Context, limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); ; {
		if done() {
			return true
		}
		if time.Now().After(end) || sleep.For(ctx, pollPause) != nil {
			return false
		}
	}
}
