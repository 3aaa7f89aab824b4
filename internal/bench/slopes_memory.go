package bench

import (
	"context"
	"fmt"
	"runtime"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/systems/configure"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
)

// letterVMs is the number of entry VMs to design for.
const letterVMs = 2100

var (
	vmSizes     = []int{250, 500, 1000, 2100}
	remoteSizes = []int{300, 1000, 3000, 10800}
)

// memorySlopes measures the live memory of a daemon's tables.
func memorySlopes() ([]Slope, error) {
	var vms, groups, documents, remotes []SlopePoint
	for _, n := range vmSizes {
		vms = append(vms, SlopePoint{n, kilobytes(func() any { return worldOfVMs(n) })})
	}
	for _, n := range watchedSizes {
		groups = append(groups, SlopePoint{n, kilobytes(func() any { return worldOfGroups(n) })})
	}
	for _, n := range documentSizes {
		documents = append(documents, SlopePoint{n, kilobytes(func() any { return heldRevision(n) })})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, n := range remoteSizes {
		remotes = append(remotes, SlopePoint{n, kilobytes(func() any { return heldRemotes(ctx, n) })})
	}
	return []Slope{
		newSlope("memory of the VM table", "KB", "VMs", vms),
		newSlope("memory of the group tables", "KB", "watched groups", groups),
		newSlope("memory of the configuration", "KB", "declared groups", documents),
		newSlope("memory of pools without connections", "KB", "declared servers", remotes),
	}, nil
}

// kilobytes returns the live memory, stacks included, that the value of build takes.
func kilobytes(build func() any) float64 {
	before := liveBytes()
	value := build()
	after := liveBytes()
	runtime.KeepAlive(value)
	return (float64(after) - float64(before)) / 1024
}

func liveBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// worldOfVMs returns a world with n live VMs.
func worldOfVMs(n int) *tables.World {
	w := tables.NewWorld(selfVM, "dc-00", "10.0.0.1:7000")
	for i := range n {
		id := tables.VMID(fmt.Sprintf("vm-%04d", i))
		w.VMs.Put(id, tables.VM{
			ID: id, DataCentre: tables.DataCentreID(fmt.Sprintf("dc-%02d", i%26)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Live: true, Listed: true,
		})
	}
	return w
}

// worldOfGroups returns a world with n watched groups.
func worldOfGroups(n int) *tables.World {
	w := tables.NewWorld(selfVM, "dc-00", "10.0.0.1:7000")
	configure.Apply(w, 1, slopeDocument(n))
	return w
}

// heldRevision returns what a daemon keeps of a document with n groups.
func heldRevision(n int) any {
	rev, err := config.NewRevision(slopeDocument(n))
	if err != nil {
		return nil
	}
	return rev
}

// heldRemote is what a daemon keeps for each declared server.
type heldRemote struct {
	pool    *upstream.Pool
	gate    *gate.Limiter
	control *group.Client
}

func heldRemotes(ctx context.Context, n int) []heldRemote {
	now := func() tables.Time { return 1 }
	remotes := make([]heldRemote, n)
	for i := range remotes {
		remotes[i] = heldRemote{
			pool:    upstream.NewPool(upstream.Target{}, upstream.Limits{Connections: 1, Slots: 3}),
			gate:    gate.New(3, 100, now),
			control: group.NewClient("", "", "", ""),
		}
		go remotes[i].pool.Run(ctx)
	}
	return remotes
}
