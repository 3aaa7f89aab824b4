// Package event lists what the process shell tells the decision core. Events
// are handled one at a time, each with the process's monotonic time.
package event

import (
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Event is one of the types of this package.
type Event interface{ event() }

// Outcome says how a request to a server or the platform ended.
type Outcome uint8

const (
	// OutcomeOK means that it took effect.
	OutcomeOK Outcome = iota
	// OutcomeFenced means that the server has promised a higher term.
	OutcomeFenced
	// OutcomeConflict means that a condition did not hold.
	OutcomeConflict
	// OutcomeNotFound means that the row or object does not exist.
	OutcomeNotFound
	// OutcomeFailed means that the request surely had no effect.
	OutcomeFailed
	// OutcomeUnknown means that the request may have taken effect.
	OutcomeUnknown
)

// ProbeDone ends a Probe.
type ProbeDone struct {
	// Upstream was asked for its status.
	Upstream tables.UpstreamID
	// SentAt is when the probe was sent.
	SentAt tables.Time
	// Status is valid when Cause is CauseNone or CauseSlow.
	Status tables.Status
	// Cause is how the probe ended.
	Cause tables.Cause
	// Fresh says that the probe opened a new connection.
	Fresh bool
}

// StatementFailed reports that a caller's statement lost its upstream connection.
type StatementFailed struct {
	// Upstream was running the statement.
	Upstream tables.UpstreamID
	// Cause is how the connection ended.
	Cause tables.Cause
}

// GroupUsed says that a caller's request needs a group that is not watched, or
// was watched for long.
type GroupUsed struct {
	// Group is the group.
	Group tables.GroupID
}

// ControlDone ends a Fence, Promote or Follow.
type ControlDone struct {
	// Group is the server's group.
	Group tables.GroupID
	// Upstream is the server.
	Upstream tables.UpstreamID
	// Term is the term of the request.
	Term tables.Term
	// Step is StepFence, StepPromote or StepFollow.
	Step tables.Step
	// Outcome is how it ended.
	Outcome Outcome
	// Status is the server's status after it; valid when Outcome is OutcomeOK.
	Status tables.Status
}

// PeerMessage is a message from another proxy: a peer.Heartbeat, peer.Members,
// peer.Observation, peer.GroupState or peer.Config.
type PeerMessage struct {
	// Message is the typed message by value.
	Message any
}

// GroupRowRead ends a ReadGroupRow.
type GroupRowRead struct {
	// Group is the row's group.
	Group tables.GroupID
	// Outcome is OutcomeOK, OutcomeNotFound or OutcomeFailed.
	Outcome Outcome
	// Row is valid when Outcome is OutcomeOK.
	Row tables.GroupRow
	// Version is the platform's row version.
	Version uint64
}

// GroupRowWritten ends a WriteGroupRow.
type GroupRowWritten struct {
	// Group is the row's group.
	Group tables.GroupID
	// TxnID is the id of the write.
	TxnID string
	// Outcome is how it ended.
	Outcome Outcome
}

// VMsListed ends a ListVMs.
type VMsListed struct {
	// Outcome is OutcomeOK or OutcomeFailed.
	Outcome Outcome
	// VMs is the platform's list.
	VMs []platform.ListedVM
}

// HeadRead ends a ReadHead.
type HeadRead struct {
	// Outcome is OutcomeOK, OutcomeNotFound or OutcomeFailed.
	Outcome Outcome
	// Head is valid when Outcome is OutcomeOK.
	Head config.Head
}

// DocumentLoaded ends a LoadDocument, or carries a document from a peer.
type DocumentLoaded struct {
	// Version is the document's version.
	Version uint64
	// Outcome is OutcomeOK or OutcomeFailed.
	Outcome Outcome
	// Document is valid when Outcome is OutcomeOK.
	Document config.Document
}

// DeltaLoaded ends a LoadDelta.
type DeltaLoaded struct {
	// Version is the version that the delta leads to.
	Version uint64
	// Hash is the content hash of the document it leads to.
	Hash string
	// Outcome is OutcomeOK or OutcomeFailed.
	Outcome Outcome
	// Delta is valid when Outcome is OutcomeOK.
	Delta config.Delta
}

func (DeltaLoaded) event()     {}
func (ProbeDone) event()       {}
func (StatementFailed) event() {}
func (GroupUsed) event()       {}
func (ControlDone) event()     {}
func (PeerMessage) event()     {}
func (GroupRowRead) event()    {}
func (GroupRowWritten) event() {}
func (VMsListed) event()       {}
func (HeadRead) event()        {}
func (DocumentLoaded) event()  {}
