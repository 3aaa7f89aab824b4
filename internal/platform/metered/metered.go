// Package metered records metrics of the calls to a metadata store.
package metered

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Store wraps a metadata store and records metrics of its calls.
type Store struct {
	store   platform.Metadata
	metrics *metrics.Metrics
}

var _ platform.Metadata = Store{}

// New returns a wrapper of store that records its calls in m.
func New(store platform.Metadata, m *metrics.Metrics) Store { return Store{store: store, metrics: m} }

// ReadTable implements platform.Metadata.
func (s Store) ReadTable(ctx context.Context, table string) (platform.Rows, error) {
	start := time.Now()
	rows, err := s.store.ReadTable(ctx, table)
	s.record("read", table, start, err)
	return rows, err
}

// WatchTable implements platform.Metadata.
func (s Store) WatchTable(ctx context.Context, table string, after tables.Version, wait time.Duration) (platform.Rows, error) {
	start := time.Now()
	rows, err := s.store.WatchTable(ctx, table, after, wait)
	s.record("watch", table, start, err)
	return rows, err
}

// Apply implements platform.Metadata.
func (s Store) Apply(ctx context.Context, c platform.Change) (platform.Rows, error) {
	start := time.Now()
	rows, err := s.store.Apply(ctx, c)
	s.record("write", c.Table, start, err)
	return rows, err
}

func (s Store) record(call, table string, start time.Time, err error) {
	s.metrics.ObserveStoreCall(metrics.StoreCall{Call: call, Table: table, Result: result(err), Took: time.Since(start)})
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrHistoryLost):
		return "history lost"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	default:
		return "unknown"
	}
}
