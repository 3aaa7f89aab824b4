package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// candidateLimit is the maximum number of candidates of a group.
	candidateLimit = 5
	// pollersPerDataCentre is how many VMs of a data centre read the platform on its behalf.
	pollersPerDataCentre = 2
	// controlConnections is how many connections to an upstream each VM may need
	// for control: a persistent one and an additional new one.
	controlConnections = 2
	// joinDelay is how long a new process opens only one connection to each
	// upstream, until the other VMs include it in their shares.
	joinDelay = 5 * time.Second
)

// pollerKey is hashed with VM names to choose the pollers.
const pollerKey = "poller"

// scored is a VM with its rendezvous score.
type scored struct {
	id    tables.VMID
	dc    tables.DataCentreID
	score uint64
}

// Candidates returns the VMs that may coordinate a failover of group, best
// first. They are live VMs that are not leaving, in the order of rendezvous
// hashing, interleaved so that each data centre has one candidate before any has
// a second.
func Candidates(w *tables.World, group tables.GroupID) []tables.VMID {
	best := make(map[tables.DataCentreID][]scored)
	for id, row := range w.VMs.All() {
		if row.Live && !row.Leaving {
			vm := scored{id: id, dc: row.DataCentre, score: score(string(group), id)}
			best[row.DataCentre] = insert(best[row.DataCentre], vm)
		}
	}
	var all []scored
	for _, vms := range best {
		all = append(all, vms...)
	}
	slices.SortFunc(all, byScore)
	return interleave(all, candidateLimit)
}

// insert adds vm to best, which is sorted and limited to candidateLimit VMs.
func insert(best []scored, vm scored) []scored {
	if len(best) == candidateLimit && byScore(best[candidateLimit-1], vm) < 0 {
		return best
	}
	i, _ := slices.BinarySearchFunc(best, vm, byScore)
	best = slices.Insert(best, i, vm)
	return best[:min(len(best), candidateLimit)]
}

// Rank returns vm's index among the candidates of group, or -1.
func Rank(w *tables.World, group tables.GroupID, vm tables.VMID) int {
	return slices.Index(Candidates(w, group), vm)
}

// IsPoller reports whether this VM reads the platform on behalf of its data centre.
func IsPoller(w *tables.World) bool {
	own := score(pollerKey, w.Self)
	better := 0
	for id, row := range w.VMs.All() {
		if id == w.Self || !row.Live || row.Leaving || row.DataCentre != w.DataCentre {
			continue
		}
		if score(pollerKey, id) > own {
			better++
		}
	}
	return better < pollersPerDataCentre
}

// ConnectionShare returns how many connections to upstream this VM may open, at
// least 1. A VM has a share until it is both off the platform's list and not live,
// so that the sum of the shares stays within the limit while the views of the VMs
// differ.
func ConnectionShare(w *tables.World, upstream tables.UpstreamID, now tables.Time) int {
	row, ok := w.Upstreams.Get(upstream)
	if !ok || now < tables.Time(joinDelay) {
		return 1
	}
	holders := 0
	for _, vm := range w.VMs.All() {
		if vm.Live || vm.Listed {
			holders++
		}
	}
	return max(1, row.Connections/max(1, holders)-controlConnections)
}

func score(key string, vm tables.VMID) uint64 {
	var buf [64]byte
	joined := append(buf[:0], key...)
	joined = append(joined, '/')
	joined = append(joined, vm...)
	return xxhash.Sum64(joined)
}

// byScore compares by descending score, then by id.
func byScore(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
}

// interleave takes the best VM of each data centre, then the second best of each,
// and so on, up to limit VMs.
func interleave(sorted []scored, limit int) []tables.VMID {
	var taken []tables.VMID
	for len(sorted) > 0 && len(taken) < limit {
		var rest []scored
		used := make(map[tables.DataCentreID]bool)
		for _, vm := range sorted {
			if used[vm.dc] || len(taken) == limit {
				rest = append(rest, vm)
				continue
			}
			used[vm.dc] = true
			taken = append(taken, vm.id)
		}
		sorted = rest
	}
	return taken
}
