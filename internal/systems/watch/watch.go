// Package watch keeps in the tables only the groups that this process needs:
// those for which it may coordinate a failover and those that its callers used
// lately. All other systems run over the tables, so their cost follows the
// number of watched groups and not the number of declared ones.
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
	// WatchAll watches every declared group while there are at most this many.
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

// System decides which groups stand in the tables. It is not safe for
// concurrent use.
type System struct {
	options  Options
	declared *tables.Table[tables.GroupID, config.Group]
	usedAt   *tables.Table[tables.GroupID, tables.Time]
	reviewAt tables.Time
}

// New returns a system that knows no groups until Apply.
func New(options Options) *System {
	return &System{
		options:  options,
		declared: tables.NewTable[tables.GroupID, config.Group](),
		usedAt:   tables.NewTable[tables.GroupID, tables.Time](),
	}
}

// Apply takes a new document. Watched groups keep what was observed of them;
// groups and upstreams that are no longer declared leave the tables.
func (s *System) Apply(now tables.Time, w *tables.World, doc config.Document) {
	s.declared = tables.NewTable[tables.GroupID, config.Group]()
	for _, g := range doc.Groups {
		s.declared.Put(g.ID, g)
	}
	for _, id := range w.Groups.Keys() {
		g, ok := s.declared.Get(id)
		if !ok {
			configure.Forget(w, id)
			continue
		}
		configure.Fill(w, g)
	}
	s.review(now, w)
}

// Handle takes one event.
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
		configure.Fill(w, g)
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
			configure.Fill(w, g)
		case !needed && watched:
			configure.Forget(w, id)
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
