package ramp

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

const (
	ms     = time.Millisecond
	target = 400 * ms
)

func at(d time.Duration) tables.Time { return tables.Time(time.Hour + d) }

// answerEach10ms records an answer each 10 ms until the ramp ends or the time to has
// passed, and returns how long the ramp took.
func answerEach10ms(r *Ramp, from, to, took time.Duration) (time.Duration, Result) {
	for now := from; now <= to; now += 10 * ms {
		r.Answered(at(now), took, target)
		if result := r.Advance(at(now)); result != Running {
			return now, result
		}
	}
	return to, Running
}

func TestTimeUntilAllSlots(t *testing.T) {
	for name, c := range map[string]struct {
		server   Server
		failures int
		took     time.Duration
		atLeast  time.Duration
		atMost   time.Duration
		want     Result
	}{
		"good answers, 5 proxies":              {Server{Slots: 6, Proxies: 5}, 0, 30 * ms, 300 * ms, FullWithin, Full},
		"good answers, 37 proxies":             {Server{Slots: 5, Proxies: 37}, 0, 30 * ms, time.Second, FullWithin, Full},
		"good answers, 83 proxies":             {Server{Slots: 4, Proxies: 83}, 0, 30 * ms, time.Second, FullWithin, Full},
		"stated warm-up":                       {Server{Slots: 4, Proxies: 83, WarmupLeft: time.Second}, 0, 30 * ms, 2 * time.Second, FullWithin, Full},
		"an hour of warm-up stated in error":   {Server{Slots: 4, Proxies: 83, WarmupLeft: time.Hour}, 0, 30 * ms, 2 * time.Second, FullWithin, Full},
		"failed repeatedly, 5 proxies":         {Server{Slots: 6, Proxies: 5}, 2, 30 * ms, 5 * time.Second, LongestRamp, Full},
		"failed repeatedly, 83 proxies":        {Server{Slots: 4, Proxies: 83}, 2, 30 * ms, 7 * time.Second, LongestRamp, Full},
		"answers above half of the target":     {Server{Slots: 5, Proxies: 37}, 0, 250 * ms, LongestRamp, LongestRamp, TimedOut},
		"four times as slow as other servers":  {Server{Slots: 5, Proxies: 37, Others: 30 * ms}, 0, 120 * ms, LongestRamp, LongestRamp, TimedOut},
		"twice as slow as the other servers":   {Server{Slots: 5, Proxies: 37, Others: 30 * ms}, 0, 60 * ms, time.Second, FullWithin, Full},
		"neither slots nor proxies are stated": {Server{}, 0, 30 * ms, 0, LongestRamp, Running},
	} {
		t.Run(name, func(t *testing.T) {
			var r Ramp
			for i := range c.failures {
				r.Begin(at(0).Add(time.Duration(i-c.failures)*5*time.Second), Recovered, c.server, 0)
			}
			r.Begin(at(0), Recovered, c.server, 0.5)
			took, result := answerEach10ms(&r, 0, 20*time.Second, c.took)
			assert.Equal(t, result, c.want)
			assert.Assert(t, result == Running || took >= c.atLeast && took <= c.atMost, "%s", took)
			assert.Equal(t, r.Slots(7), 7, "no limit remains")
		})
	}
}

// The sum over all proxies must start near the number of slots, whether a proxy's part
// is several slots or a fraction of one.
func TestSumOverProxiesStartsNearSlots(t *testing.T) {
	for _, s := range []Server{{Slots: 6, Proxies: 5}, {Slots: 5, Proxies: 37}, {Slots: 4, Proxies: 83}, {Slots: 12, Proxies: 4}} {
		busy := 0.0
		for i := range s.Proxies {
			var r Ramp
			r.Begin(at(0), Started, s, float64(i)/float64(s.Proxies))
			answer := defaultAnswerTime + handshakeTime
			for now := time.Duration(0); now < time.Second; now += ms {
				for k := 0; k < r.Slots(s.Slots) && !r.Elsewhere(at(now), k); k++ {
					r.Sent(at(now), true)
					if r.part >= 1 {
						busy += float64(ms) / float64(time.Second)
						continue
					}
					busy += float64(answer) / float64(time.Second)
				}
			}
		}
		assert.Assert(t, busy > 0.6*float64(s.Slots) && busy < 1.2*float64(s.Slots), "%+v: %.1f slots in use", s, busy)
	}
}

