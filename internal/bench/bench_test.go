package bench

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// startServer starts an emulated primary, which callers use in place of a proxy.
func startServer(t *testing.T) *dbserver.Server {
	t.Helper()
	s, err := dbserver.New(dbserver.Config{ID: "a", Listen: "127.0.0.1:0", Primary: true, Slots: 100, Connections: 100}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	go func() { _ = s.Run(t.Context()) }()
	return s
}

func options(s *dbserver.Server) Options {
	return Options{
		Proxies: []string{s.Addr()}, Databases: []string{"x/1", "x/2"}, User: "u", Workload: Workloads[0],
		Rate: 1000, Duration: 300 * time.Millisecond, Drain: 5 * time.Second, Connections: 6, Timeout: 5 * time.Second, Roam: 0.1, GapProbe: 5 * time.Millisecond, Seed: 3, RunID: "t",
	}
}

func TestLoadOnHealthyServerPasses(t *testing.T) {
	opts := options(startServer(t))
	res, err := Load(t.Context(), opts)
	assert.NilError(t, err)
	var out bytes.Buffer
	failed, err := WriteText(&out, []*Result{res})
	assert.NilError(t, err)
	assert.Equal(t, failed, 0, out.String())
	assert.Assert(t, strings.HasSuffix(out.String(), "8 passed, 0 failed\n"), out.String())
	assert.Assert(t, res.Report.Acknowledged > 0 && res.Report.Found == res.Report.Acknowledged)
	assert.Equal(t, len(res.Gaps), 2)
	assert.Assert(t, res.Rows[3].Succeeded > 0 && res.Gaps[0].Longest < opts.Duration)
	failed, err = WriteJSON(&out, []*Result{res})
	assert.NilError(t, err)
	assert.Equal(t, failed, 0)
}

func TestLoadReportsLostWrite(t *testing.T) {
	s := startServer(t)
	opts := options(s)
	assert.NilError(t, opts.check())
	opts.started = time.Now()
	r := newRecorder()
	callers := runCallers(t.Context(), &opts, r)
	for i := range r.ops {
		if op := &r.ops[i]; op.Kind == history.KindInsert {
			op.Key += "-lost"
			break
		}
	}
	res := newResult(&opts, r, verify(t.Context(), &opts, r.ops, callers), opts.Duration)
	assert.Equal(t, res.Report.Count(history.LostWrite), 1)
	var out bytes.Buffer
	failed, err := WriteText(&out, []*Result{res})
	assert.NilError(t, err)
	assert.Equal(t, failed, 1)
	assert.Assert(t, strings.Contains(out.String(), "7 passed, 1 failed"), out.String())
}

func TestLoadWithoutServerFailsVerification(t *testing.T) {
	opts := options(startServer(t))
	opts.Proxies = []string{"127.0.0.1:1"}
	opts.Duration = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	res, err := Load(ctx, opts)
	assert.NilError(t, err)
	assert.Equal(t, res.Report.Acknowledged, 0)
	assert.Assert(t, res.Report.NotRunWrites > 0)
	assert.Equal(t, res.Report.UnknownWrites, 0)
	failed, err := WriteText(&bytes.Buffer{}, []*Result{res})
	assert.NilError(t, err)
	assert.Equal(t, failed, 2)
}

func TestLoadEndsWhenServerIsUnresponsive(t *testing.T) {
	s := startServer(t)
	s.SetFaults(dbserver.Faults{IsolatedFrom: []string{"*"}})
	opts := options(s)
	opts.Duration, opts.Drain = 100*time.Millisecond, 400*time.Millisecond
	start := time.Now()
	res, err := Load(t.Context(), opts)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) < opts.Duration+opts.Drain+2*closeTimeout, time.Since(start))
	assert.Equal(t, res.Report.Acknowledged, 0)
	assert.Assert(t, res.Dropped > 0)
}

func TestFinalReadsStartWithAcknowledgedWrites(t *testing.T) {
	ops := []history.Op{
		{Kind: history.KindInsert, Key: "a", Outcome: history.Unknown},
		{Kind: history.KindPut, Key: "b", Outcome: history.Acknowledged},
		{Kind: history.KindPut, Key: "b", Outcome: history.NotRun},
		{Kind: history.KindRead, Key: "c", Outcome: history.Acknowledged},
	}
	reads := finalReads(ops)
	assert.Equal(t, len(reads), 2)
	assert.Equal(t, reads[0], history.Op{Kind: history.KindFinalRead, Key: "b"})
	assert.Equal(t, reads[1], history.Op{Kind: history.KindFinalCount, Key: "a"})
}

