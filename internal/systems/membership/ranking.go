package membership

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// rankingInterval is how long a Ranking caches its results.
const rankingInterval = 2 * time.Second

// Ranking caches the candidates of groups, because ranking iterates over all VMs.
// An outdated rank is harmless: the safety of a change of primary depends on terms
// and majorities, not on ranks. It is not safe for concurrent use.
type Ranking struct {
	expiresAt tables.Time
	cached    map[tables.GroupID][]tables.VMID
	// localPeers are the other VMs of this data centre that may be candidates.
	localPeers []tables.VMID
	// centres is the number of data centres with VMs that may be candidates.
	centres int
}

// NewRanking returns an empty ranking.
func NewRanking() *Ranking {
	return &Ranking{cached: make(map[tables.GroupID][]tables.VMID)}
}

// Candidates is the cached equivalent of the function Candidates.
func (r *Ranking) Candidates(w *tables.World, group tables.GroupID) []tables.VMID {
	r.refresh(w)
	c, ok := r.cached[group]
	if !ok {
		c = Candidates(w, group)
		r.cached[group] = c
	}
	return c
}

// IsCandidate reports whether this VM is a candidate of group. Only a few VMs of
// the same data centre can rank above a candidate, so for most groups it is enough
// to score those VMs.
func (r *Ranking) IsCandidate(w *tables.World, group tables.GroupID) bool {
	r.refresh(w)
	allowed := candidateLimit
	if r.centres >= candidateLimit {
		allowed = 1
	}
	self := scored{id: w.Self, score: score(string(group), w.Self)}
	better := 0
	for _, id := range r.localPeers {
		if byScore(scored{id: id, score: score(string(group), id)}, self) < 0 {
			better++
		}
		if better == allowed {
			return false
		}
	}
	return slices.Contains(r.Candidates(w, group), w.Self)
}

// refresh clears the cache when it has expired.
func (r *Ranking) refresh(w *tables.World) {
	self, _ := w.VMs.Get(w.Self)
	now := self.LastSeen // System.Tick sets this to the time of each tick
	if now < r.expiresAt {
		return
	}
	r.expiresAt = now.Add(rankingInterval)
	clear(r.cached)
	r.localPeers = r.localPeers[:0]
	centres := make(map[tables.DataCentreID]bool)
	for id, vm := range w.VMs.All() {
		if !vm.Live || vm.Leaving {
			continue
		}
		centres[vm.DataCentre] = true
		if id != w.Self && vm.DataCentre == w.DataCentre {
			r.localPeers = append(r.localPeers, id)
		}
	}
	r.centres = len(centres)
}
