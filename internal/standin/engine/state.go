package engine

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrDuplicateKey means that an insert uses a key that already exists.
var ErrDuplicateKey = errors.New("duplicate key value violates unique constraint")

// OpKind is the kind of change that an Op makes.
type OpKind string

// The kinds of operations that a record carries.
const (
	OpInsert        OpKind = "i"
	OpInsertKeyless OpKind = "b"
	OpUpdate        OpKind = "u"
	OpDelete        OpKind = "d"
)

// Op is one change of one row.
type Op struct {
	// Kind is the kind of change.
	Kind OpKind `json:"o"`
	// Table is the table's name.
	Table string `json:"t"`
	// Key is the row's key; empty for OpInsertKeyless.
	Key string `json:"k,omitempty"`
	// Value is the row's value; empty for OpDelete.
	Value string `json:"v,omitempty"`
}

// EncodeOps encodes ops as the body of a log record.
func EncodeOps(ops []Op) (string, error) {
	b, err := json.Marshal(ops)
	return string(b), errors.Wrap(err, "encode operations")
}

type rowKey struct{ table, key string }

// State is the content of all tables. It is not safe for concurrent use.
type State struct {
	rows map[rowKey]string
	// keyless counts rows without a key, by table and value.
	keyless map[rowKey]int
}

// NewState returns a State without rows.
func NewState() *State {
	return &State{rows: make(map[rowKey]string), keyless: make(map[rowKey]int)}
}

// Apply applies the body of a log record; an empty body changes nothing.
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

// ApplyOp applies one operation.
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
	case OpInsertKeyless:
		s.keyless[rowKey{op.Table, op.Value}]++
	}
}

// Get returns the value of key. It includes the effect of pending, the
// uncommitted operations of the reading transaction.
func (s *State) Get(table, key string, pending []Op) (string, bool) {
	v, ok := s.rows[rowKey{table, key}]
	for _, op := range pending {
		if op.Table != table || op.Key != key || op.Kind == OpInsertKeyless {
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

// Count returns how many keyless rows hold value, those inserted by pending
// included.
func (s *State) Count(table, value string, pending []Op) int {
	n := s.keyless[rowKey{table, value}]
	for _, op := range pending {
		if op.Kind == OpInsertKeyless && op.Table == table && op.Value == value {
			n++
		}
	}
	return n
}

// Check returns ErrDuplicateKey if ops insert a key that already exists.
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
