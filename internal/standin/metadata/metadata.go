// Package metadata emulates the platform's metadata store for tests. It keeps
// tables of rows in memory, numbers all versions with one counter, and injects
// the faults that occur in the real store.
package metadata

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// callLatency is the duration of a call without faults.
const callLatency = 4 * time.Millisecond

// Store holds the rows. It is safe for concurrent use and needs no network.
type Store struct {
	startedAt time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]row
	// historyStart is the version after which changes are kept for watchers.
	historyStart uint64
	// changed is closed at the next change and then replaced.
	changed chan struct{}
	faults  Faults
	calls   int
	// writes counts the calls of Apply, also failed ones.
	writes int
	// era counts the returns from an older copy.
	era uint64
	// away makes every call fail during a drill.
	away bool
	// undo holds the latest writes in order, from which an older copy is restored.
	undo []undoStep
	// external holds the rows written by operator and servers, by table and key.
	external map[string]map[string]row
}

type row struct {
	value   []byte
	version uint64
	dropped bool
}

// Faults are the injected faults.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// Slow is added to the duration of every call.
	Slow time.Duration
	// LoseWrites applies every write but loses its reply.
	LoseWrites bool
	// LateWrites, if positive, loses the reply of every write and applies the
	// write after this delay if its condition still holds.
	LateWrites time.Duration
}

// New returns an empty store.
func New() *Store {
	return &Store{
		startedAt: time.Now(), rows: make(map[string]map[string]row), changed: make(chan struct{}),
		external: make(map[string]map[string]row),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory drops the history of changes. Watches from an earlier version then
// fail with platform.ErrHistoryLost.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyStart = s.version
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Writes returns the number of conditional writes so far, failed ones included.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Put writes a row directly, unaffected by faults.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setExternal(table, key, row{value: value})
}

// Drop removes a row directly, unaffected by faults.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setExternal(table, key, row{dropped: true})
}

// Get returns a row's value.
func (s *Store) Get(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[table][key]
	return r.value, ok && !r.dropped
}

// set writes a row under the next version and wakes the watchers. The caller
// holds the lock.
func (s *Store) set(table, key string, r row) {
	s.version++
	r.version = s.version
	if s.rows[table] == nil {
		s.rows[table] = make(map[string]row)
	}
	previous, existed := s.rows[table][key]
	s.recordUndo(undoStep{at: time.Now(), table: table, key: key, previous: previous, existed: existed})
	s.rows[table][key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// startCall waits for the duration of a call and returns the faults that apply
// to it.
func (s *Store) startCall(ctx context.Context) (Faults, error) {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if err := sleep.For(ctx, callLatency+f.Slow); err != nil {
		return f, platform.ErrUnknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down || s.away {
		return f, platform.ErrUnavailable
	}
	return f, nil
}

// ReadTable implements platform.Metadata.
func (s *Store) ReadTable(ctx context.Context, table string) (platform.Rows, error) {
	if _, err := s.startCall(ctx); err != nil {
		return platform.Rows{}, platform.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectRows(table, func(r row) bool { return !r.dropped }), nil
}

// selectRows returns the rows of a table that match, sorted by key. The caller
// holds the lock.
func (s *Store) selectRows(table string, match func(row) bool) platform.Rows {
	out := platform.Rows{Era: s.era, Version: s.version, Clock: time.Since(s.startedAt)}
	for key, r := range s.rows[table] {
		if match(r) {
			out.Rows = append(out.Rows, platform.TableRow{Key: key, Value: r.value, Version: r.version, Dropped: r.dropped})
		}
	}
	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Key < out.Rows[j].Key })
	return out
}

// WatchTable implements platform.Metadata.
func (s *Store) WatchTable(ctx context.Context, table string, after tables.Version, wait time.Duration) (platform.Rows, error) {
	if _, err := s.startCall(ctx); err != nil {
		return platform.Rows{}, platform.ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.faults.Down || s.away || s.era != era {
			s.mu.Unlock()
			return platform.Rows{}, platform.ErrUnavailable
		}
		if after.Era != s.era || after.Counter < s.historyStart || after.Counter > s.version {
			s.mu.Unlock()
			return platform.Rows{}, platform.ErrHistoryLost
		}
		out := s.selectRows(table, func(r row) bool { return r.version > after.Counter })
		changed := s.changed
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return out, nil
		case <-ctx.Done():
			return platform.Rows{}, platform.ErrUnavailable
		}
	}
}

// Apply implements platform.Metadata.
func (s *Store) Apply(ctx context.Context, c platform.Change) (platform.Rows, error) {
	s.mu.Lock()
	s.writes++
	s.mu.Unlock()
	f, err := s.startCall(ctx)
	if err != nil {
		return platform.Rows{}, err
	}
	if f.LateWrites > 0 {
		time.AfterFunc(f.LateWrites, func() { _, _ = s.apply(c) })
		return platform.Rows{}, platform.ErrUnknown
	}
	out, err := s.apply(c)
	if f.LoseWrites {
		return platform.Rows{}, platform.ErrUnknown
	}
	return out, err
}

func (s *Store) apply(c platform.Change) (platform.Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range c.Expect {
		r := s.rows[c.Table][e.Key]
		if have := r.version; r.dropped && e.Version != 0 || !r.dropped && have != e.Version {
			return platform.Rows{}, platform.ErrConflict
		}
	}
	for _, w := range c.Writes {
		s.set(c.Table, w.Key, row{value: w.Value})
	}
	for _, k := range c.Remove {
		s.set(c.Table, k, row{dropped: true})
	}
	// All rows written by a transaction get its version.
	for _, w := range c.Writes {
		r := s.rows[c.Table][w.Key]
		r.version = s.version
		s.rows[c.Table][w.Key] = r
	}
	return platform.Rows{Era: s.era, Version: s.version, Clock: time.Since(s.startedAt)}, nil
}

var _ platform.Metadata = (*Store)(nil)

// Rows returns the rows of a table directly, without the duration of a call.
func (s *Store) Rows(table string) []platform.TableRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectRows(table, func(r row) bool { return !r.dropped }).Rows
}
