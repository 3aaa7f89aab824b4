package pgsession

import (
	"sync"
	"sync/atomic"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Load counts the statements that run on each upstream. It is safe for
// concurrent use.
type Load struct {
	counts sync.Map // tables.UpstreamID to *atomic.Int64
}

var _ route.Load = (*Load)(nil)

func (l *Load) counter(u tables.UpstreamID) *atomic.Int64 {
	if v, ok := l.counts.Load(u); ok {
		return v.(*atomic.Int64)
	}
	v, _ := l.counts.LoadOrStore(u, new(atomic.Int64))
	return v.(*atomic.Int64)
}

// InFlight implements route.Load.
func (l *Load) InFlight(u tables.UpstreamID) int { return int(l.counter(u).Load()) }

// Add changes the count of u by n.
func (l *Load) Add(u tables.UpstreamID, n int) { l.counter(u).Add(int64(n)) }

// budgets holds one retry budget per group.
type budgets struct {
	mu sync.Mutex
	by map[tables.GroupID]*retry.Budget
}

func (b *budgets) get(g tables.GroupID) *retry.Budget {
	if b.by == nil {
		b.by = make(map[tables.GroupID]*retry.Budget)
	}
	if b.by[g] == nil {
		b.by[g] = retry.NewBudget()
	}
	return b.by[g]
}

func (b *budgets) success(g tables.GroupID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(g).OnSuccess()
}

func (b *budgets) decide(now tables.Time, g tables.GroupID, a retry.Attempt) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Decide(now, a, b.get(g))
}

// codeOf returns the code with which a request failed, OK if it did not fail.
func codeOf(err error) codes.Code {
	if err == nil {
		return codes.OK
	}
	if e, ok := codes.From(err); ok {
		return e.Code
	}
	return codes.UpstreamLost
}
