// Package tables holds the state of the decision core as tables of plain
// values. It uses no clock, socket, goroutine or logger. Systems read and change
// the tables on each tick and return typed actions, which the surrounding
// process carries out.
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

// Time is the monotonic time since the start of this process. Times of
// different processes are never compared.
type Time time.Duration

// Add returns t moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Term numbers the primaries of a group; a later primary has a higher term.
type Term uint64

// Position is a position in a group's log. Positions are ordered by LogTerm,
// then Index.
type Position struct {
	// LogTerm is the term under which the record was written.
	LogTerm Term `json:"logTerm" msgpack:"t"`
	// Index counts records from 1; 0 means an empty log.
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

// Role is the role that an upstream reports for itself.
type Role uint8

const (
	// RoleReplica replicates from a primary, or from no server.
	RoleReplica Role = iota
	// RolePrimary accepts writes under the term it was fenced with.
	RolePrimary
)

// Status is the state that an upstream reports about itself.
type Status struct {
	// Role is the upstream's role.
	Role Role `msgpack:"r"`
	// Fenced is the highest term that the upstream has promised; it never
	// decreases. The upstream rejects requests of a lower term.
	Fenced Term `msgpack:"f"`
	// Last is the position of the last record in its log.
	Last Position `msgpack:"p"`
	// Following is the upstream it replicates from, or empty.
	Following UpstreamID `msgpack:"w"`
}

// Cause is the result of an attempt to reach an upstream.
type Cause uint8

const (
	// CauseNone means that the upstream answered.
	CauseNone Cause = iota
	// CauseRefused means that the connection was refused.
	CauseRefused
	// CauseReset means that an open connection was reset or closed.
	CauseReset
	// CauseSilent means that no answer arrived before the timeout.
	CauseSilent
	// CauseSlow means that the answer arrived later than the probe's latency limit.
	CauseSlow
	// CausePathLost means that an old connection gets no answers while a new one does.
	CausePathLost
	// CauseBusy means that the server refused another connection because it has
	// reached its connection limit.
	CauseBusy
)

// String returns the label used in logs and metrics.
func (c Cause) String() string {
	return [...]string{"answered", "refused", "reset", "silent", "slow", "path lost", "busy"}[c]
}

// Failing reports whether c means that the upstream was unreachable.
func (c Cause) Failing() bool {
	return c == CauseRefused || c == CauseReset || c == CauseSilent
}

// VM is this process's cached state of an entry VM.
type VM struct {
	// ID names the VM.
	ID VMID
	// DataCentre is where it runs.
	DataCentre DataCentreID
	// PeerAddress is the IP:port for frames between proxies.
	PeerAddress string
	// LastSeen is when the last frame from the VM was received.
	LastSeen Time
	// Listed means that the platform's list contains the VM as live.
	Listed bool
	// Live means that the VM is considered running: frames from it arrive, or it
	// is listed and was not found unresponsive.
	Live bool
	// Leaving means that the VM is shutting down according to the VM itself, the
	// list or the configuration.
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
	// Leaving means that it must receive no new work: DeclaredLeaving or ListedLeaving.
	Leaving bool
	// DeclaredLeaving means that the configuration marks it as leaving.
	DeclaredLeaving bool
	// ListedLeaving means that the platform's list marks it as leaving.
	ListedLeaving bool

	// Status is the last status that it reported; valid when HasStatus.
	Status Status
	// HasStatus reports whether a Status was ever received.
	HasStatus bool
	// StatusSentAt is when the probe that returned Status was sent.
	StatusSentAt Time
	// StatusAt is when Status was received.
	StatusAt Time
	// Cause is the result of the last probe.
	Cause Cause
	// Unanswered means that a probe was sent at UnansweredAt and that neither it
	// nor any later probe was answered.
	Unanswered bool
	// UnansweredAt is valid when Unanswered.
	UnansweredAt Time
	// FailingSince is when the first probe of the current series of failures was
	// sent; valid when Cause is not CauseNone.
	FailingSince Time
}

// Group is this process's cached state of a database group.
type Group struct {
	// ID names the group.
	ID GroupID
	// Members are its upstreams in ascending order.
	Members []UpstreamID
	// Term is the highest term known to have a primary.
	Term Term
	// Primary is the upstream promoted at Term; empty while unknown.
	Primary UpstreamID
	// Confirmed is the newest confirmed read of the primary's position.
	Confirmed ConfirmedPoint
}

// ConfirmedPoint is a position read from a primary whose term was still the
// current one at a majority of the group, queried no earlier than SentAt. Every
// write acknowledged before SentAt is at or before Position.
type ConfirmedPoint struct {
	// Term is the confirmed term; 0 means that there is no point yet.
	Term Term
	// Position is the primary's last position.
	Position Position
	// SentAt is when the query that read Position was sent.
	SentAt Time
}

// Majority returns how many of n servers make a majority.
func Majority(n int) int { return n/2 + 1 }
