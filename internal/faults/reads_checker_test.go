package faults

import (
	"github.com/cranberrystage/cranberrystage/internal/standin/replog"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	promiseOwnWrite  promise = "every later read of a session sees its own writes"
	promiseAge       promise = "no answer is older than the declared max age"
	promiseHeld      promise = "reads are served by servers that hold the required position"
	promiseReadsBack promise = "every proxy answers every kind of read at the end"
	promiseReplicas  promise = "replicas answer reads at the end"
)

// missingWrites are the writes that a server lacked when it served a read.
type missingWrites struct {
	// own is the first missing write of the read's session; nil if none is missing.
	own *acknowledgement
	// any is the first missing write of those acknowledged by that time.
	any *acknowledgement
	// required is the first missing write up to the required position.
	required *acknowledgement
}

// findMissing compares a server's log with the acknowledged writes.
func (l *readLoad) findMissing(log *replog.State, r *read) missingWrites {
	var out missingWrites
	out.own = firstMissing(log, r.own, func(*acknowledgement) bool { return true })
	acks := l.sim.checks.acks
	out.any = firstMissing(log, acks, func(*acknowledgement) bool { return true })
	out.required = firstMissing(log, acks, func(a *acknowledgement) bool {
		return a.decidedAt <= r.chosenAt && r.decision.MinPosition.AtLeast(a.commit.Position)
	})
	return out
}

func firstMissing(log *replog.State, acks []acknowledgement, counts func(*acknowledgement) bool) *acknowledgement {
	for i := range acks {
		at := acks[i].commit.Position.Index
		if counts(&acks[i]) && (at > uint64(log.Len()) || log.At(at).Body != acks[i].body) {
			return &acks[i]
		}
	}
	return nil
}

// answer returns the answer to the caller and checks it.
func (r *read) answer() {
	l := r.load
	l.answers = append(l.answers, readAnswer{
		kind: r.kind.name, by: r.proxy.world.Self, at: l.sim.now, replica: r.decision.Kind == route.KindReplica,
	})
	r.check(promiseOwnWrite, r.lacking.own)
	r.check(promiseHeld, r.lacking.required)
	if r.lacking.any != nil && r.lacking.any.decidedAt < r.oldest(r.kind.maxAge) {
		r.check(promiseAge, r.lacking.any)
	}
}

func (r *read) check(p promise, missing *acknowledgement) {
	if missing == nil {
		return
	}
	r.load.sim.checks.fail(p, "%s by %s from %s at %d lacks %s at %v, acknowledged at %d", r.kind.name,
		r.proxy.world.Self, r.decision.Upstream, r.load.sim.now, missing.body, missing.commit.Position, missing.decidedAt)
}

// checkReadsEnd checks the reads since all faults were healed and returns how many
// promises the run checked.
func checkReadsEnd(l *readLoad, healedAt tables.Time) int {
	c := l.sim.checks
	if by, kind, found := l.unanswered(healedAt); found {
		c.fail(promiseReadsBack, "%s has not answered %q since %d", by, kind, healedAt)
	}
	if !l.replicaAnsweredSince(healedAt) {
		c.fail(promiseReplicas, "none since %d", healedAt)
	}
	return 5
}
