package fleet

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// look reads the records for evidence. Calls at the same time share one.
func (f *Fleet) look(ctx context.Context) error {
	done := f.looks.DoChan("look", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
		defer cancel()
		at := f.Now()
		rows, err := f.Store.ReadTable(ctx, RecordTable)
		if err != nil {
			f.storeFailed(RecordTable, err)
			return nil, err
		}
		f.storeAnswered(RecordTable)
		f.takeRecords(rows, true, at.Add(-rows.Age))
		return nil, nil
	})
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LedNow reports whether evidence at hand shows that l led at t.
func (f *Fleet) LedNow(l Leader, t tables.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := l.group
	return g.Primary == l.Upstream.entry.ID && g.Record == l.record && g.Leadership.LedAt(t)
}

// LedAt reports whether l surely led at t. It gives up after a few tries to
// find evidence: the caller then does better at another proxy.
func (f *Fleet) LedAt(ctx context.Context, l Leader, t tables.Time) bool {
	for try := 0; ; try++ {
		f.mu.Lock()
		g := l.group
		current := g.Primary == l.Upstream.entry.ID && g.Record == l.record
		led := g.Leadership.LedAt(t)
		lost := f.storeLostAt != 0
		f.mu.Unlock()
		if !current || led {
			return current && led
		}
		if ctx.Err() != nil || try >= proofTries {
			f.unproven()
			return false
		}
		f.seekEvidence(ctx, l, lost)
	}
}

// unproven takes note that evidence was sought in vain.
func (f *Fleet) unproven() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unprovenAt = f.Now()
}

// seekEvidence makes one try at the store, and at a replica if the store is
// away or slow.
func (f *Fleet) seekEvidence(ctx context.Context, l Leader, lost bool) {
	if !lost {
		quick, cancel := context.WithTimeout(ctx, slowLook)
		err := f.look(quick)
		cancel()
		if err == nil {
			return
		}
	}
	if f.askReplica(ctx, l) || f.hear(ctx, l.group.id) {
		return
	}
	if !lost && f.look(ctx) == nil {
		return
	}
	_ = sleep.For(ctx, proofPause) // the caller looks at ctx
}

// askReplica asks a replica whether it still follows l's term. Calls of one
// group at the same time share one.
func (f *Fleet) askReplica(ctx context.Context, l Leader) bool {
	ok, _, _ := f.looks.Do("replica/"+string(l.group.id), func() (any, error) {
		return f.askReplicaOnce(ctx, l), nil
	})
	return ok.(bool)
}

func (f *Fleet) askReplicaOnce(ctx context.Context, l Leader) bool {
	f.mu.Lock()
	term, since := l.group.term, l.group.storeProvenAt
	replicas := f.members(l.group.id, func(u *Upstream) bool {
		return u != l.Upstream && !u.leaving && u.missingSince == 0
	})
	f.mu.Unlock()
	if term == 0 {
		return false
	}
	for _, u := range replicas {
		// A connection that is older than the last look proves that the replica
		// has not forgotten since that it was held.
		c, ok := u.pool.Oldest(since)
		if !ok {
			continue
		}
		at := f.Now()
		account, err := u.askOn(ctx, c, statement.Statement{Kind: statement.Status})
		if err != nil || account.Leads || account.Held != 0 || account.Term != term {
			continue
		}
		return f.proveByReplica(l, at)
	}
	return false
}

// proveByReplica takes a replica's word of at that it is not held. A promotion
// may lift its hold before it hears of the new term, so the word counts only as
// long as older evidence holds: every order comes later than Lease after a hold.
func (f *Fleet) proveByReplica(l Leader, at tables.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !l.group.LedAt(at) {
		return false
	}
	l.group.AddEvidence(l.Upstream.entry.ID, l.record, at)
	return true
}
