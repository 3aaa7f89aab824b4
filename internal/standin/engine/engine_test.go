package engine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	cases := []struct {
		sql  string
		kind Kind
		args int
	}{
		{"SELECT v FROM shelf WHERE k = 'a''b'", KindSelectKey, 1},
		{"select count(*) from orders where v=$1", KindCountValue, 1},
		{"INSERT INTO orders (k, v) VALUES ($1, 'x')", KindInsertKey, 2},
		{"insert into log(v) values('x') /*request_id='1'*/", KindInsertKeyless, 1},
		{"UPDATE t SET v = 'b' WHERE k = 'a'", KindUpdateKey, 2},
		{"DELETE FROM t WHERE k='a'", KindDeleteKey, 1},
		{"begin read write", KindBegin, 0},
		{"SELECT 1", KindSelectOne, 1},
		{"select cs_follow('a', '127.0.0.1:1', 3)", KindFunction, 3},
		{"select cs_status()", KindFunction, 0},
		{"SET x.y = 'z'", KindSet, 1},
		{"DISCARD ALL", KindReset, 0},
		{" /* nothing */ ", KindEmpty, 0},
	}
	for _, c := range cases {
		s, err := Parse(c.sql)
		assert.NilError(t, err, c.sql)
		assert.Equal(t, s.Kind, c.kind, c.sql)
		assert.Equal(t, len(s.Args), c.args, c.sql)
	}
}

func TestUpdateArgumentsAreKeyThenValue(t *testing.T) {
	s, err := Parse("UPDATE t SET v = 'new' WHERE k = 'key'")
	assert.NilError(t, err)
	assert.Equal(t, s.Args[0].Text, "key")
	assert.Equal(t, s.Args[1].Text, "new")
}

func TestSplitIgnoresSemicolonsInLiteralsAndComments(t *testing.T) {
	got := Split("select ';'; /* ; */ select 2;")
	assert.DeepEqual(t, got, []string{"select ';'", " /* ; */ select 2"})
}

func TestReadsIncludePendingOperations(t *testing.T) {
	s := NewState()
	s.ApplyOp(Op{Kind: OpInsert, Table: "t", Key: "a", Value: "1"})
	pending := []Op{{Kind: OpUpdate, Table: "t", Key: "a", Value: "2"}}
	v, ok := s.Get("t", "a", pending)
	assert.Assert(t, ok)
	assert.Equal(t, v, "2")
	v, _ = s.Get("t", "a", nil)
	assert.Equal(t, v, "1")
	assert.ErrorIs(t, s.Check([]Op{{Kind: OpInsert, Table: "t", Key: "a"}}), ErrDuplicateKey)
}
