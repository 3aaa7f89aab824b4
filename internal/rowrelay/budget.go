package rowrelay

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// maxBudgetDoublings bounds how far a budget falls.
const maxBudgetDoublings = 4

// budget limits calls. It falls while calls fail, and is whole again after one that
// succeeds.
type budget struct {
	// interval is the mean time between two calls, and burst how many calls may be
	// made at once.
	interval time.Duration
	burst    int
	// doublings counts failed calls in a row.
	doublings int
	// usedUntil is when the calls made so far will have used up no more budget.
	usedUntil tables.Time
}

// available reports whether a call may be made now.
func (b *budget) available(now tables.Time) bool {
	return b.usedUntil.Sub(now) <= time.Duration(b.burst-1)*b.interval
}

// use records a call.
func (b *budget) use(now tables.Time) {
	b.usedUntil = max(b.usedUntil, now).Add(b.interval << b.doublings)
}

// record records the outcome of a call.
func (b *budget) record(failed bool) {
	if failed {
		b.doublings = min(b.doublings+1, maxBudgetDoublings)
	} else {
		b.doublings = 0
	}
}
