package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/ramp"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// minRampFailure is how long a server must have failed to ramp up again. A shorter
	// failure is that of a connection, as after a lost packet or when a server closes
	// idle ones.
	minRampFailure = failureAvoidTime
	// openingDelay is how long the opening of a connection waits for others during a
	// ramp. It then begins in any case.
	openingDelay = 50 * time.Millisecond
)

// Results of a ramp besides those of package ramp.
const (
	rampBegunAnew  ramp.Result = "begun anew"
	rampServerLeft ramp.Result = "server left"
)

// rampStarted begins the ramp of a server whose entry appeared while this proxy was
// running. Those of the first read are older than the proxy as far as it knows: it
// must not treat all servers as new when it restarts. before is the server's earlier
// run, if it is known. The fleet's lock must be held.
func (f *Fleet) rampStarted(u, before *Upstream) {
	if before != nil {
		before.mu.Lock()
		before.endRamp(rampServerLeft)
		u.ramp = before.ramp
		before.mu.Unlock()
	}
	if f.entriesReadAt == 0 {
		return
	}
	others := f.latencyOfOthers(u)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beginRamp(ramp.Started, u.entry.WarmupLeft, others)
}

// rampPromoted begins the ramp of a group's primary if another server led before: its
// writers come at once, with new connections. The fleet's lock must be held.
func (f *Fleet) rampPromoted(g *group, primary tables.UpstreamID) {
	if primary == "" {
		return
	}
	before := g.lastPrimary
	g.lastPrimary = primary
	u, ok := f.upstreams[primary]
	if before == "" || before == primary || !ok {
		return
	}
	others := f.latencyOfOthers(u)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beginRamp(ramp.Promoted, 0, others)
}

// advanceRamps advances the ramps of all servers. It runs with each check of the
// primaries, as a server may get no statement that would advance its ramp.
func (f *Fleet) advanceRamps() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.mu.Lock()
		active := u.ramp.Active()
		u.mu.Unlock()
		if !active {
			continue
		}
		others := f.latencyOfOthers(u)
		u.mu.Lock()
		u.ramp.SetOthers(others)
		u.advanceRamp()
		u.setGate()
		u.mu.Unlock()
	}
}

// latencyOfOthers returns the lowest smoothed latency of the other servers of a
// server's group in its data centre, or of all if there is none; 0 if none is known.
// The fleet's lock must be held.
func (f *Fleet) latencyOfOthers(u *Upstream) time.Duration {
	var near, all time.Duration
	for _, o := range f.upstreams {
		if o == u || o.entry.Group != u.entry.Group {
			continue
		}
		o.mu.Lock()
		latency := o.latency
		o.mu.Unlock()
		if latency == 0 {
			continue
		}
		if all == 0 || latency < all {
			all = latency
		}
		if o.entry.DataCentre == u.entry.DataCentre && (near == 0 || latency < near) {
			near = latency
		}
	}
	if near != 0 {
		return near
	}
	return all
}

// beginRamp begins a ramp. The lock must be held.
func (u *Upstream) beginRamp(why ramp.Reason, warmupLeft, others time.Duration) {
	f := u.fleet
	u.endRamp(rampBegunAnew)
	s := ramp.Server{Slots: u.entry.Slots, Proxies: f.Proxies(), WarmupLeft: warmupLeft, Others: others}
	if !u.ramp.Begin(f.Now(), why, s, rand.Float64()) {
		return
	}
	f.Metrics.CountRamp(u.entry.Group, string(why))
	f.log.Info("A server's ramp began.", "upstream", u.entry.ID, "group", u.entry.Group, "reason", why,
		"slots", s.Slots, "proxies", s.Proxies, "failures", u.ramp.Failures(), "warmupLeft", warmupLeft, "others", others)
	u.setGate()
}

// advanceRamp advances the ramp. The lock must be held.
func (u *Upstream) advanceRamp() {
	if !u.ramp.Active() {
		return
	}
	if result := u.ramp.Advance(u.fleet.Now()); result != ramp.Running {
		u.reportRampEnd(result)
	}
}

// endRamp ends the ramp, if there is one, before it is complete. The lock must be held.
func (u *Upstream) endRamp(why ramp.Result) {
	if u.ramp.Active() {
		u.ramp.Stop()
		u.reportRampEnd(why)
	}
}

func (u *Upstream) reportRampEnd(why ramp.Result) {
	took := u.fleet.Now().Sub(u.ramp.StartedAt())
	u.fleet.Metrics.ObserveRamp(u.entry.Group, string(why), took)
	u.fleet.log.Info("A server's ramp ended.", "upstream", u.entry.ID, "group", u.entry.Group,
		"reason", u.ramp.Reason(), "result", why, "took", took)
}

// setGate applies the limits to the gate. The lock must be held.
func (u *Upstream) setGate() {
	limit := u.pace.Slots()
	u.gate.SetPace(u.ramp.Slots(limit), u.ramp.Reserve(u.fleet.Now(), limit))
	if u.ramp.Active() {
		u.openings.SetSlots(u.ramp.Slots(u.entry.Slots))
	}
}

// delayOpening waits until this proxy may open a connection for a caller, and returns
// the function to call when it is open. During a ramp the first openings of the
// proxies are spread and each proxy opens few at once; else it returns at once.
func (u *Upstream) delayOpening(ctx context.Context) (done func()) {
	u.mu.Lock()
	active, spread := u.ramp.Active(), u.ramp.Spread(u.fleet.Now())
	u.mu.Unlock()
	if !active || sleep.For(ctx, spread) != nil {
		return func() {} // the opening itself fails if ctx is done
	}
	ctx, cancel := context.WithTimeout(ctx, openingDelay)
	defer cancel()
	slot, err := u.openings.Acquire(ctx, admit.Request{Weight: 1, MaxWait: openingDelay})
	if err != nil {
		return func() {} // nothing is refused for the pace alone
	}
	return slot.Release
}
