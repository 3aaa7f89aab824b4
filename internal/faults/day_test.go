package faults

import (
	"flag"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/failover"
	"gotest.tools/v3/assert"
)

var daySeconds = flag.Int("day-seconds", 24*60*60/dayScale, "simulated seconds in TestPausesAndLagCauseNoPromotion")

const (
	// dayScale compresses a day in which each machine pauses once a minute: machines
	// pause dayScale times as often, and the run is dayScale times shorter.
	dayScale = 60
	dayParts = 8
	maxPause = 500 * time.Millisecond
	maxLag   = 2 * time.Second
	dayLoss  = 0.01
)

// dayPart runs for d with lagging replicas, lost packets and pausing machines, and
// returns the numbers of promotions and violations.
func dayPart(seed uint64, d time.Duration, adjust func(*failover.Options)) (promotions, violations int) {
	s := newSimulation(settings{
		seed: seed, adjust: adjust, loss: dayLoss,
		writeEvery: 200 * time.Millisecond, replicaEvery: 10 * time.Millisecond,
	})
	for _, r := range s.servers {
		s.pauseRepeatedly(&r.host)
		s.changeLag(r)
	}
	for _, p := range s.proxies {
		s.pauseRepeatedly(&p.host)
	}
	s.runUntil(at(d))
	return len(s.checks.promotions) - 1, len(s.checks.violations)
}

// pauseRepeatedly pauses a machine about once a second for up to maxPause.
func (s *simulation) pauseRepeatedly(h *host) {
	wait := time.Minute/dayScale - maxPause/2
	s.after(wait+s.jitter(maxPause/2), func() {
		h.paused = true
		s.after(s.jitter(maxPause), func() {
			h.resume()
			s.pauseRepeatedly(h)
		})
	})
}

// changeLag sets a new random replication lag every second.
func (s *simulation) changeLag(r *server) {
	s.after(time.Second, func() {
		r.lag = s.jitter(maxLag)
		s.changeLag(r)
	})
}

func TestPausesAndLagCauseNoPromotion(t *testing.T) {
	part := time.Duration(*daySeconds) * time.Second / dayParts / cellStride
	type count struct{ promotions, violations int }
	for i, c := range parallel(dayParts, func(i int) count {
		promotions, violations := dayPart(uint64(i), part, nil)
		return count{promotions, violations}
	}) {
		assert.Check(t, c.promotions == 0, "seed %d: %d promotions", i, c.promotions)
		assert.Check(t, c.violations == 0, "seed %d: %d violations", i, c.violations)
	}
}

func TestPausesCausePromotionWithoutSilentTimeout(t *testing.T) {
	promotions, _ := dayPart(1, 120*time.Second, func(o *failover.Options) { o.SilentTimeout = 0 })
	assert.Assert(t, promotions > 0)
}
