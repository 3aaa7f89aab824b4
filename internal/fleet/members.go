package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	// membersUpdateInterval is the pause between two updates of a group's list of
	// members.
	membersUpdateInterval = 200 * time.Millisecond
)

// errLostMember means that a member's log is needed but its server has
// terminated.
func errLostMember(id tables.UpstreamID) error {
	return errors.Errorf("%s ended and may have had commits that no other replica has", id)
}

// applyMembers applies the stored list of a group's members. The lock must be
// held.
func (f *Fleet) applyMembers(g *group, value []byte, version tables.Version) {
	if version.Compare(g.membersVersion) <= 0 {
		return
	}
	var list []tables.UpstreamID
	if err := json.Unmarshal(value, &list); err != nil {
		f.log.Error("Ignored a list of members that can't be decoded.", "group", g.id, "rowVersion", version, "error", err)
		return
	}
	g.members, g.membersVersion = list, version
	f.forgetAddresses(g)
	f.log.Info("Updated a group's members.", "group", g.id, "members", list, "rowVersion", version)
}

// possiblyRunning returns the servers of a group except those that surely
// terminated. The lock must be held.
func (f *Fleet) possiblyRunning(id tables.GroupID) []tables.UpstreamID {
	return upstreamIDs(f.serversWhere(id, func(u *Upstream) bool { return !f.hasTerminated(u) }))
}

// withEntry returns the servers of a group that have an entry. It leaves out those that run
// under another id by now, and those whose place a listed member seems to have taken: the
// proxy that listed it may know already that it has. The lock must be held.
func (f *Fleet) withEntry(g *group) []tables.UpstreamID {
	return upstreamIDs(f.serversWhere(g.id, func(u *Upstream) bool {
		return u.missingSince == 0 && f.successor(u) == nil && !slices.ContainsFunc(u.sameAddress, func(other *Upstream) bool {
			return other.joinedAt > u.joinedAt && f.upstreams[other.entry.ID] == other &&
				slices.Contains(g.members, other.entry.ID) && !slices.Contains(g.members, u.entry.ID)
		})
	}))
}

func upstreamIDs(list []*Upstream) []tables.UpstreamID {
	out := make([]tables.UpstreamID, 0, len(list))
	for _, u := range list {
		out = append(out, u.entry.ID)
	}
	return out
}

// checkMembers returns an error if a terminated member's log is needed to replace the
// group's primary. Without a known primary the terminated member may be the primary; see
// identifyPrimary. The lock must be held.
func (f *Fleet) checkMembers(g *group) error {
	primary := g.record.Primary
	if g.version.IsZero() {
		primary = g.Primary
	}
	if primary == "" {
		return nil
	}
	return f.checkMembersBeside(g, primary)
}

// checkMembersBeside does the same for a given primary. The lock must be held.
func (f *Fleet) checkMembersBeside(g *group, primary tables.UpstreamID) error {
	if terminated := f.stoppedMembers(g, primary); len(terminated) > 0 {
		return errLostMember(terminated[0])
	}
	return nil
}

// membersToUpdate returns the groups whose list of members has to change, and
// marks them as being updated.
func (f *Fleet) membersToUpdate() []tables.GroupID {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if f.entriesReadAt == 0 || f.storeLostAt != 0 {
		return nil
	}
	var out []tables.GroupID
	for id, g := range f.groups {
		if !f.configured(id) || g.updatingMembers || now < g.nextMembersUpdateAt || !f.confirmed(g) {
			continue
		}
		_, differs := replace.Members(g.members, f.withEntry(g), f.succeededMembers(g))
		if differs || len(f.terminatedMembers(g)) > 0 || len(f.possibleSuccessors(g)) > 0 {
			g.updatingMembers = true
			out = append(out, id)
		}
	}
	return out
}

// updateMembers brings the stored list of a group's members up to date.
func (f *Fleet) updateMembers(ctx context.Context, id tables.GroupID) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		g := f.group(id)
		g.updatingMembers, g.nextMembersUpdateAt = false, f.Now().Add(membersUpdateInterval)
	}()
	if sleep.For(ctx, f.writeJitter()) != nil {
		return
	}
	f.queryUnlisted(ctx, id)
	covered := f.coveredMembers(ctx, id)
	f.mu.Lock()
	g := f.group(id)
	covered = append(covered, f.succeededMembers(g)...)
	next, differs := replace.Members(g.members, f.withEntry(g), covered)
	version, era := g.membersVersion, f.era.number
	confirmed := f.confirmed(g)
	addresses := g.addressesOf(next)
	f.mu.Unlock()
	if !differs || !confirmed {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		f.log.Error("Could not encode a list of members.", "group", id, "error", err)
		return
	}
	addressesValue, err := json.Marshal(addresses)
	if err != nil {
		f.log.Error("Could not encode the addresses of members.", "group", id, "error", err)
		return
	}
	key := rowKey{era: era, kind: membersRow, group: id}.String()
	_, err = f.applyIn(ctx, era, platform.Change{
		Table:  RecordTable,
		Expect: []platform.Expectation{{Key: key, Version: version.Counter}},
		Writes: []platform.Write{{Key: key, Value: value}, {Key: addressesKey(id), Value: addressesValue}},
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		f.log.Warn("Could not write a list of members.", "group", id, "error", err)
	}
}

// terminatedMembers returns the members that have terminated. It returns none while
// the primary's own entry is missing: both may be cut off from the store and
// still work together. The lock must be held.
func (f *Fleet) terminatedMembers(g *group) []tables.UpstreamID {
	if u, ok := f.upstreams[g.Primary]; !ok || u.missingSince != 0 {
		return nil
	}
	return f.stoppedMembers(g, g.Primary)
}

// coveredMembers returns the terminated members if a remaining replica surely
// has their commits: it has received all that the primary has applied by now.
func (f *Fleet) coveredMembers(ctx context.Context, id tables.GroupID) []tables.UpstreamID {
	f.mu.Lock()
	terminated := f.terminatedMembers(f.group(id))
	f.mu.Unlock()
	l, _, _, ok := f.Leader(id)
	if len(terminated) == 0 || !ok {
		return nil
	}
	at := f.Now()
	r, err := l.Upstream.queryPosition(ctx)
	if err != nil || !f.LedAt(ctx, l, at) {
		return nil
	}
	f.mu.Lock()
	replicas := f.serversWhere(id, func(u *Upstream) bool {
		return u != l.Upstream && u.missingSince == 0 && !u.leaving
	})
	f.mu.Unlock()
	for _, u := range replicas {
		status, err := u.queryStatus(ctx, statement.Statement{Kind: statement.Status})
		if err == nil && status.Received.AtLeast(r.Position) {
			f.log.Info("A replica has all commits of the terminated servers.", "group", id, "ended", terminated,
				"replica", u.ID(), "received", status.Received)
			return terminated
		}
	}
	return nil
}
