// Package action lists what the decision core asks of the process shell. The
// shell carries out an action without blocking the core and reports its end
// as an event.
package action

import (
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Action is one of the types of this package.
type Action interface{ action() }

// Probe asks an upstream for its status; it ends in event.ProbeDone.
type Probe struct {
	// Upstream is the server to ask.
	Upstream tables.UpstreamID
	// Fresh asks for a new connection beside the existing one.
	Fresh bool
}

// Fence asks a server to promise a term; it ends in event.ControlDone.
type Fence struct {
	// Group is the server's group.
	Group tables.GroupID
	// Upstream is the server.
	Upstream tables.UpstreamID
	// Term is the term to promise.
	Term tables.Term
}

// Promote asks a fenced server to lead; it ends in event.ControlDone.
type Promote struct {
	// Group is the server's group.
	Group tables.GroupID
	// Upstream is the server.
	Upstream tables.UpstreamID
	// Term is the new term.
	Term tables.Term
}

// Follow tells a server whom to replicate from; it ends in event.ControlDone.
type Follow struct {
	// Group is the server's group.
	Group tables.GroupID
	// Upstream is the server.
	Upstream tables.UpstreamID
	// Primary is whom to follow.
	Primary tables.UpstreamID
	// Term is the primary's term.
	Term tables.Term
}

// Publish sends a message to other proxies; it has no end event.
type Publish struct {
	// To are the receivers.
	To []tables.VMID
	// Topic is one of the topics of package peer.
	Topic string
	// Message is a peer message by value.
	Message any
}

// ReadGroupRow reads a group's platform row; it ends in event.GroupRowRead.
type ReadGroupRow struct {
	// Group is the row's group.
	Group tables.GroupID
}

// WriteGroupRow writes a group's platform row if its version is still Version;
// it ends in event.GroupRowWritten.
type WriteGroupRow struct {
	// Group is the row's group.
	Group tables.GroupID
	// Row is the new content.
	Row tables.GroupRow
	// Version is the version that the row must have; 0 means that it must not exist.
	Version uint64
	// TxnID makes the write idempotent.
	TxnID string
}

// ListVMs reads the platform's VM list; it ends in event.VMsListed.
type ListVMs struct{}

// ReadHead reads the configuration head; it ends in event.HeadRead.
type ReadHead struct{}

// LoadDocument reads a document from the object store; it ends in event.DocumentLoaded.
type LoadDocument struct {
	// Version is the version to report.
	Version uint64
	// Hash is the content hash.
	Hash string
}

// LoadDelta reads a delta from the object store; it ends in event.DeltaLoaded.
type LoadDelta struct {
	// Version is the version that the delta leads to.
	Version uint64
	// BaseHash is the content hash of the document it applies to.
	BaseHash string
	// Hash is the content hash of the document it leads to.
	Hash string
}

// ApplyDocument puts a document in force here; it has no end event.
type ApplyDocument struct {
	// Version is the document's version, higher than the one in force.
	Version uint64
	// Document is the new configuration.
	Document config.Document
}

// CloseConnections closes pooled connections to an upstream that were opened
// below a term or that fell silent; it has no end event.
type CloseConnections struct {
	// Upstream is the server.
	Upstream tables.UpstreamID
	// BelowTerm closes write connections of lower terms; 0 closes all.
	BelowTerm tables.Term
}

// TerminateSessions ends the sessions that a VM which is gone left open at a
// server, and with them its slots; it has no end event.
type TerminateSessions struct {
	// Upstream is the server.
	Upstream tables.UpstreamID
	// VM is the VM that is gone.
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
