// Package teamlog records which statements the emulated servers ran for whom, and
// checks the promises to teams from the servers' side. It holds every statement of a
// run in memory, some 10^5.
package teamlog

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
)

// Settings of the platform that bound what a team runs (docs/design/teams-and-uneven-load.md).
const (
	// window is the length of the sliding windows of limits.
	window = 5 * time.Second
	// overshoot is the share and slack the number of operations by which a window may
	// exceed a limit.
	overshoot = 0.1
	slack     = 20
)

// Limit is a team's limit of operations; no limit if Rate is 0.
type Limit struct {
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64
}

// Holder is a caller or several that use one key.
type Holder struct {
	// Team is the team that has the key; empty if no team has it.
	Team string
	// RevokedAt is the time from which nothing may run for the key; zero while it is
	// in use.
	RevokedAt time.Time
}

// Log holds the statements that servers ran. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	runs []dbgroup.Run
}

// Record adds a statement. It can be passed to dbgroup.Group.Observe.
func (l *Log) Record(r dbgroup.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// ID returns the ID for a holder's n-th statement, by which the log recognizes the
// holder.
func ID(holder string, n uint64) string { return fmt.Sprintf("%s.%x", holder, n) }

// Count returns how many statements ran for a holder.
func (l *Log) Count(holder string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if name, _, _ := strings.Cut(r.ID, "."); name == holder {
			n++
		}
	}
	return n
}

// maxListed limits the statements that Violations lists.
const maxListed = 20

// Violations returns the broken promises: statements that ran for another team than
// the holder's, for an unknown key or for a key that was removed, and windows with too
// many operations. holders are by name.
func (l *Log) Violations(holders map[string]Holder, limits map[string]Limit) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, r := range l.runs {
		name, _, _ := strings.Cut(r.ID, ".")
		h := holders[name]
		switch {
		case h.Team == "":
			out = append(out, fmt.Sprintf("statement %s, whose key no team has, ran for %s", r.ID, r.User))
		case h.Team != r.User:
			out = append(out, fmt.Sprintf("statement %s of team %s ran for %s", r.ID, h.Team, r.User))
		case !h.RevokedAt.IsZero() && r.At.After(h.RevokedAt):
			out = append(out, fmt.Sprintf("statement %s ran %s after its key was to be out of use", r.ID, r.At.Sub(h.RevokedAt)))
		}
	}
	if n := len(out) - maxListed; n > 0 {
		out = append(out[:maxListed], fmt.Sprintf("%d more statements", n))
	}
	for team, limit := range limits {
		if n, at, ok := busiestWindow(l.operations(team)); ok && limit.Rate > 0 && float64(n) > limit.perWindow() {
			out = append(out, fmt.Sprintf("team %s ran %d operations in the window from %s, %.0f are allowed",
				team, n, at.Format("15:04:05.000"), limit.perWindow()))
		}
	}
	return out
}

// perWindow returns how many operations a window may have.
func (l Limit) perWindow() float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+overshoot) + slack
}

// operations returns when the operations of a team began, in order. A transaction is
// one operation, also a statement that was retried at another server. The caller holds
// the lock.
func (l *Log) operations(team string) []time.Time {
	var out []time.Time
	seen := make(map[string]bool)
	for _, r := range l.runs {
		if r.User != team || r.Continues || seen[r.ID] {
			continue
		}
		seen[r.ID] = true
		out = append(out, r.At)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// busiestWindow returns the largest number of times in one window, and the window's
// begin. ok is false if there are no times.
func busiestWindow(times []time.Time) (n int, at time.Time, ok bool) {
	for i, end := 0, 0; i < len(times); i++ {
		for end < len(times) && times[end].Sub(times[i]) < window {
			end++
		}
		if end-i > n {
			n, at, ok = end-i, times[i], true
		}
	}
	return n, at, ok
}
