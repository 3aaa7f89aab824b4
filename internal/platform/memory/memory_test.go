package memory_test

import (
	"context"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/platform/platformtest"
	"gotest.tools/v3/assert"
)

func TestContract(t *testing.T) {
	platformtest.Run(t, func(*testing.T) platformtest.Client {
		p := memory.New()
		return platformtest.Client{Tables: p, Objects: p.Objects(), VMs: p, SetVMs: p.SetVMs}
	})
}

func txn(id string) platform.Txn {
	return platform.Txn{ID: id, Writes: []platform.Write{{Key: "k", Value: []byte(id)}}}
}

func TestFaultDownAffectsGivenNumberOfCalls(t *testing.T) {
	p := memory.New()
	p.Faults.Inject(memory.Fault{Kind: memory.FaultDown, Calls: 2})
	assert.ErrorIs(t, p.Commit(t.Context(), txn("a")), platform.ErrUnavailable)
	_, err := p.Get(t.Context(), "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = p.Get(t.Context(), "k")
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

func TestFaultLoseAnswerKeepsEffect(t *testing.T) {
	p := memory.New()
	p.Faults.Inject(memory.Fault{Kind: memory.FaultLoseAnswer})
	assert.ErrorIs(t, p.Commit(t.Context(), txn("a")), platform.ErrUnknown)
	_, err := p.Get(t.Context(), "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	p.Faults.Clear()
	assert.NilError(t, p.Commit(t.Context(), txn("a")))
	row, err := p.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(1))
}

func TestFaultSlowTakesEffectAfterContextEnds(t *testing.T) {
	p := memory.New()
	var slept time.Duration
	p.Sleep = func(_ context.Context, d time.Duration) error {
		slept = d
		return context.DeadlineExceeded
	}
	p.Faults.Inject(memory.Fault{Kind: memory.FaultSlow, Delay: time.Minute, Calls: 1})
	assert.ErrorIs(t, p.Commit(t.Context(), txn("a")), platform.ErrUnknown)
	assert.Equal(t, slept, time.Minute)
	row, err := p.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "a")
}
