package pgsession

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/scramverifier"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"
)

const (
	benchUser     = "u"
	benchPassword = "secret"
	benchQuery    = "SELECT v FROM shelf WHERE k = 'a'"
)

// loadCaller is a minimal caller whose own cost is small compared to the
// measured path.
type loadCaller struct {
	net net.Conn
	fe  *pgproto3.Frontend
}

// dialCaller connects to address and logs in, by SCRAM if the server requests it.
func dialCaller(t testing.TB, address string, params map[string]string) *loadCaller {
	nc, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	c := &loadCaller{net: nc, fe: pgproto3.NewFrontend(nc, nc)}
	all := map[string]string{"user": benchUser, "database": "s/d"}
	for k, v := range params {
		all[k] = v
	}
	c.fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: all})
	client, err := scram.SHA256.NewClient(benchUser, benchPassword, "")
	assert.NilError(t, err)
	conv := client.NewConversation()
	for {
		assert.NilError(t, c.fe.Flush())
		msg, err := c.fe.Receive()
		assert.NilError(t, err)
		switch m := msg.(type) {
		case *pgproto3.AuthenticationSASL:
			first, err := conv.Step("")
			assert.NilError(t, err)
			c.fe.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			final, err := conv.Step(string(m.Data))
			assert.NilError(t, err)
			c.fe.Send(&pgproto3.SASLResponse{Data: []byte(final)})
		case *pgproto3.ErrorResponse:
			t.Fatal(m.Message)
		case *pgproto3.ReadyForQuery:
			return c
		}
	}
}

// query runs a simple query and reports an error response.
func (c *loadCaller) query(sql string) error {
	c.fe.Send(&pgproto3.Query{String: sql})
	if err := c.fe.Flush(); err != nil {
		return err
	}
	var failed error
	for {
		msg, err := c.fe.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			failed = errors.New(m.Message)
		case *pgproto3.ReadyForQuery:
			return failed
		}
	}
}

// serveCallers serves the rig's executor to callers.
func (r *rig) serveCallers() string {
	u, err := scramverifier.New(benchUser, benchPassword, []byte("0123456789abcdef"), scramverifier.MinIterations)
	assert.NilError(r.t, err)
	r.exec.directory.Load().users[benchUser] = u
	opts := callers.Options{MaxCallers: 20_000, MaxFrame: 1 << 20, StartupTimeout: 30 * time.Second}
	s, err := callers.New("127.0.0.1:0", r.exec, opts, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(r.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	r.t.Cleanup(func() {
		stop()
		<-done
	})
	return s.Addr()
}

// BenchmarkPath compares simple reads through a proxy with reads direct to the
// emulated server at 3 upstream connections. Callers, proxy and server share
// one process.
func BenchmarkPath(b *testing.B) {
	aged := map[string]string{"cranberrystage.max_age": "10s"}
	cases := []struct {
		name    string
		callers int
		proxied bool
		params  map[string]string
		sql     string
	}{
		{"direct", 3, false, nil, benchQuery},
		{"proxy-aged", 3, true, aged, benchQuery},
		{"proxy-aged-32-callers", 32, true, aged, benchQuery},
		{"proxy-newest", 3, true, nil, benchQuery},
		{"proxy-comment", 3, true, nil, benchQuery + " /*max_age='10s'*/"},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			r := newEmulatorRig(b, 3)
			address := r.server.Addr()
			if c.proxied {
				address = r.serveCallers()
			}
			benchmarkQueries(b, address, c.callers, c.params, c.sql)
		})
	}
}

func benchmarkQueries(b *testing.B, address string, callers int, params map[string]string, sql string) {
	all := make([]*loadCaller, callers)
	for i := range all {
		all[i] = dialCaller(b, address, params)
	}
	b.ReportAllocs()
	b.ResetTimer()
	took := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	for i, c := range all {
		n := b.N / callers
		if i < b.N%callers {
			n++
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range n {
				began := time.Now()
				if err := c.query(sql); err != nil {
					b.Error(err)
					return
				}
				took[i] = append(took[i], time.Since(began))
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	times := slices.Concat(took...)
	slices.Sort(times)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1e3, "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1e3, "p99-µs")
}

// BenchmarkIdleCallers measures the process's resident memory per connected
// caller that ran one statement. The callers' own ends are plain sockets to
// keep their share small. Both ends share one process and its limit of open
// files.
func BenchmarkIdleCallers(b *testing.B) {
	const idle = 9_500
	for range b.N {
		r := newEmulatorRig(b, 3)
		address := r.serveCallers()
		before := residentBytes(b)
		conns := make([]net.Conn, idle)
		for i := range conns {
			c := dialCaller(b, address, map[string]string{"cranberrystage.max_age": "10s"})
			assert.NilError(b, c.query(benchQuery))
			conns[i] = c.net
		}
		runtime.GC()
		runtime.GC()
		after := residentBytes(b)
		b.ReportMetric(float64(after-before)/idle, "resident-B/caller")
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.HeapInuse+m.StackInuse)/idle, "heap+stack-B/caller")
		b.ReportMetric(float64(m.StackInuse)/idle, "stack-B/caller")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// residentBytes returns the process's resident memory after free memory was
// returned to the system.
func residentBytes(b *testing.B) int64 {
	debug.FreeOSMemory()
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		b.Skip("no /proc")
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			assert.NilError(b, err)
			return kb << 10
		}
	}
	b.Skip("no resident size")
	return 0
}
