package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cranberrystage/cranberrystage/internal/naive"
	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

// CostOptions describe a comparison of access paths to the same data: direct,
// through the proxy and through a naive proxy.
type CostOptions struct {
	// Direct are the IP:port of the group's servers; the primary is measured.
	Direct []string
	// DirectDatabase is the database's name at the servers.
	DirectDatabase string
	// DirectUser is the user at the servers.
	DirectUser string
	// Proxy is the IP:port of a proxy.
	Proxy string
	// Database is the database's name at the proxy.
	Database string
	// User is the user at the proxy.
	User string
	// Password is the password of User.
	Password string
	// Connections is the number of callers; each sends the next statement once
	// it has the response to the last one.
	Connections int
	// Duration is the length of one measurement.
	Duration time.Duration
	// Rounds is the number of rounds; each runs every measurement once.
	Rounds int
	// RunID is the prefix of every key.
	RunID string
}

// CostRow is the result for one statement on one access path.
type CostRow struct {
	// Path is the access path of the statement.
	Path string `json:"way"`
	// Statement names the statement.
	Statement string `json:"statement"`
	// PerSecond is the throughput in statements per second.
	PerSecond float64 `json:"perSecond"`
	// P50 is the median latency.
	P50 time.Duration `json:"p50"`
	// P99 is the 99th percentile of the latency.
	P99 time.Duration `json:"p99"`
	// Failed counts statements that failed.
	Failed int `json:"failed"`
}

// measurement collects the results for one statement on one access path over all
// rounds.
type measurement struct {
	path      string
	statement string
	address   string
	// access holds the user, password and database of the connections.
	access Options
	sql    string

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	elapsed time.Duration
	failed  int
}

const (
	costTable  = "cost"
	costKey    = "'k'"
	costRead   = "SELECT v FROM " + costTable + " WHERE k = " + costKey
	costAged   = costRead + " /*max_age='5s',idempotent='true'*/"
	costWrite  = "UPDATE " + costTable + " SET v = 'x' WHERE k = " + costKey
	costInsert = "INSERT INTO " + costTable + " (k, v) VALUES (" + costKey + ", 'x')"
)

// Cost measures each statement on each access path and returns a row for each.
func Cost(ctx context.Context, opts CostOptions) ([]CostRow, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	primary, err := FindPrimary(ctx, opts.Direct)
	if err != nil {
		return nil, err
	}
	naiveProxy, err := naive.New("127.0.0.1:0", primary)
	if err != nil {
		return nil, err
	}
	go func() { _ = naiveProxy.Run(ctx) }()
	measurements := opts.measurements(primary, naiveProxy.Addr())
	if err := insertRow(ctx, measurements[0]); err != nil {
		return nil, err
	}
	for range opts.Rounds {
		for _, m := range measurements {
			if err := m.measure(ctx, opts.Connections, opts.Duration); err != nil {
				return nil, err
			}
		}
	}
	rows := make([]CostRow, len(measurements))
	for i, m := range measurements {
		rows[i] = m.row()
	}
	return rows, nil
}

func (o *CostOptions) measurements(primary, naiveAddress string) []*measurement {
	direct := Options{User: o.DirectUser, Databases: []string{o.DirectDatabase}}
	proxied := Options{User: o.User, Password: o.Password, Databases: []string{o.Database}}
	all := []*measurement{
		{path: "direct", statement: "read", address: primary, access: direct, sql: costRead},
		{path: "naive proxy", statement: "read", address: naiveAddress, access: direct, sql: costRead},
		{path: "proxy", statement: "read", address: o.Proxy, access: proxied, sql: costRead},
		{path: "proxy", statement: "read, max_age 5s", address: o.Proxy, access: proxied, sql: costAged},
		{path: "direct", statement: "write", address: primary, access: direct, sql: costWrite},
		{path: "naive proxy", statement: "write", address: naiveAddress, access: direct, sql: costWrite},
		{path: "proxy", statement: "write", address: o.Proxy, access: proxied, sql: costWrite},
	}
	for _, m := range all {
		m.latency = newHistogram()
	}
	return all
}

// insertRow inserts the measured row unless it exists.
func insertRow(ctx context.Context, m *measurement) error {
	conn, err := m.open(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, costInsert, pgx.QueryExecModeExec)
	if err != nil && !classify(err).duplicate {
		return errors.Wrap(err, "insert the row")
	}
	return nil
}

func (m *measurement) open(ctx context.Context) (*pgx.Conn, error) {
	conn, err := m.access.open(ctx, m.address, m.access.Databases[0], "")
	return conn, errors.Wrapf(err, "connect, %s", m.path)
}

func (m *measurement) measure(ctx context.Context, connections int, d time.Duration) error {
	conns := make([]*pgx.Conn, connections)
	for i := range conns {
		conn, err := m.open(ctx)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(context.Background()) }()
		conns[i] = conn
	}
	started := time.Now()
	var running sync.WaitGroup
	for _, conn := range conns {
		running.Go(func() { m.runStatements(ctx, conn, started.Add(d)) })
	}
	running.Wait()
	m.elapsed += time.Since(started)
	return ctx.Err()
}

func (m *measurement) runStatements(ctx context.Context, conn *pgx.Conn, end time.Time) {
	latency, failed := newHistogram(), 0
	for time.Now().Before(end) && ctx.Err() == nil && !conn.IsClosed() {
		sent := time.Now()
		if _, err := conn.Exec(ctx, m.sql, pgx.QueryExecModeExec); err != nil {
			failed++
			continue
		}
		_ = latency.RecordValue(int64(time.Since(sent)))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency.Merge(latency)
	m.failed += failed
}

func (m *measurement) row() CostRow {
	return CostRow{
		Path:      m.path,
		Statement: m.statement,
		PerSecond: float64(m.latency.TotalCount()) / m.elapsed.Seconds(),
		P50:       time.Duration(m.latency.ValueAtQuantile(50)),
		P99:       time.Duration(m.latency.ValueAtQuantile(99)),
		Failed:    m.failed,
	}
}

// WriteCostText prints rows as a table.
func WriteCostText(w io.Writer, rows []CostRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "statement\tway\tper second\tp50\tp99\tfailed")
	for _, r := range rows {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%.0f\t%s\t%s\t%d\n", r.Statement, r.Path, r.PerSecond, round(r.P50), round(r.P99), r.Failed)
	}
	return errors.Wrap(tw.Flush(), "write table")
}

// WriteCostJSON prints each row as one line.
func WriteCostJSON(w io.Writer, rows []CostRow) error {
	enc := json.NewEncoder(w)
	for _, r := range rows {
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "write rows")
		}
	}
	return nil
}
