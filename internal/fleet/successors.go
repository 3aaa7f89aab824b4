package fleet

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// A server that crashed may come back under a new id. It has its address and its log, so
// the new id takes the place of the old one wherever the log of a member is needed. An
// entry alone proves nothing: another writer may have left it. A server opens sessions
// under its own id only, so the one that answers is the one that runs there.

// addSameAddress links a server that appeared with the other servers of its group and
// address. The lock must be held.
func (f *Fleet) addSameAddress(u *Upstream) {
	for _, other := range f.upstreams {
		if other != u && other.entry.Group == u.entry.Group && other.entry.Address == u.entry.Address {
			other.sameAddress = append(other.sameAddress, u)
			u.sameAddress = append(u.sameAddress, other)
		}
	}
}

func (u *Upstream) recordIdentified() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.identifiedAt = u.fleet.Now()
}

func (u *Upstream) lastIdentified() tables.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.identifiedAt
}

// successor returns the server that runs in place of u, under another id at its address;
// nil if none is known. The lock must be held.
func (f *Fleet) successor(u *Upstream) *Upstream {
	var best *Upstream
	latest := max(u.lastIdentified(), u.joinedAt)
	for _, other := range u.sameAddress {
		if at := other.lastIdentified(); at > latest && f.upstreams[other.entry.ID] == other {
			best, latest = other, at
		}
	}
	return best
}

// succeeded reports whether a member is a server that runs under a new id. The lock must be
// held.
func (f *Fleet) succeeded(g *group, id tables.UpstreamID) bool {
	if u, ok := f.upstreams[id]; ok {
		s := f.successor(u)
		return s != nil && !f.hasTerminated(s)
	}
	return slices.ContainsFunc(f.serversAt(g, id), func(u *Upstream) bool { return u.lastIdentified() != 0 })
}

// serversAt returns the running servers at the address of a member other than the member.
// The lock must be held.
func (f *Fleet) serversAt(g *group, id tables.UpstreamID) []*Upstream {
	address, ok := g.addresses[id]
	if !ok {
		return nil
	}
	return f.serversWhere(g.id, func(u *Upstream) bool {
		return u.entry.Address == address && u.entry.ID != id && !f.hasTerminated(u)
	})
}

// possibleSuccessors returns the servers at the addresses of members that have terminated,
// unless they are known to run there. The lock must be held.
func (f *Fleet) possibleSuccessors(g *group) []*Upstream {
	var out []*Upstream
	for _, id := range replace.Stopped(g.members, f.possiblyRunning(g.id), "") {
		for _, u := range f.serversAt(g, id) {
			if u.lastIdentified() == 0 {
				out = append(out, u)
			}
		}
	}
	return out
}

// addressesKey is the key of the addresses of a group's members.
func addressesKey(id tables.GroupID) string { return rowKey{kind: addressesRow, group: id}.String() }

// applyAddresses takes the stored addresses of a group's members into account. The lock
// must be held.
func (f *Fleet) applyAddresses(g *group, value []byte) {
	var list map[tables.UpstreamID]string
	if err := json.Unmarshal(value, &list); err != nil {
		f.log.Error("Ignored addresses of members that can't be decoded.", "group", g.id, "error", err)
		return
	}
	for id, address := range list {
		if _, ok := g.addresses[id]; !ok {
			g.addresses[id] = address
		}
	}
}

// forgetAddresses removes the addresses of servers that are neither members nor known. The
// lock must be held.
func (f *Fleet) forgetAddresses(g *group) {
	maps.DeleteFunc(g.addresses, func(id tables.UpstreamID, _ string) bool {
		_, known := f.upstreams[id]
		return !known && !slices.Contains(g.members, id) && !slices.Contains(g.restored.members, id)
	})
}

// addressesOf returns the known addresses of servers.
func (g *group) addressesOf(list []tables.UpstreamID) map[tables.UpstreamID]string {
	out := make(map[tables.UpstreamID]string, len(list))
	for _, id := range list {
		if address, ok := g.addresses[id]; ok {
			out[id] = address
		}
	}
	return out
}

// stoppedMembers returns the members of a group that have terminated, except primary and
// those that came back under a new id. The lock must be held.
func (f *Fleet) stoppedMembers(g *group, primary tables.UpstreamID) []tables.UpstreamID {
	return slices.DeleteFunc(replace.Stopped(g.members, f.possiblyRunning(g.id), primary), func(id tables.UpstreamID) bool { return f.succeeded(g, id) })
}

// succeededMembers returns the members of a group that came back under a new id. The lock
// must be held.
func (f *Fleet) succeededMembers(g *group) []tables.UpstreamID {
	return slices.DeleteFunc(slices.Clone(g.members), func(id tables.UpstreamID) bool { return !f.succeeded(g, id) })
}
