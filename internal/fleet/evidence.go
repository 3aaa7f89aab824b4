package fleet

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// readRecords reads the table of records, which is lease evidence for every
// group. Concurrent calls share one read.
func (f *Fleet) readRecords(ctx context.Context) error {
	done := f.lookups.DoChan("records", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), recordReadTimeout)
		defer cancel()
		at := f.Now()
		rows, err := f.Store.ReadTable(ctx, RecordTable)
		if err != nil {
			f.storeFailed(RecordTable, err)
			return nil, err
		}
		f.storeAnswered(RecordTable)
		f.applyRecords(rows, true, at.Add(-rows.Age))
		return nil, nil
	})
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LedNow reports whether the cached evidence shows that l led at t.
func (f *Fleet) LedNow(l Leader, t tables.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := l.group
	return g.Primary == l.Upstream.entry.ID && g.Record == l.record && g.Leadership.LedAt(t)
}

// LedAt reports whether l surely led at t, fetching evidence if necessary. It
// returns false after a few failed tries: the caller is then better served by
// another proxy.
func (f *Fleet) LedAt(ctx context.Context, l Leader, t tables.Time) bool {
	for try := 0; ; try++ {
		f.mu.Lock()
		g := l.group
		current := g.Primary == l.Upstream.entry.ID && g.Record == l.record
		led := g.Leadership.LedAt(t)
		// Without readers that bound them, reads would add to the load of a store that
		// counts as lost.
		storeProves := (f.storeLostAt == 0 || f.SeveralRegions) && f.confirmed(g)
		f.mu.Unlock()
		if !current || led {
			return current && led
		}
		if ctx.Err() != nil || try >= evidenceTries {
			f.recordNoEvidence()
			return false
		}
		f.tryGetEvidence(ctx, l, storeProves)
	}
}

// recordNoEvidence records that a search for lease evidence failed.
func (f *Fleet) recordNoEvidence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noEvidenceAt = f.Now()
}

// tryGetEvidence tries once to get evidence from the store, and from a replica
// or a peer if the store is slow or proves nothing: it is lost, or has come to a
// new era.
func (f *Fleet) tryGetEvidence(ctx context.Context, l Leader, storeProves bool) {
	if storeProves {
		quickCtx, cancel := context.WithTimeout(ctx, recordReadHedgeDelay)
		err := f.readRecords(quickCtx)
		cancel()
		if err == nil {
			return
		}
	}
	if f.queryReplica(ctx, l) || f.queryPeers(ctx, l.group.id) {
		return
	}
	if storeProves && f.readRecords(ctx) == nil {
		return
	}
	_ = sleep.For(ctx, evidenceRetryDelay) // the caller checks ctx
}

// queryReplica asks a replica whether it still follows l's term. Concurrent
// calls for a group share one query.
func (f *Fleet) queryReplica(ctx context.Context, l Leader) bool {
	ok, _, _ := f.lookups.Do("replica/"+string(l.group.id), func() (any, error) {
		return f.queryReplicaOnce(ctx, l), nil
	})
	return ok.(bool)
}

func (f *Fleet) queryReplicaOnce(ctx context.Context, l Leader) bool {
	at, ok := f.queryFollower(ctx, l, tables.Position{}, true)
	return ok && f.addReplicaEvidence(l, at)
}

// queryFollower queries the known replicas of l until one follows it, is not held and has
// received a position. It returns the time before that query. Unless oldOnly is set, a
// replica without an old connection counts too, if none to it has broken.
func (f *Fleet) queryFollower(ctx context.Context, l Leader, received tables.Position, oldOnly bool) (at tables.Time, ok bool) {
	f.mu.Lock()
	term, since := l.group.term, l.group.storeEvidenceAt
	replicas := f.serversWhere(l.group.id, func(u *Upstream) bool {
		return u != l.Upstream && !u.leaving && u.missingSince == 0
	})
	f.mu.Unlock()
	if term == 0 {
		return 0, false
	}
	st := statement.Statement{Kind: statement.Status}
	for _, u := range replicas {
		at = f.Now()
		var status statement.ServerStatus
		var err error
		// A connection opened before the newest evidence from the store shows that
		// the replica has not restarted since then, which would have lost a hold.
		if c, found := u.pool.Oldest(since); found {
			status, err = u.runControlOn(ctx, c, st)
		} else if oldOnly || u.mayHaveRestartedSince(since) {
			continue
		} else {
			status, err = u.runControlWithRetry(ctx, st)
		}
		if err == nil && !status.Leads && status.Held == 0 && status.Term == term && status.Received.AtLeast(received) {
			return at, true
		}
	}
	return 0, false
}

// addReplicaEvidence records as evidence that a replica was not held at the
// moment at. A promotion may lift the replica's hold before the replica
// receives the new term, so the reply counts only while older evidence is still
// valid: a promotion is ordered no earlier than freshness.Lease after the hold.
func (f *Fleet) addReplicaEvidence(l Leader, at tables.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !l.group.LedAt(at) {
		return false
	}
	l.group.AddEvidence(l.Upstream.entry.ID, l.record, at)
	f.noEvidenceAt = 0
	return true
}
