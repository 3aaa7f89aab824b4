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
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// meanFaultPause is the mean pause between the starts of two faults; it is
	// shorter than most faults, so that they overlap.
	meanFaultPause = 700 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 3 * time.Second
	// minCopyAge and maxCopyAge bound the age of the copy from which the store comes
	// back in a drill, and maxDrillAway bounds the time that it is away.
	minCopyAge   = time.Second
	maxCopyAge   = 10 * time.Second
	maxDrillAway = 2 * time.Second
)

// fault starts a fault and returns its name and a function that ends it.
type fault func(s *Soak, r *rand.Rand) (name string, end func())

// faults are drawn with equal probability. Some faults of processes, links and
// servers are listed twice and so drawn twice as often.
var faults = []fault{
	killProxy, killProxy, pauseProxy, pauseProxy, terminateProxy, reload,
	slowLink, resetLink, cutLink, cutLink, silenceLink, refuseLink,
	storeDown, storeLosesReplies, storeLate, storeSlow, storeDropsHistory, entriesExpire, drill,
	crashServer, crashServer, silentServer, stopReceiving, isolateServer, lagServer, planReplacement,
}

// inject starts random faults until the fault duration of the run has passed,
// and returns once all of them have ended.
func (s *Soak) inject(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 0))
	var open sync.WaitGroup
	open.Go(func() { s.drillOnce(ctx) })
	open.Go(func() { s.removeEarly(ctx) })
	open.Go(func() { s.cutCoordinator(ctx) })
	open.Go(func() { s.lapseEntry(ctx) })
	open.Go(func() { s.failStatements(ctx) })
	for end := time.Now().Add(s.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		name, undo := faults[r.IntN(len(faults))](s, r)
		duration := time.Duration(r.Int64N(int64(maxFaultDuration)))
		s.recordStep("%s for %s", name, duration.Round(time.Millisecond))
		open.Go(func() {
			_ = sleep.For(ctx, duration) // the fault ends in any case
			undo()
		})
		_ = sleep.For(ctx, time.Duration(r.Int64N(int64(2*meanFaultPause)))) // the loop checks ctx
	}
	open.Wait()
}

// drillOnce makes the store come back from an older copy at a random time, so that
// every run has a drill.
func (s *Soak) drillOnce(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 1))
	if sleep.For(ctx, time.Duration(r.Int64N(int64(s.FaultDuration)))) != nil {
		return
	}
	name, _ := drill(s, r)
	s.recordStep("%s", name)
}

// cutCoordinator crashes the primary at a random time and cuts the next proxy that sends a
// promotion order off from the platform, which holds up the order. The cut outlasts the
// proxy's coordinator lease, so that another one replaces the primary meanwhile.
func (s *Soak) cutCoordinator(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 2))
	if sleep.For(ctx, time.Duration(r.Int64N(int64(s.FaultDuration)))) != nil {
		return
	}
	var once sync.Once
	cut := make(chan *proxy, 1)
	for _, p := range s.proxies {
		p.promotion.callOnSend(func() {
			once.Do(func() {
				p.setCutFromPlatform(true)
				cut <- p
			})
		})
	}
	if primary := s.group.Primary(); primary != "" {
		s.group.Change(primary, (*dbgroup.Server).Crash)
		defer s.group.Change(primary, (*dbgroup.Server).Restart)
		s.recordStep("crash %s and cut off the proxy that orders its replacement", primary)
	}
	select {
	case p := <-cut:
		s.recordStep("%s is cut off from the platform as it orders a promotion", vmName(p.number))
		_ = sleep.For(ctx, coordinatorCut) // the cut ends in any case
		p.setCutFromPlatform(false)
	case <-time.After(coordinatorCut):
	case <-ctx.Done():
	}
	for _, p := range s.proxies {
		p.promotion.callOnSend(nil)
	}
}

// coordinatorCut is longer than a coordinator lease and the pause between the orders of
// two holders.
const coordinatorCut = 7 * time.Second

