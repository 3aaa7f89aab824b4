package sqltext

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSplit(t *testing.T) {
	cases := []struct {
		sql  string
		want []string
	}{
		{"select 1", []string{"select 1"}},
		{"select 1; set x = 1;", []string{"select 1", " set x = 1"}},
		{"select ';' ; select E'\\';' ;", []string{"select ';' ", " select E'\\';' "}},
		{`select "a;b"; b`, []string{`select "a;b"`, " b"}},
		{"select $$;$$; select $t$ ; $$ ; $t$; c", []string{"select $$;$$", " select $t$ ; $$ ; $t$", " c"}},
		{"select $1; d", []string{"select $1", " d"}},
		{"select 1 -- ; no\n; e", []string{"select 1 -- ; no\n", " e"}},
		{"/* a /* ; */ ; */ f; g", []string{"/* a /* ; */ ; */ f", " g"}},
		{"where('x;", []string{"where('x;"}},
		{"a'\\'; set x", []string{"a'\\'", " set x"}},
		{" ; /* */ ; ", nil},
		{"", nil},
	}
	for _, c := range cases {
		assert.DeepEqual(t, Split(c.sql), c.want)
	}
}

func TestWords(t *testing.T) {
	assert.DeepEqual(t, Words("/*x='y'*/ SET Session \"q\" work_mem = 3", 3), []string{"set", "session", "work_mem"})
	assert.Equal(t, FirstWord("-- c\n (SELECT 1)"), "select")
	assert.Assert(t, HasWord("select pg_advisory_lock(1)", func(w string) bool { return w == "pg_advisory_lock" }))
	assert.Assert(t, !HasWord("select 'pg_advisory_lock'", func(w string) bool { return w == "pg_advisory_lock" }))
}

func FuzzSplit(f *testing.F) {
	for _, s := range []string{"select 1; b", "$a$;$a$;", "E'\\';", "/*/*;*/", "--\n;", "\"", "$", "e'"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		for _, part := range Split(sql) {
			assert.Assert(t, strings.Contains(sql, part))
			assert.Assert(t, FirstWord(part) != "")
		}
		_ = Words(sql, 5)
	})
}
