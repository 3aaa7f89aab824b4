package engine

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrDuplicateKey means that an insert names a key that exists.
var ErrDuplicateKey = errors.New("duplicate key value violates unique constraint")

// OpKind says what an Op does.
type OpKind string

// The kinds of operations that a record carries.
const (
	OpInsert OpKind = "i"
	OpBag    OpKind = "b"
	OpUpdate OpKind = "u"
	OpDelete OpKind = "d"
)

// Op is one change of one row.
type Op struct {
	// Kind says what it does.
	Kind OpKind `json:"o"`
	// Table is the table's name.
	Table string `json:"t"`
	// Key is empty for OpBag.
	Key string `json:"k,omitempty"`
	// Value is empty for OpDelete.
	Value string `json:"v,omitempty"`
}

// EncodeOps returns the body of a record.
func EncodeOps(ops []Op) (string, error) {
	b, err := json.Marshal(ops)
	return string(b), errors.Wrap(err, "encode operations")
}

type rowKey struct{ table, key string }

// State is the tables' content. It is not safe for concurrent use.
type State struct {
	rows map[rowKey]string
	bags map[rowKey]int
}

// NewState returns empty tables.
func NewState() *State {
	return &State{rows: make(map[rowKey]string), bags: make(map[rowKey]int)}
}

// Apply runs a record's body; an empty body changes nothing.
func (s *State) Apply(body string) error {
	if body == "" {
		return nil
	}
	var ops []Op
	if err := json.Unmarshal([]byte(body), &ops); err != nil {
		return errors.Wrap(err, "decode operations")
	}
	for _, op := range ops {
		s.ApplyOp(op)
	}
	return nil
}

// ApplyOp runs one operation.
func (s *State) ApplyOp(op Op) {
	k := rowKey{op.Table, op.Key}
	switch op.Kind {
	case OpInsert:
		s.rows[k] = op.Value
	case OpUpdate:
		if _, ok := s.rows[k]; ok {
			s.rows[k] = op.Value
		}
	case OpDelete:
		delete(s.rows, k)
	case OpBag:
		s.bags[rowKey{op.Table, op.Value}]++
	}
}

// Get returns the value under key as seen after pending, the caller's own
// uncommitted operations.
func (s *State) Get(table, key string, pending []Op) (string, bool) {
	v, ok := s.rows[rowKey{table, key}]
	for _, op := range pending {
		if op.Table != table || op.Key != key || op.Kind == OpBag {
			continue
		}
		switch op.Kind {
		case OpInsert:
			v, ok = op.Value, true
		case OpUpdate:
			if ok {
				v = op.Value
			}
		case OpDelete:
			v, ok = "", false
		}
	}
	return v, ok
}

// Count returns how many rows hold value, keyless rows included.
func (s *State) Count(table, value string, pending []Op) int {
	n := s.bags[rowKey{table, value}]
	for _, op := range pending {
		if op.Kind == OpBag && op.Table == table && op.Value == value {
			n++
		}
	}
	return n
}

// Check reports ErrDuplicateKey if ops insert a key that exists.
func (s *State) Check(ops []Op) error {
	for i, op := range ops {
		if op.Kind != OpInsert {
			continue
		}
		if _, ok := s.Get(op.Table, op.Key, ops[:i]); ok {
			return ErrDuplicateKey
		}
	}
	return nil
}
