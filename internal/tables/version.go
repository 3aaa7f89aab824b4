package tables

import (
	"cmp"
	"fmt"
	"strconv"
)

// Version identifies a state of a row in the platform's store. The store may come
// back from an older copy and then gives out the same counter values again, so
// versions are ordered by era first. The zero value means that there is no row.
type Version struct {
	// Era counts how often the store has come back from an older copy.
	Era uint64
	// Counter is the store's counter at the last write of the row.
	Counter uint64
}

// IsZero reports whether v stands for a row that does not exist.
func (v Version) IsZero() bool { return v == Version{} }

// Compare returns -1, 0 or 1 if v is older than, the same as or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Counter, other.Counter))
}

// eraTokenBits is the number of low bits of a fencing token that hold the counter:
// enough for 30 years at a thousand writes a second.
const eraTokenBits = 40

// FencingToken returns a number that grows with v, over eras too. In era 0 it is
// the counter.
func (v Version) FencingToken() uint64 { return v.Era<<eraTokenBits | v.Counter }

// String returns the counter, with the era before it unless that is 0.
func (v Version) String() string {
	if v.Era == 0 {
		return strconv.FormatUint(v.Counter, 10)
	}
	return fmt.Sprintf("%d:%d", v.Era, v.Counter)
}

// MarshalText implements encoding.TextMarshaler, for logs.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }
