// Package dbserver emulates one database server of a replicated group over the
// PostgreSQL v3 protocol: asynchronous replication, terms, log positions,
// slots, a connection limit and a connection set-up time. It serves tests, the
// demonstration and measurements only.
package dbserver

import (
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/standin/engine"
	"github.com/cranberrystage/cranberrystage/internal/standin/replog"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// database is a server's log and tables under one lock.
type database struct {
	mu      sync.Mutex
	log     *replog.State
	state   *engine.State
	applied uint64
	changed chan struct{}
	primary string
}

func newDatabase(primary bool) *database {
	return &database{
		log:     replog.New(primary),
		state:   engine.NewState(),
		changed: make(chan struct{}),
	}
}

// wake tells everyone who waits for a change. The lock must be held.
func (d *database) wake() {
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
	defer d.wake()
	return d.log.Fence(term)
}

func (d *database) promote(term tables.Term) (tables.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.wake()
	st, err := d.log.Promote(term)
	d.catchUp()
	return st, err
}

func (d *database) follow(primary tables.UpstreamID, address string, term tables.Term) (tables.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.wake()
	st, err := d.log.Follow(primary, term)
	if err == nil {
		d.primary = address
	}
	return st, err
}

// commit writes ops as one record. A term of 0 means the server's own.
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
	d.wake()
	return pos, nil
}

// catchUp applies records that the tables lack. The lock must be held.
func (d *database) catchUp() {
	for d.applied < uint64(d.log.Len()) {
		d.applied++
		_ = d.state.Apply(d.log.At(d.applied).Body)
	}
}

// rebuild makes the tables anew from the log. The lock must be held.
func (d *database) rebuild() {
	d.state = engine.NewState()
	d.applied = 0
	d.catchUp()
}

// apply takes records from the primary.
func (d *database) apply(term tables.Term, index uint64, previous tables.Term, records []replog.Record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	cut, err := d.log.Apply(term, index, previous, records)
	if err != nil {
		return err
	}
	if cut {
		d.rebuild()
	}
	d.catchUp()
	d.wake()
	return nil
}

// following returns whom the server follows: address, term and its own log end.
func (d *database) following() (address string, term tables.Term, index uint64, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary, d.log.FollowedTerm(), uint64(d.log.Len()), d.changed
}

// entries returns records after index, or a channel to wait on if there are none.
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
