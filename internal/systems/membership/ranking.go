package membership

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// rankingInterval is how long a Ranking keeps its answers.
const rankingInterval = 2 * time.Second

// Ranking keeps the candidates of groups for a while, since ranking runs over
// all VMs. Who acts first may rest on an old view: terms and majorities, not
// ranks, keep a change of primary safe. It is not safe for concurrent use.
type Ranking struct {
	until tables.Time
	known map[tables.GroupID][]tables.VMID
	// own are the other VMs of this data centre that may be candidates.
	own []tables.VMID
	// centres is how many data centres have VMs that may be candidates.
	centres int
}

// NewRanking returns an empty ranking.
func NewRanking() *Ranking {
	return &Ranking{known: make(map[tables.GroupID][]tables.VMID)}
}

// Candidates is like the function of that name.
func (r *Ranking) Candidates(w *tables.World, group tables.GroupID) []tables.VMID {
	r.refresh(w)
	c, ok := r.known[group]
	if !ok {
		c = Candidates(w, group)
		r.known[group] = c
	}
	return c
}

// IsCandidate reports whether this VM is a candidate of group. Few VMs of its
// own data centre come before a candidate, so that most groups are told by
// those alone.
func (r *Ranking) IsCandidate(w *tables.World, group tables.GroupID) bool {
	r.refresh(w)
	allowed := candidateLimit
	if r.centres >= candidateLimit {
		allowed = 1
	}
	self := scored{id: w.Self, score: score(string(group), w.Self)}
	better := 0
	for _, id := range r.own {
		if byScore(scored{id: id, score: score(string(group), id)}, self) < 0 {
			better++
		}
		if better == allowed {
			return false
		}
	}
	return slices.Contains(r.Candidates(w, group), w.Self)
}

// refresh drops what is too old.
func (r *Ranking) refresh(w *tables.World) {
	self, _ := w.VMs.Get(w.Self)
	now := self.LastSeen // the system enters the time of each tick here
	if now < r.until {
		return
	}
	r.until = now.Add(rankingInterval)
	clear(r.known)
	r.own = r.own[:0]
	centres := make(map[tables.DataCentreID]bool)
	for id, vm := range w.VMs.All() {
		if !vm.Live || vm.Leaving {
			continue
		}
		centres[vm.DataCentre] = true
		if id != w.Self && vm.DataCentre == w.DataCentre {
			r.own = append(r.own, id)
		}
	}
	r.centres = len(centres)
}
