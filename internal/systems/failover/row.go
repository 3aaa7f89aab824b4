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

// maxListedGrants bounds the grants listed in a row. A term stays unique when
// its grant is dropped from the list, since Next never decreases.
const maxListedGrants = 32

// maxBackoffDoublings bounds how often the pause between failing reads doubles.
const maxBackoffDoublings = 7

// upkeep is the state of one platform row.
type upkeep struct {
	// grants are the terms that this process was granted and has not used, ascending.
	// They are kept in memory only: a restarted process must not use a term again.
	grants  []tables.Term
	reading bool
	readAt  tables.Time
	// failures counts the reads that failed since the last answer.
	failures int
	nextAt   tables.Time
	writing  bool
	write    action.WriteGroupRow
	granted  tables.Term
	sentAt   tables.Time
	writeAt  tables.Time
}

// takeGrant removes and returns the lowest grant above term, with all below it.
func (u *upkeep) takeGrant(term tables.Term) (tables.Term, bool) {
	u.dropGrants(term)
	if len(u.grants) == 0 {
		return 0, false
	}
	grant := u.grants[0]
	u.grants = slices.Clone(u.grants[1:])
	return grant, true
}

// dropGrants forgets the grants up to term.
func (u *upkeep) dropGrants(term tables.Term) {
	u.grants = slices.DeleteFunc(slices.Clone(u.grants), func(t tables.Term) bool { return t <= term })
}

// maintainRow reads the row from time to time and writes it when it lacks the
// newest primary or this process lacks grants.
func (s *System) maintainRow(now tables.Time, w *tables.World, g tables.Group) []action.Action {
	st := s.state(g.ID)
	defer func() { s.groups.Put(g.ID, st) }()
	high := highestFenced(w, g)
	st.upkeep.dropGrants(high)
	if st.upkeep.writing {
		return s.repeatWrite(now, &st.upkeep)
	}
	if st.upkeep.reading && now.Sub(st.upkeep.readAt) < s.options.PlatformTimeout {
		return nil
	}
	stored, ok := w.Rows.Get(g.ID)
	if st.upkeep.reading || now >= st.upkeep.nextAt || st.upkeep.forgotten(ok) {
		return s.readRow(now, g.ID, &st.upkeep)
	}
	if !ok || now < st.upkeep.writeAt {
		return nil
	}
	row, granted, changed := planRow(stored.Row, g, high, w.Self, len(st.upkeep.grants) < s.options.GrantReserve)
	if !changed {
		return nil
	}
	st.upkeep.writing = true
	st.upkeep.granted = granted
	st.upkeep.sentAt = now
	st.upkeep.write = action.WriteGroupRow{Group: g.ID, Row: row, Version: stored.Version, TxnID: s.txnID(w.Self)}
	return []action.Action{st.upkeep.write}
}

// forgotten says that the row was read and has left the tables since.
func (u *upkeep) forgotten(known bool) bool { return !known && u.failures == 0 }

func (s *System) readRow(now tables.Time, id tables.GroupID, u *upkeep) []action.Action {
	u.reading = true
	u.readAt = now
	u.nextAt = now.Add(s.options.RowInterval + s.jitter(s.options.RowInterval/2))
	return []action.Action{action.ReadGroupRow{Group: id}}
}

// repeatWrite sends the same transaction again; the platform applies it once.
func (s *System) repeatWrite(now tables.Time, u *upkeep) []action.Action {
	if now.Sub(u.sentAt) < s.options.PlatformTimeout {
		return nil
	}
	u.sentAt = now
	return []action.Action{u.write}
}

// planRow returns the row with the newest primary and, if wanted, a new grant
// for self. Term and Next never decrease. A grant is 0 if none was added.
func planRow(row tables.GroupRow, g tables.Group, high tables.Term, self tables.VMID, want bool) (tables.GroupRow, tables.Term, bool) {
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
	if !want {
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
	st.upkeep.reading = false
	if e.Outcome == event.OutcomeFailed || e.Outcome == event.OutcomeUnknown {
		st.upkeep.nextAt = now.Add(s.readBackoff(st.upkeep.failures))
		st.upkeep.failures++
		s.groups.Put(e.Group, st)
		return nil
	}
	st.upkeep.failures = 0
	s.groups.Put(e.Group, st)
	old, known := w.Rows.Get(e.Group)
	if known && e.Version < old.Version {
		return nil
	}
	w.Rows.Put(e.Group, tables.StoredGroupRow{Row: e.Row, Version: e.Version, ReadAt: now})
	return detect.Learn(w, e.Group, e.Row.Term, e.Row.Primary)
}

// readBackoff returns the pause after a read that failed, with this many failures before it.
func (s *System) readBackoff(failures int) time.Duration {
	pause := s.options.WriteInterval << min(failures, maxBackoffDoublings)
	return pause + s.jitter(pause)
}

// rowWritten ends a write. A write that failed or whose outcome is unknown is
// repeated under the same id; any other end makes the known row old.
func (s *System) rowWritten(now tables.Time, e event.GroupRowWritten) {
	st := s.state(e.Group)
	u := &st.upkeep
	if !u.writing || u.write.TxnID != e.TxnID {
		return
	}
	switch e.Outcome {
	case event.OutcomeOK:
		u.writing = false
		u.writeAt = now.Add(s.options.WriteInterval/2 + s.jitter(s.options.WriteInterval))
		if u.granted != 0 {
			u.grants = append(slices.Clone(u.grants), u.granted)
		}
	case event.OutcomeConflict, event.OutcomeNotFound:
		u.writing = false
		u.writeAt = now.Add(s.jitter(s.options.WriteInterval / 4))
	default:
		u.sentAt = now.Add(s.jitter(s.options.WriteInterval) - s.options.PlatformTimeout + s.options.WriteInterval)
	}
	if !u.writing {
		u.nextAt = now
	}
	s.groups.Put(e.Group, st)
}

func (s *System) txnID(self tables.VMID) string {
	return string(self) + "-" + strconv.FormatUint(s.random.Uint64(), 36) + strconv.FormatUint(s.random.Uint64(), 36)
}

func (s *System) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
