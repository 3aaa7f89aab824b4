package tables

import "time"

// PrimaryRecord is the record of a group's primary in the platform's store. A
// group whose primary was never replaced has no record. Term never decreases.
type PrimaryRecord struct {
	// Primary is the current primary. While Replacing is set it is the primary
	// at the start of the replacement.
	Primary UpstreamID `json:"primary"`
	// Term is the term of Primary; 0 if the primary was never replaced.
	Term Term `json:"term"`
	// Replacing means that a replacement is in progress.
	Replacing bool `json:"replacing,omitempty"`
	// Ordered is the server whose promotion the platform was, or is about to be,
	// ordered to carry out.
	Ordered UpstreamID `json:"ordered,omitempty"`
	// Safe is the newest position that any held replica had received; valid with
	// Ordered. Until the record names the new primary, no commit beyond Safe is
	// acknowledged.
	Safe Position `json:"safe,omitzero"`
	// Lapsed means that an order was removed although it may have taken effect before its
	// server ended.
	Lapsed bool `json:"lapsed,omitempty"`
	// OrderedAt is the time of the store's clock before that order.
	OrderedAt time.Duration `json:"orderedAt,omitempty"`
}

// WithoutOrder returns r without the fields of a promotion order, as it was
// before a server was chosen.
func (r PrimaryRecord) WithoutOrder() PrimaryRecord {
	r.Ordered, r.OrderedAt, r.Safe = "", 0, Position{}
	return r
}

// CoordinatorLease is the record of the coordinator lease in the platform's store.
// The lease is the right to order promotions. One proxy at a time holds it, for
// all groups.
type CoordinatorLease struct {
	// Holder is the coordinator.
	Holder VMID `json:"holder"`
	// Claim distinguishes successive acquisitions by the same holder.
	Claim string `json:"claim"`
	// Until is the time of the store's clock at which the lease expires.
	Until time.Duration `json:"until"`
}
