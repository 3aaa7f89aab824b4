package bench

import (
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/systems/watch"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// clusterSpan is the virtual time that a cluster is measured, and before that warms up.
	clusterSpan = 10 * time.Second
	// vmsPerDataCentre is the size of a measured data centre.
	vmsPerDataCentre = 20
	// applyRounds is how often a configuration change is repeated.
	applyRounds = 5
)

var (
	clusterSizes  = []int{60, 120, 240, 480}
	documentSizes = []int{100, 400, 1200, 3600}
)

// membershipSlopes measures heartbeats and the membership system, the
// simulation of the messages included.
func membershipSlopes() ([]Slope, error) {
	var bytes, cpu []SlopePoint
	for _, n := range clusterSizes {
		c := systemstest.NewCluster(1, n, n/vmsPerDataCentre, func(rng *rand.Rand) []systemstest.System {
			return []systemstest.System{membership.New(membership.DefaultOptions(), rng)}
		})
		c.Run(clusterSpan)
		before := bytesSent(c)
		started := time.Now()
		c.Run(clusterSpan)
		share := clusterSpan.Seconds() * float64(n)
		cpu = append(cpu, SlopePoint{n, 100 * time.Since(started).Seconds() / share})
		bytes = append(bytes, SlopePoint{n, float64(bytesSent(c)-before) / share})
	}
	return []Slope{
		newSlope("membership, bytes sent by a VM", "B/s", "VMs", bytes),
		newSlope("membership, one VM", "% of a core", "VMs", cpu),
	}, nil
}

func bytesSent(c *systemstest.Cluster) int {
	total := 0
	for _, vm := range c.VMs {
		total += vm.BytesSent
	}
	return total
}

// configurationSlopes measures one change of one group.
func configurationSlopes() ([]Slope, error) {
	var documents, deltas, apply, review []SlopePoint
	for _, n := range documentSizes {
		old, err := config.NewRevision(slopeDocument(n))
		if err != nil {
			return nil, err
		}
		changed := slopeDocument(n)
		changed.Groups[n/2].Upstreams[0].Leaving = true
		rev, err := config.NewRevision(changed)
		if err != nil {
			return nil, err
		}
		delta := config.Diff(old, rev)
		body, err := delta.Encode()
		if err != nil {
			return nil, err
		}
		documents = append(documents, SlopePoint{n, float64(len(rev.Body))})
		deltas = append(deltas, SlopePoint{n, float64(len(body))})
		took, err := timeApply(old, delta)
		if err != nil {
			return nil, err
		}
		apply = append(apply, SlopePoint{n, took})
		review = append(review, SlopePoint{n, timeReview(rev.Document)})
	}
	return []Slope{
		newSlope("configuration document", "B", "declared groups", documents),
		newSlope("configuration delta, one group changed", "B", "declared groups", deltas),
		newSlope("applying that delta", "ms", "declared groups", apply),
		newSlope("entering a document in a cluster of 2,100 VMs", "ms", "declared groups", review),
	}, nil
}

// timeApply returns the time in ms to verify a delta and take it into a log.
func timeApply(old config.Revision, d config.Delta) (float64, error) {
	started := time.Now()
	for range applyRounds {
		var l config.Log
		l.Put(1, old)
		rev, err := config.Apply(old, d)
		if err != nil {
			return 0, err
		}
		l.Put(2, rev)
	}
	return time.Since(started).Seconds() * 1000 / applyRounds, nil
}

// timeReview returns the time in ms to enter a document and review which groups to watch.
func timeReview(doc config.Document) float64 {
	w := worldOfVMs(letterVMs)
	s := watch.New(watch.DefaultOptions(membership.NewRanking().IsCandidate))
	s.Apply(0, w, doc)
	started := time.Now()
	for i := range applyRounds {
		self, _ := w.VMs.Get(w.Self)
		self.LastSeen = tables.Time(time.Duration(i) * time.Minute) // ranks anew
		w.VMs.Put(w.Self, self)
		s.Apply(self.LastSeen, w, doc)
	}
	return time.Since(started).Seconds() * 1000 / applyRounds
}
