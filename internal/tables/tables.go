// Package tables holds the entities of the decision core as plain values. It
// has no clock, socket, goroutine or logger; systems read and change tables on
// each tick and return typed actions for the process shell.
package tables

import (
	"fmt"
	"time"
)

// Identifiers. Each is a short string from the configuration or the platform.
type (
	// VMID names an entry VM.
	VMID string
	// DataCentreID names a data centre.
	DataCentreID string
	// UpstreamID names one database server of a group.
	UpstreamID string
	// GroupID names a database group: one primary and its replicas.
	GroupID string
	// ServiceID names a database service that callers connect to.
	ServiceID string
)

// Time is the process's own monotonic time since its start. Times of two
// processes are never compared.
type Time time.Duration

// Add returns t moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Term numbers the primaries of a group; a later primary has a higher term.
type Term uint64

// Position is a place in a group's log, ordered by LogTerm, then Index.
type Position struct {
	// LogTerm is the term under which the record was written.
	LogTerm Term `json:"logTerm" msgpack:"t"`
	// Index counts records from 1; 0 is the empty log.
	Index uint64 `json:"index" msgpack:"i"`
}

// String returns "term.index", or "-" for the zero position.
func (p Position) String() string {
	if p == (Position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.LogTerm, p.Index)
}

// Compare returns -1, 0 or 1 as p is before, at or after q.
func (p Position) Compare(q Position) int {
	switch {
	case p.LogTerm != q.LogTerm && p.LogTerm < q.LogTerm, p.LogTerm == q.LogTerm && p.Index < q.Index:
		return -1
	case p == q:
		return 0
	default:
		return 1
	}
}

// AtLeast reports whether p has reached q.
func (p Position) AtLeast(q Position) bool { return p.Compare(q) >= 0 }

// Role is what an upstream believes itself to be.
type Role uint8

const (
	// RoleReplica follows a primary or nobody.
	RoleReplica Role = iota
	// RolePrimary accepts writes under its fenced term.
	RolePrimary
)

// Status is an upstream's own account of itself.
type Status struct {
	// Role is what the upstream believes itself to be.
	Role Role `msgpack:"r"`
	// Fenced is the highest term the upstream has promised; it never decreases.
	Fenced Term `msgpack:"f"`
	// Last is the position of the last record in its log.
	Last Position `msgpack:"p"`
	// Following is the upstream it replicates from, or empty.
	Following UpstreamID `msgpack:"w"`
}

// Cause says how an attempt to reach an upstream ended.
type Cause uint8

const (
	// CauseNone means that the upstream answered.
	CauseNone Cause = iota
	// CauseRefused means that the connection was refused.
	CauseRefused
	// CauseReset means that an open connection was reset or closed.
	CauseReset
	// CauseSilent means that no answer came before the timeout.
	CauseSilent
	// CauseSlow means that the answer came later than the probe's limit.
	CauseSlow
	// CausePathLost means that an old connection is silent while a new one answers.
	CausePathLost
	// CauseBusy means that the server answered that it takes no more connections.
	CauseBusy
)

// String returns the label used in logs and metrics.
func (c Cause) String() string {
	return [...]string{"answered", "refused", "reset", "silent", "slow", "path lost", "busy"}[c]
}

// Failing reports whether c means that the upstream could not be reached.
func (c Cause) Failing() bool {
	return c == CauseRefused || c == CauseReset || c == CauseSilent
}

// VM is an entry VM as this process knows it.
type VM struct {
	// ID names the VM.
	ID VMID
	// DataCentre is where it runs.
	DataCentre DataCentreID
	// PeerAddress is the IP:port for frames between proxies.
	PeerAddress string
	// LastSeen is this process's time of the last frame from the VM.
	LastSeen Time
	// Listed says that the platform's list has the VM as live.
	Listed bool
	// Live says that the VM is taken for running: heard, or listed and not found silent.
	Live bool
	// Leaving says that the VM is shutting down, by its own word, the list's or the configuration's.
	Leaving bool
	// ConfigVersion is the configuration version the VM last reported.
	ConfigVersion uint64
}

// Upstream is one database server as configured and observed.
type Upstream struct {
	// ID names the server.
	ID UpstreamID
	// Group is the database group it belongs to.
	Group GroupID
	// DataCentre is where it runs.
	DataCentre DataCentreID
	// Address is its IP:port.
	Address string
	// Slots is how many statements it runs at once, over all proxies.
	Slots int
	// Connections is how many connections it accepts, over all proxies.
	Connections int
	// Leaving says that it must receive no new work, by the configuration's word or the list's.
	Leaving bool
	// DeclaredLeaving says that the configuration has it leaving.
	DeclaredLeaving bool
	// ListedLeaving says that the platform's list has it leaving.
	ListedLeaving bool

	// Status is its last account of itself; valid when HasStatus.
	Status Status
	// HasStatus says whether Status was ever received.
	HasStatus bool
	// StatusSentAt is when the probe that gave Status was sent.
	StatusSentAt Time
	// StatusAt is when Status arrived.
	StatusAt Time
	// Cause is how the last probe ended.
	Cause Cause
	// Unanswered says that a probe sent at UnansweredAt, and none sent since, was answered.
	Unanswered bool
	// UnansweredAt is valid when Unanswered.
	UnansweredAt Time
	// FailingSince is when the first probe of the present run of failures was sent; valid when Cause is not CauseNone.
	FailingSince Time
}

// Group is a database group as this process knows it.
type Group struct {
	// ID names the group.
	ID GroupID
	// Members are its upstreams in ascending order.
	Members []UpstreamID
	// Term is the highest term under which a primary is known to stand.
	Term Term
	// Primary is the upstream promoted at Term; empty while unknown.
	Primary UpstreamID
	// Confirmed is the newest confirmed read of the primary's position.
	Confirmed ConfirmedPoint
}

// ConfirmedPoint is a position read from a primary whose term a majority of
// the group, asked after SentAt, still held. Every write acknowledged before
// SentAt lies at or before Position.
type ConfirmedPoint struct {
	// Term is the confirmed term; 0 means that there is no point yet.
	Term Term
	// Position is the primary's last position.
	Position Position
	// SentAt is when the poll that read Position was sent.
	SentAt Time
}

// Majority returns how many of n servers make a majority.
func Majority(n int) int { return n/2 + 1 }
