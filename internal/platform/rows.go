package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryLost means that the changes since the version asked for are no
// longer known; the table has to be read again.
var ErrHistoryLost = errors.New("platform: history lost")

// TableRow is one row of a table of the platform's metadata store.
type TableRow struct {
	// Key names the row in its table.
	Key string
	// Value is the row's content; nil when Dropped.
	Value []byte
	// Version is the store's counter when the row was written last.
	Version uint64
	// Dropped says that the row is gone.
	Dropped bool
}

// Rows is an answer of the metadata store about one table.
type Rows struct {
	// Rows are in ascending order of key, or in order of change.
	Rows []TableRow
	// Version is the store's counter at the moment of the answer.
	Version uint64
	// Clock is the store's steady clock at the moment of the answer.
	Clock time.Duration
	// Age is how long before the call's beginning that moment may lie; 0 for an
	// answer of the store itself.
	Age time.Duration
}

// Expectation is the version that a row must have; 0 means that it must not exist.
type Expectation struct {
	Key     string
	Version uint64
}

// Change is a conditional write of rows of one table, applied whole or not at all.
type Change struct {
	// Table names the table.
	Table string
	// Expect must all hold.
	Expect []Expectation
	// Writes set rows.
	Writes []Write
	// Remove names rows to drop.
	Remove []string
}

// Metadata is the platform's metadata store: tables of rows with one counter
// for all versions. Errors are ErrConflict, ErrUnavailable, ErrUnknown and
// ErrHistoryLost, possibly wrapped.
type Metadata interface {
	// ReadTable returns all rows of a table as of a single moment during the call.
	ReadTable(ctx context.Context, table string) (Rows, error)
	// WatchTable returns the rows that changed after a version, as soon as there
	// is one, or none after wait.
	WatchTable(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
	// Apply writes c and returns the store's counter and clock. A call that
	// returns ErrUnknown may still take effect seconds later.
	Apply(ctx context.Context, c Change) (Rows, error)
}
