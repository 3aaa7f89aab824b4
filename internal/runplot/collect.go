// Package runplot draws a run as an operator looks at it: what was served,
// refused and late over time, with the faults that proxies met and the changes
// of primaries and configurations.
package runplot

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/burn"
	"github.com/cranberrystage/cranberrystage/internal/logread"
	"github.com/pkg/errors"
)

// Bin is what happened in one span of a run, over all proxies.
type Bin struct {
	// Refused and Late are statements, from log lines: fewer than there were if
	// proxies dropped lines.
	Refused, Late int
	// Served are statements, from metrics.
	Served float64
	// Stopped, Started, Lost and Isolated are proxies that ended, began, lost the
	// store, or came to be cut off.
	Stopped, Started, Lost, Isolated int
}

// Mark is one change that is drawn as a line.
type Mark struct {
	At    time.Time
	Label string
}

// Run is a run in spans of Width from From on.
type Run struct {
	From  time.Time
	Width time.Duration
	Bins  []Bin
	Marks []Mark
	// Measured says that Served is known.
	Measured bool
}

// ErrEmpty means that no line has a time.
var ErrEmpty = errors.New("runplot: no log lines")

// Collect puts log lines, in any order, into spans of a width.
func Collect(lines []logread.Line, width time.Duration) (*Run, error) {
	if len(lines) == 0 {
		return nil, ErrEmpty
	}
	first, last := lines[0].Time, lines[0].Time
	for _, l := range lines {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	r := &Run{From: first.Truncate(width), Width: width}
	r.Bins = make([]Bin, int(last.Sub(r.From)/width)+1)
	seen := make(map[string]bool)
	for i := range lines {
		r.add(&lines[i], seen)
	}
	return r, nil
}

// add counts one line. seen holds the labels drawn, for each proxy tells of a
// configuration.
func (r *Run) add(l *logread.Line, seen map[string]bool) {
	b := &r.Bins[int(l.Time.Sub(r.From)/r.Width)]
	switch l.Message {
	case "Refused a statement.":
		b.Refused++
	case "Answered a statement late.":
		b.Late++
	case "Stopped.":
		b.Stopped++
	case "Started.":
		b.Started++
	case "Lost the metadata store.":
		b.Lost++
	case "Isolation changed.":
		if l.Value("isolated") == "true" {
			b.Isolated++
		}
	case "Announced the replacement of a primary.":
		r.mark(l.Time, l.Value("group")+" announced")
	case "Replaced a primary.":
		r.mark(l.Time, l.Value("group")+" replaced")
	case "Put a configuration in force.":
		label := "config " + l.Value("version")
		if !seen[label] {
			seen[label] = true
			r.mark(l.Time, label)
		}
	}
}

func (r *Run) mark(at time.Time, label string) { r.Marks = append(r.Marks, Mark{At: at, Label: label}) }

// Measure adds what the proxies' metrics say was served.
func (r *Run) Measure(h *burn.History) {
	for i := range r.Bins {
		from := r.From.Add(time.Duration(i) * r.Width)
		r.Bins[i].Served = h.Served(from, from.Add(r.Width))
		r.Measured = r.Measured || r.Bins[i].Served > 0
	}
}
