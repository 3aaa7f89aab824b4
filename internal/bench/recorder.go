package bench

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cranberrystage/cranberrystage/internal/history"
)

// Range, in nanoseconds, and significant digits of latency histograms.
const (
	histogramLowest  = int64(time.Microsecond)
	histogramHighest = int64(5 * time.Minute)
	histogramDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

// classStats are the counts and latencies of one class of operations.
type classStats struct {
	latency   *hdrhistogram.Histogram
	succeeded int
	notRun    int
	unknown   int
	replica   int
}

// codeCount is the number of occurrences of a result code.
type codeCount struct {
	Code  int `json:"code"`
	Count int `json:"count"`
}

// recorder collects the operations of callers. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	ops     []history.Op
	byClass map[class]*classStats
	byCode  map[int]int
	dropped int
}

func newRecorder() *recorder {
	r := &recorder{byClass: make(map[class]*classStats), byCode: make(map[int]int)}
	for _, k := range classes {
		r.byClass[k] = &classStats{latency: newHistogram()}
	}
	return r
}

// add records an operation that arrived at arrivedAt.
func (r *recorder) add(k class, op history.Op, arrivedAt time.Duration) {
	if op.IsWrite() && k != classProbe {
		k = classWrite
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
	stats := r.byClass[k]
	switch op.Outcome {
	case history.Acknowledged:
		stats.succeeded++
		_ = stats.latency.RecordValue(min(int64(op.End-arrivedAt), histogramHighest))
		if op.ServedBy == "replica" {
			stats.replica++
		}
	case history.NotRun:
		stats.notRun++
	default:
		stats.unknown++
	}
	if op.Code != 0 {
		r.byCode[op.Code]++
	}
}

// countDropped counts an operation that was never started.
func (r *recorder) countDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

// totals are running sums for progress lines.
type totals struct {
	succeeded, failed, replica, dropped int
}

func (r *recorder) totals() totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := totals{dropped: r.dropped}
	for _, stats := range r.byClass {
		t.succeeded += stats.succeeded
		t.failed += stats.notRun + stats.unknown
		t.replica += stats.replica
	}
	return t
}

func (r *recorder) codes() []codeCount {
	var out []codeCount
	for code, n := range r.byCode {
		out = append(out, codeCount{Code: code, Count: n})
	}
	slices.SortFunc(out, func(a, b codeCount) int { return cmp.Compare(a.Code, b.Code) })
	return out
}

// longestWriteGap returns the longest time within a load without a successful
// write to database.
func longestWriteGap(ops []history.Op, database string, end time.Duration) time.Duration {
	times := []time.Duration{0, end}
	for i := range ops {
		op := &ops[i]
		if op.IsWrite() && op.Database == database && op.Outcome == history.Acknowledged && op.End < end {
			times = append(times, op.End)
		}
	}
	slices.Sort(times)
	longest := time.Duration(0)
	for i := 1; i < len(times); i++ {
		longest = max(longest, times[i]-times[i-1])
	}
	return longest
}
