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
	// Proven means that the proxy's lease evidence shows that Known.Primary leads now.
	Proven bool
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
	if found && v.Proven && leader.ID == v.Known.Primary {
		record.Replacing = anyHeld(v.Servers, record.Primary)
		return record, nil
	}
	if err := checkAnswers(v.Servers, record.Primary); err != nil {
		return tables.PrimaryRecord{}, err
	}
	term := highestTerm(v.Servers)
	if term > record.Term || record.Primary == "" && record.Term > 0 {
		return missingLeader(v, max(term, record.Term)), nil
	}
	if record.Primary == "" {
		return tables.PrimaryRecord{}, fmt.Errorf("no server leads")
	}
	record.Replacing = anyHeld(v.Servers, record.Primary)
	return record, nil
}

// NewestReceived returns the newest position that any server of a group has received.
// ok is false unless every server has answered.
func NewestReceived(servers []Server) (newest tables.Position, ok bool) {
	for _, s := range servers {
		if !s.Answered {
			return tables.Position{}, false
		}
		if s.Status.Received.Compare(newest) > 0 {
			newest = s.Status.Received
		}
	}
	return newest, len(servers) > 0
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

// checkAnswers returns an error if servers without an answer may have acknowledged
// commits in a higher term than any server that answered. A living one other than the
// known primary may lead such a term. One server alone acknowledges nothing, so one
// that has ended, or the primary, may be without an answer; two may have acknowledged
// commits together.
func checkAnswers(servers []Server, primary tables.UpstreamID) error {
	var silent []tables.UpstreamID
	for _, s := range servers {
		if s.Answered {
			continue
		}
		if !s.Terminated && s.ID != primary {
			return fmt.Errorf("%s does not answer", s.ID)
		}
		silent = append(silent, s.ID)
	}
	if len(silent) > 1 {
		return fmt.Errorf("%v do not answer and may have acknowledged commits together", silent)
	}
	return nil
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

// missingLeader returns the record for a term whose leader did not answer. The only
// server without an answer led it, and can be replaced. If all answered, its leader was
// demoted by a replacement that was not finished, and the record says that one is under
// way: it holds every server.
func missingLeader(v View, term tables.Term) tables.PrimaryRecord {
	i := slices.IndexFunc(v.Servers, func(s Server) bool { return !s.Answered })
	if i < 0 {
		return tables.PrimaryRecord{Term: term, Replacing: true}
	}
	return tables.PrimaryRecord{Primary: v.Servers[i].ID, Term: term, Replacing: anyHeld(v.Servers, v.Servers[i].ID)}
}

// anyHeld reports whether a replica is held: a replacement began and has to be
// finished or cancelled under a claim of the new era.
func anyHeld(servers []Server, primary tables.UpstreamID) bool {
	return slices.ContainsFunc(servers, func(s Server) bool {
		return s.ID != primary && s.Answered && s.Status.Held != 0
	})
}
