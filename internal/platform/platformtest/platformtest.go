// Package platformtest contains the conformance tests for implementations of
// package platform.
package platformtest

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Client is the implementation under test, connected to an empty platform.
type Client struct {
	// Tables is tested unless nil.
	Tables platform.Tables
	// Objects is tested unless nil.
	Objects platform.Objects
	// VMs is tested unless nil.
	VMs platform.VMs
	// SetVMs replaces the platform's VM list; needed with VMs.
	SetVMs func([]platform.ListedVM)
}

// Run runs the conformance tests. It calls newClient for each test.
func Run(t *testing.T, newClient func(t *testing.T) Client) {
	t.Helper()
	first := newClient(t)
	if first.Tables != nil {
		runTables(t, func(t *testing.T) platform.Tables { return newClient(t).Tables })
	}
	if first.Objects != nil {
		t.Run("objects are immutable", func(t *testing.T) { testObjects(t, newClient(t).Objects) })
	}
	if first.VMs != nil {
		t.Run("VM list", func(t *testing.T) { testVMs(t, newClient(t)) })
	}
}

func runTables(t *testing.T, newTables func(t *testing.T) platform.Tables) {
	cases := []struct {
		name string
		test func(*testing.T, platform.Tables)
	}{
		{"row not found", testNotFound},
		{"commit and get", testCommitGet},
		{"conflict writes nothing", testConflict},
		{"transaction over several rows is atomic", testAtomicTransaction},
		{"condition on a row that is not written", testUnrelatedCondition},
		{"idempotent transaction", testIdempotent},
		{"repeated transaction returns its conflict", testIdempotentConflict},
		{"list in key order", testList},
		{"one of several concurrent writers succeeds", testConcurrentWriters},
		{"cancelled context", testCancelledContext},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.test(t, newTables(t)) })
	}
}

