// Package platform defines the interfaces of the platform that the software runs
// on: a transactional table service, an object store, a list of VMs and a metadata
// store. Package platformtest contains the tests that implementations must pass.
package platform

import (
	"context"

	"github.com/pkg/errors"
)

// Errors that every implementation returns, possibly wrapped.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("platform: conflict")
	// ErrUnavailable means that the request certainly had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that the request may have taken effect; it can be repeated
	// with the same id.
	ErrUnknown = errors.New("platform: outcome unknown")
)

// Row is one row of a table.
type Row struct {
	// Key is a slash-separated path such as "group/stock-1".
	Key string
	// Value is the row's content, which is JSON in this project.
	Value []byte
	// Version starts at 1 and grows with every write of the row.
	Version uint64
}

// Condition is a precondition of a transaction.
type Condition struct {
	// Key names the row.
	Key string
	// Version is the version that the row must have; 0 means that it must not exist.
	Version uint64
}

// Write sets one row.
type Write struct {
	// Key names the row.
	Key string
	// Value is the new content.
	Value []byte
}

// Txn is an atomic conditional write of one or more rows.
type Txn struct {
	// ID makes the transaction idempotent: a second Commit with the same ID
	// returns the first outcome and applies nothing.
	ID string
	// Conditions must all hold.
	Conditions []Condition
	// Writes are applied together.
	Writes []Write
}

// Tables is the transactional table service.
type Tables interface {
	// Get returns the row under key, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies t. It returns ErrConflict, ErrUnavailable or ErrUnknown.
	Commit(ctx context.Context, t Txn) error
}

// Objects is the object store. Objects are immutable and named by content hash.
type Objects interface {
	// Put stores body under key. Storing a key again is no error.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}

// ListedVM is one entry of the platform's VM list, which may be out of date.
type ListedVM struct {
	// ID names the VM.
	ID string `json:"id"`
	// DataCentre is the data centre of the VM.
	DataCentre string `json:"dataCentre"`
	// PeerAddress is the IP:port for frames between proxies; empty for upstream VMs.
	PeerAddress string `json:"peerAddress,omitempty"`
	// Leaving means that the platform will remove the VM soon.
	Leaving bool `json:"leaving"`
}

// VMs is the platform's list of live and leaving VMs.
type VMs interface {
	// ListVMs returns the current list.
	ListVMs(ctx context.Context) ([]ListedVM, error)
}
