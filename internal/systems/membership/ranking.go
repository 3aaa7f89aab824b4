package membership

import (
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
}

// NewRanking returns an empty ranking.
func NewRanking() *Ranking {
	return &Ranking{known: make(map[tables.GroupID][]tables.VMID)}
}

// Candidates is like the function of that name.
func (r *Ranking) Candidates(w *tables.World, group tables.GroupID) []tables.VMID {
	self, _ := w.VMs.Get(w.Self)
	now := self.LastHeard // the system enters the time of each tick here
	if now >= r.until {
		clear(r.known)
		r.until = now.Add(rankingInterval)
	}
	c, ok := r.known[group]
	if !ok {
		c = Candidates(w, group)
		r.known[group] = c
	}
	return c
}
