package pgsession

import (
	"fmt"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

func (c *testCaller) show(name string) string {
	c.t.Helper()
	r := c.query("SHOW " + name).ok(c.t)
	assert.Equal(c.t, len(r.rows), 1)
	return r.rows[0]
}

func TestSettingsFollowSessionWithoutLeaking(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a, b := rig.open(nil), rig.open(nil)
	a.query("SET work_mem = '8MB'").ok(t)
	assert.Equal(t, b.show("work_mem"), "")
	assert.Equal(t, a.show("work_mem"), "8MB")
	b.query("SET work_mem TO 1; SET x.y = 'z'").ok(t)
	assert.Equal(t, a.show("work_mem"), "8MB")
	assert.Equal(t, a.show("x.y"), "")
	assert.Equal(t, b.show("x.y"), "z")
	a.query("RESET work_mem").ok(t)
	assert.Equal(t, a.show("work_mem"), "")
	b.query("RESET ALL").ok(t)
	assert.Equal(t, b.show("x.y"), "")
}

func TestSettingsInExtendedProtocolAndPipelines(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a, b := rig.open(nil), rig.open(nil)
	a.batch(
		&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{},
		&pgproto3.Parse{Query: "SET work_mem = '8MB'"}, &pgproto3.Bind{}, &pgproto3.Execute{},
	).ok(t)
	assert.Equal(t, b.show("work_mem"), "")
	assert.Equal(t, a.show("work_mem"), "8MB")
	a.batch(&pgproto3.Parse{Name: "s", Query: "SET work_mem = '9MB'"}).ok(t)
	a.batch(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}).ok(t)
	assert.Equal(t, b.show("work_mem"), "")
	assert.Equal(t, a.show("work_mem"), "9MB")
}

func TestSettingsInTransactions(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a, b := rig.open(nil), rig.open(nil)
	a.query("BEGIN").ok(t)
	a.query("SET work_mem = '8MB'").ok(t)
	a.query("ROLLBACK").ok(t)
	assert.Equal(t, a.show("work_mem"), "")
	a.query("BEGIN").ok(t)
	a.query("SET work_mem = '8MB'").ok(t)
	a.query("SET LOCAL x = '1'").ok(t)
	assert.Equal(t, a.show("x"), "1")
	a.query("COMMIT").ok(t)
	assert.Equal(t, b.show("work_mem"), "")
	assert.Equal(t, b.show("x"), "")
	assert.Equal(t, a.show("work_mem"), "8MB")
	assert.Equal(t, a.show("x"), "")
	// A transaction that failed before COMMIT leaves no setting.
	a.query("BEGIN").ok(t)
	a.query("SET work_mem = '9MB'").ok(t)
	assert.Equal(t, a.query("nonsense").sqlState, "42601")
	assert.DeepEqual(t, a.query("COMMIT").tags, []string{"ROLLBACK"})
	assert.Equal(t, a.show("work_mem"), "8MB")
}

func TestFailedStatementRecordsNoSetting(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a, b := rig.open(nil), rig.open(nil)
	assert.Equal(t, a.query("SET work_mem = '8MB'; nonsense").sqlState, "42601")
	assert.Equal(t, b.show("work_mem"), "")
	assert.Equal(t, a.show("work_mem"), "")
}

