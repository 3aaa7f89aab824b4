package configure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/systems/configure"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// spreadLimit is the maximum time until a configuration is in force on all VMs.
const spreadLimit = 6 * time.Second

func newCluster(seed uint64, vms, dcs int) *systemstest.Cluster {
	return systemstest.NewCluster(seed, vms, dcs, func(rng *rand.Rand) []systemstest.System {
		return []systemstest.System{
			membership.New(membership.DefaultOptions(), rng),
			configure.New(configure.ApplyAll, rng),
		}
	})
}

// confirm stores the next version in the platform's head.
func confirm(c *systemstest.Cluster) {
	c.Head = config.Head{Version: c.Head.Version + 1, Hash: fmt.Sprint(c.Head.Version + 1)}
	c.Document = config.Document{Groups: []config.Group{{
		ID:        tables.GroupID("group-" + c.Head.Hash),
		Upstreams: []config.Upstream{{ID: "u", Address: "10.1.0.1:5432", Slots: 3, Connections: 20}},
	}}}
}

func inForce(c *systemstest.Cluster) func() bool {
	version := c.Head.Version
	return func() bool {
		return c.All(func(vm *systemstest.VM) bool { return vm.World.ConfigVersion >= version })
	}
}

func checkNoRevert(t *testing.T, c *systemstest.Cluster) {
	t.Helper()
	for _, vm := range c.VMs {
		for i := 1; i < len(vm.Versions); i++ {
			assert.Assert(t, vm.Versions[i] > vm.Versions[i-1], "%s: %v", vm.World.Self, vm.Versions)
		}
	}
}

func TestConfigurationReachesAllVMsInTime(t *testing.T) {
	noneDown := func(tables.DataCentreID) bool { return false }
	cases := []struct {
		name string
		loss float64
		down func(tables.DataCentreID) bool
	}{
		{"no faults", 0, noneDown},
		{"1% loss", 0.01, noneDown},
		{"five of six data centres cut from the platform", 0.01, func(dc tables.DataCentreID) bool { return dc != "dc-03" }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(3) {
				c := newCluster(seed, 60, 6)
				c.Loss = tc.loss
				c.Run(5 * time.Second)
				c.PlatformDown = tc.down
				for range 5 {
					confirm(c)
					took := c.RunUntil(time.Minute, inForce(c))
					assert.Assert(t, took <= spreadLimit, "seed %d: in force after %v", seed, took)
				}
				checkNoRevert(t, c)
			}
		})
	}
}

func TestConfigurationSpreadsWhenPlatformFailsAfterFirstRead(t *testing.T) {
	c := newCluster(11, 60, 6)
	c.Run(5 * time.Second)
	confirm(c)
	c.RunUntil(time.Minute, func() bool {
		return !c.All(func(vm *systemstest.VM) bool { return vm.World.ConfigVersion == 0 })
	})
	c.PlatformDown = func(tables.DataCentreID) bool { return true }
	took := c.RunUntil(time.Minute, inForce(c))
	assert.Assert(t, took <= spreadLimit, "in force after %v", took)
	checkNoRevert(t, c)
}

func TestPartitionedSidesConvergeOnNewestVersion(t *testing.T) {
	c := newCluster(12, 60, 6)
	confirm(c)
	c.Run(10 * time.Second)
	east := func(dc tables.DataCentreID) bool { return dc < "dc-02" }
	c.Partitioned = func(a, b tables.DataCentreID) bool { return east(a) != east(b) }
	c.PlatformDown = east
	confirm(c)
	c.Run(30 * time.Second)
	assert.Equal(t, c.VMs[0].World.ConfigVersion, uint64(1))
	assert.Equal(t, c.VMs[2].World.ConfigVersion, uint64(2))
	c.Partitioned = nil
	took := c.RunUntil(time.Minute, inForce(c))
	assert.Assert(t, took <= spreadLimit, "in force after %v", took)
	checkNoRevert(t, c)
}

