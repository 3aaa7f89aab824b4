package quota

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// lease is how long a lent share is valid after the allocator's stamp. A new allocator
	// gets the shares of its predecessor after this time. It is not below transferLife:
	// a share then changes hands at most once while transferred tokens are in use.
	lease = transferLife
	// leaseMargin covers the difference of the speeds of two clocks.
	leaseMargin = 20 * time.Millisecond
)

// share is a fraction of the limits that a proxy has lent.
type share struct {
	fraction     float64
	since, until tables.Time
}

// allocator holds the buckets that are filled from a proxy's own share and from those
// lent to it.
type allocator struct {
	// own is this proxy's share, without end; its fraction is 0 while it is lent.
	own     share
	shares  map[tables.VMID]share
	part    part
	buckets map[tables.TeamID]*bucket
	// nextChange is when a lease ends or a share gets its full part of the pool; 0 if
	// no such time is known.
	nextChange tables.Time
}

// settle applies the changes of shares up to now.
func (a *allocator) settle(now tables.Time) {
	for a.nextChange != 0 && a.nextChange <= now {
		at := a.nextChange
		a.fillAll(at)
		for vm, s := range a.shares {
			if s.until <= at {
				delete(a.shares, vm)
			}
		}
		a.sum(at)
	}
}

// fillAll mints for all teams up to now.
func (a *allocator) fillAll(now tables.Time) {
	for _, b := range a.buckets {
		b.fill(a.part, now)
	}
}

// sum adds up the shares and cuts the buckets to them.
func (a *allocator) sum(now tables.Time) {
	a.part, a.nextChange = part{}, 0
	a.count(a.own, now)
	for _, s := range a.shares {
		a.count(s, now)
		a.changeAt(s.until)
	}
	a.fillAll(now)
}

// count adds a share.
func (a *allocator) count(s share, now tables.Time) {
	a.part.rate += s.fraction
	full := s.since.Add(transferLife)
	if now >= full {
		a.part.pool += s.fraction
		return
	}
	a.part.pool += s.fraction * (1 - maxSentShare)
	a.changeAt(full)
}

func (a *allocator) changeAt(t tables.Time) {
	if a.nextChange == 0 || t < a.nextChange {
		a.nextChange = t
	}
}

// setOwn changes this proxy's own share.
func (a *allocator) setOwn(fraction float64, now tables.Time) {
	a.settle(now)
	if fraction == a.own.fraction {
		return
	}
	a.fillAll(now)
	if a.own.fraction == 0 {
		a.own.since = now
	}
	a.own.fraction = fraction
	a.sum(now)
}

// borrow adds or renews the share of a proxy.
func (a *allocator) borrow(vm tables.VMID, fraction float64, until, now tables.Time) {
	a.settle(now)
	old, ok := a.shares[vm]
	if until <= now || ok && until <= old.until {
		return
	}
	if ok && old.fraction == fraction {
		old.until = until // nextChange is early at worst
		a.shares[vm] = old
		return
	}
	if !ok {
		old.since = now
	}
	a.fillAll(now)
	a.shares[vm] = share{fraction: fraction, since: old.since, until: until}
	a.sum(now)
}

// configure replaces the limits. Buckets of new teams are empty.
func (a *allocator) configure(plans map[tables.TeamID]plan, now tables.Time) {
	a.settle(now)
	a.fillAll(now)
	old := a.buckets
	a.buckets = make(map[tables.TeamID]*bucket, len(plans))
	for id, p := range plans {
		b := old[id]
		if b == nil {
			b = &bucket{at: now}
		}
		b.plan = p
		a.buckets[id] = b
	}
	a.fillAll(now)
}
