package rowrelay

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// callsWithin returns how many of the calls tried every 10 ms a budget allows within d.
func callsWithin(b *budget, d time.Duration, failed bool) int {
	calls := 0
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		if now := tables.Time(time.Hour + at); b.available(now) {
			b.use(now)
			b.record(failed)
			calls++
		}
	}
	return calls
}

// Proxies that all take themselves for the reader must call a store that fails less,
// not more.
func TestBudgetFallsWhileCallsFail(t *testing.T) {
	b := budget{interval: storeCallInterval, burst: storeCallBurst}
	calls := callsWithin(&b, 10*time.Second, false)
	assert.Assert(t, calls >= 100 && calls <= 105, "%d calls", calls)
	b = budget{interval: storeCallInterval, burst: storeCallBurst}
	calls = callsWithin(&b, 10*time.Second, true)
	assert.Assert(t, calls <= 12, "%d calls", calls)
	b.record(false)
	assert.Equal(t, b.doublings, 0)
}

func TestAllowanceFollowsMeasuredTimes(t *testing.T) {
	var a allowance
	assert.Equal(t, a.value(), time.Duration(0))
	for range 20 {
		a.add(65 * time.Millisecond)
	}
	assert.Assert(t, a.value() >= 65*time.Millisecond && a.value() < 75*time.Millisecond, "%s", a.value())
	for range 10 {
		a.late()
	}
	assert.Equal(t, a.value(), maxAllowance)
	a.add(65 * time.Millisecond)
	assert.Assert(t, a.value() < 75*time.Millisecond, "%s", a.value())
}
