// Package runplot draws a run for operators: the statements served, refused and
// late over time, together with faults of the proxies and changes of primaries and
// configurations.
package runplot

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/burn"
	"github.com/cranberrystage/cranberrystage/internal/logread"
	"github.com/pkg/errors"
)

// Bin counts the events in one span of a run, over all proxies.
type Bin struct {
	// Refused and Late count statements by their log lines. They are too low if
	// proxies dropped log lines.
	Refused, Late int
	// Served is the number of statements that succeeded, by the metrics.
	Served float64
	// Stopped, Started, Lost and Isolated count proxies that stopped, started, lost
	// access to the metadata store, or became isolated.
	Stopped, Started, Lost, Isolated int
}

// Mark is a change of a primary or configuration, which is drawn as a vertical line.
type Mark struct {
	At    time.Time
	Label string
}

// Run is a run, divided into spans of length Width that start at From.
type Run struct {
	From  time.Time
	Width time.Duration
	Bins  []Bin
	Marks []Mark
	// HasMetrics reports whether the metrics show any statement served during the
	// run. If not, Served counts as unknown and isn't drawn.
	HasMetrics bool
}

// ErrEmpty means that there are no log lines.
var ErrEmpty = errors.New("runplot: no log lines")

// Collect divides a run into spans of the given width and counts its log lines,
// which may be in any order.
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

// add counts one line. seen holds the labels of configurations that have a mark
// already, since each proxy logs a new configuration.
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

// AddMetrics sets the numbers of statements served from the proxies' metrics.
func (r *Run) AddMetrics(h *burn.History) {
	for i := range r.Bins {
		from := r.From.Add(time.Duration(i) * r.Width)
		r.Bins[i].Served = h.Served(from, from.Add(r.Width))
		r.HasMetrics = r.HasMetrics || r.Bins[i].Served > 0
	}
}
