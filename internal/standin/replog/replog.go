// Package replog is the replication state of one emulated database server: a
// log of records by term, the fenced term and the role. It does no I/O and is
// not safe for concurrent use; the emulator and tests call it.
package replog

import (
	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// ErrNotPrimary means that the server is not the primary at the requested term.
var ErrNotPrimary = errors.New("replog: not primary at this term")

// Record is one entry of the log.
type Record struct {
	// Term is the term in which it was written.
	Term tables.Term `json:"t"`
	// Body is the content; empty for the record that begins a term.
	Body string `json:"b"`
}

// State is the replication state of one server. Log indexes start at 1: the
// record at index i is records[i-1].
type State struct {
	records    []Record
	fenced     tables.Term
	primary    bool
	following  tables.UpstreamID
	followTerm tables.Term
}

// New returns the state of a server that is fenced at term 1 and whose log holds
// the record that begins term 1.
func New(primary bool) *State {
	return &State{records: []Record{{Term: 1}}, fenced: 1, primary: primary}
}

// Status returns the server's replication status.
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

// Fence raises the fenced term to term, after which the server refuses lower
// terms. A primary of a lower term steps down.
func (s *State) Fence(term tables.Term) (tables.Status, error) {
	if term < s.fenced {
		return s.Status(), group.ErrFenced
	}
	if term > s.fenced {
		s.fenced = term
		s.primary = false
		s.following = ""
		s.followTerm = 0
	}
	return s.Status(), nil
}

// Promote makes the server the primary of term. The server must be fenced at
// exactly term and must not follow another server. Promoting it again at the
// same term changes nothing.
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

// Follow makes the server a replica of primary at term. It fails if the server
// is itself the primary of term.
func (s *State) Follow(primary tables.UpstreamID, term tables.Term) (tables.Status, error) {
	if term < s.fenced || term == s.fenced && s.primary {
		return s.Status(), group.ErrFenced
	}
	s.fenced = term
	s.primary = false
	s.following = primary
	s.followTerm = term
	return s.Status(), nil
}

// FollowedTerm returns the term at which the server follows its primary; 0 for none.
func (s *State) FollowedTerm() tables.Term { return s.followTerm }

// Append writes a record as the primary of term and returns its position.
func (s *State) Append(term tables.Term, body string) (tables.Position, error) {
	if !s.primary || s.fenced != term {
		return tables.Position{}, ErrNotPrimary
	}
	s.records = append(s.records, Record{Term: term, Body: body})
	return s.Last(), nil
}

// Entries returns up to max records after index, and the term of the record at
// index so that a replica can detect divergence. It fails unless the server is
// the primary of term.
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

// Apply appends records that the primary of term returned for index. If the
// term of the local record at index differs from previous, Apply removes that
// record and all after it and returns true; the replica then requests records
// from the new end of its log. Records that the log already holds are kept; the
// log is truncated at the first record that differs.
func (s *State) Apply(term tables.Term, index uint64, previous tables.Term, records []Record) (truncated bool, err error) {
	if s.followTerm != term || s.fenced != term || s.primary {
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
			truncated = true
		}
		if at >= len(s.records) {
			s.records = append(s.records, r)
		}
	}
	return truncated, nil
}

// Len returns the number of records.
func (s *State) Len() int { return len(s.records) }

// At returns the record at index, from 1.
func (s *State) At(index uint64) Record { return s.records[index-1] }
