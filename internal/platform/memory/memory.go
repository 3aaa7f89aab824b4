// Package memory implements the platform in memory, with faults that tests can
// inject.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// maxOutcomes is the number of transaction outcomes that are kept.
const maxOutcomes = 100_000

// Outcome is the result of a transaction.
type Outcome uint8

const (
	// OutcomeUnknown means that no outcome of the id is kept.
	OutcomeUnknown Outcome = iota
	// OutcomeApplied means that all writes were applied.
	OutcomeApplied
	// OutcomeConflict means that a condition did not hold.
	OutcomeConflict
)

// Platform implements platform.Tables and platform.VMs; Objects returns its
// object store. It is safe for concurrent use.
type Platform struct {
	// Faults is the fault in effect; it affects every call.
	Faults Faults
	// Sleep waits for d or until ctx ends; tests may replace it before the first call.
	Sleep func(ctx context.Context, d time.Duration) error

	mu       sync.Mutex
	rows     *tables.Table[string, platform.Row]
	objects  map[string][]byte
	vms      []platform.ListedVM
	outcomes map[string]Outcome
	// order holds the ids in outcomes, oldest first.
	order []string
}

var (
	_ platform.Tables  = (*Platform)(nil)
	_ platform.Objects = Objects{}
	_ platform.VMs     = (*Platform)(nil)
)

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{
		Sleep:    sleep.For,
		rows:     tables.NewTable[string, platform.Row](),
		objects:  make(map[string][]byte),
		outcomes: make(map[string]Outcome),
	}
}

// Get implements platform.Tables.
func (p *Platform) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	found := false
	err := p.read(ctx, func() {
		row, found = p.rows.Get(key)
		row.Value = slices.Clone(row.Value)
	})
	if err == nil && !found {
		err = errors.Wrapf(platform.ErrNotFound, "row %q", key)
	}
	return row, err
}

// List implements platform.Tables.
func (p *Platform) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	var rows []platform.Row
	err := p.read(ctx, func() {
		for key, row := range p.rows.All() {
			if strings.HasPrefix(key, prefix) {
				row.Value = slices.Clone(row.Value)
				rows = append(rows, row)
			}
		}
	})
	return rows, err
}

// Commit implements platform.Tables.
func (p *Platform) Commit(ctx context.Context, t platform.Txn) error {
	if t.ID == "" {
		return errors.New("transaction without id")
	}
	var outcome Outcome
	err := p.write(ctx, func() { outcome = p.commit(t) })
	if err == nil && outcome == OutcomeConflict {
		err = errors.Wrapf(platform.ErrConflict, "transaction %s", t.ID)
	}
	return err
}

// Outcome returns the outcome of the transaction with an id. Faults do not affect it.
func (p *Platform) Outcome(id string) Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outcomes[id]
}

// ListVMs implements platform.VMs.
func (p *Platform) ListVMs(ctx context.Context) ([]platform.ListedVM, error) {
	var vms []platform.ListedVM
	err := p.read(ctx, func() { vms = slices.Clone(p.vms) })
	return vms, err
}

// SetVMs replaces the VM list. Faults do not affect it.
func (p *Platform) SetVMs(vms []platform.ListedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

// commit applies t unless its id is known, and returns the outcome of the first
// commit with that id.
func (p *Platform) commit(t platform.Txn) Outcome {
	if outcome, ok := p.outcomes[t.ID]; ok {
		return outcome
	}
	outcome := OutcomeApplied
	if !p.holds(t.Conditions) {
		outcome = OutcomeConflict
	}
	if outcome == OutcomeApplied {
		p.apply(t.Writes)
	}
	p.storeOutcome(t.ID, outcome)
	return outcome
}

func (p *Platform) holds(conditions []platform.Condition) bool {
	for _, c := range conditions {
		row, _ := p.rows.Get(c.Key)
		if row.Version != c.Version {
			return false
		}
	}
	return true
}

func (p *Platform) apply(writes []platform.Write) {
	for _, w := range writes {
		row, _ := p.rows.Get(w.Key)
		p.rows.Put(w.Key, platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: row.Version + 1})
	}
}

// storeOutcome stores an outcome and evicts the oldest above maxOutcomes.
func (p *Platform) storeOutcome(id string, outcome Outcome) {
	p.outcomes[id] = outcome
	p.order = append(p.order, id)
	if len(p.order) > maxOutcomes {
		delete(p.outcomes, p.order[0])
		p.order = p.order[1:]
	}
}

// read runs do under the lock. Any fault that prevents the response results in
// ErrUnavailable, since a read has no effect.
func (p *Platform) read(ctx context.Context, do func()) error {
	if err := p.write(ctx, do); err != nil {
		return platform.ErrUnavailable
	}
	return nil
}

// write runs do under the lock, subject to the fault in effect.
func (p *Platform) write(ctx context.Context, do func()) error {
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	f := p.Faults.Take()
	if f.Kind == FaultDown {
		return platform.ErrUnavailable
	}
	lost := f.Kind == FaultLoseAnswer
	if f.Kind == FaultSlow {
		lost = p.Sleep(ctx, f.Delay) != nil
	}
	p.mu.Lock()
	do()
	p.mu.Unlock()
	if lost {
		return platform.ErrUnknown
	}
	return nil
}