// The first statements of many proxies that learn of a server at once must not arrive
// together while another server can answer.
func TestFirstStatementsAreSpread(t *testing.T) {
	var first, last Ramp
	first.Begin(at(0), Started, Server{Slots: 5, Proxies: 37}, 0)
	last.Begin(at(0), Started, Server{Slots: 5, Proxies: 37}, 0.999)
	assert.Assert(t, !first.Elsewhere(at(0), 0))
	assert.Assert(t, last.Elsewhere(at(200*ms), 0) && !last.Elsewhere(at(300*ms), 0))
}

// Writes have no other server: a promoted primary that gets no answers for want of
// statements must reach all slots soon.
func TestPromotedServerNeedsNoAnswers(t *testing.T) {
	var r Ramp
	r.Begin(at(0), Promoted, Server{Slots: 4, Proxies: 83}, 0)
	result := Running
	for now := time.Duration(0); now <= FullWithin && result == Running; now += 10 * ms {
		result = r.Advance(at(now))
	}
	assert.Equal(t, result, Full)
}

func TestFirstBadAnswerHalvesPart(t *testing.T) {
	for name, bad := range map[string]func(*Ramp, tables.Time){
		"refused": func(r *Ramp, now tables.Time) { r.Refused(now) },
		"slow":    func(r *Ramp, now tables.Time) { r.Answered(now, target, target) },
	} {
		r := Ramp{active: true, slots: 6, part: 4, initial: 1, step: 200 * ms, startedAt: at(0)}
		bad(&r, at(ms))
		assert.Equal(t, r.Slots(6), 2, name)
		bad(&r, at(2*ms))
		assert.Equal(t, r.Slots(6), 2, "%s: answers to statements sent before", name)
		bad(&r, at(300*ms))
		bad(&r, at(600*ms))
		assert.Equal(t, r.Slots(6), 1, "%s: not below the initial part", name)
	}
}

// No statement is to be refused for the pace alone, so those that would be may use all
// slots, as without a ramp.
func TestReserve(t *testing.T) {
	var r Ramp
	assert.Equal(t, r.Reserve(5), 0, "without a ramp the limit is the same as before")
	r.Begin(at(0), Promoted, Server{Slots: 5, Proxies: 37}, 0)
	r.Refused(at(ms))
	assert.Equal(t, r.Slots(5)+r.Reserve(5), 5)
}

// A server that gets no statements, and news or ticks that are lost, must not leave a
// ramp behind.
func TestRampEndsWithoutNews(t *testing.T) {
	var r Ramp
	r.Begin(at(0), Started, Server{Slots: 5, Proxies: 37}, 0)
	assert.Equal(t, r.Advance(at(FullWithin-ms)), Running)
	assert.Equal(t, r.Advance(at(FullWithin)), TimedOut)
	assert.Equal(t, r.Slots(5), 5)
	assert.Assert(t, !r.Elsewhere(at(FullWithin), 3))
	r.Begin(at(0), Recovered, Server{Slots: 5, Proxies: 37}, 0)
	assert.Equal(t, r.Advance(at(time.Hour)), TimedOut, "the process was suspended")
}

func TestSteppedClock(t *testing.T) {
	var r Ramp
	r.Begin(at(0), Started, Server{Slots: 5, Proxies: 37}, 1)
	r.Sent(at(0), true)
	r.Refused(at(0))
	back := -30 * time.Minute
	assert.Equal(t, r.Advance(at(back)), Running)
	assert.Assert(t, !r.Elsewhere(at(back), 0))
	_, result := answerEach10ms(&r, back, back+FullWithin+ms, 20*ms)
	assert.Assert(t, result != Running)
	r.Begin(at(back), Recovered, Server{Slots: 5, Proxies: 37}, 0)
	assert.Equal(t, r.Failures(), 0, "the time since the last failure is unknown")
}

func TestFailures(t *testing.T) {
	s := Server{Slots: 5, Proxies: 37}
	var r Ramp
	for i, c := range []struct {
		after time.Duration
		why   Reason
		want  int
	}{
		{0, Started, 0}, {10 * time.Second, Recovered, 1}, {time.Second, Started, 1}, {5 * time.Second, Promoted, 1},
		{10 * time.Second, Started, 2}, {2 * time.Minute, Recovered, 0},
	} {
		now := r.failedAt.Add(c.after)
		r.Begin(now, c.why, s, 0)
		assert.Equal(t, r.Failures(), c.want, "case %d", i)
	}
}

// Deployments with one proxy are served as before.
func TestSingleProxyHasNoRamp(t *testing.T) {
	var r Ramp
	assert.Assert(t, !r.Begin(at(0), Started, Server{Slots: 5, Proxies: 1}, 0.5))
	assert.Equal(t, r.Slots(5), 5)
	assert.Assert(t, !r.Elsewhere(at(0), 9))
}
