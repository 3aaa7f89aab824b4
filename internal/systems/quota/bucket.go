package quota

import (
	"math"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// part says which fraction of the limits an allocator has.
type part struct {
	// rate is the fraction of the rate.
	rate float64
	// pool is the fraction of the pool.
	pool float64
}

// bucket holds one team's tokens at an allocator.
type bucket struct {
	plan  plan
	level float64
	at    tables.Time
	// received are tokens of other data centres. They count against the pool there.
	received []holding
	// sent are tokens given to other data centres. They count against this pool until
	// they can't be used any more.
	sent   []holding
	demand estimate
}

// fill mints tokens up to now and returns the number of tokens that other data
// centres may hold.
func (b *bucket) fill(p part, now tables.Time) (sent float64) {
	b.sent, sent = expire(b.sent, now)
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.level += b.plan.rate * p.rate * dt
		b.at = now
	}
	b.level = max(0, min(b.level, b.plan.pool*p.pool-sent))
	return sent
}

// available returns the number of tokens at hand.
func (b *bucket) available(now tables.Time) float64 {
	var received float64
	b.received, received = expire(b.received, now)
	return b.level + received
}

// whole returns the number of whole tokens; rounding errors don't cost one.
func whole(tokens float64) int { return int(math.Floor(tokens + 1e-9)) }

// grant takes up to need tokens, and up to extra more while more than half of the
// pool is left, so that the last tokens are not spread over proxies.
func (b *bucket) grant(need, extra int, p part, now tables.Time) int {
	b.fill(p, now)
	n := min(need, whole(b.available(now)))
	if n == need {
		n += max(0, min(extra, whole(b.available(now)-float64(n)-b.plan.pool*p.pool/2)))
	}
	b.demand.add(float64(max(n, need)), now)
	b.spend(float64(n))
	return n
}

// spend takes tokens, those of other data centres first: they expire.
func (b *bucket) spend(n float64) {
	for i := range b.received {
		k := min(n, b.received[i].tokens)
		b.received[i].tokens -= k
		n -= k
	}
	b.level = max(0, b.level-n)
}

// send takes up to n tokens of this pool for another data centre.
func (b *bucket) send(n float64, p part, now tables.Time) float64 {
	sent := b.fill(p, now)
	n = min(n, b.level, b.plan.pool*p.pool*maxSentShare-sent)
	if n < minTransfer {
		return 0
	}
	b.level -= n
	b.sent = append(b.sent, holding{n, now.Add(transferLife)})
	return n
}

// receive takes tokens of another data centre. Those for which this pool has room stay
// in it, the others end at a time.
func (b *bucket) receive(n float64, until tables.Time, p part, now tables.Time) {
	sent := b.fill(p, now)
	kept := max(0, min(n, b.plan.pool*p.pool-sent-b.level))
	b.level += kept
	if n > kept {
		b.received = append(b.received, holding{n - kept, until})
	}
}

// minTransfer is the least number of tokens worth a place in a message.
const minTransfer = 0.1

// wait returns the time until the bucket holds a token.
func (b *bucket) wait(p part, now tables.Time) (seconds float64) {
	missing := 1 - b.available(now)
	if missing <= 0 {
		return 0
	}
	return missing / max(b.plan.rate*p.rate, 1e-3)
}
