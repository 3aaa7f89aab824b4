package pgsession

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"gotest.tools/v3/assert"
)

// step is a request of the fault matrix: the statements that precede it and the
// statement that the fault hits.
type step struct {
	name   string
	before []string
	sql    string
	reads  bool
}

var steps = []step{
	{name: "read", sql: "SELECT one", reads: true},
	{name: "write", sql: "INSERT order"},
	{name: "transaction statement", before: []string{"BEGIN"}, sql: "INSERT order"},
	{name: "commit", before: []string{"BEGIN", "INSERT order"}, sql: "COMMIT"},
}

// shortDeadline is short because the response of some requests never comes.
const shortDeadline = 150 * time.Millisecond

// TestFaultMatrix applies every fault to every kind of request, once or
// permanently, and checks that the number of executions agrees with the outcome
// that the caller received.
func TestFaultMatrix(t *testing.T) {
	cells := 0
	for _, st := range steps {
		for f := faultNone; f <= faultRejected; f++ {
			for _, idempotent := range []bool{false, true} {
				for _, always := range []bool{false, true} {
					cells++
					name := fmt.Sprintf("%s/%s/idempotent=%v/always=%v", st.name, faultNames[f], idempotent, always)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						runCell(t, st, f, idempotent, always)
					})
				}
			}
		}
	}
	assert.Equal(t, cells, 128)
}

func runCell(t *testing.T, st step, f fault, idempotent, always bool) {
	server := newScriptedServer(t)
	defer close(server.release)
	rig := newRig(t, server.listener.Addr().String(), upstream.Limits{Connections: 2, Slots: 2})
	c := rig.open(map[string]string{
		"cranberrystage.idempotent": fmt.Sprint(idempotent),
		"cranberrystage.deadline":   shortDeadline.String(),
	})
	for _, sql := range st.before {
		c.query(sql).ok(t)
	}
	server.arm(st.sql, f, always)
	r := c.query(st.sql)
	server.arm("", faultNone, false)
	checkCell(t, st, f, idempotent, server.executions(st.sql), r)
	checkLaterRequests(t, rig, c)
}

// checkCell compares the outcome that the caller received with what the server
// did.
func checkCell(t *testing.T, st step, f fault, idempotent bool, executed int, r reply) {
	if len(st.before) > 1 || !idempotent {
		assert.Assert(t, executed <= 1, "executed %d times", executed)
	}
	inTransaction := len(st.before) > 0
	switch {
	case r.err == nil && r.sqlState == "":
		assert.Assert(t, executed >= 1, "a response without an execution")
		checkComplete(t, st, r)
	case r.err == nil:
		assert.Assert(t, f == faultError || f == faultRejected)
		assert.Equal(t, executed, 0)
	case r.ran() == codes.NotRun:
		assert.Equal(t, executed, 0, "not run, but executed")
		assert.Equal(t, f, faultRejected, "only a rejection is certainly not run: %v", r.err)
	default:
		assert.Equal(t, r.ran(), codes.Unknown, "%v", r.err)
		assert.Assert(t, f != faultNone && f != faultError, "%v", r.err)
		assert.Equal(t, len(r.tags), 0, "an incomplete response was passed on")
	}
	if f == faultNone {
		assert.NilError(t, r.err)
	}
	if f == faultError {
		assert.Equal(t, r.sqlState, "23505")
	}
	if inTransaction && r.err != nil {
		assert.Equal(t, r.status, statement.Failed, "the caller must roll back")
	}
}

func checkComplete(t *testing.T, st step, r reply) {
	assert.Equal(t, len(r.tags), 1)
	if st.reads {
		assert.DeepEqual(t, r.rows, []string{"answer to " + st.sql, "end of " + st.sql})
	}
}

// checkLaterRequests checks that later requests of this caller and of another
// one get their own responses.
func checkLaterRequests(t *testing.T, rig *rig, c *testCaller) {
	if c.s.status != statement.Idle {
		c.query("ROLLBACK").ok(t)
	}
	other := rig.open(nil)
	for i := range 4 {
		sql := fmt.Sprintf("SELECT next%d", i)
		caller := c
		if i%2 == 1 {
			caller = other
		}
		r := caller.query(sql).ok(t)
		assert.DeepEqual(t, r.rows, []string{"answer to " + sql, "end of " + sql})
	}
}

func TestReadOnlyErrorOfConfirmedPrimaryReachesCaller(t *testing.T) {
	server := newScriptedServer(t)
	defer close(server.release)
	rig := newRig(t, server.listener.Addr().String(), upstream.Limits{Connections: 1, Slots: 1})
	c := rig.open(nil)
	server.arm("INSERT", faultRejected, true)
	r := c.query("INSERT order")
	assert.NilError(t, r.err)
	assert.Equal(t, r.sqlState, "25006")
	assert.Equal(t, r.kinds, "E")
	server.arm("INSERT", faultRejected, false)
	c.query("INSERT order").ok(t)
}

func TestRejectionByUnconfirmedPrimaryReportsNotRun(t *testing.T) {
	server := newScriptedServer(t)
	defer close(server.release)
	rig := newRig(t, server.listener.Addr().String(), upstream.Limits{Connections: 1, Slots: 1})
	rig.core.disableConfirm()
	server.arm("INSERT", faultRejected, true)
	r := rig.open(nil).query("INSERT order")
	assert.Equal(t, r.ran(), codes.NotRun, "%v", r.err)
	assert.Equal(t, server.executions("INSERT order"), 0)
}

func TestLateResponseIsDiscarded(t *testing.T) {
	server := newScriptedServer(t)
	rig := newRig(t, server.listener.Addr().String(), upstream.Limits{Connections: 1, Slots: 1})
	a, b := rig.open(nil), rig.open(nil)
	server.arm("SELECT late", faultLate, false)
	got := make(chan reply)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { got <- a.run(ctx, &callers.Batch{Simple: true, Query: "SELECT late"}) }()
	assert.NilError(t, poll(func() bool { return server.executions("SELECT late") == 1 }))
	a.s.Cancel()
	cancel()
	r := <-got
	assert.Equal(t, r.ran(), codes.Unknown)
	close(server.release)
	for i := range 3 {
		sql := fmt.Sprintf("SELECT next%d", i)
		assert.DeepEqual(t, b.query(sql).ok(t).rows, []string{"answer to " + sql, "end of " + sql})
	}
}

func TestCancelWhileWaitingReportsNotRun(t *testing.T) {
	server := newScriptedServer(t)
	defer close(server.release)
	rig := newRig(t, server.listener.Addr().String(), upstream.Limits{Connections: 1, Slots: 1})
	holder, waiting := rig.open(nil), rig.open(nil)
	holder.query("BEGIN").ok(t)
	got := make(chan reply)
	go func() { got <- waiting.query("INSERT never") }()
	assert.NilError(t, poll(func() bool { return rig.core.pool.Waiting() == 1 }))
	waiting.s.Cancel()
	r := <-got
	assert.Equal(t, r.ran(), codes.NotRun, "%v", r.err)
	assert.Equal(t, server.executions("INSERT never"), 0)
}

func TestClosedSessionInTransactionFreesSlot(t *testing.T) {
	server := newScriptedServer(t)
	rig := newRig(t, server.listener.Addr().String(), upstream.Limits{Connections: 1, Slots: 1})
	closed, next := rig.open(nil), rig.open(nil)
	closed.query("BEGIN").ok(t)
	closed.s.Close()
	next.query("SELECT free").ok(t)
}

// poll waits until ok.
func poll(ok func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}
