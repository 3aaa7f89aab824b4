package fleet

import (
	"context"
	"encoding/json"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

func (f *Fleet) watchRecords(ctx context.Context) {
	f.followTable(ctx, RecordTable, f.applyRecords)
}

// applyRecords applies the stored records of primaries. A read of the whole
// table that began at the moment at is lease evidence for every group, and so is a watch
// that found no change.
func (f *Fleet) applyRecords(rows platform.Rows, all bool, at tables.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.acceptEra(rows.Era) {
		return
	}
	seen := make(map[tables.GroupID]tables.Version, len(rows.Rows))
	for _, r := range rows.Rows {
		key, ok := parseRowKey(r.Key)
		if !ok || r.Dropped {
			continue
		}
		if key.kind == addressesRow {
			f.applyAddresses(f.group(key.group), r.Value)
			continue
		}
		if key.era != rows.Era {
			f.applyRestored(key, r)
			continue
		}
		version := tables.Version{Era: rows.Era, Counter: r.Version}
		g := f.group(key.group)
		if key.kind == membersRow {
			f.applyMembers(g, r.Value, version)
			continue
		}
		seen[g.id] = version
		if version.Compare(g.version) > 0 {
			f.applyRecord(g, r.Value, version)
		}
	}
	// A watch without changes shows the same for the moment at which it began.
	unchanged := !all && len(rows.Rows) == 0
	for id, g := range f.groups {
		current := all && seen[id] == g.version || unchanged && g.version.Compare(rows.At()) <= 0
		if current && f.confirmed(g) {
			g.AddEvidence(g.Primary, g.version, at)
			g.storeEvidenceAt = max(g.storeEvidenceAt, at)
		}
	}
}

// applyRecord applies a newer record of a group. The lock must be held.
func (f *Fleet) applyRecord(g *group, value []byte, version tables.Version) {
	var record tables.PrimaryRecord
	if err := json.Unmarshal(value, &record); err != nil {
		f.log.Error("Ignored a record of a primary that can't be decoded.", "group", g.id, "rowVersion", version, "error", err)
		return
	}
	f.setRecord(g, record, version)
}

// setRecord puts a newer record of a group in force. The lock must be held.
func (f *Fleet) setRecord(g *group, record tables.PrimaryRecord, version tables.Version) {
	if record.Replacing && !g.record.Replacing {
		g.announcedAt = f.Now()
	}
	newEra := version.Era > g.version.Era
	g.record, g.version = record, version
	if newEra {
		g.restored = restoredRows{}
		f.countUnconfirmed()
	}
	f.updateLeader(g)
}

// updateLeader derives a group's primary from its record. The lock must be
// held.
func (f *Fleet) updateLeader(g *group) {
	primary := g.record.Primary
	if g.record.Replacing {
		primary = ""
	}
	if g.version.IsZero() {
		// Keep the current primary: a different server that claims to lead was
		// promoted under a record that this proxy has not received yet.
		if primary = g.Primary; primary == "" {
			primary = f.firstPrimary(g.id)
		}
	}
	if g.record.Replacing && g.record.Ordered != "" {
		if g.Record != g.version || g.Leadership.Frozen != g.record.Safe {
			g.Freeze(g.version, g.record.Safe)
			g.notifyLeaderChanged()
		}
		return
	}
	if g.Primary == primary && g.Record == g.version {
		return
	}
	f.log.Info("The primary of a group changed.", "group", g.id, "primary", primary, "before", g.Primary,
		"record", g.version, "term", g.record.Term, "replacing", g.record.Replacing)
	if g.Primary != primary || g.record.Term != 0 {
		g.term = g.record.Term
	}
	g.SetPrimary(primary, g.version)
	if u, ok := f.upstreams[primary]; ok {
		u.recordTerm(g.record.Term)
	}
	f.rampPromoted(g, primary)
	g.notifyLeaderChanged()
}

// notifyLeaderChanged wakes all that wait for a change of the primary.
func (g *group) notifyLeaderChanged() {
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
}

// firstPrimary returns the primary of a group that was never replaced. The
// servers' own claims are valid then, as only this project's proxies order
// replacements. The lock must be held.
func (f *Fleet) firstPrimary(id tables.GroupID) tables.UpstreamID {
	var best *Upstream
	for _, u := range f.upstreams {
		if u.entry.Group != id || !u.claimsToLead {
			continue
		}
		if best == nil || u.entry.StartedAt > best.entry.StartedAt ||
			u.entry.StartedAt == best.entry.StartedAt && u.entry.ID < best.entry.ID {
			best = u
		}
	}
	if best == nil {
		return ""
	}
	return best.entry.ID
}
