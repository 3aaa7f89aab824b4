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
	// WatchWait is how long one call for changes waits. If its reply is lost, a
	// change is late by WatchWait plus the store's call limit, or plus a peer's
	// timeout where the table is read through one: together less than the 3 s
	// within which the users' deployments require a configuration to be applied.
	WatchWait = 2 * time.Second
	// storeRetryDelay is the least pause after a failed call; a random part of up
	// to the same length is added.
	storeRetryDelay = 150 * time.Millisecond
	// minOutage is the least time without the store that counts as an outage, in
	// which servers can't write their entries. It is longer than the time until the
	// retry of a call whose response was lost.
	minOutage = 500 * time.Millisecond
	// historyRetryDelay is the pause before a table is read again whose history is
	// lost: a peer may still have rows of the store's earlier era.
	historyRetryDelay = 20 * time.Millisecond
)

// maxStoreReplyAge is the greatest age of a reply received through a peer that
// still shows that the store responds: evidence holds no longer than that.
const maxStoreReplyAge = freshness.Lease

// Entries of servers change in bursts, and one call returns all changes of a
// batch; changes of a primary have a short delay, because callers wait for
// them.
const (
	entryBatchDelay  = 200 * time.Millisecond
	recordBatchDelay = 20 * time.Millisecond
)

// rowsHandler handles the rows of a table. all says that they are the whole
// table as of a moment after at.
type rowsHandler func(rows platform.Rows, all bool, at tables.Time)

// followTable reads a table, then its changes, until ctx ends. If the history
// is lost, the table is read again.
func (f *Fleet) followTable(ctx context.Context, table string, handle rowsHandler) {
	after, loaded := tables.Version{}, false
	for ctx.Err() == nil {
		at := f.Now()
		var rows platform.Rows
		var err error
		if loaded {
			rows, err = f.Store.WatchTable(ctx, table, after, f.watchWait())
		} else {
			rows, err = f.Store.ReadTable(ctx, table)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrHistoryLost) {
			f.log.Info("The history of a table is lost; reading the whole table.", "table", table, "after", after)
			loaded = false
			_ = sleep.For(ctx, historyRetryDelay) // the loop checks ctx
			continue
		}
		if err != nil {
			f.storeFailed(table, err)
			_ = sleep.For(ctx, storeRetryDelay+rand.N(storeRetryDelay)) // the loop checks ctx
			continue
		}
		if rows.Age <= maxStoreReplyAge {
			f.storeAnswered(table)
		}
		if rows.At().Compare(after) < 0 {
			f.log.Warn("The store returned an older version.", "table", table, "version", rows.At(), "known", after)
			_ = sleep.For(ctx, storeRetryDelay) // the loop checks ctx
			continue
		}
		handle(rows, !loaded, at.Add(-rows.Age))
		after, loaded = rows.At(), true
		if len(rows.Rows) > 0 {
			_ = sleep.For(ctx, f.batchDelay[table]) // the loop checks ctx
		}
	}
}

// watchWait returns how long the next call for changes waits. While the store
// is lost it does not wait: its reply shows that the store is back, on which
// replacements depend.
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
		if now.Sub(f.storeLostAt) >= minOutage {
			f.outageEndedAt = now
		}
		f.storeLostAt, f.storeRegainedAt = 0, now
	}
}

func (f *Fleet) watchConfig(ctx context.Context) {
	f.followTable(ctx, f.Codec.ConfigTable, func(rows platform.Rows, _ bool, _ tables.Time) {
		f.noteEra(rows.Era)
		for _, r := range rows.Rows {
			if r.Key == f.Codec.ConfigKey && !r.Dropped {
				f.applyConfig(r)
			}
		}
	})
}

// maxProblemLines limits the log lines about the mistakes in one configuration.
const maxProblemLines = 20

// applyConfig puts a configuration in force unless it is older than the current
// one or the same.
func (f *Fleet) applyConfig(r platform.TableRow) {
	next, err := f.Codec.Config(r.Value)
	if err != nil {
		f.log.Error("Ignored a configuration that can't be decoded.", "rowVersion", r.Version, "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.routing.Load(); now != nil && next.Version <= now.Version {
		return
	}
	f.routing.Store(next)
	f.signalReady()
	f.Metrics.SetConfigVersion(next.Version)
	for id, limits := range next.Groups {
		f.group(id)
		for _, u := range f.upstreams {
			if u.entry.Group == id {
				u.pool.SetLimit(connectionLimit(limits, u.entry.Slots))
			}
		}
	}
	for _, problem := range next.Problems[:min(len(next.Problems), maxProblemLines)] {
		f.log.Error("Found a mistake in the configuration.", "version", next.Version, "problem", problem, "problems", len(next.Problems))
	}
	f.log.Info("Put a configuration in force.", "version", next.Version, "rowVersion", r.Version,
		"routes", len(next.Routes), "groups", len(next.Groups), "teams", len(next.Teams))
}

func (f *Fleet) watchEntries(ctx context.Context) {
	f.followTable(ctx, f.Codec.EntryTable, f.applyEntries)
}

func (f *Fleet) applyEntries(rows platform.Rows, all bool, _ tables.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.acceptEra(rows.Era) {
		return
	}
	present := make(map[tables.UpstreamID]bool, len(rows.Rows))
	for _, r := range rows.Rows {
		id := tables.UpstreamID(r.Key)
		if r.Dropped {
			f.entryMissing(id, "dropped")
			continue
		}
		e, err := f.Codec.Entry(r.Key, r.Value)
		if err == nil {
			err = e.Check()
		}
		if err != nil {
			f.log.Warn("Ignored an unusable server entry.", "upstream", id, "rowVersion", r.Version, "error", err)
			f.entryMissing(id, entryUnusable)
			continue
		}
		if f.takenBack(e) {
			// The server, if it lives, writes its entry again.
			u, ok := f.upstreams[id]
			present[id] = ok && u.missingSince == 0
			continue
		}
		present[id] = true
		f.applyEntry(e)
	}
	if all {
		for id := range f.upstreams {
			if !present[id] {
				f.entryMissing(id, "absent")
			}
		}
		if f.entriesReadAt == 0 {
			f.entriesReadAt = f.Now()
			f.signalReady()
		}
	}
	for _, g := range f.groups {
		f.updateLeader(g)
	}
}

// applyEntry applies a server's entry. The lock must be held.
func (f *Fleet) applyEntry(e tables.Entry) {
	u, ok := f.upstreams[e.ID]
	before := u
	if ok && (u.entry.Address != e.Address || u.entry.Group != e.Group || u.entry.StartedAt != e.StartedAt) {
		f.log.Info("A server restarted.", "upstream", e.ID, "group", e.Group, "address", e.Address)
		u.pool.Close()
		ok = false
	}
	if !ok {
		u = f.newUpstream(e)
		f.upstreams[e.ID] = u
		f.addSameAddress(u)
		f.group(e.Group).addresses[e.ID] = e.Address
		f.rampStarted(u, before)
		delete(f.ended, e.ID)
		delete(f.group(e.Group).unlisted, e.ID)
		f.group(e.Group)
		f.log.Info("Added a server.", "upstream", e.ID, "group", e.Group, "address", e.Address, "dataCentre", e.DataCentre,
			"leaving", e.Leaving, "claimsToLead", e.ClaimsToLead)
	}
	if ok && (u.leaving != e.Leaving || u.claimsToLead != e.ClaimsToLead) {
		f.log.Info("A server changed.", "upstream", e.ID, "group", e.Group, "leaving", e.Leaving, "claimsToLead", e.ClaimsToLead)
	}
	if u.missingSince != 0 {
		f.log.Info("A server's entry is back.", "upstream", e.ID, "group", e.Group, "missingFor", f.Now().Sub(u.missingSince))
		f.entryReturnedAt = f.Now()
	}
	if u.slots != e.Slots {
		u.slots = e.Slots
		u.setSlots(e.Slots)
	}
	if e.Leaving && !u.leaving {
		u.leavingSince = f.Now()
		if !ok {
			// It may have reported long ago.
			u.leavingSince = f.Now().Add(-max(0, f.DrainLimit-drainWorkMargin-unknownDrainTime))
		}
	}
	u.leaving, u.claimsToLead, u.missingSince, u.unusableEntry = e.Leaving, e.ClaimsToLead, 0, false
	u.newest = e
	if g := f.group(e.Group); !f.confirmed(g) {
		f.keepMembers(g, e.ID)
	}
}

// takenBack reports whether an entry says less than what is known of its server: the
// store came back from a copy in which the server was not leaving yet, had not
// ended, or had not restarted. The lock must be held.
func (f *Fleet) takenBack(e tables.Entry) bool {
	known := f.ended[e.ID].entry
	if e.Sequence != 0 && e.StartedAt == known.StartedAt && e.Sequence <= known.Sequence {
		f.log.Info("Ignored the entry of a server that had ended.", "upstream", e.ID, "group", e.Group, "sequence", e.Sequence)
		return true
	}
	u, ok := f.upstreams[e.ID]
	if !ok {
		return false
	}
	earlierRun := e.StartedAt < u.newest.StartedAt && f.restoredRecently()
	if earlierRun || u.newest.Outdates(e) {
		f.log.Info("Ignored an earlier entry of a server.", "upstream", e.ID, "group", e.Group,
			"sequence", e.Sequence, "known", u.newest.Sequence, "earlierRun", earlierRun)
		return true
	}
	return false
}

// entryUnusable is the reason of entryMissing for an entry that another writer left.
const entryUnusable = "unusable"

// entryMissing records that a server has no usable entry. The server counts as
// terminated only later, because entries also lapse while the store is lost.
// The lock must be held.
func (f *Fleet) entryMissing(id tables.UpstreamID, how string) {
	u, ok := f.upstreams[id]
	unusable := how == entryUnusable
	if !ok || u.missingSince != 0 && (u.unusableEntry == unusable || unusable) {
		return
	}
	u.missingSince, u.unusableEntry = f.Now(), unusable
	f.log.Info("A server's entry is missing.", "upstream", id, "group", u.entry.Group, "how", how)
}

// missingWhileStoreAnswers returns since when an entry has been missing while
// the store responds; 0 if the entry exists or the store is lost. Entries that
// lapsed together, for instance those of a data centre that was cut off, come
// back one after the other: each that does restarts the time of the others. An entry
// that another writer overwrote says nothing about its server, so it counts as missing only
// while the server does not respond. The lock must be held.
func (f *Fleet) missingWhileStoreAnswers(u *Upstream) tables.Time {
	if u.missingSince == 0 || f.storeLostAt != 0 || u.unusableEntry && !u.Unreachable() {
		return 0
	}
	return max(u.missingSince, f.storeRegainedAt, f.entryReturnedAt)
}
