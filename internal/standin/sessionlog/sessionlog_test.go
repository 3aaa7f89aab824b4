package sessionlog

import (
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"gotest.tools/v3/assert"
)

func TestLogFindsForeignState(t *testing.T) {
	values := map[string]string{"account": "a"}
	for name, c := range map[string]struct {
		expected *State
		run      dbgroup.Run
		want     int
	}{
		"as expected":           {&State{Values: values, Text: "q"}, dbgroup.Run{Values: values, Text: "q"}, 0},
		"value missing":         {&State{Values: values}, dbgroup.Run{}, 1},
		"other value":           {&State{Values: values}, dbgroup.Run{Values: map[string]string{"account": "b"}}, 1},
		"other statement":       {&State{Text: "q"}, dbgroup.Run{Text: "r"}, 1},
		"foreign value":         {nil, dbgroup.Run{Values: values}, 1},
		"without session state": {nil, dbgroup.Run{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var l Log
			if c.expected != nil {
				l.Expect("1", *c.expected)
			}
			c.run.ID = "1"
			l.Record(c.run)
			assert.Equal(t, len(l.Violations()), c.want, "%v", l.Violations())
			assert.Equal(t, l.Ran() == 1, c.expected != nil)
		})
	}
}

func TestLogListsSomeViolations(t *testing.T) {
	var l Log
	for range 3 * maxListed {
		l.Record(dbgroup.Run{ID: "1", Text: "q"})
	}
	assert.Equal(t, len(l.Violations()), maxListed+1)
}
