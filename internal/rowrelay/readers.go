package rowrelay

import "github.com/cranberrystage/cranberrystage/internal/tables"

// Directory is a reading of the directory of proxies.
type Directory struct {
	// Proxies is the number of proxies; 0 if the directory was not read yet.
	Proxies int
	// Near is the number of proxies of this data centre.
	Near int
	// Listed means that this proxy is in the directory.
	Listed bool
	// Readers are the addresses of the designated readers of the other data centres.
	Readers map[tables.DataCentreID]string
}

// Directory returns what is known of the directory.
func (r *Relay) Directory() Directory {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	d := Directory{Proxies: len(r.peers), Readers: make(map[tables.DataCentreID]string)}
	first := make(map[tables.DataCentreID]Peer)
	for _, p := range r.peers {
		d.Listed = d.Listed || p == r.Self
		if p.DataCentre == r.Self.DataCentre {
			d.Near++
			continue
		}
		best, ok := first[p.DataCentre]
		avoided, bestAvoided := now < r.avoidUntil[p.VM], now < r.avoidUntil[best.VM]
		// A proxy in backoff is used only if all of its data centre are.
		if !ok || bestAvoided && !avoided || bestAvoided == avoided && p.VM < best.VM {
			first[p.DataCentre] = p
		}
	}
	for dc, p := range first {
		d.Readers[dc] = p.Address
	}
	return d
}
