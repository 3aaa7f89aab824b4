// Package platform is what the proxy asks of the platform: a transactional
// table service, an object store and a list of VMs. Package platformtest holds
// the contract that every implementation passes.
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
	// ErrUnavailable means that the request surely had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that the request may have taken effect; repeat it with the same id.
	ErrUnknown = errors.New("platform: outcome unknown")
)

// Row is one row of a table.
type Row struct {
	// Key is a slash-separated path such as "group/stock-1".
	Key string
	// Value is the row's content, JSON in this project.
	Value []byte
	// Version starts at 1 and grows with every write of the row.
	Version uint64
}

// Condition must hold for a transaction to be applied.
type Condition struct {
	// Key names the row.
	Key string
	// Version is the version the row must have; 0 means that it must not exist.
	Version uint64
}

// Write sets one row.
type Write struct {
	// Key names the row.
	Key string
	// Value is the new content.
	Value []byte
}

// Txn is a conditional write of several rows, applied whole or not at all.
type Txn struct {
	// ID makes the transaction idempotent: a second Commit of the same ID
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
	// Put stores body under key; storing the same key again is no error.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}

// ListedVM is one entry of the platform's VM list, which lags behind reality.
type ListedVM struct {
	// ID names the VM.
	ID string `json:"id"`
	// DataCentre is where it runs.
	DataCentre string `json:"dataCentre"`
	// PeerAddress is the IP:port for frames between proxies; empty for upstream VMs.
	PeerAddress string `json:"peerAddress,omitempty"`
	// Leaving says that the platform will remove the VM soon.
	Leaving bool `json:"leaving"`
}

// VMs is the platform's list of live and leaving VMs.
type VMs interface {
	// ListVMs returns the list as the platform has it now.
	ListVMs(ctx context.Context) ([]ListedVM, error)
}
