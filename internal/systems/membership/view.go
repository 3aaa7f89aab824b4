package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// view is the part of the heartbeat topology that concerns this VM.
type view struct {
	// neighbours are the VMs to which this one sends heartbeats, in ascending order.
	neighbours []tables.VMID
	// watched are the VMs that send heartbeats to this one, in ascending order.
	watched []tables.VMID
}

// ring holds the live VMs of a data centre in the order of their hashes.
type ring struct {
	dc  tables.DataCentreID
	vms []ringVM
}

type ringVM struct {
	id   tables.VMID
	hash uint64
}

// buildView computes the view from the live VMs.
func buildView(w *tables.World, opts Options) view {
	rings, total := buildRings(w)
	if total <= opts.FullMesh {
		others := liveOthers(w)
		return view{neighbours: others, watched: others}
	}
	var v view
	for d, r := range rings {
		for i, vm := range r.vms {
			to := receivers(rings, d, i, opts)
			if vm.id == w.Self {
				v.neighbours = to
			} else if slices.Contains(to, w.Self) {
				v.watched = append(v.watched, vm.id)
			}
		}
	}
	slices.Sort(v.neighbours)
	slices.Sort(v.watched)
	return v
}

func liveOthers(w *tables.World) []tables.VMID {
	var others []tables.VMID
	for id, row := range w.VMs.All() {
		if row.Live && id != w.Self {
			others = append(others, id)
		}
	}
	return others
}

// buildRings returns the rings in ascending order of data centre and the number of live VMs.
func buildRings(w *tables.World) (rings []ring, total int) {
	byDC := tables.NewTable[tables.DataCentreID, ring]()
	for id, row := range w.VMs.All() {
		if !row.Live {
			continue
		}
		total++
		r, _ := byDC.Get(row.DataCentre)
		r.dc = row.DataCentre
		r.vms = append(r.vms, ringVM{id: id, hash: xxhash.Sum64String(string(id))})
		byDC.Put(row.DataCentre, r)
	}
	for _, r := range byDC.All() {
		slices.SortFunc(r.vms, func(a, b ringVM) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
		})
		rings = append(rings, r)
	}
	return rings, total
}

// receivers returns the VMs to which the VM at index i of ring d sends
// heartbeats: its successors at the offsets, and VMs of other data centres chosen
// by its hash, so that the loss of other VMs changes few of these links.
func receivers(rings []ring, d, i int, opts Options) []tables.VMID {
	own := rings[d].vms
	to := make([]tables.VMID, 0, len(opts.Offsets)+opts.RemoteVMs)
	for _, offset := range opts.Offsets {
		if offset < len(own) {
			to = append(to, own[(i+offset)%len(own)].id)
		}
	}
	hash := own[i].hash
	others := len(rings) - 1
	for k := range min(opts.RemoteVMs, others) {
		step := (hash + uint64(k)) % uint64(others)
		remote := rings[(d+1+int(step))%len(rings)]
		to = append(to, remote.successor(hash))
	}
	return to
}

// successor returns the first VM of r at or after hash, wrapping around the ring.
func (r ring) successor(hash uint64) tables.VMID {
	i, _ := slices.BinarySearchFunc(r.vms, hash, func(vm ringVM, h uint64) int {
		return cmp.Compare(vm.hash, h)
	})
	return r.vms[i%len(r.vms)].id
}
