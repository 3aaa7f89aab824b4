// Package ack decides when a committed write may be acknowledged to the caller and
// when a log position read from the primary is confirmed. It does no I/O.
package ack

import (
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Commit is a write that a primary has committed and that is not yet acknowledged.
type Commit struct {
	// ID is an identifier chosen by the user of the Tracker.
	ID uint64
	// Primary is the server that committed the write.
	Primary tables.UpstreamID
	// Term is the primary's term at the time of the commit.
	Term tables.Term
	// Position is the write's position in the log.
	Position tables.Position
}

// Report is an upstream's response to a status request.
type Report struct {
	// Upstream is the server that responded.
	Upstream tables.UpstreamID
	// SentAt is when the request was sent.
	SentAt tables.Time
	// Status is the status in the response.
	Status tables.Status
}

// Rule holds the conditions under which a commit is acknowledged.
type Rule struct {
	// Quorum returns how many of n servers, including the primary, must hold the write.
	Quorum func(n int) int
	// Holds reports whether another server with status s counts as holding c.
	Holds func(c Commit, s tables.Status) bool
	// Leads reports whether the primary, which is queried last, still leads at c's
	// term, given its status s.
	Leads func(c Commit, s tables.Status) bool
}

// Strict returns the rule that guarantees that no acknowledged write is lost: a
// majority holds the write in its term, and the primary still leads afterwards.
func Strict() Rule {
	return Rule{Quorum: tables.Majority, Holds: Holds, Leads: Leads}
}

// Holds reports whether a server with status s has c's record as written by c's
// primary, and has promised no other term.
func Holds(c Commit, s tables.Status) bool {
	return s.Fenced == c.Term && s.Last.LogTerm == c.Term && s.Last.AtLeast(c.Position)
}

// Leads reports whether a server with status s is the primary of c's term.
func Leads(c Commit, s tables.Status) bool {
	return s.Role == tables.RolePrimary && s.Fenced == c.Term
}

// Covered reports whether a majority of members, including the primary, holds c.
// The reports must be responses to requests sent at or after the commit. Before it
// acknowledges the commit, the calling code must query the primary again.
func Covered(c Commit, members []tables.UpstreamID, reports []Report) bool {
	return Strict().covered(c, members, reports)
}

func (r Rule) covered(c Commit, members []tables.UpstreamID, reports []Report) bool {
	holders := 1
	for _, m := range members {
		if m != c.Primary && r.holdsAny(c, m, reports) {
			holders++
		}
	}
	return holders >= r.Quorum(len(members))
}

func (r Rule) holdsAny(c Commit, m tables.UpstreamID, reports []Report) bool {
	for _, p := range reports {
		if p.Upstream == m && r.Holds(c, p.Status) {
			return true
		}
	}
	return false
}

// Confirm returns the confirmed point that follows from read, the status of the
// primary. It requires that a majority of members, including the primary, reported
// the primary's term in response to requests sent no earlier than read.
func Confirm(read Report, members []tables.UpstreamID, reports []Report) (tables.ConfirmedPoint, bool) {
	if read.Status.Role != tables.RolePrimary {
		return tables.ConfirmedPoint{}, false
	}
	holders := 1
	for _, m := range members {
		if m != read.Upstream && fencedSince(read, m, reports) {
			holders++
		}
	}
	if holders < tables.Majority(len(members)) {
		return tables.ConfirmedPoint{}, false
	}
	return tables.ConfirmedPoint{Term: read.Status.Fenced, Position: read.Status.Last, SentAt: read.SentAt}, true
}

func fencedSince(read Report, m tables.UpstreamID, reports []Report) bool {
	for _, p := range reports {
		if p.Upstream == m && p.SentAt >= read.SentAt && p.Status.Fenced == read.Status.Fenced {
			return true
		}
	}
	return false
}
