package pgsession

import (
	"slices"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// tally counts what operators monitor: callers by service, refusals by group
// and code, and the time during which writes of a group could not succeed. It
// is safe for concurrent use.
type tally struct {
	metrics *metrics.Metrics

	mu            sync.Mutex
	callers       map[tables.ServiceID]int
	refused       map[tables.GroupID]map[codes.Code]uint64
	writeGapStart map[tables.GroupID]tables.Time
}

func newTally(m *metrics.Metrics) *tally {
	return &tally{
		metrics:       m,
		callers:       make(map[tables.ServiceID]int),
		refused:       make(map[tables.GroupID]map[codes.Code]uint64),
		writeGapStart: make(map[tables.GroupID]tables.Time),
	}
}

// addCallers adds n to the connected callers of service.
func (t *tally) addCallers(service tables.ServiceID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers[service] += n
	t.metrics.AddCallers(n)
}

// countRefusal counts a request that ended with code.
func (t *tally) countRefusal(g tables.GroupID, code codes.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refused[g] == nil {
		t.refused[g] = make(map[codes.Code]uint64)
	}
	t.refused[g][code]++
}

// writeFailed records that a write that arrived at arrived found no primary.
// The first one since the last acknowledged write opens a write gap.
func (t *tally) writeFailed(g tables.GroupID, arrived tables.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.writeGapStart[g]; !open {
		t.writeGapStart[g] = arrived
	}
}

// writeAcknowledged records an acknowledged write, which ends the write gap.
func (t *tally) writeAcknowledged(g tables.GroupID, now tables.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, open := t.writeGapStart[g]
	if !open {
		return
	}
	delete(t.writeGapStart, g)
	t.metrics.ObserveWriteGap(g, max(now.Sub(since), time.Millisecond))
}

// Callers returns the callers connected now, by service in ascending order.
func (e *Executor) Callers() []statusapi.ServiceCallers {
	t := e.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []statusapi.ServiceCallers{}
	for s, n := range t.callers {
		out = append(out, statusapi.ServiceCallers{Service: s, Open: n})
	}
	slices.SortFunc(out, func(a, b statusapi.ServiceCallers) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return out
}

// Refused returns how many requests of a group ended with each code, in
// ascending order of code.
func (e *Executor) Refused(g tables.GroupID) []statusapi.Refused {
	t := e.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []statusapi.Refused
	for c, n := range t.refused[g] {
		out = append(out, statusapi.Refused{Code: c, Count: n})
	}
	slices.SortFunc(out, func(a, b statusapi.Refused) int { return int(a.Code) - int(b.Code) })
	return out
}
