// Package replog is the replication state of one emulated database server: a
// log of records by term, the fenced term and the role. It does no I/O and is
// not safe for concurrent use; the emulator and the tests drive it.
package replog

import (
	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// ErrNotPrimary means that the server does not lead at the write's term.
var ErrNotPrimary = errors.New("replog: not primary at this term")

// Record is one entry of the log.
type Record struct {
	// Term is the term under which it was written.
	Term tables.Term `json:"t"`
	// Body is the record's content; empty for the record that opens a term.
	Body string `json:"b"`
}

// State is the replication state. Index i of the log (from 1) is records[i-1].
type State struct {
	records   []Record
	fenced    tables.Term
	primary   bool
	following tables.UpstreamID
	followAt  tables.Term
}

// New returns a server fenced at term 1 whose log holds the record opening term 1.
func New(primary bool) *State {
	return &State{records: []Record{{Term: 1}}, fenced: 1, primary: primary}
}

// Status returns the server's account of itself.
func (s *State) Status() tables.Status {
	st := tables.Status{Fenced: s.fenced, Last: s.Last(), Following: s.following}
	if s.primary {
		st.Role = tables.RolePrimary
	}
	return st
}

// Last returns the position of the last record.
func (s *State) Last() tables.Position {
	n := len(s.records)
	if n == 0 {
		return tables.Position{}
	}
	return tables.Position{LogTerm: s.records[n-1].Term, Index: uint64(n)}
}

// Fence promises term. A primary of a lower term steps down.
func (s *State) Fence(term tables.Term) (tables.Status, error) {
	if term < s.fenced {
		return s.Status(), group.ErrFenced
	}
	if term > s.fenced {
		s.fenced = term
		s.primary = false
		s.following = ""
		s.followAt = 0
	}
	return s.Status(), nil
}

// Promote makes a server that is fenced at exactly term, and follows nobody at
// it, the primary. Promoting it again at the same term changes nothing.
func (s *State) Promote(term tables.Term) (tables.Status, error) {
	if term != s.fenced {
		return s.Status(), group.ErrFenced
	}
	if s.primary {
		return s.Status(), nil
	}
	if s.following != "" {
		return s.Status(), group.ErrFenced
	}
	s.primary = true
	s.records = append(s.records, Record{Term: term})
	return s.Status(), nil
}

// Follow makes the server a replica of primary at term. A server that leads at
// this very term refuses.
func (s *State) Follow(primary tables.UpstreamID, term tables.Term) (tables.Status, error) {
	if term < s.fenced || term == s.fenced && s.primary {
		return s.Status(), group.ErrFenced
	}
	s.fenced = term
	s.primary = false
	s.following = primary
	s.followAt = term
	return s.Status(), nil
}

// FollowedTerm returns the term at which the server follows its primary; 0 for none.
func (s *State) FollowedTerm() tables.Term { return s.followAt }

// Append writes a record as primary at term and returns its position.
func (s *State) Append(term tables.Term, body string) (tables.Position, error) {
	if !s.primary || s.fenced != term {
		return tables.Position{}, ErrNotPrimary
	}
	s.records = append(s.records, Record{Term: term, Body: body})
	return s.Last(), nil
}

// Entries returns up to max records after index, and the term of the record at
// index so that a replica can detect divergence. It fails unless the server
// leads at term.
func (s *State) Entries(term tables.Term, index uint64, max int) (previous tables.Term, records []Record, err error) {
	if !s.primary || s.fenced != term {
		return 0, nil, ErrNotPrimary
	}
	if index > uint64(len(s.records)) {
		return 0, nil, nil
	}
	if index > 0 {
		previous = s.records[index-1].Term
	}
	end := min(len(s.records), int(index)+max)
	return previous, append([]Record(nil), s.records[index:end]...), nil
}

// Apply takes records that a primary at term returned for index. If previous
// differs from the record held at index, that record and all after it are cut
// and cut is true; the replica then asks again from the new end. Records that
// are held already are kept; at the first that differs the tail is cut.
func (s *State) Apply(term tables.Term, index uint64, previous tables.Term, records []Record) (cut bool, err error) {
	if s.followAt != term || s.fenced != term || s.primary {
		return false, group.ErrFenced
	}
	if index > uint64(len(s.records)) {
		return false, nil
	}
	if index > 0 && s.records[index-1].Term != previous {
		s.records = s.records[:index-1]
		return true, nil
	}
	for i, r := range records {
		at := int(index) + i
		if at < len(s.records) && s.records[at].Term != r.Term {
			s.records = s.records[:at]
			cut = true
		}
		if at >= len(s.records) {
			s.records = append(s.records, r)
		}
	}
	return cut, nil
}

// Len returns the number of records.
func (s *State) Len() int { return len(s.records) }

// At returns the record at index, from 1.
func (s *State) At(index uint64) Record { return s.records[index-1] }
