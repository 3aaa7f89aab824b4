// Package reap frees what a VM that vanished still holds at the servers: a
// connection whose other end is gone keeps its slot until the server notices.
// Ending the sessions of a VM that in fact lives is safe: it loses connections,
// its requests on them end as unknown, and it opens new ones.
package reap

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Options are the settings of a System.
type Options struct {
	// DownAfter is how long a VM must have been found silent before it counts as gone.
	DownAfter time.Duration
	// Interval is the time between reviews.
	Interval time.Duration
	// Candidates returns the VMs that may act for a group; the first one does.
	Candidates func(w *tables.World, group tables.GroupID) []tables.VMID
}

// DefaultOptions returns the settings used in production.
func DefaultOptions(candidates func(*tables.World, tables.GroupID) []tables.VMID) Options {
	return Options{DownAfter: 5 * time.Second, Interval: time.Second, Candidates: candidates}
}

// silence is a VM known not to be live.
type silence struct {
	since tables.Time
	// reaped are the groups at whose servers this process ended the VM's sessions.
	reaped map[tables.GroupID]bool
}

// System ends the sessions of VMs that are gone, once for each time they fall
// silent, at the servers of the groups that this process acts for. A process
// that comes to act for a group later makes up for one that vanished meanwhile.
// It is not safe for concurrent use.
type System struct {
	options Options
	silent  *tables.Table[tables.VMID, silence]
	nextAt  tables.Time
}

// New returns a system that has seen no VM.
func New(options Options) *System {
	return &System{options: options, silent: tables.NewTable[tables.VMID, silence]()}
}

// Handle takes no events.
func (s *System) Handle(tables.Time, *tables.World, event.Event) []action.Action { return nil }

// Tick reviews the VMs when it is due.
func (s *System) Tick(now tables.Time, w *tables.World) []action.Action {
	if now < s.nextAt {
		return nil
	}
	s.nextAt = now.Add(s.options.Interval)
	s.forget(w)
	var out []action.Action
	for id, vm := range w.VMs.All() {
		if vm.Live {
			continue
		}
		if st := s.observe(now, id); now.Sub(st.since) >= s.options.DownAfter {
			out = append(out, s.terminate(w, id, st)...)
		}
	}
	return out
}

// forget drops the VMs that are live again or not known any more.
func (s *System) forget(w *tables.World) {
	for _, id := range s.silent.Keys() {
		if vm, ok := w.VMs.Get(id); !ok || vm.Live {
			s.silent.Delete(id)
		}
	}
}

// observe returns the silence of a VM, which may begin now.
func (s *System) observe(now tables.Time, id tables.VMID) silence {
	st, ok := s.silent.Get(id)
	if !ok {
		st = silence{since: now, reaped: make(map[tables.GroupID]bool)}
		s.silent.Put(id, st)
	}
	return st
}

// terminate ends the VM's sessions at the servers of the groups that this
// process acts for and has not ended them at.
func (s *System) terminate(w *tables.World, vm tables.VMID, st silence) []action.Action {
	var out []action.Action
	for id, g := range w.Groups.All() {
		if st.reaped[id] || !s.acts(w, id) {
			continue
		}
		st.reaped[id] = true
		for _, u := range g.Members {
			out = append(out, action.TerminateSessions{Upstream: u, VM: vm})
		}
	}
	return out
}

func (s *System) acts(w *tables.World, group tables.GroupID) bool {
	c := s.options.Candidates(w, group)
	return len(c) > 0 && c[0] == w.Self
}
