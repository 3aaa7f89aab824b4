package membership

import (
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// changes is a queue of the VMs and upstreams whose state is to be passed on to
// the neighbours, each at most once. A token bucket limits its rate.
type changes struct {
	ids     []tables.VMID
	queued  map[tables.VMID]bool
	rate    float64
	tokens  float64
	updated tables.Time
}

// newChanges returns an empty queue that releases up to rate changes per second.
func newChanges(rate int) changes {
	return changes{queued: make(map[tables.VMID]bool), rate: float64(rate), tokens: float64(rate)}
}

func (c *changes) add(id tables.VMID) {
	if c.queued[id] {
		return
	}
	c.queued[id] = true
	c.ids = append(c.ids, id)
}

// take removes and returns the oldest entries that the rate limit allows.
func (c *changes) take(now tables.Time) []tables.VMID {
	c.tokens = min(c.rate, c.tokens+c.rate*now.Sub(c.updated).Seconds())
	c.updated = now
	n := min(len(c.ids), int(c.tokens))
	taken := c.ids[:n]
	c.ids = c.ids[n:]
	c.tokens -= float64(n)
	for _, id := range taken {
		delete(c.queued, id)
	}
	return taken
}

// flush sends queued changes to the neighbours.
func (s *System) flush(now tables.Time, w *tables.World) []action.Action {
	if len(s.view.neighbours) == 0 {
		return nil
	}
	var members []peer.Member
	for _, id := range s.queue.take(now) {
		if row, ok := w.VMs.Get(id); ok {
			members = append(members, s.member(now, row))
			continue
		}
		if leaving, ok := s.upstreams.Get(tables.UpstreamID(id)); ok {
			members = append(members, upstreamMember(tables.UpstreamID(id), leaving))
		}
	}
	if len(members) == 0 {
		return nil
	}
	message := peer.Members{Members: members}
	return []action.Action{action.Publish{To: s.view.neighbours, Topic: peer.TopicMembers, Message: message}}
}
