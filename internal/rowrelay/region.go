package rowrelay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// With several regions, reads pass a chain: a proxy requests rows from the
// designated reader of its data centre, that one from the reader of the region, and
// that one from the store. Every link of the chain joins requests for the same rows,
// so rows cross the link between the regions once per region. A reader whose rows
// are late says so before its requester's timeout: a slow store is not taken for a
// stopped reader, and does not make further proxies call the store.
const (
	// readersTried is how many readers of one level are tried for a request.
	readersTried = freeRank
	// freeRank is the number of proxies of a region that may call the store without a
	// budget: the first ones, of which one takes over from the other.
	freeRank = 3
	// storeCallInterval and storeCallBurst are the budget of calls of any other proxy.
	// They suffice for one that is the reader because many before it have stopped: 4
	// reads of shared rows and 3 watches per second.
	storeCallInterval = 100 * time.Millisecond
	storeCallBurst    = 5
	// largeCallInterval and largeCallBurst are the same for calls that may return a
	// large row. 44 copies of 278 kB, one per proxy of a region, take 1.6 s of a link
	// of 60 Mbit/s between two regions.
	largeCallInterval = time.Second
	largeCallBurst    = 3
	// readerWatchTimeout is how long a reader holds a watch of any table. It decides
	// how soon a stopped reader is noticed.
	readerWatchTimeout = urgentWatchTimeout
	// sharedTimeout bounds the wait for shared rows of a reader. Longer waits are of no
	// use: fleet gives a read of the records up after 500 ms.
	sharedTimeout = 430 * time.Millisecond
	// lateMargin is the time between a reader's reply that its rows are late and the
	// requester's timeout.
	lateMargin = 30 * time.Millisecond
	// minRefreshAge is the least age of shared rows at which a region's reader reads
	// them again before they are too old.
	minRefreshAge = 150 * time.Millisecond
	// maxRegionalRequests bounds the peers' requests served at the same time. Each
	// proxy of a data centre holds three watches at its reader.
	maxRegionalRequests = 512
	// directoryWait bounds how long the first reads wait for the directory, without
	// which every proxy takes itself for the reader.
	directoryWait = 500 * time.Millisecond
	// checkInterval is how often peers whose backoff has ended are checked, and
	// maxChecks how many at a time.
	checkInterval = 500 * time.Millisecond
	maxChecks     = 8
	// lostCheckInterval is how often a lost store is checked.
	lostCheckInterval = 2 * time.Second
	// maxDirectoryAge is the greatest age of a directory that is handed on.
	maxDirectoryAge = 5 * time.Second
	// maxRegionalDoublings bounds the doublings of the backoff: a check costs no
	// statement a wait, so it can be frequent.
	maxRegionalDoublings = 2
)

// hasRegions reports whether the settings name more than one region.
func hasRegions(regions map[tables.DataCentreID]string) bool {
	first := ""
	for _, region := range regions {
		if first != "" && region != first {
			return true
		}
		first = region
	}
	return false
}

// SeveralRegions reports whether the deployment has several regions.
func (r *Relay) SeveralRegions() bool { return r.regional }

// regionOf returns the region of a data centre. One that the settings do not name is
// a region of its own.
func (r *Relay) regionOf(dc tables.DataCentreID) string {
	return cmp.Or(r.Regions[dc], "data centre "+string(dc))
}

func (r *Relay) inOwnRegion(p Peer) bool {
	return r.regionOf(p.DataCentre) == r.regionOf(r.Self.DataCentre)
}

// level is one of the two levels of readers.
type level uint8

const (
	// levelDataCentre are the proxies of this data centre by name.
	levelDataCentre level = iota
	// levelRegion are the proxies of this region: the first ones by name of all its
	// data centres, then the second ones, and so on. So the first two do not stop
	// together with a data centre.
	levelRegion
)

// orderRegion returns the proxies of this region, including this one, in the order in
// which they become its reader.
func (r *Relay) orderRegion(peers []Peer) []Peer {
	byDataCentre := make(map[tables.DataCentreID][]Peer)
	for _, p := range peers {
		if r.inOwnRegion(p) && p.VM != r.Self.VM {
			byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p)
		}
	}
	byDataCentre[r.Self.DataCentre] = append(byDataCentre[r.Self.DataCentre], r.Self)
	type place struct {
		index int
		peer  Peer
	}
	var places []place
	for _, list := range byDataCentre {
		slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
		for i, p := range list {
			places = append(places, place{i, p})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.peer.VM, b.peer.VM))
	})
	order := make([]Peer, len(places))
	for i, p := range places {
		order[i] = p.peer
	}
	return order
}

// nextReader returns the first reader of a level that is neither in backoff nor tried;
// ok is false if it is this proxy.
func (r *Relay) nextReader(l level, tried ...tables.VMID) (p Peer, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l == levelDataCentre {
		return r.firstByName(func(p Peer) bool { return r.inOwnDataCentre(p) && !slices.Contains(tried, p.VM) })
	}
	for _, p := range r.regionOrder {
		if p.VM == r.Self.VM {
			break
		}
		if r.failures[p.VM] == 0 && !slices.Contains(tried, p.VM) {
			return p, true
		}
	}
	return r.Self, false
}

// pickRegionalPeers returns up to n peers: the first reader of this region besides this
// proxy, so that only few proxies of a region fetch large rows, and random ones of other
// regions. The lock must be held.
func (r *Relay) pickRegionalPeers(n int) []Peer {
	now := r.Now()
	var out []Peer
	for _, p := range r.regionOrder {
		if p.VM != r.Self.VM && now >= r.avoidUntil[p.VM] {
			out = append(out, p)
			break
		}
	}
	for _, p := range r.shuffledPeers() {
		if !r.inOwnRegion(p) && now >= r.avoidUntil[p.VM] && len(out) < n {
			out = append(out, p)
		}
	}
	return out[:min(n, len(out))]
}

func (r *Relay) inOwnDataCentre(p Peer) bool { return p.DataCentre == r.Self.DataCentre }

// isRegionReader reports whether this proxy reads the store for its region.
func (r *Relay) isRegionReader() bool {
	_, other := r.nextReader(levelRegion)
	return !other
}
