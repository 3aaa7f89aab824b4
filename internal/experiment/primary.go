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
	// stepDownTimeout bounds the time until a replaced primary that runs again
	// follows its successor.
	stepDownTimeout = 3 * time.Second
	statementDelay  = 100 * time.Millisecond
	replicaDelay    = 3 * time.Second
)

// primary is the primary of a group and its term.
type primary struct {
	Server
	term tables.Term
}

// primaryOf returns the current primary of a group.
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
	return primary{}, errors.Errorf("primary %s is not among the servers of the set-up", address)
}

// primaries returns the primaries of the target groups, and records these
// groups as affected.
func (r *run) primaries(ctx context.Context) ([]primary, error) {
	var out []primary
	for _, g := range r.setUp.targetGroups() {
		p, err := r.primaryOf(ctx, g)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	r.affected = r.setUp.targetGroups()
	return out, nil
}

// injectFault applies do to the primary of each target group at faultAt.
func (r *run) injectFault(ctx context.Context, do func(p primary) error) ([]primary, error) {
	if err := r.waitUntil(ctx, faultAt); err != nil {
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

// injectAndRevertFault applies do to the primary of each target group at faultAt,
// and undo to the same servers at revertAt.
func (r *run) injectAndRevertFault(ctx context.Context, do, undo func(p primary) error) ([]primary, error) {
	found, err := r.injectFault(ctx, do)
	if err != nil {
		return nil, err
	}
	if err := r.waitUntil(ctx, revertAt); err != nil {
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
	found, err := r.injectFault(ctx, func(p primary) error { return p.Process.signal(syscall.SIGKILL) })
	if err != nil {
		return err
	}
	for _, old := range found {
		var now primary
		replaced := poll(ctx, maxWriteGap, func() bool {
			var err error
			now, err = r.primaryOf(ctx, old.Group)
			return err == nil && now.ID != old.ID && now.term > old.term
		})
		r.check(replaced, "killed primary "+string(old.ID)+" replaced", "%s leads at term %d", now.ID, now.term)
	}
	return ctx.Err()
}

func freezePrimary(ctx context.Context, r *run) error {
	found, err := r.injectAndRevertFault(ctx,
		func(p primary) error { return p.Process.signal(syscall.SIGSTOP) },
		func(p primary) error { return p.Process.signal(syscall.SIGCONT) })
	if err != nil {
		return err
	}
	return r.checkReplaced(ctx, found)
}

func isolatePrimary(ctx context.Context, r *run) error {
	found, err := r.injectAndRevertFault(ctx,
		func(p primary) error { return p.setFaults(ctx, dbserver.Faults{IsolatedFrom: []string{"*"}}) },
		func(p primary) error { return p.setFaults(ctx, dbserver.Faults{}) })
	if err != nil {
		return err
	}
	return r.checkReplaced(ctx, found)
}

func slowPrimary(ctx context.Context, r *run) error {
	found, err := r.injectAndRevertFault(ctx,
		func(p primary) error { return p.setFaults(ctx, dbserver.Faults{StatementDelay: statementDelay}) },
		func(p primary) error { return p.setFaults(ctx, dbserver.Faults{}) })
	if err != nil {
		return err
	}
	return r.checkNotReplaced(ctx, found)
}

func silencePrimaryConnections(ctx context.Context, r *run) error {
	found, err := r.injectFault(ctx, func(p primary) error { return p.silenceConnections(ctx) })
	if err != nil {
		return err
	}
	if err := r.waitUntil(ctx, revertAt); err != nil {
		return err
	}
	return r.checkNotReplaced(ctx, found)
}

// stopReplication stops replication on one replica of each group. The other
// replica stays without faults.
func stopReplication(ctx context.Context, r *run) error {
	setOnReplicas := func(p primary, first, second dbserver.Faults) error {
		faults := []dbserver.Faults{first, second}
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
	found, err := r.injectAndRevertFault(ctx,
		func(p primary) error {
			return setOnReplicas(p, dbserver.Faults{ReplicationStopped: true}, dbserver.Faults{})
		},
		func(p primary) error {
			return setOnReplicas(p, dbserver.Faults{}, dbserver.Faults{})
		})
	if err != nil {
		return err
	}
	return r.checkNotReplaced(ctx, found)
}

// lateReplicas makes all replicas apply records late, so that writes wait for
// their confirmation.
func lateReplicas(ctx context.Context, r *run) error {
	setOnReplicas := func(p primary, f dbserver.Faults) error {
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
	found, err := r.injectAndRevertFault(ctx,
		func(p primary) error { return setOnReplicas(p, dbserver.Faults{ReplicationDelay: replicaDelay}) },
		func(p primary) error { return setOnReplicas(p, dbserver.Faults{}) })
	if err != nil {
		return err
	}
	return r.checkNotReplaced(ctx, found)
}

// killPrimaryWithoutPlatform makes the platform unavailable from the start of
// the run and kills the primaries at faultAt.
func killPrimaryWithoutPlatform(ctx context.Context, r *run) error {
	if err := r.setUp.setPlatformFault(ctx, memory.Fault{Kind: memory.FaultDown}); err != nil {
		return err
	}
	return killPrimary(ctx, r)
}

// checkReplaced checks that each old primary has a successor and follows it
// within stepDownTimeout.
func (r *run) checkReplaced(ctx context.Context, before []primary) error {
	for _, old := range before {
		start := r.elapsed()
		var st tables.Status
		var now primary
		followed := poll(ctx, stepDownTimeout, func() bool {
			var err error
			st, err = bench.ServerStatus(ctx, old.Address)
			if err != nil {
				return false
			}
			now, err = r.primaryOf(ctx, old.Group)
			return err == nil && now.ID != old.ID && st.Role == tables.RoleReplica
		})
		r.check(followed, "replaced primary "+string(old.ID)+" follows", "%s leads at term %d", now.ID, now.term)
		r.recordFigure("until "+string(old.ID)+" follows", r.elapsed()-start)
	}
	return ctx.Err()
}

// checkNotReplaced checks that no group's primary or term changed.
func (r *run) checkNotReplaced(ctx context.Context, before []primary) error {
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

// poll calls done every pollInterval until it returns true, and reports whether it
// did so before the limit and the end of ctx.
func poll(ctx context.Context, limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); ; {
		if done() {
			return true
		}
		if time.Now().After(end) || sleep.For(ctx, pollInterval) != nil {
			return false
		}
	}
}
