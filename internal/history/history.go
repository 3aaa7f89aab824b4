// Package history records the operations of callers and their results, and
// checks them against the proxy's promises. All times are from the clock of one
// process. The operations use two kinds of data. A register has a single writer,
// which increments the version with each write and stops at the first write with
// an unknown outcome. An item is inserted once under a unique id into a table
// without a key, so that a duplicate insert shows as a count of two.
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

// Kind is the kind of an operation.
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

// Outcome is the result that the caller received.
type Outcome string

const (
	// Acknowledged means success.
	Acknowledged Outcome = "acknowledged"
	// NotRun means that the proxy guaranteed that the operation had no effect.
	NotRun Outcome = "not run"
	// Unknown covers all other results.
	Unknown Outcome = "unknown"
)

// Op is one operation of one caller.
type Op struct {
	// Kind is the kind of the operation.
	Kind Kind `json:"kind"`
	// Session is the session whose writes it must see.
	Session string `json:"session,omitempty"`
	// Database is the database that it used.
	Database string `json:"database,omitempty"`
	// Key is the register's key or the item's id.
	Key string `json:"key"`
	// Version is the version that a KindPut wrote, from 1.
	Version uint64 `json:"version,omitempty"`
	// Outcome is its result for the caller.
	Outcome Outcome `json:"outcome"`
	// Code is the result code that the proxy returned, if any.
	Code int `json:"code,omitempty"`
	// DuplicateKey means that the database rejected a new register because its key
	// already existed.
	DuplicateKey bool `json:"duplicateKey,omitempty"`
	// Start is when the request was sent.
	Start time.Duration `json:"start"`
	// End is when the result arrived, or the caller stopped waiting for it.
	End time.Duration `json:"end"`
	// MaxAge is the declared maximum age of a read; 0 if it declared none.
	MaxAge time.Duration `json:"maxAge,omitempty"`
	// Saw is the value that a read returned; empty for no row.
	Saw string `json:"saw,omitempty"`
	// Count is the number that a count returned.
	Count int `json:"count,omitempty"`
	// ServedBy is the role of the server, as the proxy reported it.
	ServedBy string `json:"servedBy,omitempty"`
}

// IsWrite reports whether the operation changes data.
func (o *Op) IsWrite() bool { return o.Kind == KindPut || o.Kind == KindInsert }

// Value returns the text that is stored for a version of a register.
func Value(key string, version uint64) string {
	return key + "#" + strconv.FormatUint(version, 10)
}

// parseValue splits a text made by Value.
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
