package pgsession

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// runMessages returns the messages that execute one unnamed statement.
func runMessages(sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{},
	}
}

// flush sends messages followed by a Flush.
func (c *testCaller) flush(messages ...pgproto3.FrontendMessage) reply {
	return c.run(context.Background(), &callers.Batch{Messages: messages, Partial: true})
}

func (c *testCaller) count(table, value string) string {
	c.t.Helper()
	r := c.query(fmt.Sprintf("SELECT count(*) FROM %s WHERE v = '%s'", table, value)).ok(c.t)
	return r.rows[0]
}

func TestFlushRespondsBeforeCommit(t *testing.T) {
	rig := newEmulatorRig(t, 3)
	a, b := rig.open(nil), rig.open(nil)
	r := a.flush(runMessages("INSERT INTO orders (v) VALUES ('x')")...).ok(t)
	assert.DeepEqual(t, r.tags, []string{"INSERT 0 1"})
	assert.Equal(t, b.count("orders", "x"), "0")
	a.flush(runMessages("INSERT INTO orders (v) VALUES ('x')")...).ok(t)
	a.batch().ok(t)
	assert.Equal(t, b.count("orders", "x"), "2")
	assert.Assert(t, a.s.pinned == nil)
}

func TestPipelineErrorSkipsToSync(t *testing.T) {
	rig := newEmulatorRig(t, 3)
	a := rig.open(nil)
	a.flush(runMessages("INSERT INTO orders (v) VALUES ('x')")...).ok(t)
	assert.Equal(t, a.flush(runMessages("nonsense")...).sqlState, "42601")
	assert.Equal(t, a.flush(runMessages("INSERT INTO orders (v) VALUES ('x')")...).ok(t).kinds, "")
	r := a.batch(runMessages("INSERT INTO orders (v) VALUES ('x')")...).ok(t)
	assert.Equal(t, r.kinds, "")
	assert.Equal(t, r.status, statement.Idle)
	assert.Equal(t, a.count("orders", "x"), "0")
}

func TestRefusalRollsBackPipeline(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(nil)
	a.flush(runMessages("INSERT INTO orders (v) VALUES ('x')")...).ok(t)
	assert.Equal(t, code(a.flush(runMessages("LISTEN x")...).err), codes.SessionState)
	a.batch(runMessages("INSERT INTO orders (v) VALUES ('x')")...).ok(t)
	assert.Equal(t, a.count("orders", "x"), "0")
}

func TestFailedPipelineRecordsNoSetting(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(nil)
	a.flush(runMessages("SET work_mem = '1'")...).ok(t)
	assert.Equal(t, a.flush(runMessages("nonsense")...).sqlState, "42601")
	a.batch().ok(t)
	assert.Equal(t, a.show("work_mem"), "")
}

func TestPreparedStatementsOverPooledConnections(t *testing.T) {
	rig := newEmulatorRig(t, 2)
	a, b := rig.open(nil), rig.open(nil)
	a.batch(&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}).ok(t)
	b.batch(&pgproto3.Parse{Name: "s", Query: "SELECT 2"}).ok(t)
	b.query("BEGIN").ok(t)
	for range 5 {
		bind := []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}}
		r := a.batch(bind...).ok(t)
		assert.DeepEqual(t, r.rows, []string{"1"})
		assert.Equal(t, r.kinds, "2C")
		assert.DeepEqual(t, b.batch(bind...).ok(t).rows, []string{"2"})
	}
	b.query("COMMIT").ok(t)
	// An error in the middle of a batch leaves the statements usable.
	r := a.batch(&pgproto3.Parse{Name: "t", Query: "SELECT 3"}, &pgproto3.Parse{Name: "u", Query: "nonsense"}, &pgproto3.Parse{Name: "v", Query: "SELECT 4"})
	assert.Equal(t, r.sqlState, "42601")
	assert.Equal(t, r.kinds, "1E")
	r = a.batch(&pgproto3.Bind{PreparedStatement: "t"}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "t"}).ok(t)
	assert.Equal(t, r.kinds, "2C3")
	r = a.batch(&pgproto3.Bind{PreparedStatement: "t"}, &pgproto3.Execute{})
	assert.Equal(t, r.sqlState, "26000")
}

func TestConnectionEvictsPreparedStatements(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(nil)
	for i := range 600 {
		name := fmt.Sprintf("s%d", i)
		a.batch(&pgproto3.Parse{Name: name, Query: fmt.Sprintf("SELECT %d", i)}).ok(t)
	}
	r := a.batch(&pgproto3.Bind{PreparedStatement: "s0"}, &pgproto3.Execute{}).ok(t)
	assert.DeepEqual(t, r.rows, []string{"0"})
	assert.Equal(t, r.kinds, "2C")
	c, err := rig.core.pool.Acquire(context.Background(), 1)
	assert.NilError(t, err)
	assert.Equal(t, c.Prepared.Len(), 256)
	rig.core.pool.Release(c)
}

