package quotarelay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/quota"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// request requests tokens of a team: from the allocator of this data centre and, if it
// does not respond or has few seats, from another one.
func (r *Relay) request(id tables.TeamID, t *team, waiting int) {
	r.mu.Lock()
	asks := []quota.Ask{r.node.Asks(id, waiting, r.Now())}
	r.mu.Unlock()
	t.counters.Asked.Add(float64(asks[0].Need + asks[0].Extra))
	address, remote := r.Allocator()
	if !remote {
		if r.allocate(t, asks) {
			r.requestElsewhere(t, asks, admitTimeout)
		}
		return
	}
	if r.lost(address) {
		r.requestElsewhere(t, asks, admitTimeout)
		return
	}
	done := make(chan bool, 1)
	go func() { done <- r.requestFrom(t, address, asks) }()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case elsewhere := <-done:
		if elsewhere {
			r.requestElsewhere(t, asks, admitTimeout-hedgeDelay)
		}
	case <-hedge.C:
		r.requestElsewhere(t, asks, admitTimeout-hedgeDelay)
	}
}

// allocate takes tokens from this proxy's own buckets. It returns true if another
// allocator may have the missing ones.
func (r *Relay) allocate(t *team, asks []quota.Ask) (elsewhere bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	grants, partial := r.node.Allocate(asks, now)
	r.node.Keep(asks, grants, now, now)
	countGrants(t, grants)
	return partial && missing(asks, grants)
}

// requestFrom requests tokens from the allocator of this data centre, and lends it this
// proxy's seat. It returns true if another allocator may have the missing tokens.
func (r *Relay) requestFrom(t *team, address string, asks []quota.Ask) (elsewhere bool) {
	resp, err := r.call(context.Background(), address, true, asks, admitTimeout)
	if err != nil {
		return true
	}
	countGrants(t, resp.Grants)
	return resp.Partial && missing(asks, resp.Grants)
}

// requestElsewhere requests tokens from the former allocator of this data centre, or
// from that of another data centre.
func (r *Relay) requestElsewhere(t *team, asks []quota.Ask, timeout time.Duration) {
	address, ok := r.alternative()
	if !ok {
		return
	}
	resp, err := r.call(context.Background(), address, false, asks, timeout)
	if err == nil {
		countGrants(t, resp.Grants)
	}
}

// alternative returns the address of an allocator to ask instead of the present one.
func (r *Relay) alternative() (address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.former.respondedAt != 0 && r.former.lostAt == 0 && r.Now().Sub(r.former.respondedAt) < formerTime {
		return r.former.address, true
	}
	skip := 0
	if n := len(r.directory.Allocators); n > 1 {
		skip = rand.IntN(n)
	}
	for _, a := range r.directory.Allocators {
		if address = a; skip == 0 {
			break
		}
		skip--
	}
	return address, address != ""
}

// call sends a request and takes the response.
func (r *Relay) call(ctx context.Context, address string, lend bool, asks []quota.Ask, timeout time.Duration) (quota.Response, error) {
	r.mu.Lock()
	sentAt := r.Now()
	q := r.node.Request(address, lend, asks, sentAt)
	if lend {
		r.setAllocator(address)
		r.allocator.askedAt = sentAt
	}
	r.mu.Unlock()
	resp, err := r.exchange.Call(ctx, timeout, q, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if err == nil {
		r.node.Receive(address, sentAt, asks, resp, now)
	}
	r.recordResult(address, sentAt, now, err)
	return resp, err
}

// setAllocator notes the present allocator. The lock must be held.
func (r *Relay) setAllocator(address string) {
	if r.allocator.address == address {
		return
	}
	if r.allocator.address != "" {
		r.log.Info("The allocator of this data centre changed.", "allocator", address, "before", r.allocator.address)
	}
	r.former, r.allocator = r.allocator, peerState{address: address}
}

// recordResult notes whether an allocator responded to a request. The lock must be held.
func (r *Relay) recordResult(address string, sentAt, now tables.Time, err error) {
	for _, p := range []*peerState{&r.allocator, &r.former} {
		if p.address != address {
			continue
		}
		switch {
		case err == nil:
			if p.lostAt != 0 {
				r.log.Info("The allocator responds again.", "allocator", address)
			}
			p.respondedAt, p.lostAt = now, 0
		case p.lostAt == 0 && sentAt >= p.respondedAt:
			r.log.Warn("The allocator does not respond.", "allocator", address, "error", err)
			p.lostAt = now
		case p.lostAt != 0:
			p.lostAt = now
		}
	}
}

// lost reports whether an allocator did not respond to the last request.
func (r *Relay) lost(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allocator.address == address && r.allocator.lostAt != 0 && r.Now().Sub(r.allocator.lostAt) < lostTime
}

// renewAt lends this proxy's seat if no request did so recently. The first response
// brings the stamp that the seat is lent with.
func (r *Relay) renewAt(ctx context.Context, address string) {
	for range 2 {
		r.mu.Lock()
		first := r.allocator.address != address || r.allocator.respondedAt == 0
		due := first || r.Now().Sub(r.allocator.askedAt) >= renewInterval/2
		r.mu.Unlock()
		if !due {
			return
		}
		if _, err := r.call(ctx, address, true, nil, admitTimeout); err != nil || !first {
			return
		}
	}
}

// missing reports whether fewer tokens were granted than operations wait.
func missing(asks []quota.Ask, grants []quota.Grant) bool {
	return len(grants) < len(asks) || grants[0].Tokens < asks[0].Need
}

func countGrants(t *team, grants []quota.Grant) {
	for _, g := range grants {
		t.counters.Granted.Add(float64(g.Tokens))
	}
}
