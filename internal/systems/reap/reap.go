// Package reap terminates the sessions that a failed VM left open at the servers.
// A connection whose peer has failed occupies a slot until the server detects the
// failure. Terminating the sessions of a VM that is in fact running is safe: its
// requests on those connections fail with an unknown outcome, and it opens new
// connections.
package reap

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Options are the settings of a System.
type Options struct {
	// DownAfter is how long a VM must be not live before its sessions are
	// terminated.
	DownAfter time.Duration
	// Interval is the time between two checks of the VMs.
	Interval time.Duration
	// Candidates returns the VMs that may act for a group. Only the first one acts.
	Candidates func(w *tables.World, group tables.GroupID) []tables.VMID
}

// DefaultOptions returns the settings used in production.
func DefaultOptions(candidates func(*tables.World, tables.GroupID) []tables.VMID) Options {
	return Options{DownAfter: 5 * time.Second, Interval: time.Second, Candidates: candidates}
}

// downVM is the state of a VM that is not live.
type downVM struct {
	since tables.Time
	// terminated are the groups at whose servers this process has terminated the
	// VM's sessions.
	terminated map[tables.GroupID]bool
}

// System terminates the sessions of failed VMs at the servers of the groups for
// which this process is the first candidate, once per failure and group. A process
// that becomes first candidate of a group later also does so for VMs that failed
// before, because the previous first candidate may have failed before it acted. It
// is not safe for concurrent use.
type System struct {
	options Options
	down    *tables.Table[tables.VMID, downVM]
	nextAt  tables.Time
}

// New returns a system that has observed no VM.
func New(options Options) *System {
	return &System{options: options, down: tables.NewTable[tables.VMID, downVM]()}
}

// Handle ignores all events.
func (s *System) Handle(tables.Time, *tables.World, event.Event) []action.Action { return nil }

// Tick checks the VMs when a check is due.
func (s *System) Tick(now tables.Time, w *tables.World) []action.Action {
	if now < s.nextAt {
		return nil
	}
	s.nextAt = now.Add(s.options.Interval)
	s.prune(w)
	var out []action.Action
	for id, vm := range w.VMs.All() {
		if vm.Live {
			continue
		}
		if st := s.trackDown(now, id); now.Sub(st.since) >= s.options.DownAfter {
			out = append(out, s.terminate(w, id, st)...)
		}
	}
	return out
}

// prune removes the VMs that are live again or no longer known.
func (s *System) prune(w *tables.World) {
	for _, id := range s.down.Keys() {
		if vm, ok := w.VMs.Get(id); !ok || vm.Live {
			s.down.Delete(id)
		}
	}
}

// trackDown returns the state of a VM that is not live, starting at now if it is
// new.
func (s *System) trackDown(now tables.Time, id tables.VMID) downVM {
	st, ok := s.down.Get(id)
	if !ok {
		st = downVM{since: now, terminated: make(map[tables.GroupID]bool)}
		s.down.Put(id, st)
	}
	return st
}

// terminate returns the actions that terminate the VM's sessions at the servers of
// the groups for which this process acts and has not done so before.
func (s *System) terminate(w *tables.World, vm tables.VMID, st downVM) []action.Action {
	var out []action.Action
	for id, g := range w.Groups.All() {
		if st.terminated[id] || !s.isFirstCandidate(w, id) {
			continue
		}
		st.terminated[id] = true
		for _, u := range g.Members {
			out = append(out, action.TerminateSessions{Upstream: u, VM: vm})
		}
	}
	return out
}

func (s *System) isFirstCandidate(w *tables.World, group tables.GroupID) bool {
	c := s.options.Candidates(w, group)
	return len(c) > 0 && c[0] == w.Self
}
