// Package replace decides on the replacement of a group's primary: whether to
// begin, whom to hold, when the order may be given and whom it names.
//
// A commit is acknowledged once one replica has received it, and a promoted
// server leads with what it had received and nothing more. So before an order
// every replica that may have received a commit is held: then no commit is
// acknowledged any more, and the newest log among the held ones has all that
// were. The order waits until every proxy's evidence for the old primary has
// lapsed; see package freshness.
package replace

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// LeaseGuard is added to the wait for other proxies' evidence, for clocks
	// that run at slightly different speeds.
	LeaseGuard = 50 * time.Millisecond
	// MissingTimeout is how long a server's entry must have been missing, while the
	// store answers, until the server counts as gone: entries that lapsed during
	// an outage are back about two seconds after it.
	MissingTimeout = 2500 * time.Millisecond
	// OrderTimeout is how long an order without a visible effect may still take
	// effect; servers take up to a second.
	OrderTimeout = 3 * time.Second
	// refusedSpan is how long a primary must refuse connections.
	refusedSpan = 120 * time.Millisecond
	// silentSpan is how long a primary must be silent, new connections included.
	silentSpan = 400 * time.Millisecond
	// deposedSpan is how long a primary must answer that it does not lead.
	deposedSpan = 300 * time.Millisecond
	// commitSpan is how long no commit may end, while some wait, until the
	// primary counts as cut from its replicas.
	commitSpan = 1500 * time.Millisecond
)

// Cause says why a primary is to be replaced.
type Cause uint8

// Causes of a replacement.
const (
	// CauseNone means that the primary stays.
	CauseNone Cause = iota
	// CauseLeaving means that the primary is going to end.
	CauseLeaving
	// CauseGone means that the primary's entry is missing.
	CauseGone
	// CauseRefused means that the primary refuses or resets connections.
	CauseRefused
	// CauseSilent means that the primary does not answer, on new connections either.
	CauseSilent
	// CauseNoCommits means that the primary answers but ends no commit.
	CauseNoCommits
	// CauseDeposed means that the primary answers that it does not lead.
	CauseDeposed
	// CauseUnfinished means that another proxy began a replacement and did not end it.
	CauseUnfinished
)

// String returns the label used in logs and metrics.
func (c Cause) String() string {
	return [...]string{"none", "leaving", "gone", "refused", "silent", "no commits", "deposed", "unfinished"}[c]
}

// NeedsReplicaCheck reports whether the replicas are asked first whether the primary
// still feeds them: the cause may lie on this proxy's path alone.
func (c Cause) NeedsReplicaCheck() bool {
	return c == CauseRefused || c == CauseSilent || c == CauseNoCommits
}

// View is what one proxy sees of a primary.
type View struct {
	// Now is the time of the look.
	Now tables.Time
	// Leaving says that its entry has it leaving.
	Leaving bool
	// MissingSince is when its entry was found missing with the store answering
	// ever since; 0 if it is there.
	MissingSince tables.Time
	// RefusedSince is when it first refused or reset without an answer since; 0 if it answers.
	RefusedSince tables.Time
	// SilentSince is when the oldest attempt without an answer began, new
	// connections included, with no answer since; 0 if it answers.
	SilentSince tables.Time
	// DeposedSince is when it first answered that it does not lead, and did so
	// ever since; 0 if it leads.
	DeposedSince tables.Time
	// CommitSince is when the oldest commit without an answer was sent, with no
	// commit answered since; 0 without one.
	CommitSince tables.Time
}

// Judge returns why the primary of v is to be replaced, or CauseNone.
func Judge(v View) Cause {
	switch {
	case v.Leaving:
		return CauseLeaving
	case v.MissingSince != 0 && v.Now.Sub(v.MissingSince) >= MissingTimeout:
		return CauseGone
	case v.RefusedSince != 0 && v.Now.Sub(v.RefusedSince) >= refusedSpan:
		return CauseRefused
	case v.SilentSince != 0 && v.Now.Sub(v.SilentSince) >= silentSpan:
		return CauseSilent
	case v.DeposedSince != 0 && v.Now.Sub(v.DeposedSince) >= deposedSpan:
		return CauseDeposed
	case v.CommitSince != 0 && v.Now.Sub(v.CommitSince) >= commitSpan:
		return CauseNoCommits
	default:
		return CauseNone
	}
}

// Replicates reports whether a primary is alive and feeds a replica, from two
// accounts of the replica taken one after the other.
func Replicates(first, second statement.ServerStatus) bool {
	return second.Received.Compare(first.Received) > 0
}

// Held is a replica that was told to stop receiving.
type Held struct {
	// ID names the server.
	ID tables.UpstreamID
	// Leaving says that it is going to end.
	Leaving bool
	// Status is its answer.
	Status statement.ServerStatus
}

// Candidate returns who is to lead: the newest log, and among equal ones a
// server that stays, then the one that has applied the least. A promotion
// applies all that was received, so a replica that lags is cured by it, while
// the other one can go on answering reads. ok is false without a held replica.
func Candidate(held []Held) (best Held, ok bool) {
	for _, h := range held {
		if !ok || better(h, best) {
			best, ok = h, true
		}
	}
	return best, ok
}

func better(a, b Held) bool {
	switch a.Status.Received.Compare(b.Status.Received) {
	case 1:
		return true
	case -1:
		return false
	}
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return a.Status.Applied.Compare(b.Status.Applied) < 0
}

// AllLeaving reports whether every held replica is going to end, so that a new
// primary among them would soon have to be replaced too.
func AllLeaving(held []Held) bool {
	for _, h := range held {
		if !h.Leaving {
			return false
		}
	}
	return true
}

// NextTerm returns the term for Hold: above all that the accounts know.
func NextTerm(known tables.Term, accounts ...statement.ServerStatus) tables.Term {
	next := known
	for _, a := range accounts {
		next = max(next, a.Term, a.Held, a.Received.LogTerm)
	}
	return next + 1
}

// MayOrder reports whether the order may be given at now: the announcement
// stands since announced, the last replica was held at held, and the holder's
// right lasts until.
func MayOrder(now, announced, held, until tables.Time) bool {
	return now < until && now >= OrderAt(announced, held)
}

// OrderAt returns the earliest time of the order.
func OrderAt(announced, held tables.Time) tables.Time {
	return max(announced, held).Add(freshness.Lease + LeaseGuard)
}
