package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// startPrimary starts an emulated primary and returns a set-up in which it is
// both the only server and the only proxy.
func startPrimary(t *testing.T, stats dbserver.Stats) (*SetUp, *dbserver.Server) {
	t.Helper()
	s, err := dbserver.New(dbserver.Config{ID: "x1-a", Listen: "127.0.0.1:0", Primary: true, Slots: 100, Connections: 100}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	go func() { _ = s.Run(t.Context()) }()
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(stats)
	}))
	t.Cleanup(control.Close)
	return &SetUp{
		Servers: []Server{{Group: "x1", ID: "x1-a", Address: s.Addr(), Control: strings.TrimPrefix(control.URL, "http://")}},
		Proxies: []Proxy{{Callers: s.Addr()}},
	}, s
}

func load(s *SetUp) bench.Options {
	return bench.Options{
		Proxies: []string{s.Proxies[0].Callers}, Databases: []string{"x/x1"}, User: "u", Workload: bench.Workloads[0],
		Rate: 500, Duration: 300 * time.Millisecond, Drain: 2 * time.Second, Connections: 4, Timeout: time.Second,
		GapProbe: 5 * time.Millisecond, Seed: 1, RunID: "t",
	}
}

func failedNames(verdicts []bench.Verdict) []string {
	var out []string
	for _, v := range verdicts {
		if !v.Passed {
			out = append(out, v.Name)
		}
	}
	return out
}

func TestRunWithoutFaultPasses(t *testing.T) {
	s, _ := startPrimary(t, dbserver.Stats{})
	fault := func(ctx context.Context, r *run) error {
		found, err := r.primaries(ctx)
		assert.NilError(t, err)
		return r.checkNotReplaced(ctx, found)
	}
	rep, err := Run(t.Context(), Experiment{Name: "sound", GapGoal: time.Second, fault: fault, checkResults: checkNoneUnknown}, s, []bench.Options{load(s)})
	assert.NilError(t, err)
	var out bytes.Buffer
	failed, err := Write(&out, rep)
	assert.NilError(t, err)
	assert.Equal(t, failed, 0, out.String())
	assert.Assert(t, strings.HasSuffix(out.String(), "13 passed, 0 failed\n"), out.String())
	assert.Assert(t, strings.Contains(out.String(), `"harmed":true`))
}

func TestMissedGoalsAreReported(t *testing.T) {
	s, server := startPrimary(t, dbserver.Stats{OverSlots: 1, RefusedConnections: 2})
	isolate := func(ctx context.Context, r *run) error {
		r.affected = s.targetGroups()
		if err := r.waitUntil(ctx, 100*time.Millisecond); err != nil {
			return err
		}
		server.SetFaults(dbserver.Faults{IsolatedFrom: []string{"*"}})
		if err := sleep.For(ctx, 150*time.Millisecond); err != nil {
			return err
		}
		server.SetFaults(dbserver.Faults{})
		return nil
	}
	rep, err := Run(t.Context(), Experiment{GapGoal: 100 * time.Millisecond, fault: isolate, checkResults: checkNoneUnknown}, s, []bench.Options{load(s)})
	assert.NilError(t, err)
	assert.DeepEqual(t, failedNames(rep.Verdicts), []string{
		"gap of x/x1 below 100ms", "no server over its slots", "no server over its connections", "batbayar: no request cut off",
	})
	failed, err := Write(&bytes.Buffer{}, rep)
	assert.NilError(t, err)
	assert.Equal(t, failed, 4)
}

func TestCheckReplacedFailsWhenPrimaryStays(t *testing.T) {
	s, _ := startPrimary(t, dbserver.Stats{})
	r := &run{setUp: s, start: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	found, err := r.primaries(ctx)
	assert.NilError(t, err)
	assert.ErrorIs(t, r.checkReplaced(ctx, found), context.DeadlineExceeded)
	found[0].term++
	assert.NilError(t, r.checkNotReplaced(t.Context(), found))
	assert.DeepEqual(t, failedNames(r.verdicts), []string{"replaced primary x1-a follows", "primary of x1 kept"})
}

func TestCheckIdleFailsOnNewStatements(t *testing.T) {
	n := 0
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n++
		_ = json.NewEncoder(w).Encode(dbserver.Stats{Statements: int64(n)})
	}))
	defer control.Close()
	r := &run{}
	s := Server{ID: "a", Control: strings.TrimPrefix(control.URL, "http://")}
	assert.NilError(t, r.checkIdle(t.Context(), []Server{s}, time.Millisecond))
	assert.Equal(t, len(failedNames(r.verdicts)), 1)
}

func TestCheckReplicaShare(t *testing.T) {
	result := func(workload string, aged, all float64) []*bench.Result {
		return []*bench.Result{{Workload: workload, ReadReplica: all, Rows: []bench.Row{{Class: "aged read", Replica: aged}}}}
	}
	for _, c := range []struct {
		results []*bench.Result
		failed  int
	}{
		{result("agency", 0.95, 0.90), 0},
		{result("agency", 0.94, 0.90), 1},
		{result("agency", 0.94, 0.89), 2},
		{result("batbayar", 0, 0), 0},
	} {
		r := &run{}
		checkReplicaShare(r, c.results)
		assert.Equal(t, len(failedNames(r.verdicts)), c.failed)
	}
}

func TestFailedAfterCountsLaterFailures(t *testing.T) {
	ops := []history.Op{
		{Start: 1, Outcome: history.NotRun},
		{Start: 3, Outcome: history.Acknowledged},
		{Start: 3, Outcome: history.NotRun},
		{Start: 4, Outcome: history.Unknown},
	}
	assert.Equal(t, failedAfter(ops, 2), 2)
}

func TestGoodputCountsSuccessesWithinLoad(t *testing.T) {
	ops := []history.Op{
		{Start: 0, End: time.Second, Outcome: history.Acknowledged},
		{Start: time.Second, End: 2 * time.Second, Outcome: history.NotRun},
		{Start: time.Second, End: 3 * time.Second, Outcome: history.Acknowledged},
		{Start: 3 * time.Second, End: 3 * time.Second, Outcome: history.Unknown},
	}
	assert.Equal(t, goodput(ops, 2*time.Second), 0.5)
	assert.Equal(t, lastFailure(ops, 2*time.Second), time.Second)
}

func TestExperimentNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, name := range Names() {
		assert.Assert(t, !seen[name], name)
		seen[name] = true
		_, err := Find(name)
		assert.NilError(t, err)
	}
	_, err := Find("none")
	assert.ErrorContains(t, err, "none")
	r := &run{affected: []tables.GroupID{"x1"}}
	assert.Assert(t, r.isAffected("x/x1") && !r.isAffected("x/x11"))
}
