package plan

import (
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// groupChange is a group that is declared in both documents.
type groupChange struct {
	old, new config.Group
}

func groupID(g config.Group) tables.GroupID          { return g.ID }
func upstreamID(u config.Upstream) tables.UpstreamID { return u.ID }
func (c groupChange) upstreams() []pair[config.Upstream] {
	return match(c.old.Upstreams, c.new.Upstreams, upstreamID)
}

func groupChanges(old, new config.Document) []groupChange {
	var out []groupChange
	for _, p := range match(old.Groups, new.Groups, groupID) {
		if !p.added() && !p.removed() {
			out = append(out, groupChange{old: *p.old, new: *p.new})
		}
	}
	return out
}

// changedMembers returns the upstreams that are added or removed or get another address.
func (c groupChange) changedMembers() []tables.UpstreamID {
	var out []tables.UpstreamID
	for _, p := range c.upstreams() {
		switch {
		case p.added():
			out = append(out, p.new.ID)
		case p.removed(), p.old.Address != p.new.Address:
			out = append(out, p.old.ID)
		}
	}
	return out
}

func compareGroups(old, new config.Document, observed State) []Change {
	var out []Change
	for _, p := range match(old.Groups, new.Groups, groupID) {
		switch {
		case p.added():
			out = append(out, change(Added, "group "+string(p.new.ID), "The group starts with %d upstreams and primary %s.",
				len(p.new.Upstreams), p.new.FirstPrimary))
		case p.removed():
			out = append(out, change(Removed, "group "+string(p.old.ID), "The group is forgotten; its servers keep their data."))
		default:
			out = append(out, compareGroup(groupChange{old: *p.old, new: *p.new}, observed)...)
		}
	}
	return out
}

func compareGroup(c groupChange, observed State) []Change {
	var out []Change
	if c.old.FirstPrimary != c.new.FirstPrimary {
		out = append(out, change(Changed, "group "+string(c.new.ID), "The first primary changes to %s; a group that has a primary keeps it.", c.new.FirstPrimary))
	}
	for _, p := range c.upstreams() {
		out = append(out, compareUpstream(p)...)
	}
	if c.movesPrimary(observed) {
		out = append(out, change(PrimaryMove, "group "+string(c.new.ID), "The primary %s gives way to another server at a new term.",
			observed.primary(c.old.ID, c.old.FirstPrimary)))
	}
	return out
}

// movesPrimary reports whether the primary stops receiving work.
func (c groupChange) movesPrimary(observed State) bool {
	primary := observed.primary(c.old.ID, c.old.FirstPrimary)
	for _, p := range c.upstreams() {
		if !p.added() && p.old.ID == primary {
			return stopsWork(p)
		}
	}
	return false
}

// stopsWork reports whether an upstream stops receiving work at its old address:
// it is removed, is set to leaving or gets another address.
func stopsWork(p pair[config.Upstream]) bool {
	if p.added() {
		return false
	}
	return p.removed() || p.old.Address != p.new.Address || (p.new.Leaving && !p.old.Leaving)
}

func compareUpstream(p pair[config.Upstream]) []Change {
	subject := "upstream " + nameOf(p, func(u config.Upstream) string { return string(u.ID) })
	switch {
	case p.same():
		return nil
	case p.added():
		return []Change{change(Added, subject, "The server at %s in %s joins with %d slots and %d connections.",
			p.new.Address, p.new.DataCentre, p.new.Slots, p.new.Connections)}
	case p.removed():
		return []Change{change(Removed, subject, "The server at %s goes.", p.old.Address)}
	default:
		return upstreamFields(subject, *p.old, *p.new)
	}
}

func upstreamFields(subject string, old, new config.Upstream) []Change {
	var out []Change
	if old.Address != new.Address {
		out = append(out, change(Changed, subject, "The address changes from %s to %s.", old.Address, new.Address))
	}
	if old.DataCentre != new.DataCentre {
		out = append(out, change(Changed, subject, "The data centre changes from %s to %s.", old.DataCentre, new.DataCentre))
	}
	if old.Slots != new.Slots {
		out = append(out, change(Changed, subject, "Slots change from %d to %d.", old.Slots, new.Slots))
	}
	if old.Connections != new.Connections {
		out = append(out, change(Changed, subject, "Connections change from %d to %d.", old.Connections, new.Connections))
	}
	if !old.Leaving && new.Leaving {
		out = append(out, change(Leaving, subject, "The server receives no new work."))
	}
	if old.Leaving && !new.Leaving {
		out = append(out, change(Returning, subject, "The server receives work again."))
	}
	return out
}
