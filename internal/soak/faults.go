package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
)

const (
	// between is the mean pause between two faults; they last longer and overlap.
	between = 700 * time.Millisecond
	// longest is how long a fault lasts at most.
	longest = 3 * time.Second
)

// fault begins a fault and returns its name and how to end it.
type fault func(s *Soak, r *rand.Rand) (name string, end func())

// faults are drawn with the same chance; those of processes and links come in
// more variants and so more often.
var faults = []fault{
	killProxy, killProxy, pauseProxy, pauseProxy, endProxy, reload,
	slowLink, resetLink, cutLink, cutLink, silenceLink, refuseLink,
	storeDown, storeLoses, storeLate, storeSlow, storeForgets, entriesLapse,
	crashServer, crashServer, silentServer, deafServer, isolateServer, lagServer, leaveServer,
}

// inject begins faults until the time is over and ends them all.
func (s *Soak) inject(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 0))
	var open sync.WaitGroup
	for end := time.Now().Add(s.Lasts); time.Now().Before(end) && ctx.Err() == nil; {
		name, undo := faults[r.IntN(len(faults))](s, r)
		lasts := time.Duration(r.Int64N(int64(longest)))
		s.step("%s for %s", name, lasts.Round(time.Millisecond))
		open.Go(func() {
			_ = sleep.For(ctx, lasts) // the fault ends either way
			undo()
		})
		_ = sleep.For(ctx, time.Duration(r.Int64N(int64(2*between)))) // the loop looks at ctx
	}
	open.Wait()
}

func (s *Soak) anyProxy(r *rand.Rand) *proxy { return s.proxies[r.IntN(len(s.proxies))] }

func nothing() {}

func killProxy(s *Soak, r *rand.Rand) (string, func()) {
	p := s.anyProxy(r)
	ended := p.signal(syscall.SIGKILL, true)
	return "kill " + vmName(p.number), func() { p.again(ended) }
}

func endProxy(s *Soak, r *rand.Rand) (string, func()) {
	p := s.anyProxy(r)
	ended := p.signal(syscall.SIGTERM, true)
	return "end " + vmName(p.number), func() { p.again(ended) }
}

func pauseProxy(s *Soak, r *rand.Rand) (string, func()) {
	p := s.anyProxy(r)
	p.signal(syscall.SIGSTOP, false)
	return "pause " + vmName(p.number), func() { p.signal(syscall.SIGCONT, false) }
}

func reload(s *Soak, r *rand.Rand) (string, func()) {
	p := s.anyProxy(r)
	p.signal(syscall.SIGHUP, false)
	return "reload " + vmName(p.number), nothing
}

// anyLink returns a link and what it leads to.
func (s *Soak) anyLink(r *rand.Rand) (*link, string) {
	p := s.anyProxy(r)
	switch r.IntN(4) {
	case 0:
		return p.front, "callers of " + vmName(p.number)
	case 1:
		return p.store, "the store of " + vmName(p.number)
	case 2:
		return p.duty, "the duty call of " + vmName(p.number)
	default:
		i := r.IntN(servers)
		return s.links[i], string(serverName(i))
	}
}

func slowLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.anyLink(r)
	k.setDelay(time.Duration(r.IntN(80)) * time.Millisecond)
	return "delay " + name, func() { k.setDelay(0) }
}

func resetLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.anyLink(r)
	k.reset()
	return "reset " + name, nothing
}

func cutLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.anyLink(r)
	d := direction(r.IntN(2))
	k.setCut(d, true)
	return "cut one way " + name, func() { k.setCut(d, false) }
}

func silenceLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.anyLink(r)
	k.silence()
	return "silence " + name, nothing
}

func refuseLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.anyLink(r)
	k.refuse(true)
	return "refuse " + name, func() { k.refuse(false) }
}

func (s *Soak) storeFault(name string, f metadata.Faults) (string, func()) {
	s.store.SetFaults(f)
	return name, func() { s.store.SetFaults(metadata.Faults{}) }
}

func storeDown(s *Soak, _ *rand.Rand) (string, func()) {
	return s.storeFault("store down", metadata.Faults{Down: true})
}

func storeLoses(s *Soak, _ *rand.Rand) (string, func()) {
	return s.storeFault("store loses answers", metadata.Faults{LoseWrites: true})
}

func storeLate(s *Soak, r *rand.Rand) (string, func()) {
	return s.storeFault("store writes late", metadata.Faults{LateWrites: time.Duration(r.IntN(2000)+1) * time.Millisecond})
}

func storeSlow(s *Soak, r *rand.Rand) (string, func()) {
	return s.storeFault("store slow", metadata.Faults{Slow: time.Duration(r.IntN(250)) * time.Millisecond})
}

func storeForgets(s *Soak, _ *rand.Rand) (string, func()) {
	s.store.Forget()
	return "store forgets its history", nothing
}

// entriesLapse takes the store away long enough that the servers' rows vanish.
func entriesLapse(s *Soak, _ *rand.Rand) (string, func()) {
	s.setLapsed(true)
	name, end := storeDown(s, nil)
	return name + ", entries lapse", func() {
		end()
		s.setLapsed(false)
	}
}

func (s *Soak) setLapsed(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapsed = on
}

// change begins a fault of a server; primary says that it is the present primary.
func (s *Soak) change(r *rand.Rand, name string, begin, end func(*dbgroup.Server)) (string, func()) {
	id := serverName(r.IntN(servers))
	if primary := s.group.Primary(); r.IntN(2) == 0 && primary != "" {
		id = primary
	}
	s.group.Change(id, begin)
	return name + " " + string(id), func() { s.group.Change(id, end) }
}

func crashServer(s *Soak, r *rand.Rand) (string, func()) {
	return s.change(r, "crash", (*dbgroup.Server).Crash, (*dbgroup.Server).Restart)
}

func silentServer(s *Soak, r *rand.Rand) (string, func()) {
	return s.change(r, "silent", func(u *dbgroup.Server) { u.SetSilent(true) }, func(u *dbgroup.Server) { u.SetSilent(false) })
}

func deafServer(s *Soak, r *rand.Rand) (string, func()) {
	return s.change(r, "deaf", func(u *dbgroup.Server) { u.SetDeaf(true) }, func(u *dbgroup.Server) { u.SetDeaf(false) })
}

func isolateServer(s *Soak, r *rand.Rand) (string, func()) {
	return s.change(r, "isolated", func(u *dbgroup.Server) { u.SetIsolated(true) }, func(u *dbgroup.Server) { u.SetIsolated(false) })
}

func lagServer(s *Soak, r *rand.Rand) (string, func()) {
	lag := time.Duration(r.IntN(3000)) * time.Millisecond
	return s.change(r, "lag", func(u *dbgroup.Server) { u.SetLag(lag) }, func(u *dbgroup.Server) { u.SetLag(dbgroup.Lag) })
}

// leaveServer makes the primary report that it is to be replaced.
func leaveServer(s *Soak, _ *rand.Rand) (string, func()) {
	id := s.group.Primary()
	if id == "" {
		return "no primary to leave", nothing
	}
	set := func(on bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.leaving[id] = on
	}
	set(true)
	return "leaving " + string(id), func() { set(false) }
}
