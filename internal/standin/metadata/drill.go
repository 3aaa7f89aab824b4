package metadata

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// copyRetention is the age of the oldest copy that can be restored.
	copyRetention = 15 * time.Second
	// rewriteTime is how long after a drill operator and servers have written
	// their rows again.
	rewriteTime = 2 * time.Second
	// lapseTime is how long after a drill the restored entry of a server that had
	// left lapses again.
	lapseTime = 3600 * time.Millisecond
)

// undoStep is the state of a row before a write.
type undoStep struct {
	at         time.Time
	table, key string
	previous   row
	existed    bool
}

// recordUndo keeps the state of a row before a write. The lock must be held.
func (s *Store) recordUndo(u undoStep) {
	s.undo = append(s.undo, u)
	n := 0
	for n < len(s.undo) && u.at.Sub(s.undo[n].at) > copyRetention {
		n++
	}
	s.undo = s.undo[n:]
}

// setExternal writes a row on behalf of the operator or a server. The lock must
// be held.
func (s *Store) setExternal(table, key string, r row) {
	if s.external[table] == nil {
		s.external[table] = make(map[string]row)
	}
	s.external[table][key] = r
	s.set(table, key, r)
}

// Era returns how often the store has come back from an older copy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Drill makes the store unavailable for the time away, after which it comes back
// from a copy that is age older than now. Versions go back with it. Operator and
// servers then write their rows again, each after a delay drawn from rng.
func (s *Store) Drill(rng *rand.Rand, away, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	copyAt := time.Now().Add(-age)
	delays := rand.New(rand.NewPCG(rng.Uint64(), 0))
	time.AfterFunc(away, func() { s.restore(copyAt, delays) })
}

// restore replaces the rows by the copy that was made at copyAt.
func (s *Store) restore(copyAt time.Time, delays *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.undo) - 1; n >= 0 && s.undo[n].at.After(copyAt); n-- {
		u := s.undo[n]
		if u.existed {
			s.rows[u.table][u.key] = u.previous
		} else {
			delete(s.rows[u.table], u.key)
		}
		s.version--
		s.undo = s.undo[:n]
	}
	s.historyStart = min(s.historyStart, s.version)
	s.era++
	s.away = false
	close(s.changed)
	s.changed = make(chan struct{})
	for _, name := range s.takenBack() {
		delay := time.Duration(delays.Int64N(int64(rewriteTime)))
		if s.external[name.table][name.key].dropped {
			delay = lapseTime
		}
		time.AfterFunc(delay, func() { s.writeAgain(name) })
	}
}

// rowName identifies a row.
type rowName struct{ table, key string }

// takenBack returns the rows of operator and servers that differ from what they
// wrote last, in order. The lock must be held.
func (s *Store) takenBack() []rowName {
	var out []rowName
	for table, rows := range s.external {
		for key := range rows {
			if name := (rowName{table, key}); !s.upToDate(name) {
				out = append(out, name)
			}
		}
	}
	slices.SortFunc(out, func(a, b rowName) int {
		return cmp.Or(strings.Compare(a.table, b.table), strings.Compare(a.key, b.key))
	})
	return out
}

// upToDate reports whether a row is as the operator or a server wrote it last.
// The lock must be held.
func (s *Store) upToDate(name rowName) bool {
	want := s.external[name.table][name.key]
	have, ok := s.rows[name.table][name.key]
	if want.dropped {
		return !ok || have.dropped
	}
	return ok && !have.dropped && string(have.value) == string(want.value)
}

// writeAgain writes the newest external state of a row.
func (s *Store) writeAgain(name rowName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.upToDate(name) {
		s.set(name.table, name.key, s.external[name.table][name.key])
	}
}
