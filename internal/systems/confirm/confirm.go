// Package confirm decides who leads a group after the platform's store has come
// back from an older copy.
//
// The copy may lack an announcement, an order, a finished promotion or a member of
// the group that the store had acknowledged. So the rows of the copy prove nothing.
// The record of a group in the new era is derived from what can't be taken back:
// the servers' own status, and the highest term that any record or proxy knows.
//
// A replacement that began before may still be under way, and its coordinator may
// not know of the new era. Its claim to the coordinator lease was acknowledged
// before the store went away, so the claim has expired and its last promotion has
// taken effect, or never will, once Wait has passed since a proxy first saw the new
// era.
package confirm

import (
	"fmt"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Wait is the time from a proxy's first response of a new era until the proxy may
// confirm groups.
const Wait = replace.CoordinatorLeaseTime + replace.OrderTimeout

// At returns the earliest time at which a proxy that first saw the new era at seen
// may confirm groups.
func At(seen tables.Time) tables.Time { return seen.Add(Wait) }

// Server is a server that may belong to the group.
type Server struct {
	// ID identifies the server.
	ID tables.UpstreamID
	// Terminated means that the server has surely ended.
	Terminated bool
	// Answered means that Status is the server's response.
	Answered bool
	// Status is the server's status; valid with Answered.
	Status statement.ServerStatus
}

// View is what one proxy knows about a group in a new era.
type View struct {
	// Known is the record with the highest term among the copy's rows and the
	// proxy's memory; zero if there is none.
	Known tables.PrimaryRecord
	// Servers are all servers that may belong to the group: listed as members,
	// with an entry, or known to the proxy.
	Servers []Server
}

// Newest returns the record with the higher term; among equal terms a, unless it
// names no primary.
func Newest(a, b tables.PrimaryRecord) tables.PrimaryRecord {
	if b.Term > a.Term || b.Term == a.Term && a.Primary == "" {
		return b
	}
	return a
}

// Decide returns the group's record for the new era. While servers leave a doubt it
// returns an error that says which.
func Decide(v View) (tables.PrimaryRecord, error) {
	if len(v.Servers) == 0 {
		return tables.PrimaryRecord{}, fmt.Errorf("no server is known")
	}
	record := tables.PrimaryRecord{Primary: v.Known.Primary, Term: v.Known.Term}
	leader, found := newestLeader(v.Servers)
	if found && leader.Status.Term >= record.Term {
		record.Primary, record.Term = leader.ID, leader.Status.Term
	}
	if id, ok := unknownStatus(v.Servers, record.Primary); ok {
		return tables.PrimaryRecord{}, fmt.Errorf("%s does not answer", id)
	}
	if term := highestTerm(v.Servers); term > record.Term {
		return missingLeader(v, term)
	}
	if record.Primary == "" {
		return tables.PrimaryRecord{}, fmt.Errorf("no server leads")
	}
	record.Replacing = anyHeld(v.Servers, record.Primary)
	return record, nil
}

// newestLeader returns the server that leads the highest term.
func newestLeader(servers []Server) (best Server, found bool) {
	for _, s := range servers {
		if s.Answered && s.Status.Leads && (!found || s.Status.Term > best.Status.Term) {
			best, found = s, true
		}
	}
	return best, found
}

// unknownStatus returns a server that may lead a higher term than any that
// answered. The primary itself may be silent: its term is known.
func unknownStatus(servers []Server, primary tables.UpstreamID) (tables.UpstreamID, bool) {
	for _, s := range servers {
		if !s.Answered && !s.Terminated && s.ID != primary {
			return s.ID, true
		}
	}
	return "", false
}

// highestTerm returns the highest term that a server follows or has records of.
func highestTerm(servers []Server) tables.Term {
	var term tables.Term
	for _, s := range servers {
		if s.Answered {
			term = max(term, s.Status.Term, s.Status.Received.LogTerm)
		}
	}
	return term
}

// missingLeader returns the record for a term whose leader did not answer: it is
// the only server of which nothing is known, so that it can be replaced.
func missingLeader(v View, term tables.Term) (tables.PrimaryRecord, error) {
	i := slices.IndexFunc(v.Servers, func(s Server) bool { return !s.Answered })
	if i < 0 {
		return tables.PrimaryRecord{}, fmt.Errorf("no server leads term %d yet", term)
	}
	rest := v.Servers[i+1:]
	if slices.ContainsFunc(rest, func(s Server) bool { return !s.Answered }) {
		return tables.PrimaryRecord{}, fmt.Errorf("several servers may lead term %d", term)
	}
	return tables.PrimaryRecord{Primary: v.Servers[i].ID, Term: term, Replacing: anyHeld(v.Servers, v.Servers[i].ID)}, nil
}

// anyHeld reports whether a replica is held: a replacement began and has to be
// finished or cancelled under a claim of the new era.
func anyHeld(servers []Server, primary tables.UpstreamID) bool {
	return slices.ContainsFunc(servers, func(s Server) bool {
		return s.ID != primary && s.Answered && s.Status.Held != 0
	})
}
