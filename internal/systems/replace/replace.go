// Package replace contains the decisions in the replacement of a group's primary:
// whether to start one, when a promotion may be ordered, and which server to
// promote.
//
// A commit is acknowledged once one replica has received it, and a promoted
// server has only what it received before. Therefore every replica that may have
// received a commit is held before the promotion is ordered. From then on no
// commit is acknowledged, and the newest log among the held replicas contains all
// acknowledged commits. The order also waits until the lease evidence of every
// proxy for the old primary has expired; see package freshness.
package replace

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// LeaseGuard is added to the wait for other proxies' lease evidence to expire,
	// to allow for clocks that run at slightly different rates.
	LeaseGuard = 50 * time.Millisecond
	// MissingTimeout is how long a server's entry must be missing, while the store
	// is reachable, before the server counts as stopped. Entries that expire during
	// an outage of the store are back about two seconds after it.
	MissingTimeout = 2500 * time.Millisecond
	// FirstEntryTimeout is how long after the newest of a group's entries appeared the
	// entry of a primary that was never seen may still appear.
	FirstEntryTimeout = 5 * time.Second
	// OrderTimeout is how long a promotion order without a visible effect may still
	// take effect; servers take up to a second.
	OrderTimeout = 3 * time.Second
	// CoordinatorLeaseTime is how long after a claim its holder may order
	// promotions. After the holder failed, another proxy waits for the remainder
	// of this time and for MinOrderGap.
	CoordinatorLeaseTime = 2500 * time.Millisecond
	// MinOrderGap is the least time between promotion orders of two holders. The
	// platform's test bench reports orders that are too close and names 3 s; the
	// platform's documentation gives no figure.
	MinOrderGap = 3300 * time.Millisecond
	// CoordinatorClockMargin ends a claim early for its holder, to allow for
	// clocks that run at different rates.
	CoordinatorClockMargin = 200 * time.Millisecond
	// refusedTimeout is how long a primary must refuse connections before it is replaced.
	refusedTimeout = 120 * time.Millisecond
	// silentTimeout is how long a primary must not respond, on new connections
	// either, before it is replaced.
	silentTimeout = 400 * time.Millisecond
	// deposedTimeout is how long a primary must report that it does not lead before
	// it is replaced.
	deposedTimeout = 300 * time.Millisecond
	// commitTimeout is how long no commit must complete, while some are pending,
	// before the primary counts as cut off from its replicas.
	commitTimeout = 1500 * time.Millisecond
)

// Cause is the reason for replacing a primary.
type Cause uint8

// Causes of a replacement.
const (
	// CauseNone means that the primary is not replaced.
	CauseNone Cause = iota
	// CauseLeaving means that the primary is going to stop.
	CauseLeaving
	// CauseGone means that the primary's entry is missing from the store.
	CauseGone
	// CauseRefused means that the primary refuses or resets connections.
	CauseRefused
	// CauseSilent means that the primary does not respond, on new connections either.
	CauseSilent
	// CauseNoCommits means that the primary responds but completes no commits.
	CauseNoCommits
	// CauseDeposed means that the primary reports that it does not lead.
	CauseDeposed
	// CauseUnfinished means that another proxy started a replacement and did not finish it.
	CauseUnfinished
	// CauseHeld means that a replica is held although no replacement is under way. The
	// primary stays; the replica is to receive commits again.
	CauseHeld
)

// String returns the label used in logs and metrics.
func (c Cause) String() string {
	return [...]string{"none", "leaving", "gone", "refused", "silent", "no commits", "deposed", "unfinished", "held"}[c]
}

// NeedsReplicaCheck reports whether the replicas must first be queried whether the
// primary still replicates to them, because the fault may only affect the network
// path between this proxy and the primary.
func (c Cause) NeedsReplicaCheck() bool {
	return c == CauseRefused || c == CauseSilent || c == CauseNoCommits
}

// View is one proxy's view of a primary.
type View struct {
	// Now is when the view was taken.
	Now tables.Time
	// Leaving reports whether the primary's entry marks it as leaving.
	Leaving bool
	// MissingSince is when its entry was first found missing, with the store
	// reachable ever since; 0 if the entry exists.
	MissingSince tables.Time
	// RefusedSince is the time of the first refused or reset connection since its
	// last response; 0 if it responds.
	RefusedSince tables.Time
	// SilentSince is when the oldest attempt without a response started, new
	// connections included, with no response since; 0 if it responds.
	SilentSince tables.Time
	// DeposedSince is when it first reported that it does not lead and has reported
	// so ever since; 0 if it leads.
	DeposedSince tables.Time
	// CommitSince is when the oldest pending commit was sent, with no commit
	// completed since; 0 if there is none.
	CommitSince tables.Time
}

