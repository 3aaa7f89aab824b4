package failover

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/detect"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// repair is the state of the Follow requests to one server.
type repair struct {
	since  tables.Time
	nextAt tables.Time
}

// repair sends Follow requests to servers that have an old term or follow the
// wrong primary.
func (s *System) repair(now tables.Time, w *tables.World, g tables.Group, rank int) []action.Action {
	var out []action.Action
	for _, m := range g.Members {
		u, ok := w.Upstreams.Get(m)
		if !ok || !detect.Reached(now, u) || !needsFollow(g, u) {
			s.repairs.Delete(m)
			continue
		}
		if s.repairDue(now, m, rank) {
			out = append(out, action.Follow{Group: g.ID, Upstream: m, Primary: g.Primary, Term: g.Term})
		}
	}
	return out
}

// needsFollow reports whether u should follow the group's primary but does not.
func needsFollow(g tables.Group, u tables.Upstream) bool {
	if g.Primary == "" || u.ID == g.Primary || u.Status.Fenced > g.Term {
		return false
	}
	return u.Status.Fenced < g.Term || u.Status.Following != g.Primary
}

func (s *System) repairDue(now tables.Time, m tables.UpstreamID, rank int) bool {
	r, ok := s.repairs.Get(m)
	if !ok {
		r = repair{since: now, nextAt: now.Add(time.Duration(rank) * s.options.FollowInterval)}
	}
	due := now >= r.nextAt
	if due {
		r.nextAt = now.Add(s.options.FollowInterval)
	}
	s.repairs.Put(m, r)
	return due
}
