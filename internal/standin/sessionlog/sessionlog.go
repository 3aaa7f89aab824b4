// Package sessionlog checks from the servers' side that callers' statements run with the
// session values and the prepared statements that were acknowledged to their callers.
package sessionlog

import (
	"fmt"
	"maps"
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
)

// State is the session state with which a statement must run.
type State struct {
	// Values are the session values by name.
	Values map[string]string
	// Text is the definition of the prepared statement that is executed; empty if none is.
	Text string
}

// Log compares the statements that servers run with what their callers expect. It is
// safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	expected   map[string]State
	ran        int
	violations []string
}

// maxListed limits the statements that Violations lists.
const maxListed = 20

// Expect records the state with which a statement must run; it is called before the
// statement is sent. A statement without an expectation must run without session values.
func (l *Log) Expect(id string, s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expected == nil {
		l.expected = make(map[string]State)
	}
	l.expected[id] = State{Values: maps.Clone(s.Values), Text: s.Text}
}

// Record checks a statement that a server ran. It can be passed to dbgroup.Group.Observe.
func (l *Log) Record(r dbgroup.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	want, ok := l.expected[r.ID]
	if ok {
		l.ran++
	}
	if maps.Equal(r.Values, want.Values) && r.Text == want.Text || len(l.violations) > maxListed {
		return
	}
	if len(l.violations) == maxListed {
		l.violations = append(l.violations, "further statements")
		return
	}
	l.violations = append(l.violations, fmt.Sprintf("%s ran at %s with %v and the text %q; its caller has %v and %q",
		r.ID, r.At.Format("15:04:05.000"), r.Values, r.Text, want.Values, want.Text))
}

// Ran returns how many statements with an expectation ran.
func (l *Log) Ran() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran
}

// Violations returns the statements that ran with another state than expected.
func (l *Log) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}
