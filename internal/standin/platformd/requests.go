package platformd

import (
	"strconv"
	"sync/atomic"
)

// Counter counts requests. It is safe for concurrent use.
type Counter struct{ n atomic.Uint64 }

// Value returns the count.
func (c *Counter) Value() uint64 { return c.n.Load() }

// MarshalJSON encodes the count as a number.
func (c *Counter) MarshalJSON() ([]byte, error) {
	return strconv.AppendUint(nil, c.Value(), 10), nil
}

// Requests counts requests by kind, failed ones included.
type Requests struct {
	// Gets counts reads of one row.
	Gets Counter `json:"gets"`
	// Lists counts reads by prefix.
	Lists Counter `json:"lists"`
	// Commits counts writes of one row and transactions.
	Commits Counter `json:"commits"`
	// Outcomes counts queries for the outcome of a transaction.
	Outcomes Counter `json:"outcomes"`
	// VMLists counts reads of the VM list.
	VMLists Counter `json:"vmLists"`
	// ObjectGets counts reads of objects.
	ObjectGets Counter `json:"objectGets"`
	// ObjectPuts counts writes of objects.
	ObjectPuts Counter `json:"objectPuts"`
}
