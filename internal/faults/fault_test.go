package faults

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// fault is something that goes wrong and later heals.
type fault struct {
	name string
	// needsPromotion says that a new primary may be needed while the fault lasts.
	needsPromotion bool
	inject         func(s *simulation, p *proxy)
	heal           func(s *simulation, p *proxy)
}

// pauseOfProxy is how long a paused coordinator stays paused.
const pauseOfProxy = 3 * time.Second

// allFaults returns the rows of the matrix.
func allFaults() []fault {
	return []fault{
		{name: "none", inject: nothing, heal: nothing},
		{name: "primary killed", needsPromotion: true, inject: onPrimary(kill), heal: restartServers},
		{name: "primary isolated", needsPromotion: true, inject: isolatePrimary, heal: uncut},
		{name: "primary frozen", needsPromotion: true, inject: onPrimary(freeze), heal: resumeServers},
		{name: "primary slow", inject: onPrimary(slow), heal: quicken},
		{name: "replica killed", inject: onReplica(kill), heal: restartServers},
		{name: "replica frozen", inject: onReplica(freeze), heal: resumeServers},
		{name: "replica far behind", inject: onReplica(lag), heal: catchUp},
		{name: "proxy killed", inject: killProxy, heal: replaceProxy},
		{name: "proxy paused, unaware", inject: pauseProxy, heal: nothing},
		{name: "two coordinators", inject: reverseOrder, heal: nothing},
		{name: "platform down", inject: platformDown(true), heal: platformDown(false)},
		{name: "platform slow", inject: platformSlow(time.Second), heal: platformSlow(0)},
		{name: "platform answers lost", inject: platformLoses(true), heal: platformLoses(false)},
		{name: "connections silent", inject: silenceConnections, heal: nothing},
		{name: "primary's data centre cut off", needsPromotion: true, inject: cutPrimaryCentre, heal: uncut},
		{name: "a data centre cut off", inject: cutReplicaCentre, heal: uncut},
		{name: "a data centre cut from the platform", inject: cutPlatform, heal: uncut},
		{name: "primary out of reach of some proxies", inject: hidePrimary, heal: uncut},
		{name: "VM list lags", inject: staleOrder, heal: nothing},
	}
}

func nothing(*simulation, *proxy) {}

// primary returns the server that stands at the highest term.
func (s *simulation) primary() *server { return s.server(s.checks.newest().id) }

// replica returns the first server that does not.
func (s *simulation) replica() *server {
	i := slices.IndexFunc(s.servers, func(r *server) bool { return r != s.primary() && !r.down && !r.frozen })
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

func kill(r *server)   { r.down = true }
func freeze(r *server) { r.frozen = true }
func slow(r *server)   { r.slow = 100 * time.Millisecond }
func lag(r *server)    { r.lag = 3 * time.Second }

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

func quicken(s *simulation, _ *proxy) {
	for _, r := range s.servers {
		r.slow = 0
	}
}

func catchUp(s *simulation, _ *proxy) {
	for _, r := range s.servers {
		r.lag = 0
	}
}

func isolatePrimary(s *simulation, _ *proxy) {
	alone := &s.primary().host
	s.cuts = append(s.cuts, func(a, _ *host) bool { return a == alone })
}

func uncut(s *simulation, _ *proxy) { s.cuts = nil }

func cutCentre(s *simulation, dc tables.DataCentreID) {
	s.cuts = append(s.cuts, func(a, b *host) bool { return a.dataCentre == dc && b.dataCentre != dc })
}

func cutPrimaryCentre(s *simulation, _ *proxy) { cutCentre(s, s.primary().dataCentre) }
func cutReplicaCentre(s *simulation, _ *proxy) { cutCentre(s, s.replica().dataCentre) }

// hidePrimary cuts the proxies of one other data centre from the primary alone.
func hidePrimary(s *simulation, _ *proxy) {
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

// replaceProxy starts a new process under the same name with nothing kept.
func replaceProxy(s *simulation, _ *proxy) {
	for i, p := range s.proxies {
		if p.down {
			s.proxies[i] = newProxy(s, i, p.dataCentre)
		}
	}
}

func pauseProxy(s *simulation, p *proxy) {
	p.frozen = true
	s.after(pauseOfProxy, p.resume)
}

// reverseOrder makes two proxies believe that they come first.
func reverseOrder(s *simulation, _ *proxy) {
	for i, p := range s.proxies {
		if i%2 == 0 {
			slices.Reverse(p.order)
		}
	}
}

// staleOrder puts VMs first that are long gone.
func staleOrder(s *simulation, _ *proxy) {
	for i, p := range s.proxies {
		if i%2 == 0 {
			p.order = append([]tables.VMID{"vm8", "vm9"}, p.order...)
		}
	}
}

func platformDown(down bool) func(*simulation, *proxy) {
	return func(s *simulation, _ *proxy) { s.platform.down = down }
}

func platformSlow(d time.Duration) func(*simulation, *proxy) {
	return func(s *simulation, _ *proxy) { s.platform.slow = d }
}

func platformLoses(loses bool) func(*simulation, *proxy) {
	return func(s *simulation, _ *proxy) { s.platform.loses = loses }
}

// silenceConnections makes every open connection to the primary go silent for good.
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
