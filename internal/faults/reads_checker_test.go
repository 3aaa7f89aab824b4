package faults

import (
	"github.com/cranberrystage/cranberrystage/internal/standin/replog"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	promiseOwnWrite  promise = "own write seen on every later read"
	promiseAge       promise = "answer not older than stated"
	promiseHeld      promise = "served by a server that held what was required"
	promiseReadsBack promise = "every proxy answers every kind of read in the end"
	promiseReplicas  promise = "replicas answer reads in the end"
)

// sight is what a server lacked when it served a read.
type sight struct {
	// own is a missing write of the read's session.
	own *acknowledgement
	// any is the first missing write of those acknowledged by then.
	any *acknowledgement
	// required is a missing write within the position that was required.
	required *acknowledgement
}

// look compares a server's log with what was acknowledged.
func (l *readLoad) look(log *replog.State, r *read) sight {
	var out sight
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

// answer sends the answer out and checks it.
func (r *read) answer() {
	l := r.load
	l.answers = append(l.answers, readAnswer{
		kind: r.kind.name, by: r.proxy.world.Self, at: l.sim.now, replica: r.decision.Kind == route.KindReplica,
	})
	r.check(promiseOwnWrite, r.seen.own)
	r.check(promiseHeld, r.seen.required)
	if r.seen.any != nil && r.seen.any.decidedAt < r.oldest(r.kind.maxAge) {
		r.check(promiseAge, r.seen.any)
	}
}

func (r *read) check(p promise, missing *acknowledgement) {
	if missing == nil {
		return
	}
	r.load.sim.checks.fail(p, "%s by %s from %s at %d lacks %s at %v, acknowledged at %d", r.kind.name,
		r.proxy.world.Self, r.decision.Upstream, r.load.sim.now, missing.body, missing.commit.Position, missing.decidedAt)
}

// checkReadsEnd checks what must hold of reads after everything healed and
// returns how many promises the run checked.
func checkReadsEnd(l *readLoad, healedAt tables.Time) int {
	c := l.sim.checks
	if by, kind, found := l.unanswered(healedAt); found {
		c.fail(promiseReadsBack, "%s has not answered %q since %d", by, kind, healedAt)
	}
	if !l.fromReplica(healedAt) {
		c.fail(promiseReplicas, "none since %d", healedAt)
	}
	return 5
}
