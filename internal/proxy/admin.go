package proxy

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const adminTimeout = 5 * time.Second

// adminHandler serves metrics, health, status and profiles.
func (p *Proxy) adminHandler() http.Handler {
	mux := http.NewServeMux()
	p.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.bus.Register(p.registry)
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET "+statusapi.Path, statusapi.Handler(p.status))
	return mux
}

// status returns the process's account of itself.
func (p *Proxy) status() statusapi.Status {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	s := statusapi.Status{
		VM:         p.settings.VM,
		DataCentre: p.settings.DataCentre,
		Ready:      p.ready(),
		Callers:    p.exec.Callers(),
	}
	_ = p.core.inspect(ctx, func(w *tables.World) {
		now := p.core.Now()
		s.ConfigVersion = w.ConfigVersion
		for _, g := range w.Groups.All() {
			s.Groups = append(s.Groups, p.groupStatus(now, w, g))
		}
		for _, vm := range w.VMs.All() {
			if vm.ID != w.Self {
				s.Peers = append(s.Peers, peerStatus(now, vm))
			}
		}
	})
	return s
}

func (p *Proxy) groupStatus(now tables.Time, w *tables.World, g tables.Group) statusapi.Group {
	out := statusapi.Group{Group: g.ID, Term: g.Term, Primary: g.Primary, Refused: p.exec.Refused(g.ID)}
	for _, id := range g.Members {
		u, ok := w.Upstreams.Get(id)
		if !ok {
			continue
		}
		out.Upstreams = append(out.Upstreams, statusapi.Upstream{
			Upstream:    id,
			Position:    u.Status.Last,
			LagMillis:   lagMillis(now, p.core.Snapshot(), g.ID, u),
			Cause:       u.Cause.String(),
			Connections: p.openConnections(id),
			Leaving:     u.Leaving,
		})
	}
	return out
}

func (p *Proxy) openConnections(u tables.UpstreamID) int {
	r, ok := p.upstreams.get(u)
	if !ok {
		return 0
	}
	return r.pool.Open()
}

// lagMillis bounds the age of u's data by the newest confirmed point that u has
// reached; -1 means that there is none.
func lagMillis(now tables.Time, snap *route.Snapshot, group tables.GroupID, u tables.Upstream) int64 {
	g, ok := snap.Group(group)
	if !ok || !u.HasStatus {
		return -1
	}
	for _, point := range g.Points {
		if u.Status.Last.AtLeast(point.Position) {
			return now.Sub(point.SentAt).Milliseconds()
		}
	}
	return -1
}

func peerStatus(now tables.Time, vm tables.VM) statusapi.Peer {
	p := statusapi.Peer{VM: vm.ID, DataCentre: vm.DataCentre, ConfigVersion: vm.ConfigVersion, LastSeenMillis: -1, Leaving: vm.Leaving}
	if vm.LastSeen > 0 {
		p.LastSeenMillis = now.Sub(vm.LastSeen).Milliseconds()
	}
	return p
}
