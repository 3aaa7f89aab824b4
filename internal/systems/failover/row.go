package failover

import (
	"slices"
	"strconv"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/detect"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// maxListedGrants limits the grants listed in a row. Dropping a grant from the
// list keeps its term unique, because Next never decreases.
const maxListedGrants = 32

// maxBackoffDoublings limits how many times the delay between failing reads is
// doubled.
const maxBackoffDoublings = 7

// rowState is the state of reading and writing one platform row.
type rowState struct {
	// grants are the unused terms granted to this process, in ascending order.
	// They are kept in memory only, because a restarted process must not use a
	// term again.
	grants  []tables.Term
	reading bool
	readAt  tables.Time
	// failures counts the reads that failed since the last successful one.
	failures int
	nextAt   tables.Time
	// writing means that write has no known outcome yet. It is repeated
	// PlatformTimeout after sentAt. granted is the term that it grants to this
	// process, or 0.
	writing bool
	write   action.WriteGroupRow
	granted tables.Term
	sentAt  tables.Time
	// writeAt is the earliest time of the next write.
	writeAt tables.Time
}

// takeGrant removes and returns the lowest grant above term. It drops all lower
// grants.
func (r *rowState) takeGrant(term tables.Term) (tables.Term, bool) {
	r.dropGrants(term)
	if len(r.grants) == 0 {
		return 0, false
	}
	grant := r.grants[0]
	r.grants = slices.Clone(r.grants[1:])
	return grant, true
}

// dropGrants removes the grants up to and including term.
func (r *rowState) dropGrants(term tables.Term) {
	r.grants = slices.DeleteFunc(slices.Clone(r.grants), func(t tables.Term) bool { return t <= term })
}

// maintainRow reads the row periodically. It writes the row if the newest primary
// is missing there or this process has too few grants.
func (s *System) maintainRow(now tables.Time, w *tables.World, g tables.Group) []action.Action {
	st := s.state(g.ID)
	defer func() { s.groups.Put(g.ID, st) }()
	high := highestFenced(w, g)
	st.rowState.dropGrants(high)
	if st.rowState.writing {
		return s.repeatWrite(now, &st.rowState)
	}
	if st.rowState.reading && now.Sub(st.rowState.readAt) < s.options.PlatformTimeout {
		return nil
	}
	stored, ok := w.Rows.Get(g.ID)
	if st.rowState.reading || now >= st.rowState.nextAt || st.rowState.evicted(ok) {
		return s.readRow(now, g.ID, &st.rowState)
	}
	if !ok || now < st.rowState.writeAt {
		return nil
	}
	row, granted, changed := planRow(stored.Row, g, high, w.Self, len(st.rowState.grants) < s.options.GrantReserve)
	if !changed {
		return nil
	}
	st.rowState.writing = true
	st.rowState.granted = granted
	st.rowState.sentAt = now
	st.rowState.write = action.WriteGroupRow{Group: g.ID, Row: row, Version: stored.Version, TxnID: s.txnID(w.Self)}
	return []action.Action{st.rowState.write}
}

// evicted reports whether the row is missing from the tables for another reason
// than failing reads; cached says whether the tables contain the row.
func (r *rowState) evicted(cached bool) bool { return !cached && r.failures == 0 }

func (s *System) readRow(now tables.Time, id tables.GroupID, r *rowState) []action.Action {
	r.reading = true
	r.readAt = now
	r.nextAt = now.Add(s.options.RowInterval + s.jitter(s.options.RowInterval/2))
	return []action.Action{action.ReadGroupRow{Group: id}}
}

// repeatWrite sends the same transaction again after a timeout. The platform
// applies it at most once.
func (s *System) repeatWrite(now tables.Time, r *rowState) []action.Action {
	if now.Sub(r.sentAt) < s.options.PlatformTimeout {
		return nil
	}
	r.sentAt = now
	return []action.Action{r.write}
}

// planRow returns the row with the newest primary and, if wantGrant is set, a new
// grant for self. Term and Next never decrease. It also returns the granted term,
// or 0, and whether the row changed.
func planRow(row tables.GroupRow, g tables.Group, high tables.Term, self tables.VMID, wantGrant bool) (tables.GroupRow, tables.Term, bool) {
	next := row
	next.Grants = slices.Clone(row.Grants)
	changed := false
	if g.Term > row.Term && g.Primary != "" {
		next.Term = g.Term
		next.Primary = g.Primary
		changed = true
	}
	next.Next = max(row.Next, high+1, next.Term+1)
	next.Grants = slices.DeleteFunc(next.Grants, func(t tables.TermGrant) bool { return t.Term <= next.Term })
	if !wantGrant {
		return next, 0, changed
	}
	grant := next.Next
	next.Next++
	next.Grants = append(next.Grants, tables.TermGrant{VM: self, Term: grant})
	if over := len(next.Grants) - maxListedGrants; over > 0 {
		next.Grants = next.Grants[over:]
	}
	return next, grant, true
}

func (s *System) rowRead(now tables.Time, w *tables.World, e event.GroupRowRead) []action.Action {
	st := s.state(e.Group)
	st.rowState.reading = false
	if e.Outcome == event.OutcomeFailed || e.Outcome == event.OutcomeUnknown {
		st.rowState.nextAt = now.Add(s.readBackoff(st.rowState.failures))
		st.rowState.failures++
		s.groups.Put(e.Group, st)
		return nil
	}
	st.rowState.failures = 0
	s.groups.Put(e.Group, st)
	old, known := w.Rows.Get(e.Group)
	if known && e.Version < old.Version {
		return nil
	}
	w.Rows.Put(e.Group, tables.StoredGroupRow{Row: e.Row, Version: e.Version, ReadAt: now})
	return detect.RecordPrimary(w, e.Group, e.Row.Term, e.Row.Primary)
}

// readBackoff returns the delay after a failed read that follows this many
// earlier failures.
func (s *System) readBackoff(failures int) time.Duration {
	delay := s.options.WriteInterval << min(failures, maxBackoffDoublings)
	return delay + s.jitter(delay)
}

// rowWritten handles the outcome of a write. A write that failed or whose outcome
// is unknown is repeated with the same id after WriteInterval and some jitter.
// After any other outcome the cached row is out of date and is read again.
func (s *System) rowWritten(now tables.Time, e event.GroupRowWritten) {
	st := s.state(e.Group)
	r := &st.rowState
	if !r.writing || r.write.TxnID != e.TxnID {
		return
	}
	switch e.Outcome {
	case event.OutcomeOK:
		r.writing = false
		r.writeAt = now.Add(s.options.WriteInterval/2 + s.jitter(s.options.WriteInterval))
		if r.granted != 0 {
			r.grants = append(slices.Clone(r.grants), r.granted)
		}
	case event.OutcomeConflict, event.OutcomeNotFound:
		r.writing = false
		r.writeAt = now.Add(s.jitter(s.options.WriteInterval / 4))
	default:
		r.sentAt = now.Add(s.jitter(s.options.WriteInterval) - s.options.PlatformTimeout + s.options.WriteInterval)
	}
	if !r.writing {
		r.nextAt = now
	}
	s.groups.Put(e.Group, st)
}

func (s *System) txnID(self tables.VMID) string {
	return string(self) + "-" + strconv.FormatUint(s.random.Uint64(), 36) + strconv.FormatUint(s.random.Uint64(), 36)
}

func (s *System) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