func TestClassify(t *testing.T) {
	pg := func(message, state string) error {
		return errors.Wrap(&pgconn.PgError{Message: message, Code: state}, "x")
	}
	for _, c := range []struct {
		name string
		err  error
		want opResult
	}{
		{"success", nil, opResult{outcome: history.Acknowledged}},
		{"not run", pg("code 201 NoPrimary (not run)", "57P03"), opResult{outcome: history.NotRun, code: 201}},
		{"unknown", pg("code 205 NotConfirmed (unknown): x", "08007"), opResult{outcome: history.Unknown, code: 205}},
		{"duplicate", pg("duplicate key", "23505"), opResult{outcome: history.Unknown, duplicate: true}},
		{"text of another error", pg("row says code 201 NoPrimary (not run)", "XX000"), opResult{outcome: history.Unknown}},
		{"no connection", &connectError{cause: errors.New("refused")}, opResult{outcome: history.NotRun}},
		{"refused at start", &connectError{cause: pg("code 401 ShuttingDown (not run)", "57P01")}, opResult{outcome: history.NotRun, code: 401}},
		{"reset", errors.New("connection reset"), opResult{outcome: history.Unknown}},
	} {
		assert.Equal(t, classify(c.err), c.want, c.name)
	}
}

func TestWorkloadShares(t *testing.T) {
	for _, w := range Workloads {
		rnd := rand.New(rand.NewPCG(1, 1))
		n := make(map[class]int)
		for range 10000 {
			n[w.pick(rnd)]++
		}
		assert.Assert(t, n[classAged] > int(9800*w.AgedShare) && n[classAged] < int(10200*w.AgedShare))
		assert.Assert(t, n[classOwn] > int(9400*w.OwnShare) && n[classOwn] < int(10600*w.OwnShare))
	}
	_, err := FindWorkload("none")
	assert.ErrorContains(t, err, "none")
}

func TestLongestWriteGap(t *testing.T) {
	write := func(db string, outcome history.Outcome, end time.Duration) history.Op {
		return history.Op{Kind: history.KindInsert, Database: db, Outcome: outcome, End: end}
	}
	ops := []history.Op{write("a", history.Acknowledged, 2), write("a", history.Unknown, 5), write("b", history.Acknowledged, 6), write("a", history.Acknowledged, 9)}
	assert.Equal(t, longestWriteGap(ops, "a", 10), time.Duration(7))
	assert.Equal(t, longestWriteGap(ops, "b", 20), time.Duration(14))
	assert.Equal(t, longestWriteGap(nil, "a", 20), time.Duration(20))
}

func TestPrimaryOfUsesServerStatus(t *testing.T) {
	s := startServer(t)
	found, err := primaryOf(t.Context(), []Server{{Address: "127.0.0.1:1", PID: 2}, {Address: s.Addr(), PID: 3}})
	assert.NilError(t, err)
	assert.Equal(t, found.PID, 3)
	_, err = primaryOf(t.Context(), []Server{{Address: "127.0.0.1:1", PID: 2}})
	assert.ErrorContains(t, err, "none of")
	parsed, err := ParseServer("127.0.0.1:7111=42")
	assert.NilError(t, err)
	assert.Equal(t, parsed, Server{Address: "127.0.0.1:7111", PID: 42})
	for _, text := range []string{"127.0.0.1:7111", "a=b", "a=1", "a=-5"} {
		_, err = ParseServer(text)
		assert.ErrorContains(t, err, "IP:port=PID")
	}
}

func TestCostMeasuresEveryPath(t *testing.T) {
	s := startServer(t)
	rows, err := Cost(t.Context(), CostOptions{
		Direct: []string{"127.0.0.1:1", s.Addr()}, DirectDatabase: "d", DirectUser: "u", Proxy: s.Addr(), Database: "d", User: "u",
		Connections: 2, Duration: 30 * time.Millisecond, Rounds: 2,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 7)
	for _, r := range rows {
		assert.Assert(t, r.PerSecond > 0 && r.Failed == 0, "%+v", r)
	}
	var out bytes.Buffer
	assert.NilError(t, WriteCostText(&out, rows))
	assert.NilError(t, WriteCostJSON(&out, rows))
	assert.Equal(t, strings.Count(out.String(), "naive proxy"), 4)
}

func TestBlockedProbeDoesNotDelayOtherProbes(t *testing.T) {
	s := startServer(t)
	opts := options(s)
	opts.started = time.Now()
	opts.Timeout = 400 * time.Millisecond
	r := newRecorder()
	p := newProber(&opts, &publishedRegisters{}, 0, r)
	first := <-p.idle
	assert.NilError(t, first.connect(t.Context()))
	s.SilenceConnections()
	p.idle <- first
	p.run(t.Context())
	stats := r.byClass[classProbe]
	assert.Equal(t, stats.unknown, 1)
	assert.Assert(t, stats.succeeded > 10, stats.succeeded)
}
