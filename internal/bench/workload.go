// Package bench loads proxies the way callers do, through an ordinary driver,
// and checks what the callers were told and saw against the promises.
package bench

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// class groups operations in reports.
type class string

const (
	classAged  class = "aged read"
	classOwn   class = "own-write read"
	classWrite class = "write"
	// classProbe is the regular writes that measure gaps, beside the mix.
	classProbe class = "gap probe"
)

// classes lists all, in the order of reports.
var classes = []class{classAged, classOwn, classWrite, classProbe}

// Workload is a mix of operations.
type Workload struct {
	// Name is what the command line calls it.
	Name string
	// AgedShare is the share of reads of any caller's data, within MaxAge.
	AgedShare float64
	// OwnShare is the share of reads of the session's own writes. The rest writes.
	OwnShare float64
	// InsertShare is the share of writes that insert an item; the rest write a register.
	InsertShare float64
	// MaxAge is the age that reads accept.
	MaxAge time.Duration
	// Registers is the table of registers, such as shelf prices.
	Registers string
	// Items is the table of items, such as orders.
	Items string
}

// Workloads are the mixes of the two deployments.
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
