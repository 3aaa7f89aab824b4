// Package quota decides how many operations a team may run, over all proxies. It
// answers the load of a team that sends several times its usual load through many
// proxies which may be cut off from each other, restart or be suspended.
//
// Each proxy owns a share, a fraction of every limit; the fractions of all proxies add
// up to one. A proxy lends its share to the allocator of its data centre, for a short
// time, and runs on the share alone while there is no allocator. Tokens are minted from
// shares only, and are moved, never copied, so that the sum holds over any partition.
package quota

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Limit is the limit of one team.
type Limit struct {
	// Rate is in operations per second; 0 means no limit.
	Rate float64
	// Burst is in operations.
	Burst float64
}

// Tolerance says how limits are measured.
type Tolerance struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Overshoot is the fraction by which a window may exceed the limit.
	Overshoot float64
	// Slack is a further number of operations in a window.
	Slack float64
}

// DefaultWindow is used where the settings have no window.
const DefaultWindow = 5 * time.Second

const (
	// slackUsed is the part of the slack that is handed out. The rest covers operations
	// that reach servers later than they were admitted.
	slackUsed = 0.5
	// minReserve is the least reserve, in operations over all proxies, that is worth
	// dividing: with up to 64 proxies each has one operation.
	minReserve = 64
	// reserveShare is the part of the tolerance that is set aside for proxies without an
	// allocator.
	reserveShare = 0.5
	// minPoolShare is the least part of a window's operations that may be saved up. It
	// equals half a second of 5 s: tokens are on the way for a part of it.
	minPoolShare = 1.0 / 11
	// minPool is the number of operations that are saved up for a team with a low limit,
	// if they are not more than maxPoolShare. With less, the data centres' parts of the
	// pool don't reach a whole token: a team of 16 operations a second without tolerance
	// was hardly served with a pool of 7.
	minPool, maxPoolShare = 12, 1.0 / 3
	// maxGrantLife is the longest time for which a proxy keeps tokens, minGrantLife the
	// shortest: batches cover batchTime.
	maxGrantLife, minGrantLife = time.Second, 250 * time.Millisecond
	// transferLife is how long tokens from another data centre are valid after the
	// receiver's stamp. It covers the age of the stamp, up to an exchange interval of
	// 500 ms, and the time up to the next message.
	transferLife = 1100 * time.Millisecond
	// maxSentShare is the largest part of a pool that is given to other data centres at
	// a time. A share that has just changed hands saves up only the rest of its part of
	// the pool, because tokens given away at its last allocator may still be in use.
	maxSentShare = 0.5
)

// plan divides what a window may contain. Over all shares, a window contains at most
// rate x (window + grantLife) + pool + reserve operations.
type plan struct {
	// rate is the rate at which tokens are minted, per second.
	rate float64
	// pool is the number of tokens that are saved up.
	pool float64
	// reserve is the number of operations per window that proxies without an
	// allocator run.
	reserve float64
	// window is the length of the window in seconds.
	window float64
	// grantLife is how long a proxy keeps granted tokens.
	grantLife time.Duration
}

// planFor divides a limit.
func planFor(l Limit, t Tolerance) plan {
	window := t.Window.Seconds()
	base := l.Rate*window + l.Burst
	tolerance := base*t.Overshoot + t.Slack*slackUsed
	total := base + tolerance
	p := plan{window: window}
	if r := tolerance * reserveShare; r >= minReserve {
		p.reserve = r
	}
	total -= p.reserve
	saved := max(total*minPoolShare, min(minPool, total*maxPoolShare))
	p.rate = min(l.Rate, (total-saved)/window)
	life := (total - p.rate*window) / p.rate // seconds of minting that are saved or at proxies
	p.grantLife = clamp(time.Duration(life/10*float64(time.Second)), minGrantLife, maxGrantLife)
	p.grantLife = min(p.grantLife, time.Duration(life/2*float64(time.Second)))
	p.pool = total - p.rate*(window+p.grantLife.Seconds())
	return p
}

func clamp(d, low, high time.Duration) time.Duration { return min(max(d, low), high) }

// estimate is a moving average of a rate per second.
type estimate struct {
	rate float64
	at   tables.Time
}

// estimateTime is the time constant of estimates: a second holds a few operations of a
// small team and follows a changed load within a few exchanges.
const estimateTime = 2 * time.Second

// add counts n operations.
func (e *estimate) add(n float64, now tables.Time) {
	e.rate = e.current(now) + n/estimateTime.Seconds()
	e.at = now
}

// current returns the rate, which falls hyperbolically without operations.
func (e *estimate) current(now tables.Time) float64 {
	age := now.Sub(e.at).Seconds() / estimateTime.Seconds()
	if age <= 0 {
		return e.rate
	}
	return e.rate / (1 + age + age*age/2) // the first terms of exp
}

// holding is a number of tokens up to a time.
type holding struct {
	tokens float64
	until  tables.Time
}

// expire removes the holdings that have ended and returns the sum of the others.
func expire(in []holding, now tables.Time) (out []holding, sum float64) {
	out = in[:0]
	for _, h := range in {
		if now < h.until && h.tokens > 0 {
			out, sum = append(out, h), sum+h.tokens
		}
	}
	return out, sum
}
