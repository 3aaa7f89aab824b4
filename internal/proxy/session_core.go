package proxy

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/pgsession"
	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
)

// *Proxy gives package pgsession, the statement path, access to the core.
var _ pgsession.Core = (*Proxy)(nil)

// Now implements pgsession.Core.
func (p *Proxy) Now() tables.Time { return p.core.Now() }

// Confirm implements pgsession.Core.
func (p *Proxy) Confirm(g tables.GroupID) { p.confirmers.get(g).refreshPoint() }

// Acknowledge implements pgsession.Core.
func (p *Proxy) Acknowledge(ctx context.Context, g tables.GroupID, c ack.Commit) (ack.Outcome, error) {
	return p.confirmers.get(g).acknowledge(ctx, c)
}

// Pool implements pgsession.Core.
func (p *Proxy) Pool(u tables.UpstreamID) (*upstream.Pool, bool) {
	r, ok := p.upstreams.get(u)
	if !ok {
		return nil, false
	}
	return r.pool, true
}

// Gate implements pgsession.Core.
func (p *Proxy) Gate(u tables.UpstreamID) (*gate.Limiter, bool) {
	r, ok := p.upstreams.get(u)
	if !ok {
		return nil, false
	}
	return r.gate, true
}

// Load implements pgsession.Core.
func (p *Proxy) Load() *pgsession.Load { return &p.load }

// Report implements pgsession.Core.
func (p *Proxy) Report(ev event.Event) { p.core.Report(ev) }

// Snapshot implements pgsession.Core.
func (p *Proxy) Snapshot() *route.Snapshot { return p.core.Snapshot() }

// Changed implements pgsession.Core.
func (p *Proxy) Changed() <-chan struct{} { return p.core.Changed() }
