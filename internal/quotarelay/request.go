package quotarelay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/quota"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// request requests tokens of a team: from the allocator of this data centre and, if it
// does not respond or has few shares, from another one.
func (r *Relay) request(id tables.TeamID, t *team, waiting int) {
	r.mu.Lock()
	asks := []quota.Ask{r.node.Asks(id, waiting, r.Now())}
	r.mu.Unlock()
	t.counters.Asked.Add(float64(asks[0].Need + asks[0].Extra))
	address, remote := r.Allocator()
	switch {
	case !remote:
		r.requestElsewhere(t, asks, r.allocate(t, asks), admitTimeout)
		return
	case r.lost(address):
		r.requestElsewhere(t, asks, anywhere, admitTimeout)
		return
	}
	done := make(chan hint, 1)
	go func() { done <- r.requestFrom(t, address, asks) }()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	h := anywhere
	select {
	case h = <-done:
	case <-hedge.C:
	}
	r.requestElsewhere(t, asks, h, admitTimeout-hedgeDelay)
}

// hint says where tokens may be that an allocator did not grant.
type hint struct {
	// anywhere means that the allocator can't know.
	anywhere bool
	// dataCentre is a data centre that probably has some; empty if there is none.
	dataCentre tables.DataCentreID
}

var anywhere = hint{anywhere: true}

// hintOf returns the hint of an allocator's answer.
func hintOf(asks []quota.Ask, grants []quota.Grant, partial bool) hint {
	switch {
	case len(grants) < len(asks):
		return anywhere
	case grants[0].Tokens >= asks[0].Need:
		return hint{}
	case grants[0].Elsewhere != "":
		return hint{dataCentre: grants[0].Elsewhere}
	}
	return hint{anywhere: partial}
}

// allocate takes tokens from this proxy's own buckets.
func (r *Relay) allocate(t *team, asks []quota.Ask) hint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	grants, partial := r.node.Allocate(asks, now)
	r.node.Keep(asks, grants, now, now)
	countGrants(t, grants)
	return hintOf(asks, grants, partial)
}

// requestFrom requests tokens from the allocator of this data centre, and lends it this
// proxy's share.
func (r *Relay) requestFrom(t *team, address string, asks []quota.Ask) hint {
	resp, err := r.call(context.Background(), address, true, asks, admitTimeout)
	if err != nil {
		return anywhere
	}
	countGrants(t, resp.Grants)
	return hintOf(asks, resp.Grants, resp.Partial)
}

// requestElsewhere requests tokens from other allocators, as long as hints say so: the
// allocator of the data centre that a hint names, or else the former one of this data
// centre, or any other.
func (r *Relay) requestElsewhere(t *team, asks []quota.Ask, h hint, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	tried := make([]string, 0, maxElsewhere)
	for len(tried) < maxElsewhere {
		address := r.addressFor(h)
		if address == "" || slices.Contains(tried, address) {
			return
		}
		tried = append(tried, address)
		resp, err := r.call(ctx, address, false, asks, elsewhereTimeout)
		if err != nil {
			h = anywhere
			continue
		}
		countGrants(t, resp.Grants)
		h = hintOf(asks, resp.Grants, resp.Partial)
	}
}

const (
	// maxElsewhere bounds how many other allocators are queried for one operation.
	maxElsewhere = 3
	// elsewhereTimeout bounds the wait for one of them. A round trip between the data
	// centres of a region takes 1.8 ms.
	elsewhereTimeout = 15 * time.Millisecond
)

// addressFor returns the address of the allocator that a hint leads to; empty if there is
// none.
func (r *Relay) addressFor(h hint) (address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case h.dataCentre != "":
		return r.directory.Allocators[h.dataCentre]
	case !h.anywhere:
		return ""
	case r.former.respondedAt != 0 && r.former.lostAt == 0 && r.Now().Sub(r.former.respondedAt) < formerTime:
		return r.former.address
	}
	var usable []string
	for _, a := range r.directory.Allocators {
		if lostAt, ok := r.lostOthers[a]; !ok || r.Now().Sub(lostAt) >= lostTime {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// call sends a request and takes the response.
func (r *Relay) call(ctx context.Context, address string, lend bool, asks []quota.Ask, timeout time.Duration) (quota.Response, error) {
	r.mu.Lock()
	sentAt := r.Now()
	q := r.node.Request(address, lend, asks, sentAt)
	if lend {
		r.setAllocator(address)
		r.allocator.requestedAt = sentAt
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
	if !lend {
		r.recordOther(address, now, err)
	}
	return resp, err
}

// Unresponsive reports whether the proxy at an address is not to be the allocator,
// because it did not respond. A proxy that does not reach the store may still be: the
// proxies of a data centre that is cut off share its part of the limits.
func (r *Relay) Unresponsive(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Now() < r.unresponsiveUntil[address]
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
			if p == &r.allocator && sentAt >= p.lostAt {
				r.unresponsiveUntil[address] = now.Add(unresponsiveTime)
			}
			p.lostAt = now
		}
	}
}

// recordOther notes whether an allocator of another data centre responded. The lock must
// be held.
func (r *Relay) recordOther(address string, now tables.Time, err error) {
	if err == nil {
		delete(r.lostOthers, address)
		return
	}
	r.lostOthers[address] = now
}

// lost reports whether an allocator did not respond to the last request.
func (r *Relay) lost(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allocator.address == address && r.allocator.lostAt != 0 && r.Now().Sub(r.allocator.lostAt) < lostTime
}

// renewAt lends this proxy's share if no request did so recently. The first response
// brings the stamp that the share is lent with.
func (r *Relay) renewAt(ctx context.Context, address string) {
	for range 2 {
		r.mu.Lock()
		first := r.allocator.address != address || r.allocator.respondedAt == 0
		due := first || r.Now().Sub(r.allocator.requestedAt) >= renewInterval/2
		r.mu.Unlock()
		if !due {
			return
		}
		if _, err := r.call(ctx, address, true, nil, admitTimeout); err != nil || !first {
			return
		}
	}
}

func countGrants(t *team, grants []quota.Grant) {
	for _, g := range grants {
		t.counters.Granted.Add(float64(g.Tokens))
	}
}
