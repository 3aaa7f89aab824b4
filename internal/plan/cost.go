package plan

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Assumptions of the estimates about a running system.
const (
	// plannedWriteGap is how long a group accepts no writes during a planned move of its
	// primary.
	plannedWriteGap = time.Second
	// pollersPerDataCentre is the number of proxies in a data centre that poll the head row.
	pollersPerDataCentre = 2
	// pollInterval is the time between two reads of the head row by one poller.
	pollInterval = time.Second
	// peerPropagation is the time in which a change spreads from a poller to the
	// last proxy of its data centre.
	peerPropagation = time.Second
	// confirmTableRequests is the number of table-service requests of a confirm that
	// meets no fault.
	confirmTableRequests = 3
	// primaryMoveTableRequests is the number of table-service requests of one primary move.
	primaryMoveTableRequests = 2
)

// Cost is the estimated cost of a plan.
type Cost struct {
	// ConnectionsMoved is the number of pooled connections that are closed and
	// opened to another server.
	ConnectionsMoved int `json:"connectionsMoved"`
	// SessionsTouched is the number of caller connections of the services that use
	// an affected group.
	SessionsTouched int `json:"sessionsTouched"`
	// PrimaryMoves is the number of groups that get another primary.
	PrimaryMoves int `json:"primaryMoves"`
	// WriteGap is how long each of these groups accepts no writes.
	WriteGap config.Duration `json:"writeGap"`
	// ReplicaShares are the services whose replica slots change.
	ReplicaShares []ReplicaShare `json:"replicaShares,omitempty"`
	// TableRequests is the number of table-service requests that the change takes.
	TableRequests int `json:"tableRequests"`
	// RolloutTime is the time until the change is in force at every reachable proxy.
	RolloutTime config.Duration `json:"rolloutTime"`
	// Counted reports whether proxies reported their connections. If not,
	// ConnectionsMoved is the sum of the declared limits, and SessionsTouched is
	// unknown.
	Counted bool `json:"counted"`
}

// ReplicaShare is the share of a service's slots that are on replicas, an upper
// bound for the share of reads that replicas serve under full load.
type ReplicaShare struct {
	// Service is the name of the service.
	Service tables.ServiceID `json:"service"`
	// Before is the share in the document in force.
	Before float64 `json:"before"`
	// After is the share in the new document.
	After float64 `json:"after"`
}

func estimate(old, new config.Document, observed State, changes []Change) Cost {
	c := Cost{Counted: observed.Counted}
	var affected []tables.GroupID
	for _, g := range groupChanges(old, new) {
		n := movedConnections(g, observed)
		if n > 0 || g.movesPrimary(observed) {
			affected = append(affected, g.old.ID)
		}
		c.ConnectionsMoved += n
	}
	c.SessionsTouched = affectedSessions(old.Services, affected, observed)
	c.PrimaryMoves = countKind(changes, PrimaryMove)
	if c.PrimaryMoves > 0 {
		c.WriteGap = config.Duration(plannedWriteGap)
	}
	c.ReplicaShares = replicaShares(old, new)
	c.TableRequests = tableRequests(c.PrimaryMoves, observed)
	c.RolloutTime = config.Duration(pollInterval + peerPropagation)
	return c
}

// movedConnections counts the open connections to upstreams that stop receiving
// work. Where no count was reported it takes the declared limit.
func movedConnections(g groupChange, observed State) int {
	total := 0
	for _, p := range g.upstreams() {
		if !stopsWork(p) {
			continue
		}
		n, ok := observed.openConnections(p.old.ID)
		if !ok {
			n = p.old.Connections
		}
		total += n
	}
	return total
}

func affectedSessions(services []config.Service, affected []tables.GroupID, observed State) int {
	total := 0
	for _, s := range services {
		if usesAny(s, affected) {
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

func countKind(changes []Change, kind Kind) int {
	n := 0
	for _, c := range changes {
		if c.Kind == kind {
			n++
		}
	}
	return n
}

func tableRequests(primaryMoves int, observed State) int {
	dataCentres := max(observed.DataCentres, 1)
	return confirmTableRequests + dataCentres*pollersPerDataCentre + primaryMoves*primaryMoveTableRequests
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

// replicaShare returns the share of replica slots among all slots of the groups
// of s. The largest server of a group counts as its primary.
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

// workingSlots returns the total slots of the upstreams that are not leaving, and
// the slots of the largest of these.
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
