// Package bench generates load on proxies through an ordinary PostgreSQL driver
// and checks that the responses keep the consistency promises. It also measures
// what a proxy costs.
package bench

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// class is a class of operations, under which reports group them.
type class string

const (
	classAged  class = "aged read"
	classOwn   class = "own-write read"
	classWrite class = "write"
	// classProbe are the periodic writes that measure the longest time without a
	// successful write. They are not part of the workload.
	classProbe class = "gap probe"
)

// classes lists all classes in the order of reports.
var classes = []class{classAged, classOwn, classWrite, classProbe}

// Workload is a mix of operations.
type Workload struct {
	// Name is its name on the command line.
	Name string
	// AgedShare is the share of operations that read any caller's data and
	// declare MaxAge.
	AgedShare float64
	// OwnShare is the share of operations that read the session's own writes.
	// The other operations are writes.
	OwnShare float64
	// InsertShare is the share of writes that insert an item; the others write a
	// register.
	InsertShare float64
	// MaxAge is the maximum age that reads declare.
	MaxAge time.Duration
	// Registers is the table of registers, such as shelf prices.
	Registers string
	// Items is the table of items, such as orders.
	Items string
}

// Workloads are the workloads of the two deployments.
var Workloads = []Workload{
	{
		Name: "batbayar", AgedShare: 0.60, OwnShare: 0.25, InsertShare: 0.5, MaxAge: 5 * time.Second,
		Registers: "shelf_prices", Items: "orders",
	},
	{
		Name: "agency", AgedShare: 0.80, OwnShare: 0.12, InsertShare: 0.5, MaxAge: 10 * time.Second,
		Registers: "work_parties", Items: "sign_ins",
	},
}

// FindWorkload returns the workload called name.
func FindWorkload(name string) (Workload, error) {
	for _, w := range Workloads {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, errors.Errorf("there is no workload %q", name)
}

// pick returns the class of a random operation.
func (w Workload) pick(rnd *rand.Rand) class {
	switch x := rnd.Float64(); {
	case x < w.AgedShare:
		return classAged
	case x < w.AgedShare+w.OwnShare:
		return classOwn
	default:
		return classWrite
	}
}
