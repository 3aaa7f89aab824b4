// Package watch keeps only the groups in the tables that this process needs: those
// for which it may coordinate a failover and those that its callers used recently.
// All other systems iterate over the tables, so their cost depends on the number
// of watched groups and not on the number of declared ones.
package watch

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/configure"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Options are the settings of a System.
type Options struct {
	// IdleAfter is how long a group stays watched after its last use.
	IdleAfter time.Duration
	// ReviewInterval is the time between reviews of the candidates.
	ReviewInterval time.Duration
	// WatchAll is the number of declared groups up to which every one is watched.
	WatchAll int
	// IsCandidate reports whether this VM may coordinate a failover of a group.
	IsCandidate func(w *tables.World, group tables.GroupID) bool
}

// DefaultOptions returns the settings used in production.
func DefaultOptions(isCandidate func(*tables.World, tables.GroupID) bool) Options {
	return Options{
		IdleAfter:      10 * time.Minute,
		ReviewInterval: 5 * time.Second,
		WatchAll:       32,
		IsCandidate:    isCandidate,
	}
}

// System decides which groups are in the tables. It is not safe for concurrent use.
type System struct {
	options  Options
	declared *tables.Table[tables.GroupID, config.Group]
	usedAt   *tables.Table[tables.GroupID, tables.Time]
	reviewAt tables.Time
}

// New returns a system without groups; Apply sets the declared groups.
func New(options Options) *System {
	return &System{
		options:  options,
		declared: tables.NewTable[tables.GroupID, config.Group](),
		usedAt:   tables.NewTable[tables.GroupID, tables.Time](),
	}
}

// Apply sets the declared groups from a new document. Watched groups keep their
// observed state. Groups and upstreams that are no longer declared are removed from
// the tables.
func (s *System) Apply(now tables.Time, w *tables.World, doc config.Document) {
	s.declared = tables.NewTable[tables.GroupID, config.Group]()
	for _, g := range doc.Groups {
		s.declared.Put(g.ID, g)
	}
	for _, id := range w.Groups.Keys() {
		g, ok := s.declared.Get(id)
		if !ok {
			configure.RemoveGroup(w, id)
			continue
		}
		configure.PutGroup(w, g)
	}
	s.review(now, w)
}

// Handle processes one event: a caller's request for a group makes it watched.
func (s *System) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	used, ok := ev.(event.GroupUsed)
	if !ok {
		return nil
	}
	g, ok := s.declared.Get(used.Group)
	if !ok {
		return nil
	}
	s.usedAt.Put(used.Group, now)
	if _, ok := w.Groups.Get(used.Group); !ok {
		configure.PutGroup(w, g)
	}
	return nil
}

// Tick reviews the watched groups when it is due.
func (s *System) Tick(now tables.Time, w *tables.World) []action.Action {
	if now >= s.reviewAt {
		s.review(now, w)
	}
	return nil
}

func (s *System) review(now tables.Time, w *tables.World) {
	s.reviewAt = now.Add(s.options.ReviewInterval)
	for id, g := range s.declared.All() {
		_, watched := w.Groups.Get(id)
		needed := s.needed(now, w, id)
		switch {
		case needed && !watched:
			configure.PutGroup(w, g)
		case !needed && watched:
			configure.RemoveGroup(w, id)
		}
	}
}

func (s *System) needed(now tables.Time, w *tables.World, id tables.GroupID) bool {
	if s.declared.Len() <= s.options.WatchAll {
		return true
	}
	if at, ok := s.usedAt.Get(id); ok && now.Sub(at) <= s.options.IdleAfter {
		return true
	}
	return s.options.IsCandidate(w, id)
}
