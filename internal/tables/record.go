package tables

import "time"

// PrimaryRecord is what the platform's store holds of a group's primary. A
// group whose primary was never replaced has none. Term never decreases.
type PrimaryRecord struct {
	// Primary leads, or led when the replacement under way began.
	Primary UpstreamID `json:"primary"`
	// Term is the term under which Primary leads; 0 while it was never replaced.
	Term Term `json:"term"`
	// Replacing says that a replacement is under way.
	Replacing bool `json:"replacing,omitempty"`
	// Ordered is the server that the platform was, or is about to be, told to promote.
	Ordered UpstreamID `json:"ordered,omitempty"`
	// Safe is the newest position that any held replica had received; valid with
	// Ordered. Until the record names the new primary, no commit beyond it is
	// acknowledged.
	Safe Position `json:"safe,omitzero"`
	// OrderedAt is the store's clock before that order.
	OrderedAt time.Duration `json:"orderedAt,omitempty"`
}

// WithoutOrder returns r as it was before a server was chosen.
func (r PrimaryRecord) WithoutOrder() PrimaryRecord {
	r.Ordered, r.OrderedAt, r.Safe = "", 0, Position{}
	return r
}

// CoordinatorLease is what the platform's store holds of the duty to replace
// primaries. One proxy at a time has it, for all groups.
type CoordinatorLease struct {
	// Holder has the duty.
	Holder VMID `json:"holder"`
	// Claim tells one claim of a holder from the next.
	Claim string `json:"claim"`
	// Until is the store's clock at which the duty ends.
	Until time.Duration `json:"until"`
}
