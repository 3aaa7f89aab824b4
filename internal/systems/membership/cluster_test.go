package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func newCluster(seed uint64, vms, dcs int) *systemstest.Cluster {
	return systemstest.NewCluster(seed, vms, dcs, func(rng *rand.Rand) []systemstest.System {
		return []systemstest.System{membership.New(membership.DefaultOptions(), rng)}
	})
}

// liveCount counts the live VMs in a world.
func liveCount(w *tables.World) int {
	n := 0
	for _, row := range w.VMs.All() {
		if row.Live {
			n++
		}
	}
	return n
}

func allSee(c *systemstest.Cluster, live int) func() bool {
	return func() bool {
		return c.All(func(vm *systemstest.VM) bool { return liveCount(vm.World) == live })
	}
}

func TestClusterFindsDeadAndReturned(t *testing.T) {
	for seed := range uint64(3) {
		c := newCluster(seed, 60, 6)
		c.Loss = 0.01
		c.Run(10 * time.Second)
		assert.Assert(t, allSee(c, 60)())
		for _, vm := range c.VMs[:3] {
			c.Stop(vm)
		}
		took := c.RunUntil(time.Minute, allSee(c, 57))
		assert.Assert(t, took <= 10*time.Second, "seed %d: death known after %v", seed, took)
		for _, vm := range c.VMs[:3] {
			c.Start(vm)
		}
		took = c.RunUntil(time.Minute, allSee(c, 60))
		assert.Assert(t, took <= 5*time.Second, "seed %d: return known after %v", seed, took)
	}
}

func TestClusterStaysWholeUnderLoss(t *testing.T) {
	c := newCluster(7, 60, 6)
	c.Loss = 0.01
	c.Run(10 * time.Second)
	lost := 0
	for range 600 {
		c.Run(time.Second)
		if !allSee(c, 60)() {
			lost++
		}
	}
	assert.Equal(t, lost, 0)
}

func TestClusterHealsAfterPartition(t *testing.T) {
	for _, dcs := range []int{6, 12} {
		for seed := range uint64(3) {
			c := newCluster(seed, 60, dcs)
			c.Run(10 * time.Second)
			c.Partitioned = func(a, b tables.DataCentreID) bool { return (a < "dc-04") != (b < "dc-04") }
			c.Run(time.Minute)
			c.Partitioned = nil
			took := c.RunUntil(5*time.Minute, allSee(c, 60))
			assert.Assert(t, took <= 20*time.Second, "%d data centres, seed %d: whole again after %v", dcs, seed, took)
		}
	}
}

func TestLeavingIsKnownEverywhere(t *testing.T) {
	c := newCluster(6, 60, 6)
	c.Run(10 * time.Second)
	c.List[8].Leaving = true
	id := c.VMs[8].World.Self
	took := c.RunUntil(time.Minute, func() bool {
		return c.All(func(vm *systemstest.VM) bool {
			row, _ := vm.World.VMs.Get(id)
			return row.Leaving
		})
	})
	assert.Assert(t, took <= 5*time.Second, "known after %v", took)
}

// sizes are numbers of VMs up to the designed size.
var sizes = []int{5, 60, 250, 1000, 2100}

// dataCentres returns how many data centres vms VMs have.
func dataCentres(vms int) int { return max(1, min(26, vms/5)) }

// BenchmarkTick runs at the interval of the process shell; one tick in ten
// sends heartbeats.
func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			c := newCluster(1, n, dataCentres(n))
			c.Run(5 * time.Second)
			w := c.VMs[0].World
			opts := membership.DefaultOptions()
			opts.SilenceTimeout = 365 * 24 * time.Hour
			s := membership.New(opts, rand.New(rand.NewPCG(1, 1)))
			now := tables.Time(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(systemstest.TickInterval)
				s.Tick(now, w)
			}
		})
	}
}

// BenchmarkChange is a tick after a VM restarted, which derives the
// neighbourhood again.
func BenchmarkChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			c := newCluster(1, n, dataCentres(n))
			c.Run(5 * time.Second)
			w := c.VMs[0].World
			s := membership.New(membership.DefaultOptions(), rand.New(rand.NewPCG(1, 1)))
			now := tables.Time(0)
			for b.Loop() {
				now = now.Add(2 * time.Second)
				w.VMs.Delete(c.VMs[1].World.Self)
				h := peer.Heartbeat{From: c.VMs[1].World.Self, DataCentre: c.VMs[1].World.DataCentre, PeerAddress: "10.0.0.1:1"}
				s.Handle(now, w, event.PeerMessage{Message: h})
				s.Tick(now, w)
			}
		})
	}
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			c := newCluster(1, n, dataCentres(n))
			c.Run(time.Second)
			for b.Loop() {
				membership.Candidates(c.VMs[0].World, "stock-1")
			}
		})
	}
}

// BenchmarkBytes reports the bytes that a VM sends in a second at rest
// and how long a death takes to be
// known everywhere.
func BenchmarkBytes(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(1, n, dataCentres(n))
				c.Run(10 * time.Second)
				b.ReportMetric(bytesPerSecond(c, 10*time.Second), "bytes/s")
				c.Stop(c.VMs[1])
				took := c.RunUntil(time.Minute, allSee(c, n-1))
				b.ReportMetric(took.Seconds(), "s-to-know-death")
			}
		})
	}
}

// bytesPerSecond lets d pass and returns the mean over all VMs.
func bytesPerSecond(c *systemstest.Cluster, d time.Duration) float64 {
	for _, vm := range c.VMs {
		vm.BytesSent = 0
	}
	c.Run(d)
	total := 0
	for _, vm := range c.VMs {
		total += vm.BytesSent
	}
	return float64(total) / d.Seconds() / float64(len(c.VMs))
}

// BenchmarkDataCentreLoss reports how long the loss of a data centre takes to
// be known everywhere and what the busiest VM sends meanwhile.
func BenchmarkDataCentreLoss(b *testing.B) {
	for _, n := range sizes[1:] {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(1, n, dataCentres(n))
				c.Run(10 * time.Second)
				left := n
				for _, vm := range c.VMs {
					vm.BytesSent = 0
					if vm.World.DataCentre == "dc-01" {
						c.Stop(vm)
						left--
					}
				}
				took := c.RunUntil(2*time.Minute, allSee(c, left))
				b.ReportMetric(took.Seconds(), "s-to-know")
				b.ReportMetric(float64(maxBytes(c))/took.Seconds(), "busiest-bytes/s")
			}
		})
	}
}

// BenchmarkPartition cuts off a third of the data centres for a minute and
// reports how long the views take to be whole after it.
func BenchmarkPartition(b *testing.B) {
	for _, n := range sizes[1:] {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(1, n, dataCentres(n))
				c.Run(10 * time.Second)
				border := tables.DataCentreID(fmt.Sprintf("dc-%02d", dataCentres(n)/3))
				c.Partitioned = func(a, b tables.DataCentreID) bool { return (a < border) != (b < border) }
				c.Run(time.Minute)
				c.Partitioned = nil
				for _, vm := range c.VMs {
					vm.BytesSent = 0
				}
				took := c.RunUntil(5*time.Minute, allSee(c, n))
				b.ReportMetric(took.Seconds(), "s-to-heal")
				b.ReportMetric(float64(maxBytes(c))/took.Seconds(), "busiest-bytes/s")
			}
		})
	}
}

// maxBytes returns the most bytes that one VM sent.
func maxBytes(c *systemstest.Cluster) int {
	most := 0
	for _, vm := range c.VMs {
		most = max(most, vm.BytesSent)
	}
	return most
}
