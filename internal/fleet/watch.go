package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	// WatchWait is how long one call for changes waits. Where its answer is lost,
	// news is late by as much plus the store's call limit, or by a peer's patience
	// where it is read through one: together less than the 3 s within which the
	// users' deployments want a configuration applied.
	WatchWait = 2 * time.Second
	// watchPause is the least pause after a failed call; as much again is random.
	watchPause = 150 * time.Millisecond
)

// answerAge is how old an answer may be, through a peer, to show that the store
// answers: no older than what evidence holds for.
const answerAge = freshness.Lease

// Changes of servers come in bursts, and one call brings all that came
// meanwhile; news of a primary is waited for by callers.
const (
	gatherEntries = 200 * time.Millisecond
	gatherRecords = 20 * time.Millisecond
)

// take handles the rows of a table. all says that they are the whole table as
// of a moment after at.
type take func(rows platform.Rows, all bool, at tables.Time)

// follow reads a table, then its changes, until ctx ends. Where the history is
// lost the table is read again.
func (f *Fleet) follow(ctx context.Context, table string, handle take) {
	after, whole := uint64(0), false
	for ctx.Err() == nil {
		at := f.Now()
		var rows platform.Rows
		var err error
		if whole {
			rows, err = f.Store.WatchTable(ctx, table, after, f.watchWait())
		} else {
			rows, err = f.Store.ReadTable(ctx, table)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrHistoryLost) {
			f.log.Info("The history of a table is lost, reading it whole.", "table", table, "after", after)
			whole = false
			continue
		}
		if err != nil {
			f.storeFailed(table, err)
			_ = sleep.For(ctx, watchPause+rand.N(watchPause)) // the loop looks at ctx
			continue
		}
		if rows.Age <= answerAge {
			f.storeAnswered(table)
		}
		if rows.Version < after {
			f.log.Warn("The store answered with an older version.", "table", table, "version", rows.Version, "known", after)
			_ = sleep.For(ctx, watchPause) // the loop looks at ctx
			continue
		}
		handle(rows, !whole, at.Add(-rows.Age))
		after, whole = rows.Version, true
		if len(rows.Rows) > 0 {
			_ = sleep.For(ctx, f.gather[table]) // the loop looks at ctx
		}
	}
}

// watchWait returns how long the next call for changes waits: not at all while
// the store is lost, for its answer shows that the store is back, which
// replacements wait for.
func (f *Fleet) watchWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeLostAt != 0 {
		return 0
	}
	return WatchWait
}

func (f *Fleet) storeFailed(table string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeLostAt == 0 {
		f.storeLostAt = f.Now()
		f.log.Warn("Lost the metadata store.", "table", table, "error", err)
	}
}

func (f *Fleet) storeAnswered(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeLostAt != 0 {
		now := f.Now()
		f.log.Info("Regained the metadata store.", "table", table, "lostFor", now.Sub(f.storeLostAt))
		f.storeLostAt, f.storeBackAt = 0, now
	}
}

func (f *Fleet) watchConfig(ctx context.Context) {
	f.follow(ctx, f.Codec.ConfigTable, func(rows platform.Rows, _ bool, _ tables.Time) {
		for _, r := range rows.Rows {
			if r.Key == f.Codec.ConfigKey && !r.Dropped {
				f.takeConfig(r)
			}
		}
	})
}