// lapseEntry removes the row of a replica that goes on running, for longer than a server without
// one may be used. Then the other replicas receive nothing for a while, and the primary
// crashes.
func (s *Soak) lapseEntry(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 4))
	if sleep.For(ctx, time.Duration(r.Int64N(int64(s.FaultDuration)))) != nil {
		return
	}
	primary, lapsed := s.group.Primary(), serverName(r.IntN(servers))
	if primary == "" || primary == lapsed {
		return
	}
	s.recordStep("the row of %s expires", lapsed)
	s.setLapsed(lapsed)
	defer s.setLapsed("")
	_ = sleep.For(ctx, minLapse+time.Duration(r.Int64N(int64(maxFaultDuration)))) // it ends in any case
	for i := range servers {
		if id := serverName(i); id != primary && id != lapsed {
			s.group.Change(id, func(server *dbgroup.Server) { server.SetReceiveStopped(true) })
			defer s.group.Change(id, func(server *dbgroup.Server) { server.SetReceiveStopped(false) })
		}
	}
	_ = sleep.For(ctx, time.Duration(r.Int64N(int64(maxFaultDuration/4))))
	s.recordStep("crash %s while only %s follows it", primary, lapsed)
	s.group.Change(primary, (*dbgroup.Server).Crash)
	defer s.group.Change(primary, (*dbgroup.Server).Restart)
	_ = sleep.For(ctx, time.Duration(r.Int64N(int64(maxFaultDuration))))
}

// minLapse is the least time without a row: longer than the time after which proxies treat
// a server without one as gone.
const minLapse = 3 * time.Second

func (s *Soak) setLapsed(id tables.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapsed = id
}

// setCutFromPlatform holds up what the proxy and the platform send to each other.
func (p *proxy) setCutFromPlatform(on bool) {
	for _, k := range []*link{p.promotion, p.store} {
		k.setCut(toTarget, on)
		k.setCut(fromTarget, on)
	}
}

func (s *Soak) randomProxy(r *rand.Rand) *proxy { return s.proxies[r.IntN(len(s.proxies))] }

func noop() {}

func killProxy(s *Soak, r *rand.Rand) (string, func()) {
	p := s.randomProxy(r)
	exited := p.signal(syscall.SIGKILL, true)
	return "kill " + vmName(p.number), func() { p.restart(exited) }
}

func terminateProxy(s *Soak, r *rand.Rand) (string, func()) {
	p := s.randomProxy(r)
	exited := p.signal(syscall.SIGTERM, true)
	return "terminate " + vmName(p.number), func() { p.restart(exited) }
}

func pauseProxy(s *Soak, r *rand.Rand) (string, func()) {
	p := s.randomProxy(r)
	p.signal(syscall.SIGSTOP, false)
	return "pause " + vmName(p.number), func() { p.signal(syscall.SIGCONT, false) }
}

func reload(s *Soak, r *rand.Rand) (string, func()) {
	p := s.randomProxy(r)
	p.signal(syscall.SIGHUP, false)
	return "reload " + vmName(p.number), noop
}

// randomLink returns a link and a description of it.
func (s *Soak) randomLink(r *rand.Rand) (*link, string) {
	p := s.randomProxy(r)
	switch r.IntN(4) {
	case 0:
		return p.front, "callers of " + vmName(p.number)
	case 1:
		return p.store, "the store connections of " + vmName(p.number)
	case 2:
		return p.promotion, "the promotion requests of " + vmName(p.number)
	default:
		i := r.IntN(servers)
		return s.links[i], string(serverName(i))
	}
}

func slowLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.randomLink(r)
	k.setDelay(time.Duration(r.IntN(80)) * time.Millisecond)
	return "delay " + name, func() { k.setDelay(0) }
}

func resetLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.randomLink(r)
	k.reset()
	return "reset " + name, noop
}

func cutLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.randomLink(r)
	d := direction(r.IntN(2))
	k.setCut(d, true)
	return "cut one way " + name, func() { k.setCut(d, false) }
}

func silenceLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.randomLink(r)
	k.silence()
	return "silence " + name, noop
}

func refuseLink(s *Soak, r *rand.Rand) (string, func()) {
	k, name := s.randomLink(r)
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

func storeLosesReplies(s *Soak, _ *rand.Rand) (string, func()) {
	return s.storeFault("store loses replies", metadata.Faults{LoseWrites: true})
}

func storeLate(s *Soak, r *rand.Rand) (string, func()) {
	return s.storeFault("store writes late", metadata.Faults{LateWrites: time.Duration(r.IntN(2000)+1) * time.Millisecond})
}

func storeSlow(s *Soak, r *rand.Rand) (string, func()) {
	return s.storeFault("store slow", metadata.Faults{Slow: time.Duration(r.IntN(250)) * time.Millisecond})
}

func storeDropsHistory(s *Soak, _ *rand.Rand) (string, func()) {
	s.store.DropHistory()
	return "store drops its history", noop
}

// drill makes the store come back from an older copy.
func drill(s *Soak, r *rand.Rand) (string, func()) {
	age := minCopyAge + time.Duration(r.Int64N(int64(maxCopyAge-minCopyAge)))
	s.store.Drill(r, time.Duration(r.Int64N(int64(maxDrillAway))), age)
	return "drill with a copy of age " + age.Round(time.Millisecond).String(), noop
}

// entriesExpire makes the store unavailable and removes the servers' rows, which
// expire during a long outage.
func entriesExpire(s *Soak, _ *rand.Rand) (string, func()) {
	s.setEntriesExpired(true)
	name, end := storeDown(s, nil)
	return name + ", entries expire", func() {
		end()
		s.setEntriesExpired(false)
	}
}

func (s *Soak) setEntriesExpired(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entriesExpired = on
}

// serverFault starts a fault of a server, which is the current primary with a
// probability of at least one half.
func (s *Soak) serverFault(r *rand.Rand, name string, begin, end func(*dbgroup.Server)) (string, func()) {
	id := serverName(r.IntN(servers))
	if primary := s.group.Primary(); r.IntN(2) == 0 && primary != "" {
		id = primary
	}
	s.group.Change(id, begin)
	return name + " " + string(id), func() { s.group.Change(id, end) }
}

func crashServer(s *Soak, r *rand.Rand) (string, func()) {
	return s.serverFault(r, "crash", (*dbgroup.Server).Crash, (*dbgroup.Server).Restart)
}

func silentServer(s *Soak, r *rand.Rand) (string, func()) {
	return s.serverFault(r, "silent", func(u *dbgroup.Server) { u.SetSilent(true) }, func(u *dbgroup.Server) { u.SetSilent(false) })
}

func stopReceiving(s *Soak, r *rand.Rand) (string, func()) {
	return s.serverFault(r, "stop receiving", func(u *dbgroup.Server) { u.SetReceiveStopped(true) }, func(u *dbgroup.Server) { u.SetReceiveStopped(false) })
}

func isolateServer(s *Soak, r *rand.Rand) (string, func()) {
	return s.serverFault(r, "isolated", func(u *dbgroup.Server) { u.SetIsolated(true) }, func(u *dbgroup.Server) { u.SetIsolated(false) })
}

func lagServer(s *Soak, r *rand.Rand) (string, func()) {
	lag := time.Duration(r.IntN(3000)) * time.Millisecond
	return s.serverFault(r, "lag", func(u *dbgroup.Server) { u.SetLag(lag) }, func(u *dbgroup.Server) { u.SetLag(dbgroup.Lag) })
}

// planReplacement makes the primary report that it is leaving, so that it is
// replaced by a planned move.
func planReplacement(s *Soak, _ *rand.Rand) (string, func()) {
	id := s.group.Primary()
	if id == "" {
		return "no primary to replace", noop
	}
	set := func(on bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.leaving[id] = on
	}
	set(true)
	return "leaving " + string(id), func() { set(false) }
}
