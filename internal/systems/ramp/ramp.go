// Package ramp limits how much one proxy uses a server that has just started,
// recovered or been promoted. It answers the load of all proxies together: each of
// them learns of the server at about the same time and decides alone, and the first
// statement of each also opens a connection, which occupies a slot. Without a limit
// the server, which may still be slow, receives up to its slots times the number of
// proxies at once.
//
// A proxy starts with its part of the slots, slots divided by proxies, so that the
// sum over all proxies is near the number of slots. A part below one is a spacing
// between statements that could also run elsewhere. The part doubles while answers
// are good and is halved by the first that is not. It ends at all slots or after a
// stated time; package pace limits the proxy from then on.
package ramp

import (
	"math"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// FullWithin bounds a ramp whose answers are good and that of a promoted server, and
	// LongestRamp every ramp.
	FullWithin  = 3 * time.Second
	LongestRamp = 10 * time.Second
	// flapWindow is the time within which a server that starts or recovers again
	// counts as failing repeatedly.
	flapWindow = 60 * time.Second
	// entryDelay is how much later than its first answer the new entry of a restarted
	// server may arrive.
	entryDelay = 3 * time.Second
	// stepsWithin is the time in which a part doubles up to all slots, warmStepsWithin
	// the same while the server states that it is warming up, and flapStepsWithin for
	// a server that fails repeatedly. Each leaves time for a halving within its bound.
	stepsWithin     = 1500 * time.Millisecond
	warmStepsWithin = 2500 * time.Millisecond
	flapStepsWithin = 8 * time.Second
	// promotedStepsWithin is the same for a promoted server. It was in use as a replica
	// before, so its steps need no answers: a write has no other server to go to.
	promotedStepsWithin = 2500 * time.Millisecond
	// longestStep bounds one step of a ramp with few steps; a server that fails
	// repeatedly has no such bound, as a few proxies suffice to keep it down.
	longestStep = 400 * time.Millisecond
	// badAnswerHold is how long a ramp lasts beyond FullWithin after an answer that was not good.
	badAnswerHold = 500 * time.Millisecond
	// targetPart is the part of its target latency that a good answer may take.
	targetPart = 0.5
	// A server is slow if its average answer takes slowFactor times as long as those of
	// the other servers of the group. Single statements vary by more than that, so the
	// average counts from minAnswers on.
	slowFactor = 3
	minAnswers = 4
	// smoothing is the reciprocal of the weight of a new answer in the average.
	smoothing = 4
	// defaultAnswerTime is assumed while no server of the group has a measurement.
	defaultAnswerTime = 25 * time.Millisecond
	// handshakeTime is how long the opening of a connection occupies a slot.
	handshakeTime = 12 * time.Millisecond
)

// Reason is why a ramp began.
type Reason string

// Values of Reason.
const (
	Started   Reason = "started"
	Recovered Reason = "recovered"
	Promoted  Reason = "promoted"
)

// Result is why a ramp ended.
type Result string

// Values of Result; Running means that the ramp has not ended.
const (
	Running Result = ""
	// Full means that the part reached all slots.
	Full Result = "full"
	// TimedOut means that the time for the ramp passed.
	TimedOut Result = "time limit"
)

// Server is what a ramp needs to know about the server when it begins.
type Server struct {
	// Slots is how many statements it runs at once, over all proxies.
	Slots int
	// Proxies is the number of proxies that share it.
	Proxies int
	// WarmupLeft is the server's stated remaining warm-up; a hint that only makes the
	// steps longer.
	WarmupLeft time.Duration
	// Others is the typical latency of the other servers of the group; 0 if unknown.
	Others time.Duration
}

// Ramp is one proxy's ramp for one server. The zero value is not ramping.
type Ramp struct {
	active    bool
	reason    Reason
	startedAt tables.Time
	// part is the number of slots that this proxy may use; initial is the first one.
	part, initial, slots float64
	step                 time.Duration
	steppedAt            tables.Time
	// good reports whether a good answer arrived since steppedAt.
	good      bool
	badAt     tables.Time
	hasBad    bool
	answers   int
	average   time.Duration
	others    time.Duration
	nextAt    tables.Time
	failures  int
	failedAt  tables.Time
	hasFailed bool
}

// Begin starts a ramp, or starts it anew, and reports whether there is anything to
// limit: a proxy that has the server for itself uses it at once. random, from 0 to
// 1, spreads the first statements of the proxies.
func (r *Ramp) Begin(now tables.Time, why Reason, s Server, random float64) bool {
	if why != Promoted {
		r.countFailure(now, why)
	}
	slots, proxies := float64(max(s.Slots, 1)), float64(max(s.Proxies, 1))
	if proxies == 1 {
		r.active, r.reason = false, why
		return false
	}
	*r = Ramp{
		active: true, reason: why, startedAt: now, steppedAt: now,
		part: slots / proxies, initial: slots / proxies, slots: slots, others: s.Others,
		failures: r.failures, failedAt: r.failedAt, hasFailed: r.hasFailed,
	}
	r.step = r.stepTime(math.Ceil(math.Log2(proxies)), s.WarmupLeft > 0)
	r.nextAt = now.Add(time.Duration(random * float64(r.spacing(true))))
	return true
}

