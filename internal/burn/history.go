package burn

import (
	"slices"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
)

// History holds snapshots of several proxies over time.
type History struct {
	sources []source
}

// source is one proxy's snapshots in ascending order of time.
type source struct {
	name      string
	snapshots []Snapshot
}

// Add adds a snapshot; snapshots may be added in any order.
func (h *History) Add(s Snapshot) {
	i, found := slices.BinarySearchFunc(h.sources, s.Source, func(src source, name string) int {
		return strings.Compare(src.name, name)
	})
	if !found {
		h.sources = slices.Insert(h.sources, i, source{name: s.Source})
	}
	src := &h.sources[i]
	at, _ := slices.BinarySearchFunc(src.snapshots, s.At, func(o Snapshot, t time.Time) int { return o.At.Compare(t) })
	src.snapshots = slices.Insert(src.snapshots, at, s)
}

// Times returns the distinct times of all snapshots in ascending order.
func (h *History) Times() []time.Time {
	var out []time.Time
	for _, src := range h.sources {
		for _, s := range src.snapshots {
			out = append(out, s.At)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return slices.CompactFunc(out, time.Time.Equal)
}

// increase is the growth of each counter over a span of time, summed over the
// proxies.
type increase struct {
	from, to time.Time
	counters map[series]float64
}

// between returns the increase from the newest snapshots at or before from to
// the newest ones at or before to. A proxy whose first snapshot is later than from
// counts from that snapshot. A counter that decreased was reset by a restart of
// the proxy and counts from 0.
func (h *History) between(from, to time.Time) increase {
	inc := increase{from: from, to: to, counters: make(map[series]float64)}
	for _, src := range h.sources {
		span := src.span(from, to)
		for i := 1; i < len(span); i++ {
			inc.add(span[i-1], span[i])
		}
	}
	return inc
}

// Served returns the number of requests, over all proxies, that succeeded between
// two times.
func (h *History) Served(from, to time.Time) float64 {
	var n float64
	for key, growth := range h.between(from, to).counters {
		if key.metric == metrics.RequestsTotal && key.code == codes.OK {
			n += growth
		}
	}
	return n
}

// span returns the snapshots to compare for the time between from and to.
func (s source) span(from, to time.Time) []Snapshot {
	end := s.firstAfter(to)
	start := max(s.firstAfter(from)-1, 0)
	return s.snapshots[min(start, end):end]
}

// firstAfter returns the index of the first snapshot that is later than t.
func (s source) firstAfter(t time.Time) int {
	return len(s.snapshots) - countLater(s.snapshots, t)
}

func countLater(snapshots []Snapshot, t time.Time) int {
	n := 0
	for _, s := range slices.Backward(snapshots) {
		if !s.At.After(t) {
			break
		}
		n++
	}
	return n
}

func (inc increase) add(before, after Snapshot) {
	for key, current := range after.counters {
		previous := before.counters[key]
		if current < previous {
			previous = 0
		}
		inc.counters[key] += current - previous
	}
}

// sum adds up the counters of metric for which keep is true.
func (inc increase) sum(metric string, keep func(series) bool) float64 {
	total := 0.0
	for key, v := range inc.counters {
		if key.metric == metric && keep(key) {
			total += v
		}
	}
	return total
}
