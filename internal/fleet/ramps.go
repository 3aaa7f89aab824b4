package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/ramp"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// minRampFailure is how long a server must have failed to ramp up again. A shorter
// failure is that of a connection, as after a lost packet or when a server closes
// idle ones.
const minRampFailure = failureAvoidTime

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
	u.gate.SetPace(u.ramp.Slots(limit), u.ramp.Reserve(limit))
}