func TestRestartDuringOutageGetsNewestFromPeers(t *testing.T) {
	seed := tables.VM{ID: "vm-0001", DataCentre: "dc-01", PeerAddress: "10.0.0.1:7000"}
	opts := membership.DefaultOptions()
	opts.Seeds = []tables.VM{seed}
	c := systemstest.NewCluster(13, 60, 6, func(rng *rand.Rand) []systemstest.System {
		return []systemstest.System{membership.New(opts, rng), configure.New(configure.ApplyAll, rng)}
	})
	confirm(c)
	c.Run(10 * time.Second)
	c.PlatformDown = func(tables.DataCentreID) bool { return true }
	c.Stop(c.VMs[20])
	c.Run(20 * time.Second)
	c.Start(c.VMs[20])
	took := c.RunUntil(time.Minute, inForce(c))
	assert.Assert(t, took <= spreadLimit, "in force after %v", took)
}

// BenchmarkSpread reports the time until a version is in force on all VMs and the
// number of configurations that peers sent, per VM.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{5, 60, 250, 1000, 2100} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(1, n, max(1, min(26, n/5)))
				confirm(c)
				c.Run(5 * time.Second)
				confirm(c)
				before := documents(c)
				took := c.RunUntil(time.Minute, inForce(c))
				b.ReportMetric(took.Seconds(), "s-to-force")
				b.ReportMetric(float64(documents(c)-before)/float64(n), "documents/vm")
			}
		})
	}
}

func documents(c *systemstest.Cluster) int {
	total := 0
	for _, vm := range c.VMs {
		total += vm.ConfigsSent
	}
	return total
}

// BenchmarkChangeBytes reports the bytes that one VM sends and loads for a change
// of one group, the resulting rate at changesPerDay, and the longest time until a
// change was in force on all VMs.
func BenchmarkChangeBytes(b *testing.B) {
	const changesPerDay = 6200
	for _, size := range []struct{ vms, groups int }{{30, 36}, {30, 360}, {30, 3600}, {480, 36}} {
		b.Run(fmt.Sprintf("vms=%d/groups=%d", size.vms, size.groups), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(1, size.vms, size.vms/5)
				c.Document = documentOf(size.groups)
				c.Head = config.Head{Version: 1, Hash: "1"}
				c.Run(10 * time.Second)
				before := configBytes(c)
				const changes = 5
				longest := time.Duration(0)
				for range changes {
					declareLeaving(b, c)
					longest = max(longest, c.RunUntil(time.Minute, inForce(c)))
				}
				b.ReportMetric(longest.Seconds(), "s-to-force")
				each := float64(configBytes(c)-before) / float64(len(c.VMs)) / changes
				b.ReportMetric(each, "bytes/vm/change")
				b.ReportMetric(each*changesPerDay/(24*time.Hour).Seconds(), "bytes/vm/s")
			}
		})
	}
}

func documentOf(groups int) config.Document {
	var doc config.Document
	for g := range groups {
		id := fmt.Sprintf("group-%04d", g)
		group := config.Group{ID: tables.GroupID(id), FirstPrimary: tables.UpstreamID(id + "-0")}
		for u := range 3 {
			group.Upstreams = append(group.Upstreams, config.Upstream{
				ID:         tables.UpstreamID(fmt.Sprintf("%s-%d", id, u)),
				DataCentre: tables.DataCentreID(fmt.Sprintf("dc-%02d", u)),
				Address:    fmt.Sprintf("10.%d.%d.%d:5432", u, g/250, g%250),
				Slots:      3, Connections: 20,
			})
		}
		doc.Groups = append(doc.Groups, group)
	}
	return doc
}

// declareLeaving stores the next version in the head, in which another server is
// leaving.
func declareLeaving(b *testing.B, c *systemstest.Cluster) {
	old, err := config.NewRevision(c.Document)
	assert.NilError(b, err)
	doc := documentOf(len(c.Document.Groups))
	doc.Groups[c.Head.Version].Upstreams[2].Leaving = true
	rev, err := config.NewRevision(doc)
	assert.NilError(b, err)
	c.Document, c.Delta = doc, config.Diff(old, rev)
	body, err := c.Delta.Encode()
	assert.NilError(b, err)
	c.DocumentSize, c.DeltaSize = len(rev.Body), len(body)
	c.Head = config.Head{Version: c.Head.Version + 1, Hash: rev.Hash, BaseHash: old.Hash}
}

func configBytes(c *systemstest.Cluster) int {
	total := 0
	for _, vm := range c.VMs {
		total += vm.ConfigBytes
	}
	return total
}