// put returns a transaction that writes value if the row has the given version.
func put(id, key, value string, version uint64) platform.Txn {
	return platform.Txn{
		ID:         id,
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

func checkRow(t *testing.T, tables platform.Tables, key, value string, version uint64) {
	t.Helper()
	row, err := tables.Get(t.Context(), key)
	assert.NilError(t, err)
	assert.DeepEqual(t, row, platform.Row{Key: key, Value: []byte(value), Version: version})
}

func checkMissing(t *testing.T, tables platform.Tables, key string) {
	t.Helper()
	_, err := tables.Get(t.Context(), key)
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

func testNotFound(t *testing.T, tables platform.Tables) {
	checkMissing(t, tables, "group/none")
	rows, err := tables.List(t.Context(), "group/")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

func testCommitGet(t *testing.T, tables platform.Tables) {
	key := "group/stock 1%/ü"
	assert.NilError(t, tables.Commit(t.Context(), put("a", key, "one", 0)))
	checkRow(t, tables, key, "one", 1)
	assert.NilError(t, tables.Commit(t.Context(), put("b", key, "two", 1)))
	checkRow(t, tables, key, "two", 2)
	write := platform.Txn{ID: "c", Writes: []platform.Write{{Key: key, Value: []byte("three")}}}
	assert.NilError(t, tables.Commit(t.Context(), write))
	checkRow(t, tables, key, "three", 3)
}

func testConflict(t *testing.T, tables platform.Tables) {
	assert.ErrorIs(t, tables.Commit(t.Context(), put("a", "k", "early", 1)), platform.ErrConflict)
	checkMissing(t, tables, "k")
	assert.NilError(t, tables.Commit(t.Context(), put("b", "k", "one", 0)))
	assert.ErrorIs(t, tables.Commit(t.Context(), put("c", "k", "again", 0)), platform.ErrConflict)
	assert.ErrorIs(t, tables.Commit(t.Context(), put("d", "k", "ahead", 2)), platform.ErrConflict)
	checkRow(t, tables, "k", "one", 1)
}

func testAtomicTransaction(t *testing.T, tables platform.Tables) {
	both := platform.Txn{
		ID:         "a",
		Conditions: []platform.Condition{{Key: "x"}, {Key: "y"}},
		Writes:     []platform.Write{{Key: "x", Value: []byte("1")}, {Key: "y", Value: []byte("2")}},
	}
	assert.NilError(t, tables.Commit(t.Context(), both))
	checkRow(t, tables, "x", "1", 1)
	checkRow(t, tables, "y", "2", 1)
	both.ID = "b"
	both.Conditions = []platform.Condition{{Key: "x", Version: 1}, {Key: "y", Version: 7}}
	both.Writes = []platform.Write{{Key: "x", Value: []byte("3")}, {Key: "z", Value: []byte("4")}}
	assert.ErrorIs(t, tables.Commit(t.Context(), both), platform.ErrConflict)
	checkRow(t, tables, "x", "1", 1)
	checkMissing(t, tables, "z")
}

func testUnrelatedCondition(t *testing.T, tables platform.Tables) {
	guarded := platform.Txn{
		ID:         "a",
		Conditions: []platform.Condition{{Key: "guard", Version: 0}},
		Writes:     []platform.Write{{Key: "k", Value: []byte("1")}},
	}
	assert.NilError(t, tables.Commit(t.Context(), guarded))
	checkRow(t, tables, "k", "1", 1)
	assert.NilError(t, tables.Commit(t.Context(), put("b", "guard", "up", 0)))
	guarded.ID = "c"
	assert.ErrorIs(t, tables.Commit(t.Context(), guarded), platform.ErrConflict)
	checkRow(t, tables, "k", "1", 1)
}

func testIdempotent(t *testing.T, tables platform.Tables) {
	first := put("a", "k", "one", 0)
	assert.NilError(t, tables.Commit(t.Context(), first))
	assert.NilError(t, tables.Commit(t.Context(), first))
	checkRow(t, tables, "k", "one", 1)
	assert.NilError(t, tables.Commit(t.Context(), put("b", "k", "two", 1)))
	assert.NilError(t, tables.Commit(t.Context(), first))
	checkRow(t, tables, "k", "two", 2)
}

func testIdempotentConflict(t *testing.T, tables platform.Tables) {
	early := put("a", "k", "early", 1)
	assert.ErrorIs(t, tables.Commit(t.Context(), early), platform.ErrConflict)
	assert.NilError(t, tables.Commit(t.Context(), put("b", "k", "one", 0)))
	assert.ErrorIs(t, tables.Commit(t.Context(), early), platform.ErrConflict)
	checkRow(t, tables, "k", "one", 1)
}

func testList(t *testing.T, tables platform.Tables) {
	for i, key := range []string{"group/c", "group/a", "other/x", "group/b/1", "groups"} {
		assert.NilError(t, tables.Commit(t.Context(), put(fmt.Sprint(i), key, key, 0)))
	}
	rows, err := tables.List(t.Context(), "group/")
	assert.NilError(t, err)
	var keys []string
	for _, row := range rows {
		assert.Equal(t, string(row.Value), row.Key)
		assert.Equal(t, row.Version, uint64(1))
		keys = append(keys, row.Key)
	}
	assert.DeepEqual(t, keys, []string{"group/a", "group/b/1", "group/c"})
}

func testConcurrentWriters(t *testing.T, tables platform.Tables) {
	const writers = 8
	results := make([]error, writers)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			results[i] = tables.Commit(t.Context(), put(fmt.Sprint(i), "k", fmt.Sprint(i), 0))
		})
	}
	wg.Wait()
	succeeded := 0
	for i, err := range results {
		if err == nil {
			succeeded++
			checkRow(t, tables, "k", fmt.Sprint(i), 1)
			continue
		}
		assert.ErrorIs(t, err, platform.ErrConflict)
	}
	assert.Equal(t, succeeded, 1)
}

func testCancelledContext(t *testing.T, tables platform.Tables) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := tables.Get(ctx, "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	err = tables.Commit(ctx, put("a", "k", "one", 0))
	assert.Assert(t, errors.Is(err, platform.ErrUnavailable), "%v", err)
	checkMissing(t, tables, "k")
}

func testObjects(t *testing.T, objects platform.Objects) {
	_, err := objects.Get(t.Context(), "config/abc")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	body := make([]byte, 200_000)
	for i := range body {
		body[i] = byte(i * i >> 3)
	}
	assert.NilError(t, objects.Put(t.Context(), "config/abc", body))
	assert.NilError(t, objects.Put(t.Context(), "config/abc", body))
	assert.NilError(t, objects.Put(t.Context(), "config/abc", []byte("other")))
	got, err := objects.Get(t.Context(), "config/abc")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, body)
	assert.NilError(t, objects.Put(t.Context(), "config/empty", nil))
	got, err = objects.Get(t.Context(), "config/empty")
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
}

func testVMs(t *testing.T, c Client) {
	vms, err := c.VMs.ListVMs(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 0)
	want := []platform.ListedVM{
		{ID: "vm-1", DataCentre: "ub-east", PeerAddress: "127.0.0.1:7001"},
		{ID: "vm-2", DataCentre: "ub-west", PeerAddress: "127.0.0.1:7002", Leaving: true},
	}
	c.SetVMs(want)
	vms, err = c.VMs.ListVMs(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, want)
}
