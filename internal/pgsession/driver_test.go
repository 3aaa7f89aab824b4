package pgsession

import (
	"context"
	"fmt"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func driverURL(address string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/s%%2Fd?sslmode=disable", benchUser, benchPassword, address)
}

// TestDriverModes runs the pgx driver in each of its execution modes, with
// fewer upstream connections than callers.
func TestDriverModes(t *testing.T) {
	rig := newEmulatorRig(t, 2)
	address := rig.serveCallers()
	ctx := context.Background()
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	var conns []*pgx.Conn
	for _, mode := range modes {
		cfg, err := pgx.ParseConfig(driverURL(address))
		assert.NilError(t, err)
		cfg.DefaultQueryExecMode = mode
		c, err := pgx.ConnectConfig(ctx, cfg)
		assert.NilError(t, err)
		defer c.Close(ctx)
		conns = append(conns, c)
	}
	for round := range 5 {
		for i, c := range conns {
			key := fmt.Sprintf("k%d-%d", round, i)
			_, err := c.Exec(ctx, "INSERT INTO shelf (k, v) VALUES ($1, $2)", key, key)
			assert.NilError(t, err, modes[i].String())
			var got string
			assert.NilError(t, c.QueryRow(ctx, "SELECT v FROM shelf WHERE k = $1", key).Scan(&got), modes[i].String())
			assert.Equal(t, got, key)
			_, err = c.Exec(ctx, "INSERT INTO shelf (k, v) VALUES ($1, $2)", key, key)
			assert.Equal(t, driverState(err), "23505", modes[i].String())
		}
	}
}

func driverState(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return ""
}

func TestFailedDriverBatchRollsBack(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	ctx := context.Background()
	c, err := pgx.Connect(ctx, driverURL(rig.serveCallers()))
	assert.NilError(t, err)
	defer c.Close(ctx)
	b := &pgx.Batch{}
	b.Queue("INSERT INTO t (k, v) VALUES ($1, $2)", "a", "1")
	b.Queue("INSERT INTO t (k, v) VALUES ($1, $2)", "a", "2")
	b.Queue("INSERT INTO t (k, v) VALUES ($1, $2)", "b", "3")
	assert.Equal(t, driverState(c.SendBatch(ctx, b).Close()), "23505")
	var n int
	assert.NilError(t, c.QueryRow(ctx, "SELECT count(*) FROM t WHERE v = '1'").Scan(&n))
	assert.Equal(t, n, 0)

	tx, err := c.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO t (k, v) VALUES ($1, $2)", "a", "1")
	assert.NilError(t, err)
	assert.NilError(t, tx.Rollback(ctx))
	assert.NilError(t, c.QueryRow(ctx, "SELECT count(*) FROM t WHERE v = '1'").Scan(&n))
	assert.Equal(t, n, 0)
}

// TestDriverPipelineWithFlush reads the responses to a pipeline before its
// Sync.
func TestDriverPipelineWithFlush(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	ctx := context.Background()
	c, err := pgconn.Connect(ctx, driverURL(rig.serveCallers()))
	assert.NilError(t, err)
	defer c.Close(ctx)
	for range 3 {
		p := c.StartPipeline(ctx)
		p.SendPrepare("s", "SELECT v FROM t WHERE k = $1", nil)
		p.SendQueryParams("INSERT INTO t (v) VALUES ($1)", [][]byte{[]byte("x")}, nil, nil, nil)
		p.SendFlushRequest()
		assert.NilError(t, p.Flush())
		results, err := p.GetResults()
		assert.NilError(t, err)
		_, ok := results.(*pgconn.StatementDescription)
		assert.Assert(t, ok, "%T", results)
		results, err = p.GetResults()
		assert.NilError(t, err)
		r, ok := results.(*pgconn.ResultReader)
		assert.Assert(t, ok, "%T", results)
		tag, err := r.Close()
		assert.NilError(t, err)
		assert.Equal(t, tag.String(), "INSERT 0 1")
		p.SendQueryPrepared("s", [][]byte{[]byte("k")}, nil, nil)
		assert.NilError(t, p.Sync())
		results, err = p.GetResults()
		assert.NilError(t, err)
		_, err = results.(*pgconn.ResultReader).Close()
		assert.NilError(t, err)
		assert.NilError(t, p.Close())
		assert.NilError(t, c.Deallocate(ctx, "s"))
	}
	res := c.ExecParams(ctx, "SELECT count(*) FROM t WHERE v = 'x'", nil, nil, nil, nil).Read()
	assert.NilError(t, res.Err)
	assert.Equal(t, string(res.Rows[0][0]), "3")
}

func TestUnconfirmedReadIsNotReportedAsCompleted(t *testing.T) {
	r := newEmulatorRig(t, 3)
	c := r.open(map[string]string{"cranberrystage.deadline": "100ms"})
	assert.NilError(t, c.query("SELECT 1").err)
	r.core.disableConfirm()
	got := c.query("SELECT 1")
	e, ok := codes.From(got.err)
	assert.Assert(t, ok)
	assert.Equal(t, e.Code, codes.NotConfirmed)
	assert.Equal(t, len(got.tags), 0)
}
