package metered

import (
	"context"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

// failing is a metadata store that returns err from every call.
type failing struct{ err error }

func (f failing) ReadTable(context.Context, string) (platform.Rows, error) {
	return platform.Rows{}, f.err
}

func (f failing) WatchTable(context.Context, string, tables.Version, time.Duration) (platform.Rows, error) {
	return platform.Rows{}, f.err
}

func (f failing) Apply(context.Context, platform.Change) (platform.Rows, error) {
	return platform.Rows{}, f.err
}

func TestCallsAreCountedByResult(t *testing.T) {
	for _, err := range []error{nil, platform.ErrConflict, platform.ErrHistoryLost, platform.ErrUnavailable, platform.ErrUnknown} {
		registry := prometheus.NewRegistry()
		s := New(failing{err}, metrics.New(registry))
		_, got := s.ReadTable(t.Context(), "t")
		assert.Equal(t, got, err)
		_, got = s.WatchTable(t.Context(), "t", tables.Version{Counter: 1}, time.Second)
		assert.Equal(t, got, err)
		_, got = s.Apply(t.Context(), platform.Change{Table: "t"})
		assert.Equal(t, got, err)
		n, gathered := testutil.GatherAndCount(registry, metrics.StoreCallsTotal)
		assert.NilError(t, gathered)
		assert.Equal(t, n, 3, "one series per call")
	}
}
