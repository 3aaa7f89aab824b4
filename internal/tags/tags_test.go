package tags

import (
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"gotest.tools/v3/assert"
)

func age(d time.Duration) *time.Duration { return &d }

func TestFromComment(t *testing.T) {
	full := Tags{MaxAge: age(3 * time.Second), Idempotent: true, Declared: FieldMaxAge | FieldIdempotent}
	for _, c := range []struct {
		name, sql string
		want      Tags
	}{
		{"none", "SELECT 1", Tags{}},
		{"trailing", "SELECT 1 /*max_age='3s',idempotent='true'*/", full},
		{"trailing with semicolon", "SELECT 1 /*max_age='3s', idempotent='true'*/ ;\n", full},
		{"leading", " /*max_age='3s',idempotent='true'*/ SELECT 1", full},
		{"trailing wins", "/*max_age='9s'*/SELECT 1/*max_age='3s',idempotent='true'*/", full},
		{"keys of other tools", "SELECT 1 /*traceparent='00-ab',max_age='3s',idempotent='true',route='%2Fx'*/", full},
		{"URL-encoded", "SELECT 1 /*request_id='a%20b%27'*/", Tags{RequestID: "a b'", Declared: FieldRequestID}},
		{"escaped quote", `SELECT 1 /*request_id='a\'b'*/`, Tags{RequestID: "a'b", Declared: FieldRequestID}},
		{"prose", "SELECT 1 /* the price list */", Tags{}},
		{"hint", "/*+ SeqScan(t) */ SELECT 1", Tags{}},
		{"inside a string", "SELECT '/*max_age=''3s''*/'", Tags{}},
		{"unterminated", "/*max_age='3s' SELECT 1", Tags{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := FromComment(c.sql)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, c.want)
		})
	}
}

func TestInvalidValuesReturnBadTag(t *testing.T) {
	for _, sql := range []string{
		"SELECT 1 /*max_age='soon'*/",
		"SELECT 1 /*max_age='-1s'*/",
		"SELECT 1 /*max_age=3s*/",
		"SELECT 1 /*idempotent='maybe'*/",
		"SELECT 1 /*deadline='0s'*/",
		"SELECT 1 /*priority='101'*/",
		"SELECT 1 /*request_id='%zz'*/",
	} {
		_, err := FromComment(sql)
		e, ok := codes.From(err)
		assert.Assert(t, ok, sql)
		assert.Equal(t, e.Code, codes.BadTag, sql)
		assert.Equal(t, e.Ran, codes.NotRun, sql)
	}
}

func TestSetParameter(t *testing.T) {
	var tg Tags
	known, err := tg.SetParameter("cranberrystage.max_age", "0s")
	assert.Assert(t, known)
	assert.NilError(t, err)
	assert.Equal(t, *tg.MaxAge, time.Duration(0))
	known, err = tg.SetParameter("application_name", "x")
	assert.Assert(t, !known)
	assert.NilError(t, err)
	known, err = tg.SetParameter("cranberrystage.color", "x")
	assert.Assert(t, known)
	assert.ErrorContains(t, err, "no such tag")
}

func TestParseSet(t *testing.T) {
	for _, c := range []struct {
		sql  string
		want Assignment
		ok   bool
	}{
		{"SET cranberrystage.max_age = '3s'", Assignment{"max_age", "3s"}, true},
		{"set session Cranberrystage.Max_Age to '3s';", Assignment{"max_age", "3s"}, true},
		{"SET cranberrystage.idempotent=true", Assignment{"idempotent", "true"}, true},
		{"SET cranberrystage.max_age TO DEFAULT", Assignment{"max_age", ""}, true},
		{"SET cranberrystage.request_id = 'it''s'", Assignment{"request_id", "it's"}, true},
		{"SET cranberrystage.request_id = 'a'; DROP TABLE t; --'", Assignment{}, false},
		{"SET cranberrystage.request_id = 'a' 'b'", Assignment{}, false},
		{"SET search_path = x", Assignment{}, false},
		{"SETTLE cranberrystage.x = 1", Assignment{}, false},
		{"SELECT 1", Assignment{}, false},
	} {
		got, ok := ParseSet(c.sql)
		assert.Equal(t, ok, c.ok, c.sql)
		if ok {
			assert.Equal(t, got, c.want, c.sql)
		}
	}
}

func TestParseReset(t *testing.T) {
	for _, c := range []struct {
		sql  string
		want string
		ok   bool
	}{
		{"RESET cranberrystage.max_age", "max_age", true},
		{"reset Cranberrystage.Max_Age ;", "max_age", true},
		{"RESET cranberrystage.", "", false},
		{"RESET cranberrystage.max_age; DROP TABLE t", "", false},
		{"RESET ALL", "", false},
		{"RESET search_path", "", false},
	} {
		got, ok := ParseReset(c.sql)
		assert.Equal(t, ok, c.ok, c.sql)
		if ok {
			assert.Equal(t, got, Assignment{Name: c.want}, c.sql)
		}
	}
}

