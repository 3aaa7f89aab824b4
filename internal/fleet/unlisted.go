package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// An entry says that a server may be used. A server without one gets no work (isGone), but
// it may live, cut off from the store alone, and go on receiving commits. So its log counts
// until it does not answer either (hasTerminated). It is queried when the answer matters:
// before it is removed from the list of members, and in each replacement.
//
// One that does not answer may live as well. A replacement can't wait for it without end, so
// it is removed from the list once another replica has all commits. Unless it has surely
// left, commits need proof meanwhile that a known replica has them.

// isGone reports whether a server gets no more work: its entry has been missing for long, or
// it runs under another id. The lock must be held.
func (f *Fleet) isGone(u *Upstream) bool {
	if f.successor(u) != nil {
		return true
	}
	since := f.missingWhileStoreAnswers(u)
	return since != 0 && f.Now().Sub(since) >= replace.MissingTimeout
}

// hasTerminated reports whether a server has ended, as far as its entry and its answers
// show, or runs under another id. The lock must be held.
func (f *Fleet) hasTerminated(u *Upstream) bool {
	return f.isGone(u) && !f.answersUnlisted(u, replace.MissingTimeout)
}

// answersUnlisted reports whether a server without an entry answered under its id within
// a time. The lock must be held.
func (f *Fleet) answersUnlisted(u *Upstream, within time.Duration) bool {
	at := u.lastIdentified()
	return f.successor(u) == nil && at != 0 && f.Now().Sub(at) < within
}

// unlistedRetention is how long a server without an entry that does not answer may live after
// it was removed: longer than a server is cut off from both the store and the proxies.
const unlistedRetention = 20 * time.Second

// mayConfirmUnlisted reports whether a server that a replacement would not hold may confirm
// commits of l. The lock must be held.
func (f *Fleet) mayConfirmUnlisted(l Leader) bool {
	for id, at := range l.group.unlisted {
		if f.Now().Sub(at) >= unlistedRetention {
			delete(l.group.unlisted, id)
		}
	}
	return len(l.group.unlisted) > 0 || f.hasUnproven(l.group.id, l.Upstream)
}

// hasUnproven reports whether a server of a group other than primary may be removed from the
// list of members soon, and its process may run. The lock must be held.
func (f *Fleet) hasUnproven(id tables.GroupID, primary *Upstream) bool {
	for _, u := range f.upstreams {
		if u.entry.Group == id && u != primary && f.isGoneSoon(u) && !hasLeft(u) {
			return true
		}
	}
	return false
}

// hasLeft reports whether a server ended as it had announced: nobody listens at its address.
// One that crashed may be back there, with its log and under a new id that has no entry
// yet. The fleet's lock must be held.
func hasLeft(u *Upstream) bool { return u.leaving && u.refusesConnections() }

// isGoneSoon reports whether a server's entry has been missing for half of the time after
// which it is gone, or for longer. Other proxies may count from an earlier moment, also
// while this one has lost the store. The lock must be held.
func (f *Fleet) isGoneSoon(u *Upstream) bool {
	if u.missingSince == 0 || u.unusableEntry && !u.Unreachable() || f.successor(u) != nil {
		return false
	}
	return f.Now().Sub(u.missingSince) >= replace.MissingTimeout/2
}

const (
	// unlistedCheckInterval is the least time between two queries of a group's servers
	// without an entry.
	unlistedCheckInterval = replace.MissingTimeout / 5
	// unlistedCheckSpread is the time per proxy over which the queries of all proxies are
	// spread that no replacement waits for.
	unlistedCheckSpread = 5 * time.Millisecond
)

// unlistedCheckDue reports whether this proxy is to query a group's servers without an entry
// now, so that commits need no proof once these have surely ended. The lock must be held.
func (f *Fleet) unlistedCheckDue(g *group, now tables.Time) bool {
	if now < g.nextUnlistedCheckAt || now < g.unlistedCheckFrom || !f.hasUnproven(g.id, f.upstreams[g.Primary]) {
		return false
	}
	g.unlistedCheckFrom = now.Add(rand.N(unlistedCheckInterval + time.Duration(f.Proxies())*unlistedCheckSpread))
	return true
}

// queryUnlisted queries the servers of a group that have no entry, also members that this
// proxy knows by their address alone, and those that may have taken the place of such a
// member. Which of them answer shows in hasTerminated and successor.
func (f *Fleet) queryUnlisted(ctx context.Context, id tables.GroupID) {
	f.mu.Lock()
	g := f.group(id)
	if f.storeLostAt != 0 || f.entriesReadAt == 0 || f.Now() < g.nextUnlistedCheckAt {
		f.mu.Unlock()
		return
	}
	g.nextUnlistedCheckAt = f.Now().Add(unlistedCheckInterval)
	servers := append(f.serversWhere(id, f.isGoneSoon), f.possibleSuccessors(g)...)
	unknown := f.unknownMembers(g)
	f.mu.Unlock()
	for _, e := range unknown {
		servers = append(servers, f.newUpstream(e))
	}
	for i, r := range runControlOnAll(ctx, servers, statement.Statement{Kind: statement.Status}) {
		u := servers[i]
		f.log.Info("Queried a server without an entry.", "group", id, "upstream", u.ID(), "received", r.status.Received, "error", r.err)
		if i >= len(servers)-len(unknown) {
			f.addUnlisted(u, r.err == nil)
		}
	}
}

// unknownMembers returns the members of a group of which only the address is known, as
// entries with one slot. The lock must be held.
func (f *Fleet) unknownMembers(g *group) []tables.Entry {
	var out []tables.Entry
	for _, id := range g.members {
		_, known := f.upstreams[id]
		if address := g.addresses[id]; !known && address != "" {
			out = append(out, tables.Entry{ID: id, Group: g.id, Address: address, Slots: 1})
		}
	}
	return out
}

// addUnlisted adds a server without an entry if it answered.
func (f *Fleet) addUnlisted(u *Upstream, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.upstreams[u.entry.ID]; known || !answered {
		u.pool.Close()
		return
	}
	u.missingSince = f.entriesReadAt
	f.upstreams[u.entry.ID] = u
	f.addSameAddress(u)
	delete(f.ended, u.entry.ID)
	delete(f.group(u.entry.Group).unlisted, u.entry.ID)
	f.log.Info("Added a server without an entry.", "upstream", u.entry.ID, "group", u.entry.Group, "address", u.entry.Address)
}
