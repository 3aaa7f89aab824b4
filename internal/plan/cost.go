package plan

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// What the estimates assume of a running system.
const (
	// plannedWriteGap is the time without writes of a group whose primary moves by plan.
	plannedWriteGap = time.Second
	// pollersPerDataCentre is how many proxies of a data centre read the head row.
	pollersPerDataCentre = 2
	// pollInterval is the time between two reads of the head row by one poller.
	pollInterval = time.Second
	// peerSpread is the time from a poller to the last proxy of its data centre.
	peerSpread = time.Second
	// confirmTableRequests are the table-service requests of one confirm without faults.
	confirmTableRequests = 3
	// primaryMoveTableRequests are the table-service requests of one primary move.
	primaryMoveTableRequests = 2
)

// Cost is what a plan is expected to cost. The figures are estimates.
type Cost struct {
	// ConnectionsMoved is how many pooled connections are closed and opened elsewhere.
	ConnectionsMoved int `json:"connectionsMoved"`
	// SessionsTouched is how many caller connections belong to services with such an upstream.
	SessionsTouched int `json:"sessionsTouched"`
	// PrimaryMoves is how many groups get another primary.
	PrimaryMoves int `json:"primaryMoves"`
	// WriteGap is how long writes of each such group can't succeed.
	WriteGap config.Duration `json:"writeGap"`
	// ReplicaShares are the services whose replica slots change.
	ReplicaShares []ReplicaShare `json:"replicaShares,omitempty"`
	// TableRequests is how many table-service requests the change takes.
	TableRequests int `json:"tableRequests"`
	// RolloutTime is when every proxy that can be reached has the change in force.
	RolloutTime config.Duration `json:"rolloutTime"`
	// Counted says that proxies reported their connections; without it, declared
	// limits stand for ConnectionsMoved, and SessionsTouched is unknown.
	Counted bool `json:"counted"`
}

// ReplicaShare is the share of a service's slots that are on replicas, an upper
// bound for the share of reads that replicas serve under full load.
type ReplicaShare struct {
	// Service names the service.
	Service tables.ServiceID `json:"service"`
	// Before is the share in the document in force.
	Before float64 `json:"before"`
	// After is the share in the new document.
	After float64 `json:"after"`
}

func estimate(old, new config.Document, observed State, changes []Change) Cost {
	c := Cost{Counted: observed.Counted}
	var touched []tables.GroupID
	for _, g := range groupChanges(old, new) {
		n := moved(g, observed)
		if n > 0 || g.movesPrimary(observed) {
			touched = append(touched, g.old.ID)
		}
		c.ConnectionsMoved += n
	}
	c.SessionsTouched = sessions(old.Services, touched, observed)
	c.PrimaryMoves = count(changes, PrimaryMove)
	if c.PrimaryMoves > 0 {
		c.WriteGap = config.Duration(plannedWriteGap)
	}
	c.ReplicaShares = replicaShares(old, new)
	c.TableRequests = tableRequests(c.PrimaryMoves, observed)
	c.RolloutTime = config.Duration(pollInterval + peerSpread)
	return c
}

// moved counts the open connections of upstreams whose work ends.
func moved(g groupChange, observed State) int {
	total := 0
	for _, p := range g.upstreams() {
		if !stopsWork(p) {
			continue
		}
		n, ok := observed.open(p.old.ID)
		if !ok {
			n = p.old.Connections
		}
		total += n
	}
	return total
}

func sessions(services []config.Service, touched []tables.GroupID, observed State) int {
	total := 0
	for _, s := range services {
		if usesAny(s, touched) {
			total += observed.callers(s.Name)
		}
	}
	return total
}

func usesAny(s config.Service, groups []tables.GroupID) bool {
	for _, g := range s.Databases {
		if slices.Contains(groups, g) {
			return true
		}
	}
	return false
}

func count(changes []Change, kind Kind) int {
	n := 0
	for _, c := range changes {
		if c.Kind == kind {
			n++
		}
	}
	return n
}

func tableRequests(primaryMoves int, observed State) int {
	centres := max(observed.DataCentres, 1)
	return confirmTableRequests + centres*pollersPerDataCentre + primaryMoves*primaryMoveTableRequests
}

func replicaShares(old, new config.Document) []ReplicaShare {
	var out []ReplicaShare
	for _, p := range match(old.Services, new.Services, func(s config.Service) tables.ServiceID { return s.Name }) {
		if p.added() || p.removed() {
			continue
		}
		before := replicaShare(*p.old, old.Groups)
		after := replicaShare(*p.new, new.Groups)
		if before != after {
			out = append(out, ReplicaShare{Service: p.new.Name, Before: before, After: after})
		}
	}
	return out
}

// replicaShare is the share of slots beyond one primary's in each group of s.
func replicaShare(s config.Service, groups []config.Group) float64 {
	used := make(map[tables.GroupID]bool, len(s.Databases))
	for _, g := range s.Databases {
		used[g] = true
	}
	all, replicas := 0, 0
	for _, g := range groups {
		if !used[g.ID] {
			continue
		}
		slots, largest := workingSlots(g)
		all += slots
		replicas += slots - largest
	}
	if all == 0 {
		return 0
	}
	return float64(replicas) / float64(all)
}

// workingSlots returns the slots of the upstreams that don't leave, and the largest server's.
func workingSlots(g config.Group) (total, largest int) {
	for _, u := range g.Upstreams {
		if u.Leaving {
			continue
		}
		total += u.Slots
		largest = max(largest, u.Slots)
	}
	return total, largest
}
