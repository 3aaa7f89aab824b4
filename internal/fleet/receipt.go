package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/receipt"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// needsReceipt reports whether a commit that l confirmed just now needs proof that a known
// replica has received it. Without synchronous replication no replica need have it.
func (f *Fleet) needsReceipt(l Leader) bool {
	if !f.replicatesCommits(l.group.id) {
		return false
	}
	if l.Upstream.doubted() != (tables.Position{}) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return l.group.version != l.record || f.mayConfirmUnlisted(l)
}

// replicatesCommits reports whether a commit of a group is confirmed only after a replica
// has received it.
func (f *Fleet) replicatesCommits(id tables.GroupID) bool {
	r := f.routing.Load()
	return r != nil && r.Groups[id].SyncReplicas > 0
}

// nextReplicaDelay is how much later than the one before it a known replica is queried. Most
// times the first answer suffices.
const nextReplicaDelay = 10 * time.Millisecond

// receiptRetryDelay is the time after a search without success in which writes are refused
// without another one.
const receiptRetryDelay = 100 * time.Millisecond

// receivedByKnown queries the known replicas of l until one has received p, for at most
// queryTimeout. It ends sooner if no known replica receives anything any more.
func (f *Fleet) receivedByKnown(ctx context.Context, l Leader, p tables.Position) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	replicas := f.knownReplicas(l)
	results := make(chan bool, len(replicas))
	for i, u := range replicas {
		go func() {
			_ = sleep.For(ctx, time.Duration(i)*nextReplicaDelay) // awaitReceived checks ctx
			results <- f.awaitReceived(ctx, l, u, p)
		}()
	}
	received := false
	for range replicas {
		if received = <-results; received {
			break
		}
	}
	l.Upstream.recordReceipt(received)
	f.Metrics.CountReceiptCheck(l.group.id, received)
	return received
}

// knownReplicas returns the servers that a replacement of l would hold or wait for, those of
// this data centre first. Members whose entries lapsed shortly before, as in an outage of the
// store, are among them.
func (f *Fleet) knownReplicas(l Leader) []*Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serversWhere(l.group.id, func(u *Upstream) bool {
		return u != l.Upstream && (u.missingSince == 0 || !f.isGoneSoon(u) && slices.Contains(l.group.members, u.entry.ID))
	})
}

// awaitReceived queries a replica of l until it has received p, it is held or ctx ends.
func (f *Fleet) awaitReceived(ctx context.Context, l Leader, u *Upstream, p tables.Position) bool {
	for ctx.Err() == nil {
		status, err := f.queryReceived(ctx, u)
		switch {
		case err != nil:
		case receipt.Covers(status.Received, p) && !status.Leads:
			l.Upstream.recordReceived(status.Received)
			return true
		case status.Leads || status.Held != 0:
			return false
		}
		_ = sleep.For(ctx, evidenceRetryDelay) // the loop checks ctx
	}
	return false
}

// queryReceived queries a replica's status, or only its position, which needs no slot, if it
// is busy. Concurrent calls for a replica share one query.
func (f *Fleet) queryReceived(ctx context.Context, u *Upstream) (statement.ServerStatus, error) {
	done := f.lookups.DoChan("status/"+string(u.ID()), func() (any, error) {
		ctx := context.Background()
		status, err := u.queryStatus(ctx, statement.Statement{Kind: statement.Status})
		if err == nil || u.Unreachable() {
			return status, err
		}
		r, err := u.queryPosition(ctx)
		return statement.ServerStatus{Received: r.Position}, err
	})
	select {
	case r := <-done:
		if r.Err != nil {
			return statement.ServerStatus{}, r.Err
		}
		return r.Val.(statement.ServerStatus), nil
	case <-ctx.Done():
		return statement.ServerStatus{}, ctx.Err()
	}
}