func TestStartupParametersAreSettings(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(map[string]string{"user": "u", "extra_float_digits": "2", "client_encoding": "UTF8", "TimeZone": `it's\`})
	b := rig.open(nil)
	assert.Equal(t, a.show("extra_float_digits"), "2")
	assert.Equal(t, b.show("extra_float_digits"), "")
	a.query("SET extra_float_digits = 3").ok(t)
	a.query("RESET extra_float_digits").ok(t)
	assert.Equal(t, a.show("extra_float_digits"), "2")
	list, err := startupSettings(map[string]string{"client_encoding": "'utf-8'", "DateStyle": "ISO, MDY"})
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	for _, bad := range []string{"replication", "options", "x;y"} {
		_, err := startupSettings(map[string]string{bad: "database"})
		assert.Equal(t, code(err), codes.Unsupported, bad)
	}
}

func TestResetAppliesToTags(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(map[string]string{"cranberrystage.priority": "5"})
	for _, reset := range []string{"RESET cranberrystage.max_age", "RESET ALL", "DISCARD ALL"} {
		a.query("SET cranberrystage.max_age = '3s'").ok(t)
		assert.Assert(t, a.s.tags.MaxAge != nil, reset)
		a.query(reset).ok(t)
		assert.DeepEqual(t, a.s.tags, a.s.startupTags)
	}
	assert.Equal(t, a.s.tags.Priority, 5)
	a.query("SET cranberrystage.priority = 7").ok(t)
	a.query("RESET cranberrystage.priority").ok(t)
	assert.Equal(t, a.s.tags.Priority, 5)
	assert.Equal(t, code(a.query("RESET cranberrystage.maxage").err), codes.BadTag)
}

func TestOtherSessionStateIsRefused(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(nil)
	for _, sql := range []string{
		"LISTEN x", "PREPARE p AS SELECT 1", "EXECUTE p", "LOAD 'x'",
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1",
		"CREATE TEMP TABLE t (a int)", "create local temporary table t (a int)",
		"SELECT 1 INTO TEMP t", "WITH x AS (SELECT 1) SELECT * INTO TEMPORARY t FROM x",
		"SELECT pg_advisory_lock(1)", "SELECT 1 FROM a WHERE pg_catalog.pg_try_advisory_lock_shared(1)",
		"SELECT pg_advisory_unlock_all()", "DO $$BEGIN END$$; SELECT pg_advisory_lock(1)",
		"SET ROLE x", "SET SESSION AUTHORIZATION x", `SET "role" TO x`, "SET standard_conforming_strings = off",
		"SELECT 1; LISTEN x", "/* a */ LISTEN x", "-- a\nLISTEN x", "SELECT 1; DISCARD ALL",
		"SET cranberrystage.max_age = '1s'; SELECT 1",
		"ROLLBACK; SET a = 1", "BEGIN; SET a = 1; ROLLBACK TO SAVEPOINT s",
	} {
		r := a.query(sql)
		assert.Assert(t, code(r.err) == codes.SessionState || code(r.err) == codes.BadTag, "%s: %v", sql, r.err)
		assert.Equal(t, r.ran(), codes.NotRun, sql)
		r = a.batch(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{},
			&pgproto3.Parse{Query: "LISTEN x"}, &pgproto3.Bind{}, &pgproto3.Execute{})
		assert.Equal(t, code(r.err), codes.SessionState)
	}
	for _, sql := range []string{
		"SELECT pg_advisory_xact_lock(1)", "DECLARE c CURSOR WITHOUT HOLD FOR SELECT 1",
		"SELECT 'LISTEN x; pg_advisory_lock(1)'", "SET LOCAL x = 1", "SET TRANSACTION READ ONLY",
	} {
		_, err := inspect(sql, true)
		assert.NilError(t, err, sql)
	}
	_, err := inspect("CREATE TEMP TABLE t (a int) ON COMMIT DROP", true)
	assert.NilError(t, err)
}

func TestSessionSettingsAreLimited(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(nil)
	for i := range maxSettings {
		a.query(fmt.Sprintf("SET x.y%d = 1", i)).ok(t)
	}
	assert.Equal(t, code(a.query("SET x.z = 1").err), codes.SessionState)
	a.query("DISCARD ALL").ok(t)
	a.query("SET x.z = 1").ok(t)
}

func TestLocalStatementsInExtendedProtocol(t *testing.T) {
	rig := newEmulatorRig(t, 1)
	a := rig.open(nil)
	extended := func(sql string) reply {
		return a.batch(&pgproto3.Parse{Query: sql}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Bind{}, &pgproto3.Execute{})
	}
	r := extended("SET cranberrystage.max_age = '3s'").ok(t)
	assert.Equal(t, r.kinds, "1n2C")
	assert.Equal(t, a.s.tags.MaxAge.String(), "3s")
	a.batch(&pgproto3.Parse{Name: "p", Query: "SELECT 1"}).ok(t)
	extended("DEALLOCATE ALL").ok(t)
	r = a.batch(&pgproto3.Bind{PreparedStatement: "p"}, &pgproto3.Execute{})
	assert.Equal(t, r.sqlState, "26000")
}

func TestHiddenSettingChangesAreDetected(t *testing.T) {
	c, err := inspect("SELECT set_config('a', 'b', false)", false)
	assert.NilError(t, err)
	assert.Equal(t, c.kind, changeHidden)
	c, err = inspect("DO $$BEGIN SET x = 1; END$$", false)
	assert.NilError(t, err)
	assert.Equal(t, c.kind, changeHidden)
}