// takeConfig puts a configuration in force unless a newer one is.
func (f *Fleet) takeConfig(r platform.TableRow) {
	next, err := f.Codec.Config(r.Value)
	if err != nil {
		f.log.Error("Ignored a configuration that can't be read.", "rowVersion", r.Version, "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.routing.Load(); now != nil && next.Version <= now.Version {
		return
	}
	f.routing.Store(next)
	f.learnt()
	f.Metrics.SetConfigVersion(next.Version)
	for id, limits := range next.Groups {
		f.group(id)
		for _, u := range f.upstreams {
			if u.entry.Group == id {
				u.pool.SetLimit(connectionLimit(limits, u.entry.Slots))
			}
		}
	}
	f.log.Info("Put a configuration in force.", "version", next.Version, "rowVersion", r.Version,
		"routes", len(next.Routes), "groups", len(next.Groups))
}

func (f *Fleet) watchEntries(ctx context.Context) {
	f.follow(ctx, f.Codec.EntryTable, f.takeEntries)
}

func (f *Fleet) takeEntries(rows platform.Rows, all bool, _ tables.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	there := make(map[tables.UpstreamID]bool, len(rows.Rows))
	for _, r := range rows.Rows {
		id := tables.UpstreamID(r.Key)
		if r.Dropped {
			f.entryMissing(id, "dropped")
			continue
		}
		e, err := f.Codec.Entry(r.Key, r.Value)
		if err != nil {
			f.log.Warn("Ignored an entry that names no server.", "upstream", id, "rowVersion", r.Version, "error", err)
			f.entryMissing(id, "unusable")
			continue
		}
		there[id] = true
		f.takeEntry(e)
	}
	if all {
		for id := range f.upstreams {
			if !there[id] {
				f.entryMissing(id, "absent")
			}
		}
		if f.entriesReadAt == 0 {
			f.entriesReadAt = f.Now()
			f.learnt()
		}
	}
	for _, g := range f.groups {
		f.lead(g)
	}
}

// takeEntry takes news of a server. The lock must be held.
func (f *Fleet) takeEntry(e tables.Entry) {
	u, ok := f.upstreams[e.ID]
	if ok && (u.entry.Address != e.Address || u.entry.Group != e.Group || u.entry.StartedAt != e.StartedAt) {
		f.log.Info("A server started again.", "upstream", e.ID, "group", e.Group, "address", e.Address)
		u.pool.Close()
		ok = false
	}
	if !ok {
		u = f.newUpstream(e)
		f.upstreams[e.ID] = u
		f.group(e.Group)
		f.log.Info("Learnt of a server.", "upstream", e.ID, "group", e.Group, "dataCentre", e.DataCentre,
			"leaving", e.Leaving, "claimsToLead", e.ClaimsToLead)
	}
	if ok && (u.leaving != e.Leaving || u.claims != e.ClaimsToLead) {
		f.log.Info("A server changed.", "upstream", e.ID, "group", e.Group, "leaving", e.Leaving, "claimsToLead", e.ClaimsToLead)
	}
	if u.missingSince != 0 {
		f.log.Info("A server's entry is back.", "upstream", e.ID, "group", e.Group, "missingFor", f.Now().Sub(u.missingSince))
		f.entryBackAt = f.Now()
	}
	if u.slots != e.Slots {
		u.slots = e.Slots
		u.setSlots(e.Slots)
	}
	if e.Leaving && !u.leaving {
		u.leavingSince = f.Now()
	}
	u.leaving, u.claims, u.missingSince = e.Leaving, e.ClaimsToLead, 0
}

// entryMissing takes note that a server has no usable entry. It counts as gone
// only later, for entries lapse while the store is away. The lock must be held.
func (f *Fleet) entryMissing(id tables.UpstreamID, how string) {
	u, ok := f.upstreams[id]
	if !ok || u.missingSince != 0 {
		return
	}
	u.missingSince = f.Now()
	f.log.Info("A server's entry is missing.", "upstream", id, "group", u.entry.Group, "how", how)
}

// missingWhileStoreAnswers returns since when an entry has been missing with
// the store answering; 0 if it is there or the store is away. Entries that lapse
// together come back one after the other, for instance those of a data centre
// that was cut off: with each that does, the others get their time anew. The
// lock must be held.
func (f *Fleet) missingWhileStoreAnswers(u *Upstream) tables.Time {
	if u.missingSince == 0 || f.storeLostAt != 0 {
		return 0
	}
	return max(u.missingSince, f.storeBackAt, f.entryBackAt)
}
