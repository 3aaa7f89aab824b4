package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	// membersSpread spreads the proxies that see the same change, so that one
	// writes and the others find it done.
	membersSpread = 300 * time.Millisecond
	// membersPause is the pause between two looks at a member that ended.
	membersPause = 200 * time.Millisecond
)

// errLostMember means that a member's log is needed and can't be reached.
func errLostMember(id tables.UpstreamID) error {
	return errors.Errorf("%s ended and may have had commits that no other replica has", id)
}

// takeMembers takes the store's list of a group's members. The lock must be held.
func (f *Fleet) takeMembers(g *group, r platform.TableRow) {
	if r.Version <= g.membersVersion {
		return
	}
	var list []tables.UpstreamID
	if err := json.Unmarshal(r.Value, &list); err != nil {
		f.log.Error("Ignored a list of members that can't be read.", "group", g.id, "rowVersion", r.Version, "error", err)
		return
	}
	g.members, g.membersVersion = list, r.Version
	f.log.Info("Learnt a group's members.", "group", g.id, "members", list, "rowVersion", r.Version)
}

// present returns the servers of a group that have not surely ended. The lock
// must be held.
func (f *Fleet) present(id tables.GroupID) []tables.UpstreamID {
	return names(f.members(id, func(u *Upstream) bool { return !f.gone(u) }))
}

// entered returns the servers of a group that have an entry. The lock must be held.
func (f *Fleet) entered(id tables.GroupID) []tables.UpstreamID {
	return names(f.members(id, func(u *Upstream) bool { return u.missingSince == 0 }))
}

func names(list []*Upstream) []tables.UpstreamID {
	out := make([]tables.UpstreamID, 0, len(list))
	for _, u := range list {
		out = append(out, u.entry.ID)
	}
	return out
}

// lostMember returns a member whose log a replacement needs and that has ended.
// The lock must be held.
func (f *Fleet) lostMember(g *group) (tables.UpstreamID, bool) {
	primary := g.record.Primary
	if g.version == 0 {
		primary = g.Primary
	}
	ended := replace.Stopped(g.members, f.present(g.id), primary)
	if len(ended) == 0 {
		return "", false
	}
	return ended[0], true
}

// membersToKeep returns the groups whose list of members has to change, and
// marks them as worked on.
func (f *Fleet) membersToKeep() []tables.GroupID {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if f.entriesReadAt == 0 || f.storeLostAt != 0 {
		return nil
	}
	var out []tables.GroupID
	for id, g := range f.groups {
		if g.membersBusy || now < g.membersRest {
			continue
		}
		_, differs := replace.Members(g.members, f.entered(id), nil)
		if differs || len(f.ended(g)) > 0 {
			g.membersBusy = true
			out = append(out, id)
		}
	}
	return out
}

// keepMembers brings the store's list of a group's members up to date.
func (f *Fleet) keepMembers(ctx context.Context, id tables.GroupID) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		g := f.group(id)
		g.membersBusy, g.membersRest = false, f.Now().Add(membersPause)
	}()
	if sleep.For(ctx, rand.N(membersSpread)) != nil {
		return
	}
	covered := f.cover(ctx, id)
	f.mu.Lock()
	g := f.group(id)
	next, differs := replace.Members(g.members, f.entered(id), covered)
	version := g.membersVersion
	f.mu.Unlock()
	if !differs {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		f.log.Error("A list of members can't be encoded.", "group", id, "error", err)
		return
	}
	_, err = f.Store.Apply(ctx, platform.Change{
		Table:  RecordTable,
		Expect: []platform.Expectation{{Key: membersPrefix + string(id), Version: version}},
		Writes: []platform.Write{{Key: membersPrefix + string(id), Value: value}},
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		f.log.Warn("A list of members was not written.", "group", id, "error", err)
	}
}

// ended returns the members that have ended. While the primary's own entry is
// missing none has: both were cut off and may still work together. The lock must
// be held.
func (f *Fleet) ended(g *group) []tables.UpstreamID {
	if u, ok := f.upstreams[g.Primary]; !ok || u.missingSince != 0 {
		return nil
	}
	return replace.Stopped(g.members, f.present(g.id), g.Primary)
}

// cover returns the members that ended and whose commits are surely elsewhere:
// a replica that stays has received all that the primary had applied since.
func (f *Fleet) cover(ctx context.Context, id tables.GroupID) []tables.UpstreamID {
	f.mu.Lock()
	ended := f.ended(f.group(id))
	f.mu.Unlock()
	l, _, _, ok := f.Leader(id)
	if len(ended) == 0 || !ok {
		return nil
	}
	at := f.Now()
	r, err := l.Upstream.reset(ctx)
	if err != nil || !f.LedAt(ctx, l, at) {
		return nil
	}
	f.mu.Lock()
	replicas := f.members(id, func(u *Upstream) bool {
		return u != l.Upstream && u.missingSince == 0 && !u.leaving
	})
	f.mu.Unlock()
	for _, u := range replicas {
		account, err := u.ask(ctx, statement.Statement{Kind: statement.Status})
		if err == nil && account.Received.AtLeast(r.Position) {
			f.log.Info("A replica has all that ended servers had.", "group", id, "ended", ended,
				"replica", u.ID(), "received", account.Received)
			return ended
		}
	}
	return nil
}
