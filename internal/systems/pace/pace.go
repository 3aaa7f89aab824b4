// Package pace is an adaptive concurrency limit on the statements that one proxy
// runs at a server. All proxies share the server and do not coordinate their load.
// The limit is needed when the replicas of a group lag for tens of seconds: all
// reads go to the primary, whose queue grows until it refuses statements, also
// those of open transactions. The latency of the answers shows how long that queue
// is. While the latency is high relative to its target, the limit decreases and
// statements wait at the proxies instead, which give priority to open transactions
// and urgent requests.
package pace

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// The limit decreases while the average ratio of latency to target is above
	// highRatio and increases while it is below lowRatio. The rest of the target is
	// left for the network and for the wait at the proxy, which may take a fifth of
	// the target.
	highRatio, lowRatio = 0.40, 0.25
	// smoothing is the reciprocal of the weight of a new answer in the moving average.
	smoothing = 8
	// decreaseFactor is applied to the limit at most once per decreaseInterval,
	// because answers to statements sent before the decrease still show the longer
	// queue.
	decreaseFactor   = 0.75
	decreaseInterval = 100 * time.Millisecond
	// increaseStep is the increase, in slots, per answer while the average ratio is
	// below lowRatio. It is divided by the current limit.
	increaseStep = 0.1
)

// Limit is one proxy's limit for one server. Its zero value has no slots; use New.
type Limit struct {
	maxSlots float64
	limit    float64
	// latencyRatio is the moving average of an answer's latency divided by its target.
	latencyRatio float64
	loweredAt    tables.Time
}

// New returns a limit that starts at its maximum, the server's slots.
func New(slots int) Limit {
	maxSlots := float64(max(slots, 1))
	return Limit{maxSlots: maxSlots, limit: maxSlots}
}

// SetSlots changes the maximum.
func (l *Limit) SetSlots(slots int) {
	l.maxSlots = float64(max(slots, 1))
	l.limit = min(l.limit, l.maxSlots)
}

// Slots returns how many statements may run at the server now. It is at least one,
// so that there are answers from which the limit can recover.
func (l *Limit) Slots() int { return int(l.limit) }

// Answered records the latency of an answer and its caller's target. It ignores
// answers without a target.
func (l *Limit) Answered(now tables.Time, took, target time.Duration) {
	if target <= 0 {
		return
	}
	l.latencyRatio += (float64(took)/float64(target) - l.latencyRatio) / smoothing
	switch {
	case l.latencyRatio > highRatio:
		l.lower(now)
	case l.latencyRatio < lowRatio:
		l.limit = min(l.maxSlots, l.limit+increaseStep/l.limit)
	}
}

// Refused records that the server refused a statement because its queue was full.
func (l *Limit) Refused(now tables.Time) { l.lower(now) }

func (l *Limit) lower(now tables.Time) {
	if l.loweredAt != 0 && now.Sub(l.loweredAt) < decreaseInterval {
		return
	}
	l.loweredAt = now
	l.limit = max(1, l.limit*decreaseFactor)
}
