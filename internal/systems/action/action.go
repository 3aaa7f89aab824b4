// Package action defines the actions that the decision core returns. The
// surrounding process carries out an action without blocking the core and reports
// its result as an event.
package action

import (
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Action is one of the types of this package.
type Action interface{ action() }

// Probe queries an upstream's status; the result is event.ProbeDone.
type Probe struct {
	// Upstream is the server to query.
	Upstream tables.UpstreamID
	// Fresh means that the probe opens a new connection in addition to the existing
	// one.
	Fresh bool
}

// Fence makes a server promise a term; the result is event.ControlDone. A fenced
// server rejects requests of lower terms.
type Fence struct {
	// Group is the server's group.
	Group tables.GroupID
	// Upstream is the server.
	Upstream tables.UpstreamID
	// Term is the term to promise.
	Term tables.Term
}

// Promote makes a fenced server the primary; the result is event.ControlDone.
type Promote struct {
	// Group is the server's group.
	Group tables.GroupID
	// Upstream is the server.
	Upstream tables.UpstreamID
	// Term is the new term.
	Term tables.Term
}

// Follow makes a server replicate from a primary; the result is event.ControlDone.
type Follow struct {
	// Group is the server's group.
	Group tables.GroupID
	// Upstream is the server.
	Upstream tables.UpstreamID
	// Primary is the server to replicate from.
	Primary tables.UpstreamID
	// Term is the primary's term.
	Term tables.Term
}

// Publish sends a message to other proxies; it has no result event.
type Publish struct {
	// To lists the receivers.
	To []tables.VMID
	// Topic is one of the topics of package peer.
	Topic string
	// Message is a peer message by value.
	Message any
}

// ReadGroupRow reads a group's platform row; the result is event.GroupRowRead.
type ReadGroupRow struct {
	// Group is the row's group.
	Group tables.GroupID
}

// WriteGroupRow writes a group's platform row if its version is still Version;
// the result is event.GroupRowWritten.
type WriteGroupRow struct {
	// Group is the row's group.
	Group tables.GroupID
	// Row is the new content.
	Row tables.GroupRow
	// Version is the version that the row must have; 0 means that it must not exist.
	Version uint64
	// TxnID is a transaction id that makes the write idempotent.
	TxnID string
}

// ListVMs reads the platform's VM list; the result is event.VMsListed.
type ListVMs struct{}

// ReadHead reads the configuration head; the result is event.HeadRead.
type ReadHead struct{}

// LoadDocument reads a document from the object store; the result is
// event.DocumentLoaded.
type LoadDocument struct {
	// Version is the version to report in the event.
	Version uint64
	// Hash is the content hash of the document.
	Hash string
}

// LoadDelta reads a delta from the object store; the result is event.DeltaLoaded.
type LoadDelta struct {
	// Version is the version that the delta results in.
	Version uint64
	// BaseHash is the content hash of the document that the delta applies to.
	BaseHash string
	// Hash is the content hash of the document that the delta results in.
	Hash string
}

// ApplyDocument puts a document in force in this process; it has no result event.
type ApplyDocument struct {
	// Version is the document's version, higher than the one in force.
	Version uint64
	// Document is the new configuration.
	Document config.Document
}

// CloseConnections closes pooled connections to an upstream that were opened
// under a lower term or whose path was lost; it has no result event.
type CloseConnections struct {
	// Upstream is the server.
	Upstream tables.UpstreamID
	// BelowTerm limits it to write connections of lower terms; 0 closes all
	// connections.
	BelowTerm tables.Term
}

// TerminateSessions terminates the sessions that a failed VM left open at a server,
// which releases their slots; it has no result event.
type TerminateSessions struct {
	// Upstream is the server.
	Upstream tables.UpstreamID
	// VM is the failed VM.
	VM tables.VMID
}

func (Probe) action()             {}
func (Fence) action()             {}
func (Promote) action()           {}
func (Follow) action()            {}
func (Publish) action()           {}
func (ReadGroupRow) action()      {}
func (WriteGroupRow) action()     {}
func (ListVMs) action()           {}
func (ReadHead) action()          {}
func (LoadDocument) action()      {}
func (LoadDelta) action()         {}
func (ApplyDocument) action()     {}
func (CloseConnections) action()  {}
func (TerminateSessions) action() {}
