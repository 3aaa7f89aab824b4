package teamlog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// Each check must find the violation that it is for, or the soak and the walks would
// pass with any proxy.
func TestViolationsAreFound(t *testing.T) {
	holders := map[string]Holder{"a": {Team: "red"}, "b": {Team: "blue", RevokedAt: start}}
	for name, c := range map[string]struct {
		run  dbgroup.Run
		want string
	}{
		"right team":          {dbgroup.Run{ID: "a.1", User: "red", At: start.Add(time.Hour)}, ""},
		"another team":        {dbgroup.Run{ID: "a.1", User: "blue"}, "of team red ran for blue"},
		"the proxy":           {dbgroup.Run{ID: "a.1", User: "vm0"}, "of team red ran for vm0"},
		"unknown key":         {dbgroup.Run{ID: "c.1", User: "red"}, "whose key no team has"},
		"before the removal":  {dbgroup.Run{ID: "b.1", User: "blue", At: start}, ""},
		"too long after that": {dbgroup.Run{ID: "b.1", User: "blue", At: start.Add(1)}, "ran 1ns after its key"},
	} {
		t.Run(name, func(t *testing.T) {
			l := &Log{}
			l.Record(c.run)
			got := strings.Join(l.Violations(holders, nil), "\n")
			assert.Assert(t, strings.Contains(got, c.want) && (c.want == "") == (got == ""), got)
		})
	}
}

// The bound of a window is that of the requirement: (2 x 5 + 4) x 1.1 + 20 = 35.4.
func TestWindowOverLimitIsFound(t *testing.T) {
	holders := map[string]Holder{"a": {Team: "red"}}
	for _, c := range []struct {
		operations int
		interval   time.Duration
		limit      Limit
		broken     bool
	}{
		{35, time.Millisecond, Limit{Rate: 2, Burst: 4}, false},
		{36, time.Millisecond, Limit{Rate: 2, Burst: 4}, true},
		{36, 143 * time.Millisecond, Limit{Rate: 2, Burst: 4}, false}, // longer than a window
		{36, time.Millisecond, Limit{}, false},
	} {
		l := &Log{}
		for i := range c.operations {
			at := start.Add(time.Duration(i) * c.interval)
			id := ID("a", uint64(i))
			l.Record(dbgroup.Run{ID: id, User: "red", At: at})
			l.Record(dbgroup.Run{ID: id, User: "red", At: at})                        // a retried read
			l.Record(dbgroup.Run{ID: id + "t", User: "red", At: at, Continues: true}) // a transaction
			l.Record(dbgroup.Run{ID: fmt.Sprintf("a.o%d", i), User: "blue", At: at})  // another team's
		}
		got := l.Violations(map[string]Holder{"a": holders["a"]}, map[string]Limit{"red": c.limit})
		broken := strings.Contains(strings.Join(got, "\n"), "operations in the window")
		assert.Equal(t, broken, c.broken, "%d each %s: %v", c.operations, c.interval, got)
	}
}
