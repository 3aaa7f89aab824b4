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

// CostOptions describe a comparison of ways to the same data.
type CostOptions struct {
	// Direct are the IP:port of the group's servers; the one that leads is measured.
	Direct []string
	// DirectDatabase is the database's name there.
	DirectDatabase string
	// DirectUser logs in there.
	DirectUser string
	// Proxy is the IP:port of a proxy.
	Proxy string
	// Database is the database's name at the proxy.
	Database string
	// User is whom to log in as at the proxy.
	User string
	// Password belongs to User.
	Password string
	// Connections is the number of callers; each asks again once it has its answer.
	Connections int
	// Duration is the length of one measurement.
	Duration time.Duration
	// Rounds is how often all measurements are repeated; they take turns.
	Rounds int
	// RunID starts every key.
	RunID string
}

// CostRow is the figures of one statement on one way.
type CostRow struct {
	// Way is how the statement reached the data.
	Way string `json:"way"`
	// Statement is what ran.
	Statement string `json:"statement"`
	// PerSecond is the throughput.
	PerSecond float64 `json:"perSecond"`
	// P50 is the median latency.
	P50 time.Duration `json:"p50"`
	// P99 is the 99th percentile of the latency.
	P99 time.Duration `json:"p99"`
	// Failed counts statements that failed.
	Failed int `json:"failed"`
}

// probe is one measurement that is repeated.
type probe struct {
	way       string
	statement string
	address   string
	access    Options
	sql       string

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	elapsed time.Duration
	failed  int
}

const (
	costTable   = "cost"
	costKey     = "'k'"
	costRead    = "SELECT v FROM " + costTable + " WHERE k = " + costKey
	costAged    = costRead + " /*max_age='5s',idempotent='true'*/"
	costWrite   = "UPDATE " + costTable + " SET v = 'x' WHERE k = " + costKey
	costPrepare = "INSERT INTO " + costTable + " (k, v) VALUES (" + costKey + ", 'x')"
)

// Cost measures each way in turn and returns a row for each.
func Cost(ctx context.Context, opts CostOptions) ([]CostRow, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	primary, err := FindPrimary(ctx, opts.Direct)
	if err != nil {
		return nil, err
	}
	plain, err := naive.New("127.0.0.1:0", primary)
	if err != nil {
		return nil, err
	}
	go func() { _ = plain.Run(ctx) }()
	probes := opts.probes(primary, plain.Addr())
	if err := prepare(ctx, probes[0]); err != nil {
		return nil, err
	}
	for range opts.Rounds {
		for _, p := range probes {
			if err := p.measure(ctx, opts.Connections, opts.Duration); err != nil {
				return nil, err
			}
		}
	}
	rows := make([]CostRow, len(probes))
	for i, p := range probes {
		rows[i] = p.row()
	}
	return rows, nil
}

func (o *CostOptions) probes(primary, naiveAddress string) []*probe {
	direct := Options{User: o.DirectUser, Databases: []string{o.DirectDatabase}}
	proxied := Options{User: o.User, Password: o.Password, Databases: []string{o.Database}}
	all := []*probe{
		{way: "direct", statement: "read", address: primary, access: direct, sql: costRead},
		{way: "naive proxy", statement: "read", address: naiveAddress, access: direct, sql: costRead},
		{way: "proxy", statement: "read", address: o.Proxy, access: proxied, sql: costRead},
		{way: "proxy", statement: "read, max_age 5s", address: o.Proxy, access: proxied, sql: costAged},
		{way: "direct", statement: "write", address: primary, access: direct, sql: costWrite},
		{way: "naive proxy", statement: "write", address: naiveAddress, access: direct, sql: costWrite},
		{way: "proxy", statement: "write", address: o.Proxy, access: proxied, sql: costWrite},
	}
	for _, p := range all {
		p.latency = newHistogram()
	}
	return all
}

// prepare makes sure that the row exists.
func prepare(ctx context.Context, p *probe) error {
	conn, err := p.open(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, costPrepare, pgx.QueryExecModeExec)
	if err != nil && !classify(err).duplicate {
		return errors.Wrap(err, "insert the row")
	}
	return nil
}

func (p *probe) open(ctx context.Context) (*pgx.Conn, error) {
	conn, err := p.access.open(ctx, p.address, p.access.Databases[0], "")
	return conn, errors.Wrapf(err, "connect, %s", p.way)
}

func (p *probe) measure(ctx context.Context, connections int, d time.Duration) error {
	conns := make([]*pgx.Conn, connections)
	for i := range conns {
		conn, err := p.open(ctx)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(context.Background()) }()
		conns[i] = conn
	}
	started := time.Now()
	var running sync.WaitGroup
	for _, conn := range conns {
		running.Go(func() { p.repeat(ctx, conn, started.Add(d)) })
	}
	running.Wait()
	p.elapsed += time.Since(started)
	return ctx.Err()
}

func (p *probe) repeat(ctx context.Context, conn *pgx.Conn, end time.Time) {
	latency, failed := newHistogram(), 0
	for time.Now().Before(end) && ctx.Err() == nil && !conn.IsClosed() {
		sent := time.Now()
		if _, err := conn.Exec(ctx, p.sql, pgx.QueryExecModeExec); err != nil {
			failed++
			continue
		}
		_ = latency.RecordValue(int64(time.Since(sent)))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency.Merge(latency)
	p.failed += failed
}

func (p *probe) row() CostRow {
	return CostRow{
		Way:       p.way,
		Statement: p.statement,
		PerSecond: float64(p.latency.TotalCount()) / p.elapsed.Seconds(),
		P50:       time.Duration(p.latency.ValueAtQuantile(50)),
		P99:       time.Duration(p.latency.ValueAtQuantile(99)),
		Failed:    p.failed,
	}
}

// WriteCostText prints rows as a table.
func WriteCostText(w io.Writer, rows []CostRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "statement\tway\tper second\tp50\tp99\tfailed")
	for _, r := range rows {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%.0f\t%s\t%s\t%d\n", r.Statement, r.Way, r.PerSecond, round(r.P50), round(r.P99), r.Failed)
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
