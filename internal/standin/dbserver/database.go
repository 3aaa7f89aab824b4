// Package dbserver emulates one database server of a replicated group over the
// PostgreSQL v3 protocol: asynchronous replication, terms, log positions,
// slots, a connection limit and a connection set-up time. It is for tests, the
// demonstration and measurements only.
package dbserver

import (
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/standin/engine"
	"github.com/cranberrystage/cranberrystage/internal/standin/replog"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// database holds a server's log and tables under one lock.
type database struct {
	mu  sync.Mutex
	log *replog.State
	// state holds the tables after the first applied records of log.
	state   *engine.State
	applied uint64
	// changed is closed at the next change and then replaced.
	changed chan struct{}
	// primary is the address of the primary that the server follows.
	primary string
}

func newDatabase(primary bool) *database {
	return &database{
		log:     replog.New(primary),
		state:   engine.NewState(),
		changed: make(chan struct{}),
	}
}

// notifyChange wakes all goroutines that wait for a change. The caller holds the
// lock.
func (d *database) notifyChange() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *database) status() tables.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Status()
}

func (d *database) fence(term tables.Term) (tables.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.notifyChange()
	return d.log.Fence(term)
}

func (d *database) promote(term tables.Term) (tables.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.notifyChange()
	st, err := d.log.Promote(term)
	d.catchUp()
	return st, err
}

func (d *database) follow(primary tables.UpstreamID, address string, term tables.Term) (tables.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.notifyChange()
	st, err := d.log.Follow(primary, term)
	if err == nil {
		d.primary = address
	}
	return st, err
}

// commit writes ops as one record. A term of 0 means the server's fenced term.
func (d *database) commit(term tables.Term, ops []engine.Op) (tables.Position, error) {
	body, err := engine.EncodeOps(ops)
	if err != nil {
		return tables.Position{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if term == 0 {
		term = d.log.Status().Fenced
	}
	if err := d.state.Check(ops); err != nil {
		return tables.Position{}, err
	}
	pos, err := d.log.Append(term, body)
	if err != nil {
		return tables.Position{}, err
	}
	d.catchUp()
	d.notifyChange()
	return pos, nil
}

// catchUp applies to the tables the log records that are not applied yet. The
// caller holds the lock.
func (d *database) catchUp() {
	for d.applied < uint64(d.log.Len()) {
		d.applied++
		_ = d.state.Apply(d.log.At(d.applied).Body)
	}
}

// rebuild recreates the tables from the log. The caller holds the lock.
func (d *database) rebuild() {
	d.state = engine.NewState()
	d.applied = 0
	d.catchUp()
}

// apply applies records from the primary, as replog.State.Apply does.
func (d *database) apply(term tables.Term, index uint64, previous tables.Term, records []replog.Record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	truncated, err := d.log.Apply(term, index, previous, records)
	if err != nil {
		return err
	}
	if truncated {
		d.rebuild()
	}
	d.catchUp()
	d.notifyChange()
	return nil
}

// following returns the address and term of the primary that the server follows,
// the last index of the server's own log, and a channel that is closed at the
// next change. The term is 0 if it follows none.
func (d *database) following() (address string, term tables.Term, index uint64, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary, d.log.FollowedTerm(), uint64(d.log.Len()), d.changed
}

// entries returns the records after index. If there are none, it returns a
// channel that is closed at the next change.
func (d *database) entries(term tables.Term, index uint64, max int) (previous tables.Term, records []replog.Record, wait <-chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous, records, err = d.log.Entries(term, index, max)
	if err != nil {
		return 0, nil, nil, err
	}
	if index == uint64(d.log.Len()) {
		return previous, nil, d.changed, nil
	}
	return previous, records, nil, nil
}

func (d *database) get(table, key string, pending []engine.Op) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Get(table, key, pending)
}

func (d *database) count(table, value string, pending []engine.Op) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Count(table, value, pending)
}

func (d *database) check(ops []engine.Op) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Check(ops)
}

func (d *database) readOnly() bool {
	return d.status().Role != tables.RolePrimary
}