func TestCallerPreparedStatementsAreLimited(t *testing.T) {
	p := preparedStatements{}
	for i := range maxNamed {
		m := &pgproto3.Parse{Name: fmt.Sprint(i)}
		assert.NilError(t, p.checkLimits([]pgproto3.FrontendMessage{m}))
		p[m.Name] = newPreparedStatement(m)
	}
	assert.ErrorContains(t, p.checkLimits([]pgproto3.FrontendMessage{&pgproto3.Parse{Name: "x"}}), "too many")
	assert.NilError(t, p.checkLimits([]pgproto3.FrontendMessage{&pgproto3.Parse{}}))
	large := &pgproto3.Parse{Name: "x", Query: strings.Repeat("x", maxNamedBytes+1)}
	assert.ErrorContains(t, preparedStatements{}.checkLimits([]pgproto3.FrontendMessage{large}), "too many")
}

func TestLostTransactionRollsBackInBothProtocols(t *testing.T) {
	for _, extended := range []bool{false, true} {
		rig := newEmulatorRig(t, 1)
		a := rig.open(nil)
		a.query("BEGIN").ok(t)
		assert.Equal(t, code(a.query("LISTEN x").err), codes.SessionState)
		assert.Equal(t, a.s.status, statement.Failed)
		assert.Equal(t, code(a.query("ROLLBACK; SELECT 1").err), codes.UpstreamLost)
		r := reply{}
		if extended {
			r = a.batch(runMessages("ROLLBACK")...)
			assert.Equal(t, r.kinds, "12nC")
		} else {
			r = a.query("ROLLBACK")
		}
		assert.DeepEqual(t, r.ok(t).tags, []string{"ROLLBACK"})
		assert.Equal(t, r.status, statement.Idle)
		a.query("SELECT 1").ok(t)
	}
}

// Guards against a statement that the proxy believes to be prepared on a connection although
// it was evicted there: the eviction succeeded and a later message of the batch failed.
func TestEvictionInFailedBatchIsRecorded(t *testing.T) {
	const limit = 256
	rig := newEmulatorRig(t, 1)
	a := rig.open(nil)
	for i := range limit {
		a.batch(&pgproto3.Parse{Name: fmt.Sprintf("s%d", i), Query: fmt.Sprintf("SELECT %d", i)}).ok(t)
	}
	r := a.batch(&pgproto3.Parse{Name: "new", Query: "SELECT 1000"}, &pgproto3.Parse{Name: "bad", Query: "nonsense"})
	assert.Equal(t, r.sqlState, "42601")
	for i := range 2 {
		r = a.batch(&pgproto3.Bind{PreparedStatement: fmt.Sprintf("s%d", i)}, &pgproto3.Execute{}).ok(t)
		assert.DeepEqual(t, r.rows, []string{fmt.Sprint(i)})
	}
}

// A connection's record of prepared statements counts each reply for its own message, in a
// batch that fails as well.
func TestFailedBatchRecordsWhatServerDid(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(nil)
	parse := func(name string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: "SELECT '" + name + "'"} }
	closing := func(name string) *pgproto3.Close { return &pgproto3.Close{ObjectType: 'S', Name: name} }
	a.batch(parse("closed"), parse("kept")).ok(t)
	r := a.batch(parse("before"), closing("closed"), &pgproto3.Parse{Name: "bad", Query: "nonsense"}, parse("after"), closing("kept"))
	assert.Equal(t, r.sqlState, "42601")
	c, err := rig.core.pool.Acquire(context.Background(), 1)
	assert.NilError(t, err)
	defer rig.core.pool.Release(c)
	for name, held := range map[string]bool{"before": true, "closed": false, "bad": false, "after": false, "kept": true} {
		assert.Equal(t, c.Prepared.Use(newPreparedStatement(parse(name)).sharedName), held, name)
	}
}

// Messages that the server skipped change none of the caller's prepared statements.
func TestSkippedMessagesChangeNoStatement(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(nil)
	a.batch(&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Parse{Name: "t", Query: "SELECT 2"}).ok(t)
	r := a.batch(&pgproto3.Parse{Name: "bad", Query: "nonsense"}, &pgproto3.Parse{Name: "s", Query: "SELECT 3"},
		&pgproto3.Close{ObjectType: 'S', Name: "t"}, &pgproto3.Parse{Name: "new", Query: "SELECT 4"})
	assert.Equal(t, r.sqlState, "42601")
	for name, row := range map[string]string{"s": "1", "t": "2"} {
		r = a.batch(&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}).ok(t)
		assert.DeepEqual(t, r.rows, []string{row})
	}
	for _, name := range []string{"bad", "new"} {
		r = a.batch(&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{})
		assert.Equal(t, r.sqlState, "26000", name)
	}
}
