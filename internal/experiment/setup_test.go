package experiment

import (
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func TestParseServerAndProxy(t *testing.T) {
	s, err := ParseServer("stock1/stock1-a=127.0.0.1:7111,127.0.0.1:8111,42")
	assert.NilError(t, err)
	assert.Equal(t, s, Server{Group: "stock1", ID: "stock1-a", Address: "127.0.0.1:7111", Control: "127.0.0.1:8111", Process: 42})
	p, err := ParseProxy("127.0.0.1:6432,127.0.0.1:6632,43")
	assert.NilError(t, err)
	assert.Equal(t, p, Proxy{Callers: "127.0.0.1:6432", Admin: "127.0.0.1:6632", Process: 43})
	// A signal to a process id of 1 or below would reach init or several processes.
	for _, text := range []string{"", "a/b=c,d", "a/b=c,d,1", "a/b=c,d,-4", "a=c,d,42", "a/b=c,42"} {
		_, err = ParseServer(text)
		assert.ErrorContains(t, err, "not GROUP/ID", text)
	}
	for _, text := range []string{"", "a,b", "a,b,0", "a,42"} {
		_, err = ParseProxy(text)
		assert.ErrorContains(t, err, "not CALLERS", text)
	}
}

func TestTargetGroupsAreFirstGroupsOfServices(t *testing.T) {
	s := SetUp{Servers: []Server{{Group: "x1", ID: "a"}, {Group: "x1", ID: "b"}, {Group: "x2", ID: "c"}, {Group: "y1", ID: "d"}}}
	assert.DeepEqual(t, s.targetGroups(), []tables.GroupID{"x1", "y1"})
	assert.Equal(t, len(s.members("x1")), 2)
}
