package rowrelay

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
)

// storeAllowance returns the time that a response of the store may take beyond that
// of a store nearby; 0 with one region.
func (r *Relay) storeAllowance() time.Duration {
	if !r.regional {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeTimes.value()
}

// readerAllowance returns the time that a reader may take for shared rows. A reader
// whose copy is too old takes as long as the store.
func (r *Relay) readerAllowance() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.readerTimes.value(), r.storeTimes.value())
}

// recordStoreTime records how long a response of the store took to begin. Watches that
// wait measure nothing.
func (r *Relay) recordStoreTime(q request, took time.Duration) {
	if q.wait() > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeTimes.add(took)
}

// recordStoreLate records that a response of the store did not begin to arrive.
func (r *Relay) recordStoreLate(q request) {
	if q.wait() > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeTimes.late()
}

// recordReaderTime records how long a reader took for shared rows.
func (r *Relay) recordReaderTime(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readerTimes.add(took)
}

// allowStoreCall reports whether this proxy may call the store now. The first
// proxies of a region always may; the others have a budget, which falls while their
// calls fail.
func (r *Relay) allowStoreCall(q request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.IndexFunc(r.regionOrder, func(p Peer) bool { return p.VM == r.Self.VM }) < freeRank {
		return true
	}
	b, now := r.budgetFor(q), r.Now()
	if !b.available(now) {
		return false
	}
	b.use(now)
	return true
}

// budgetFor returns the budget for a call. The lock must be held.
func (r *Relay) budgetFor(q request) *budget {
	if r.UrgentTables[q.Table] {
		return &r.largeCalls
	}
	return &r.storeCalls
}

// checkLostStore calls a lost store, to record whether it responds again, unless it was
// called so within the interval.
func (r *Relay) checkLostStore(ctx context.Context, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if r.storeLostAt == 0 || now.Sub(r.storeCheckedAt) < interval {
		return
	}
	r.storeCheckedAt = now
	r.reads.DoChan("lost", func() (any, error) {
		rows, err := r.Store.ReadTable(context.WithoutCancel(ctx), r.SharedTable)
		r.recordStoreResult(rows, err)
		return nil, err
	})
}

// checkPeers checks the peers of this region whose backoff has ended, until ctx
// ends. A reader in backoff is used again only after it responded to a check.
func (r *Relay) checkPeers(ctx context.Context) {
	for sleep.For(ctx, checkInterval) == nil {
		// A proxy that is not the reader of its region makes no other calls that would
		// show that the store is back.
		r.checkLostStore(ctx, lostCheckInterval)
		r.checkConfig()
		r.mu.Lock()
		now := r.Now()
		var due []Peer
		for _, p := range r.peers {
			if r.failures[p.VM] > 0 && now >= r.avoidUntil[p.VM] && r.inOwnRegion(p) && len(due) < maxChecks {
				r.avoidUntil[p.VM] = now.Add(peerBackoff << r.failures[p.VM])
				due = append(due, p)
			}
		}
		r.mu.Unlock()
		for _, p := range due {
			go r.checkPeer(ctx, p)
		}
	}
}

// checkPeer ends the backoff from a peer that responds and reaches the store.
func (r *Relay) checkPeer(ctx context.Context, p Peer) {
	res, err := r.call(ctx, peerTimeout, request{Check: true}, p.Address)
	if err != nil || res.Failure != failureNone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures[p.VM] > 0 {
		r.log.Info("A peer responds again.", "peer", p.VM)
	}
	delete(r.failures, p.VM)
	delete(r.avoidUntil, p.VM)
}