// countFailure counts the failure before a ramp. A restarted server may answer before
// its new entry arrives, which is one failure.
func (r *Ramp) countFailure(now tables.Time, why Reason) {
	since := now.Sub(r.failedAt)
	switch {
	case !r.hasFailed || since < 0 || since >= flapWindow:
		r.failures = 0
	case why == Started && r.reason == Recovered && since < entryDelay:
		return
	default:
		r.failures++
	}
	r.failedAt, r.hasFailed = now, true
}

// Stop ends the ramp before it is complete.
func (r *Ramp) Stop() { r.active = false }

func (r *Ramp) stepTime(steps float64, warming bool) time.Duration {
	switch {
	case r.reason == Promoted:
		return time.Duration(float64(promotedStepsWithin) / steps)
	case r.flapping():
		return time.Duration(float64(flapStepsWithin) / steps)
	case warming:
		return min(longestStep, time.Duration(float64(warmStepsWithin)/steps))
	default:
		return min(longestStep, time.Duration(float64(stepsWithin)/steps))
	}
}

// flapping reports whether the server failed repeatedly.
func (r *Ramp) flapping() bool { return r.failures > 0 }

// Active reports whether the server is ramping up.
func (r *Ramp) Active() bool { return r.active }

// Reason returns why the ramp began.
func (r *Ramp) Reason() Reason { return r.reason }

// Failures returns how often the server had failed shortly before.
func (r *Ramp) Failures() int { return r.failures }

// StartedAt returns when the ramp began.
func (r *Ramp) StartedAt() tables.Time { return r.startedAt }

// SetOthers updates the typical latency of the other servers of the group.
func (r *Ramp) SetOthers(latency time.Duration) { r.others = latency }

// Slots returns how many statements this proxy may run at the server, at most limit.
// A connection is opened for a statement that runs, so this also bounds the openings.
// It is at least one.
func (r *Ramp) Slots(limit int) int {
	if !r.active {
		return limit
	}
	return min(limit, max(1, int(r.part)))
}

// Reserve returns how many statements beyond Slots may run at the server, up to limit
// in sum, if they would otherwise be refused: the proxy's part is only a guess of what
// the server can take.
func (r *Ramp) Reserve(limit int) int { return limit - r.Slots(limit) }

// Elsewhere reports whether a read that another server can answer should go there,
// because this proxy's part is in use.
func (r *Ramp) Elsewhere(now tables.Time, outstanding int) bool {
	if !r.active {
		return false
	}
	// nextAt is far ahead only if the clock went back.
	wait := r.nextAt.Sub(now)
	return outstanding >= max(1, int(r.part)) || wait > 0 && wait <= LongestRamp
}

// Sent records that a statement was sent; handshake reports whether it also needs
// a new connection.
func (r *Ramp) Sent(now tables.Time, handshake bool) {
	if r.active {
		r.nextAt = now.Add(r.spacing(handshake))
	}
}

// spacing returns the time between two statements of this proxy that uses its part;
// 0 if it is a whole slot or more.
func (r *Ramp) spacing(handshake bool) time.Duration {
	if r.part >= 1 {
		return 0
	}
	took := r.others
	if took == 0 {
		took = defaultAnswerTime
	}
	took = max(took, r.average)
	if handshake {
		took += handshakeTime
	}
	return time.Duration(float64(took) / r.part)
}

// Answered records the latency of an answer and its caller's target, 0 for none.
func (r *Ramp) Answered(now tables.Time, took, target time.Duration) {
	if !r.active {
		return
	}
	if r.answers++; r.answers == 1 {
		r.average = took
	}
	r.average += (took - r.average) / smoothing
	slow := r.others > 0 && r.answers >= minAnswers && r.average > slowFactor*r.others
	if slow || target > 0 && float64(took) > targetPart*float64(target) {
		r.bad(now)
		return
	}
	r.good = true
}

// Refused records that the server refused a statement because its queue was full.
func (r *Ramp) Refused(now tables.Time) {
	if r.active {
		r.bad(now)
	}
}

// bad halves the part, at most once per step: further answers of the same step
// belong to statements that were sent before.
func (r *Ramp) bad(now tables.Time) {
	if !r.hasBad || now.Sub(r.badAt) >= r.step || now < r.badAt {
		r.part = max(r.initial, r.part/2)
		r.badAt, r.hasBad = now, true
	}
	r.steppedAt, r.good = now, false
}

// Advance doubles the part if a step has passed with good answers, and returns why
// the ramp ended if it did. It is called at least several times per second.
func (r *Ramp) Advance(now tables.Time) Result {
	if !r.active {
		return Running
	}
	if now < r.startedAt {
		// A clock that went back must not make the ramp longer.
		r.startedAt, r.steppedAt = now, now
	}
	if (r.good || r.reason == Promoted) && now.Sub(r.steppedAt) >= r.step {
		r.part, r.steppedAt, r.good = 2*r.part, now, false
	}
	switch {
	case r.part >= r.slots:
		return r.end(Full)
	case now.Sub(r.startedAt) >= r.longest(now):
		return r.end(TimedOut)
	}
	return Running
}

func (r *Ramp) end(why Result) Result {
	r.active = false
	return why
}

// longest returns how long the ramp may last as of now.
func (r *Ramp) longest(now tables.Time) time.Duration {
	if r.reason == Promoted {
		return FullWithin
	}
	if r.flapping() || r.hasBad && now.Sub(r.badAt) < badAnswerHold {
		return LongestRamp
	}
	return FullWithin
}
