// Package event defines the input events of the decision core, which the
// surrounding process reports. Events are handled one at a time, each with the
// process's monotonic time.
package event

import (
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Event is one of the types of this package.
type Event interface{ event() }

// Outcome is the result of a request to a server or the platform.
type Outcome uint8

const (
	// OutcomeOK means that the request took effect.
	OutcomeOK Outcome = iota
	// OutcomeFenced means that the server has promised a higher term.
	OutcomeFenced
	// OutcomeConflict means that a condition did not hold.
	OutcomeConflict
	// OutcomeNotFound means that the row or object does not exist.
	OutcomeNotFound
	// OutcomeFailed means that the request definitely had no effect.
	OutcomeFailed
	// OutcomeUnknown means that the request may have taken effect.
	OutcomeUnknown
)

// ProbeDone is the result of an action.Probe.
type ProbeDone struct {
	// Upstream is the probed server.
	Upstream tables.UpstreamID
	// SentAt is when the probe was sent.
	SentAt tables.Time
	// Status is valid when Cause is CauseNone or CauseSlow.
	Status tables.Status
	// Cause is the result of the probe.
	Cause tables.Cause
	// Fresh means that the probe opened a new connection.
	Fresh bool
}

// StatementFailed reports that a caller's statement lost its upstream connection.
type StatementFailed struct {
	// Upstream was running the statement.
	Upstream tables.UpstreamID
	// Cause is how the connection was lost.
	Cause tables.Cause
}

// GroupUsed reports that a caller's request needs a group. It is sent if the group
// is not watched, and periodically while it is in use, so that it stays watched.
type GroupUsed struct {
	// Group is the group.
	Group tables.GroupID
}

// ControlDone is the result of an action.Fence, action.Promote or action.Follow.
type ControlDone struct {
	// Group is the server's group.
	Group tables.GroupID
	// Upstream is the server.
	Upstream tables.UpstreamID
	// Term is the term of the request.
	Term tables.Term
	// Step is StepFence, StepPromote or StepFollow.
	Step tables.Step
	// Outcome is the result of the request.
	Outcome Outcome
	// Status is the server's status after the request; valid when Outcome is OutcomeOK.
	Status tables.Status
}

// PeerMessage is a message from another proxy: a peer.Heartbeat, peer.Members,
// peer.Observation, peer.GroupState or peer.Config.
type PeerMessage struct {
	// Message is the typed message by value.
	Message any
}

// GroupRowRead is the result of an action.ReadGroupRow.
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

// GroupRowWritten is the result of an action.WriteGroupRow.
type GroupRowWritten struct {
	// Group is the row's group.
	Group tables.GroupID
	// TxnID is the transaction id of the write.
	TxnID string
	// Outcome is the result of the write.
	Outcome Outcome
}

// VMsListed is the result of an action.ListVMs.
type VMsListed struct {
	// Outcome is OutcomeOK or OutcomeFailed.
	Outcome Outcome
	// VMs is the platform's list.
	VMs []platform.ListedVM
}

// HeadRead is the result of an action.ReadHead.
type HeadRead struct {
	// Outcome is OutcomeOK, OutcomeNotFound or OutcomeFailed.
	Outcome Outcome
	// Head is valid when Outcome is OutcomeOK.
	Head config.Head
}

// DocumentLoaded is the result of an action.LoadDocument, or a document from
// a peer.
type DocumentLoaded struct {
	// Version is the document's version.
	Version uint64
	// Outcome is OutcomeOK or OutcomeFailed.
	Outcome Outcome
	// Document is valid when Outcome is OutcomeOK.
	Document config.Document
}

// DeltaLoaded is the result of an action.LoadDelta.
type DeltaLoaded struct {
	// Version is the version that the delta results in.
	Version uint64
	// Hash is the content hash of the document that the delta results in.
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
