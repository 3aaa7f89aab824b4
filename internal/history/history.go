// Package history records what callers did and saw, and checks the records
// against the promises. All times are of one process. Two kinds of data are
// used: registers, whose one writer counts versions up and stops at the first
// write with an unknown outcome, and items, each inserted under an id of its
// own into a table without a key, so that a doubled insert shows as a count
// of two.
package history

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is what an operation did.
type Kind string

const (
	// KindPut writes a version of a register.
	KindPut Kind = "put"
	// KindInsert inserts an item.
	KindInsert Kind = "insert"
	// KindRead reads a register.
	KindRead Kind = "read"
	// KindCount counts an item.
	KindCount Kind = "count"
	// KindFinalRead reads a register from the primary after all writes ended.
	KindFinalRead Kind = "final-read"
	// KindFinalCount counts an item on the primary after all writes ended.
	KindFinalCount Kind = "final-count"
)

// Outcome is what the caller was told.
type Outcome string

const (
	// Acknowledged means success.
	Acknowledged Outcome = "acknowledged"
	// NotRun means that the proxy vouched that nothing happened.
	NotRun Outcome = "not run"
	// Unknown covers every other end.
	Unknown Outcome = "unknown"
)

// Op is one operation of one caller.
type Op struct {
	// Kind is what it did.
	Kind Kind `json:"kind"`
	// Session is whose writes it must see.
	Session string `json:"session,omitempty"`
	// Database is where it ran.
	Database string `json:"database,omitempty"`
	// Key is the register or item.
	Key string `json:"key"`
	// Version is what a KindPut wrote, from 1.
	Version uint64 `json:"version,omitempty"`
	// Outcome is how it ended.
	Outcome Outcome `json:"outcome"`
	// Code is the numbered result of the proxy, if any.
	Code int `json:"code,omitempty"`
	// DuplicateKey says that the database found the new register's key taken.
	DuplicateKey bool `json:"duplicateKey,omitempty"`
	// Start is when it was sent.
	Start time.Duration `json:"start"`
	// End is when its end was known.
	End time.Duration `json:"end"`
	// MaxAge is the declared age of a read; 0 for a read that declared none.
	MaxAge time.Duration `json:"maxAge,omitempty"`
	// Saw is the value that a read returned; empty for no row.
	Saw string `json:"saw,omitempty"`
	// Count is what a count returned.
	Count int `json:"count,omitempty"`
	// ServedBy is the role of the server, as the proxy reported it.
	ServedBy string `json:"servedBy,omitempty"`
}

// IsWrite reports whether the operation changes data.
func (o *Op) IsWrite() bool { return o.Kind == KindPut || o.Kind == KindInsert }

// Value returns the text stored for a version of a register.
func Value(key string, version uint64) string {
	return key + "#" + strconv.FormatUint(version, 10)
}

// parseValue splits a text written by Value.
func parseValue(value string) (key string, version uint64, ok bool) {
	key, text, found := strings.Cut(value, "#")
	version, err := strconv.ParseUint(text, 10, 64)
	return key, version, found && err == nil
}

// Write writes ops as JSON lines.
func Write(w io.Writer, ops []Op) error {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	for i := range ops {
		if err := enc.Encode(&ops[i]); err != nil {
			return errors.Wrap(err, "write history")
		}
	}
	return errors.Wrap(buf.Flush(), "write history")
}

// Read reads JSON lines written by Write.
func Read(r io.Reader) ([]Op, error) {
	var ops []Op
	dec := json.NewDecoder(r)
	for {
		var op Op
		err := dec.Decode(&op)
		if errors.Is(err, io.EOF) {
			return ops, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read history, record %d", len(ops)+1)
		}
		ops = append(ops, op)
	}
}
