package faults

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// fault is a failure that is injected and later healed.
type fault struct {
	name string
	// needsPromotion means that a promotion may be necessary while the fault lasts.
	needsPromotion bool
	inject         func(s *simulation, p *proxy)
	heal           func(s *simulation, p *proxy)
}

// proxyPause is how long a paused proxy stays paused.
const proxyPause = 3 * time.Second

// allFaults returns the rows of the matrix.
func allFaults() []fault {
	return []fault{
		{name: "none", inject: noop, heal: noop},
		{name: "primary killed", needsPromotion: true, inject: onPrimary(kill), heal: restartServers},
		{name: "primary isolated", needsPromotion: true, inject: isolatePrimary, heal: removeCuts},
		{name: "primary frozen", needsPromotion: true, inject: onPrimary(pauseServer), heal: resumeServers},
		{name: "primary slow", inject: onPrimary(slow), heal: resetDelays},
		{name: "replica killed", inject: onReplica(kill), heal: restartServers},
		{name: "replica frozen", inject: onReplica(pauseServer), heal: resumeServers},
		{name: "replica far behind", inject: onReplica(lag), heal: resetLag},
		{name: "proxy killed", inject: killProxy, heal: replaceProxy},
		{name: "proxy paused, unaware", inject: pauseProxy, heal: noop},
		{name: "two coordinators", inject: reverseCandidates, heal: noop},
		{name: "platform down", inject: platformDown(true), heal: platformDown(false)},
		{name: "platform slow", inject: platformSlow(time.Second), heal: platformSlow(0)},
		{name: "platform answers lost", inject: platformLosesReplies(true), heal: platformLosesReplies(false)},
		{name: "connections silent", inject: silenceConnections, heal: noop},
		{name: "primary's data centre cut off", needsPromotion: true, inject: cutPrimaryCentre, heal: removeCuts},
		{name: "a data centre cut off", inject: cutReplicaCentre, heal: removeCuts},
		{name: "a data centre cut from the platform", inject: cutPlatform, heal: removeCuts},
		{name: "primary out of reach of some proxies", inject: cutProxiesFromPrimary, heal: removeCuts},
		{name: "VM list lags", inject: prependStoppedVMs, heal: noop},
	}
}

func noop(*simulation, *proxy) {}

// primary returns the server that was promoted at the highest term.
func (s *simulation) primary() *server { return s.server(s.checks.newest().id) }

// replica returns the first running server that is not the primary.
func (s *simulation) replica() *server {
	i := slices.IndexFunc(s.servers, func(r *server) bool { return r != s.primary() && !r.down && !r.paused })
	if i < 0 {
		return s.servers[0]
	}
	return s.servers[i]
}

func onPrimary(do func(*server)) func(*simulation, *proxy) {
	return func(s *simulation, _ *proxy) { do(s.primary()) }
}

func onReplica(do func(*server)) func(*simulation, *proxy) {
	return func(s *simulation, _ *proxy) { do(s.replica()) }
}

func kill(r *server)        { r.down = true }
func pauseServer(r *server) { r.paused = true }
func slow(r *server)        { r.slow = 100 * time.Millisecond }
func lag(r *server)         { r.lag = 3 * time.Second }

func restartServers(s *simulation, _ *proxy) {
	for _, r := range s.servers {
		r.down = false
	}
}

func resumeServers(s *simulation, _ *proxy) {
	for _, r := range s.servers {
		r.resume()
	}
}

func resetDelays(s *simulation, _ *proxy) {
	for _, r := range s.servers {
		r.slow = 0
	}
}

func resetLag(s *simulation, _ *proxy) {
	for _, r := range s.servers {
		r.lag = 0
	}
}

func isolatePrimary(s *simulation, _ *proxy) {
	alone := &s.primary().host
	s.cuts = append(s.cuts, func(a, _ *host) bool { return a == alone })
}

func removeCuts(s *simulation, _ *proxy) { s.cuts = nil }

func cutCentre(s *simulation, dc tables.DataCentreID) {
	s.cuts = append(s.cuts, func(a, b *host) bool { return a.dataCentre == dc && b.dataCentre != dc })
}

func cutPrimaryCentre(s *simulation, _ *proxy) { cutCentre(s, s.primary().dataCentre) }
func cutReplicaCentre(s *simulation, _ *proxy) { cutCentre(s, s.replica().dataCentre) }

// cutProxiesFromPrimary cuts the proxies of one other data centre off from the
// primary, but from nothing else.
func cutProxiesFromPrimary(s *simulation, _ *proxy) {
	hidden, dc := &s.primary().host, s.replica().dataCentre
	s.cuts = append(s.cuts, func(a, b *host) bool {
		return a == hidden && slices.ContainsFunc(s.proxies, func(p *proxy) bool { return &p.host == b && p.dataCentre == dc })
	})
}

func cutPlatform(s *simulation, p *proxy) {
	dc := p.dataCentre
	s.cuts = append(s.cuts, func(a, b *host) bool { return a.dataCentre == dc && b == &s.platform.host })
}

func killProxy(_ *simulation, p *proxy) { p.down = true }

// replaceProxy starts a new process under the same name and without any state.
func replaceProxy(s *simulation, _ *proxy) {
	for i, p := range s.proxies {
		if p.down {
			s.proxies[i] = newProxy(s, i, p.dataCentre)
		}
	}
}

func pauseProxy(s *simulation, p *proxy) {
	p.paused = true
	s.after(proxyPause, p.resume)
}

// reverseCandidates reverses the order of candidates on every second proxy, so
// that several proxies consider themselves the first candidate.
func reverseCandidates(s *simulation, _ *proxy) {
	for i, p := range s.proxies {
		if i%2 == 0 {
			slices.Reverse(p.candidateOrder)
		}
	}
}

// prependStoppedVMs puts VMs that stopped long ago at the head of the candidates
// on every second proxy.
func prependStoppedVMs(s *simulation, _ *proxy) {
	for i, p := range s.proxies {
		if i%2 == 0 {
			p.candidateOrder = append([]tables.VMID{"vm8", "vm9"}, p.candidateOrder...)
		}
	}
}

func platformDown(down bool) func(*simulation, *proxy) {
	return func(s *simulation, _ *proxy) { s.platform.down = down }
}

func platformSlow(d time.Duration) func(*simulation, *proxy) {
	return func(s *simulation, _ *proxy) { s.platform.slow = d }
}

func platformLosesReplies(loseReplies bool) func(*simulation, *proxy) {
	return func(s *simulation, _ *proxy) { s.platform.loseReplies = loseReplies }
}

// silenceConnections permanently silences every open connection to the primary.
func silenceConnections(s *simulation, _ *proxy) {
	for _, p := range s.proxies {
		p.silent = append(p.silent, s.primary().id)
	}
}

// planChange marks the primary as leaving in every proxy's configuration.
func planChange(s *simulation) {
	s.planned = true
	id := s.primary().id
	for _, p := range s.proxies {
		u, _ := p.world.Upstreams.Get(id)
		u.Leaving = true
		p.world.Upstreams.Put(id, u)
	}
}
