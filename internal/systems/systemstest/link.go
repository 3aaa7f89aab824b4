package systemstest

import "time"

// link is the inbound link of a VM. Transfers at the same time share its bandwidth
// equally.
type link struct {
	transfers []*transfer
	// updated is when the remaining bytes were last computed.
	updated time.Duration
	// changes counts the changes of transfers; checks scheduled before a change are
	// obsolete.
	changes int
	// bytes counts the bytes of all transfers.
	bytes int
}

type transfer struct {
	remaining float64
	done      func()
}

// receive runs done on vm after size bytes have arrived over its link.
func (c *Cluster) receive(vm *VM, delay time.Duration, size int, done func()) {
	if vm.Bandwidth == 0 {
		c.after(delay, vm, done)
		return
	}
	c.after(delay, vm, func() {
		c.advanceLink(vm)
		vm.link.bytes += size
		vm.link.transfers = append(vm.link.transfers, &transfer{remaining: float64(size), done: done})
		c.scheduleLink(vm)
	})
}

// BytesReceived returns how many bytes a VM with a limited bandwidth has received or
// is receiving.
func (vm *VM) BytesReceived() int { return vm.link.bytes }

// advanceLink computes what has arrived since the last update.
func (c *Cluster) advanceLink(vm *VM) {
	l := &vm.link
	if n := len(l.transfers); n > 0 {
		share := (c.Now - l.updated).Seconds() * float64(vm.Bandwidth) / float64(n)
		for _, t := range l.transfers {
			t.remaining -= share
		}
	}
	l.updated = c.Now
}

// scheduleLink schedules the next completion of a transfer.
func (c *Cluster) scheduleLink(vm *VM) {
	l := &vm.link
	l.changes++
	if len(l.transfers) == 0 {
		return
	}
	least := l.transfers[0].remaining
	for _, t := range l.transfers {
		least = min(least, t.remaining)
	}
	seconds := max(least, 0) * float64(len(l.transfers)) / float64(vm.Bandwidth)
	changes := l.changes
	c.after(time.Duration(seconds*float64(time.Second))+time.Microsecond, vm, func() {
		if l.changes == changes {
			c.completeTransfers(vm)
		}
	})
}

// completeTransfers ends the transfers that have arrived.
func (c *Cluster) completeTransfers(vm *VM) {
	c.advanceLink(vm)
	var arrived []*transfer
	rest := vm.link.transfers[:0:0]
	for _, t := range vm.link.transfers {
		if t.remaining <= 0 {
			arrived = append(arrived, t)
		} else {
			rest = append(rest, t)
		}
	}
	vm.link.transfers = rest
	c.scheduleLink(vm)
	for _, t := range arrived {
		t.done()
	}
}