// Judge returns the reason for replacing the primary of v, or CauseNone.
func Judge(v View) Cause {
	switch {
	case v.Leaving:
		return CauseLeaving
	case v.MissingSince != 0 && v.Now.Sub(v.MissingSince) >= MissingTimeout:
		return CauseGone
	case v.RefusedSince != 0 && v.Now.Sub(v.RefusedSince) >= refusedTimeout:
		return CauseRefused
	case v.SilentSince != 0 && v.Now.Sub(v.SilentSince) >= silentTimeout:
		return CauseSilent
	case v.DeposedSince != 0 && v.Now.Sub(v.DeposedSince) >= deposedTimeout:
		return CauseDeposed
	case v.CommitSince != 0 && v.Now.Sub(v.CommitSince) >= commitTimeout:
		return CauseNoCommits
	default:
		return CauseNone
	}
}

// AbsentView is one proxy's view of a group in which no server is known to lead.
type AbsentView struct {
	// Now is when the view was taken.
	Now tables.Time
	// EntriesSince is since when entries have been read without an interruption of the
	// store; 0 if they were never read.
	EntriesSince tables.Time
	// JoinedAt is when the newest of the group's servers appeared; 0 if there is none.
	JoinedAt tables.Time
	// Led reports whether the group is known to have had a primary.
	Led bool
}

// JudgeAbsent returns CauseGone if the primary of v has surely ended, and otherwise
// CauseNone. The entries of a group that starts appear one after the other, and that of
// its primary may be the last one.
func JudgeAbsent(v AbsentView) Cause {
	switch {
	case v.EntriesSince == 0 || v.JoinedAt == 0:
		return CauseNone
	case v.Now.Sub(v.EntriesSince) < MissingTimeout:
		return CauseNone
	case !v.Led && v.Now.Sub(v.JoinedAt) < FirstEntryTimeout:
		return CauseNone
	default:
		return CauseGone
	}
}

// Replicates reports whether a primary is alive and replicates to a replica, given
// two successive status reports of the replica.
func Replicates(first, second statement.ServerStatus) bool {
	return second.Received.Compare(first.Received) > 0
}

// Held is a replica that was ordered to stop receiving commits.
type Held struct {
	// ID identifies the server.
	ID tables.UpstreamID
	// Leaving reports whether the server is going to stop.
	Leaving bool
	// Unlisted reports whether the server has no entry. It may be cut off from the platform,
	// which then can't promote it.
	Unlisted bool
	// Status is its status report.
	Status statement.ServerStatus
}

// Candidate returns the replica to promote: the one with the newest log; among equal
// ones the one that was ordered before, as that order may still take effect; then one
// that has an entry, one that is not leaving, and the one that has applied the least. A promotion applies
// everything that was received, so it brings a lagging replica up to date while the
// other one continues to serve reads. ordered is empty if no earlier order is pending. ok
// is false if there is no held replica.
func Candidate(held []Held, ordered tables.UpstreamID) (best Held, ok bool) {
	for _, h := range held {
		if !ok || better(h, best, ordered) {
			best, ok = h, true
		}
	}
	return best, ok
}

// better reports whether a is preferred to b as the new primary.
func better(a, b Held, ordered tables.UpstreamID) bool {
	switch a.Status.Received.Compare(b.Status.Received) {
	case 1:
		return true
	case -1:
		return false
	}
	if a.ID == ordered || b.ID == ordered {
		return a.ID == ordered
	}
	if a.Unlisted != b.Unlisted {
		return b.Unlisted
	}
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return a.Status.Applied.Compare(b.Status.Applied) < 0
}

// HasAllCommits reports whether the log of the newest held replica surely contains every
// commit that the old primary acknowledged, also through a server that is not known yet.
// demoted is where the old primary's log ended when it was demoted, and zero if it was
// not: then only the time at which the promotion may be ordered shows it, since no proxy
// uses the old primary's replies any more.
func HasAllCommits(newest Held, demoted tables.Position) bool {
	return demoted != (tables.Position{}) && newest.Status.Received.AtLeast(demoted)
}

// MayPassOver reports whether the log of a demoted primary may stand for n servers that
// ended and are not held: no server led after that primary and acknowledged commits together
// with one of them. lapsed means that an order was removed although it may have taken effect
// before its server ended; a server alone acknowledges nothing. laterTerm means that a server
// which is held knows of a later term.
func MayPassOver(n int, lapsed, laterTerm bool) bool {
	return n == 0 || !laterTerm && (!lapsed || n == 1)
}

// NextTerm returns the term for statement.Hold: one above the highest of known and the terms
// in the status reports in which a server led, which is the term of the promotion. Holds
// of earlier attempts don't count: no server led their term, and a promotion would not lift
// a hold above its own term.
func NextTerm(known tables.Term, statuses ...statement.ServerStatus) tables.Term {
	next := known
	for _, status := range statuses {
		next = max(next, status.Term, status.Received.LogTerm)
	}
	return next + 1
}

// MayOrder reports whether the promotion may be ordered at now: the replacement
// was announced at announced, the last replica was held at held, and the
// coordinator lease of this proxy lasts until until.
func MayOrder(now, announced, held, until tables.Time) bool {
	return now < until && now >= OrderAt(announced, held)
}

// OrderAt returns the earliest time at which the promotion may be ordered.
func OrderAt(announced, held tables.Time) tables.Time {
	return max(announced, held).Add(freshness.Lease + LeaseGuard)
}
