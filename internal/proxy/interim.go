package proxy

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// pollHead is a configure system that reads the configuration head itself.
type pollHead struct{ next tables.Time }

const headInterval = time.Second

// Handle implements system.
func (p *pollHead) Handle(_ tables.Time, w *tables.World, ev event.Event) []action.Action {
	switch e := ev.(type) {
	case event.HeadRead:
		if e.Outcome == event.OutcomeOK && e.Head.Version > w.ConfigVersion {
			return []action.Action{action.LoadDocument{Version: e.Head.Version, Hash: e.Head.Hash}}
		}
	case event.DocumentLoaded:
		if e.Outcome == event.OutcomeOK && e.Version > w.ConfigVersion {
			applyTables(w, e.Version, e.Document)
			return []action.Action{action.ApplyDocument{Version: e.Version, Document: e.Document}}
		}
	}
	return nil
}

// Tick implements system.
func (p *pollHead) Tick(now tables.Time, _ *tables.World) []action.Action {
	if now < p.next {
		return nil
	}
	p.next = now.Add(headInterval)
	return []action.Action{action.ReadHead{}}
}

func applyTables(w *tables.World, version uint64, doc config.Document) {
	w.ConfigVersion = version
	for _, g := range doc.Groups {
		row, ok := w.Groups.Get(g.ID)
		if !ok {
			row = tables.Group{ID: g.ID, Term: 1, Primary: g.FirstPrimary}
		}
		row.Members = row.Members[:0:0]
		for _, u := range g.Upstreams {
			row.Members = append(row.Members, u.ID)
			old, _ := w.Upstreams.Get(u.ID)
			old.ID, old.Group, old.DataCentre, old.Address = u.ID, g.ID, u.DataCentre, u.Address
			old.Slots, old.Connections, old.Leaving = u.Slots, u.Connections, u.Leaving
			w.Upstreams.Put(u.ID, old)
		}
		w.Groups.Put(g.ID, row)
	}
}

func selfOnly(w *tables.World, _ tables.GroupID) []tables.VMID { return []tables.VMID{w.Self} }

// noBus is a bus without peers.
type noBus struct{}

// Send implements peer.Bus.
func (noBus) Send(string, string, any) {}

// Run implements peer.Bus.
func (noBus) Run(ctx context.Context, _ func(msg any)) error {
	<-ctx.Done()
	return nil
}