func service() config.Service {
	five := config.Duration(5 * time.Second)
	return config.Service{
		Deadline: config.Duration(2 * time.Second),
		Intents: []config.Intent{
			{Name: "shelf", MaxAge: &five, Idempotent: true, Priority: 1},
			{Name: "order", Priority: 9, Deadline: config.Duration(time.Second)},
		},
	}
}

func TestResolveFillsInTheIntent(t *testing.T) {
	got, err := Tags{Intent: "shelf", Declared: FieldIntent}.Resolve(service())
	assert.NilError(t, err)
	assert.Equal(t, *got.MaxAge, 5*time.Second)
	assert.Assert(t, got.Idempotent)
	assert.Equal(t, got.Deadline, 2*time.Second)

	explicit := Tags{Intent: "shelf", MaxAge: age(time.Second), Declared: FieldIntent | FieldMaxAge}
	got, err = explicit.Resolve(service())
	assert.NilError(t, err)
	assert.Equal(t, *got.MaxAge, time.Second)

	_, err = Tags{Intent: "none"}.Resolve(service())
	assert.ErrorContains(t, err, "no intent")
}

func TestStatementOverridesConnection(t *testing.T) {
	connection := Tags{MaxAge: age(5 * time.Second), Idempotent: true, Session: "s", Declared: FieldMaxAge | FieldIdempotent | FieldSession}
	order, err := Tags{Intent: "order", Declared: FieldIntent}.Resolve(service())
	assert.NilError(t, err)
	got := Merge(connection, order)
	assert.Assert(t, got.MaxAge == nil, "an intent without max_age declares the primary")
	assert.Assert(t, !got.Idempotent)
	assert.Equal(t, got.Session, "s")
	assert.Equal(t, got.Deadline, time.Second)
	assert.DeepEqual(t, Merge(connection, Tags{}), connection)
}

func TestQueryWithoutCommentDoesNotAllocate(t *testing.T) {
	n := testing.AllocsPerRun(100, func() {
		if _, err := FromComment("SELECT v FROM t WHERE k = 'x'"); err != nil {
			t.Fatal(err)
		}
	})
	assert.Equal(t, n, 0.0)
}

func FuzzFromComment(f *testing.F) {
	f.Add("SELECT 1 /*max_age='3s',idempotent='true'*/")
	f.Add("/*request_id='a\\'b%20'*/ SELECT 1;")
	f.Add("/*/")
	f.Fuzz(func(t *testing.T, sql string) {
		got, err := FromComment(sql)
		if err != nil {
			e, ok := codes.From(err)
			if !ok || e.Code != codes.BadTag || got.Declared != 0 {
				t.Fatalf("%q: %v", sql, err)
			}
			return
		}
		if got.MaxAge != nil && *got.MaxAge < 0 || got.Deadline < 0 {
			t.Fatalf("%q: negative duration", sql)
		}
	})
}

func FuzzParseSet(f *testing.F) {
	f.Add("SET cranberrystage.max_age = '3s'")
	f.Add("SET cranberrystage.x='")
	f.Fuzz(func(t *testing.T, sql string) {
		a, ok := ParseSet(sql)
		if !ok {
			return
		}
		again, ok := ParseSet("SET " + Prefix + a.Name + " = '" + strings.ReplaceAll(a.Value, "'", "''") + "'")
		if !ok || again != a {
			t.Fatalf("%q: %+v became %+v", sql, a, again)
		}
	})
}

func BenchmarkFromCommentNone(b *testing.B) {
	for b.Loop() {
		_, _ = FromComment("SELECT v FROM t WHERE k = 'x'")
	}
}

func BenchmarkFromComment(b *testing.B) {
	for b.Loop() {
		_, _ = FromComment("SELECT v FROM t WHERE k = 'x' /*max_age='3s',idempotent='true'*/")
	}
}

func TestResetRestoresInitialValue(t *testing.T) {
	names := []string{NameMaxAge, NameIdempotent, NameRequestID, NameDeadline, NameSession, NameIntent, NamePriority}
	values := map[string]string{NameMaxAge: "1s", NameIdempotent: "true", NameDeadline: "2s", NamePriority: "3"}
	for _, name := range names {
		value := values[name]
		if value == "" {
			value = "x"
		}
		var initial, set Tags
		assert.NilError(t, set.Set(name, value))
		assert.Assert(t, set.Declared != 0, name)
		assert.NilError(t, set.Reset(name, initial))
		assert.DeepEqual(t, set, initial)
		assert.NilError(t, initial.Set(name, value))
		assert.NilError(t, set.Reset(name, initial))
		assert.DeepEqual(t, set, initial)
	}
	var none Tags
	assert.ErrorContains(t, none.Reset("maxage", none), "no such tag")
}
