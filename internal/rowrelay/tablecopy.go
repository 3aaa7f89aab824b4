package rowrelay

import (
	"cmp"
	"context"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// tableCopy is a reader's copy of a table with large rows. Requests of peers that come
// one after the other, as after a restart of many or after an outage, would otherwise
// fetch the same rows again over the link between the regions.
type tableCopy struct {
	// rows holds the rows by key that have changed after since, with those dropped, and
	// if complete also the others.
	rows     map[string]platform.TableRow
	complete bool
	// since is the version from which all changes are known, and at the newest version.
	since, at tables.Version
	// asOf is the moment as of which the copy has all changes.
	asOf tables.Time
}

// newTableCopy returns a copy that begins with the changes after since, or if complete
// with the whole table.
func newTableCopy(since tables.Version, complete bool, rows platform.Rows, asOf tables.Time) *tableCopy {
	c := &tableCopy{rows: make(map[string]platform.TableRow, len(rows.Rows)), complete: complete, since: since, at: rows.At(), asOf: asOf}
	for _, row := range rows.Rows {
		c.rows[row.Key] = row
	}
	return c
}

// apply adds the changes after a version, as of asOf. It ignores those that the copy has.
func (c *tableCopy) apply(rows platform.Rows, asOf tables.Time) {
	at := rows.At()
	if at.Compare(c.at) < 0 {
		return
	}
	for _, row := range rows.Rows {
		if row.Dropped || row.Version >= c.rows[row.Key].Version {
			c.rows[row.Key] = row
		}
	}
	c.at, c.asOf = at, max(c.asOf, asOf)
}

// changes returns the changes after a version that the copy covers.
func (c *tableCopy) changes(after tables.Version, now tables.Time) platform.Rows {
	rows := c.empty(now)
	for _, row := range c.rows {
		if row.Version > after.Counter {
			rows.Rows = append(rows.Rows, row)
		}
	}
	return rows
}

// covers reports whether the copy knows all changes between a version and its own.
func (c *tableCopy) covers(after tables.Version) bool {
	return after.Era == c.at.Era && c.since.Compare(after) <= 0 && after.Compare(c.at) <= 0
}

// whole returns the table.
func (c *tableCopy) whole(now tables.Time) platform.Rows {
	rows := c.empty(now)
	for _, row := range c.rows {
		if !row.Dropped {
			rows.Rows = append(rows.Rows, row)
		}
	}
	slices.SortFunc(rows.Rows, func(a, b platform.TableRow) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

func (c *tableCopy) empty(now tables.Time) platform.Rows {
	return platform.Rows{Era: c.at.Era, Version: c.at.Counter, Age: now.Sub(c.asOf)}
}

// changesFromCopy returns the changes that a watch requests if the copy of its table has
// them. Otherwise it returns the watch from the newest version that has the same
// response. The lock must be held.
func (r *Relay) changesFromCopy(q request) (rows platform.Rows, ok bool, rest request) {
	c, found := r.copies[q.Table]
	if !q.Watch || !found || !c.covers(q.after()) {
		return platform.Rows{}, false, q
	}
	if rows = c.changes(q.after(), r.Now()); len(rows.Rows) > 0 {
		return rows, true, q
	}
	q.After = c.at.Counter
	return platform.Rows{}, false, q
}

// updateCopy updates the copy of a table with large rows by the response to a request
// made at the moment start.
func (r *Relay) updateCopy(q request, rows platform.Rows, start tables.Time) {
	if !r.UrgentTables[q.Table] {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	asOf := start.Add(-rows.Age)
	c, found := r.copies[q.Table]
	older := found && rows.At().Compare(c.at) < 0
	switch {
	case !q.Watch && !older:
		r.copies[q.Table] = newTableCopy(rows.At(), true, rows, asOf)
	case q.Watch && found && c.at.Era == q.Era && q.after().Compare(c.at) <= 0:
		c.apply(rows, asOf)
	case q.Watch && !older:
		r.copies[q.Table] = newTableCopy(q.after(), false, rows, asOf)
	}
}

// readCopy returns a whole table from its copy, after the changes since were requested;
// ok is false if there is no copy or its history is lost.
func (r *Relay) readCopy(ctx context.Context, q request) (rows platform.Rows, ok bool, err error) {
	r.mu.Lock()
	c, found := r.copies[q.Table]
	if !found || !c.complete || c.at.Era != r.era {
		r.mu.Unlock()
		return platform.Rows{}, false, nil
	}
	watch := request{Table: q.Table, Watch: true, Direct: q.Direct, starting: true, Era: c.at.Era, After: c.at.Counter}
	r.mu.Unlock()
	switch _, err := r.awaitCall(ctx, watch); {
	case errors.Is(err, platform.ErrHistoryLost):
		return platform.Rows{}, false, nil
	case err != nil:
		return platform.Rows{}, true, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.whole(r.Now()), true, nil
}
