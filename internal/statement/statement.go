// Package statement defines the protocol-independent types for callers' requests
// and upstreams' replies. Codecs at the network edges convert them to and from
// bytes; routing, session state and retries use only these types.
package statement

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Kind is the type of a statement.
type Kind uint8

// Kinds of statements.
const (
	// Unknown is a statement that the codec does not understand.
	Unknown Kind = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its effects.
	Commit
	// Rollback ends a transaction and discards its effects.
	Rollback
	// Read returns one item.
	Read
	// Write sets one item.
	Write
	// Set sets a session value.
	Set
	// Prepare defines a prepared statement for Execute.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Forget removes a prepared statement.
	Forget
	// Reset removes all session values and prepared statements of a connection.
	Reset
	// Status queries the status of an upstream.
	Status
	// Hold stops a replica from receiving commits.
	Hold
	// Resume lets a held replica receive commits again.
	Resume
	// Demote turns a primary of an older term into a replica.
	Demote
)

// String returns the label used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unknown", "begin", "begin read", "commit", "rollback", "read", "write", "set",
		"prepare", "execute", "forget", "reset", "status", "hold", "resume", "demote"}[k]
}

// Statement is one request.
type Statement struct {
	// ID is the caller's ID of the request; empty for the proxy's own statements.
	ID string
	// Kind is the type of the statement.
	Kind Kind
	// Name is the name of the session value or prepared statement.
	Name string
	// Value is the session value for Set, and the statement text for Prepare.
	Value string
	// Writes reports, for Prepare, whether the prepared statement writes.
	Writes bool
	// Arguments are the operands of Read, Write and Execute, as received.
	Arguments string
	// After is the log position that the upstream must have reached; zero means any.
	After tables.Position
	// Term is the operand of Hold and Demote.
	Term tables.Term
}

// State is a session's transaction state after a reply.
type State uint8

// States of a session.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open.
	Open
	// Failed means that the open transaction failed and must be ended by the caller.
	Failed
)

// Code is OK or the reason why a statement has no result.
type Code uint8

// Codes of refusals and failures.
const (
	// OK means that there is a result.
	OK Code = iota
	// Busy means that the upstream or the proxy has no free capacity; nothing ran.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// Behind means that the upstream has not reached the required position; nothing ran.
	Behind
	// ReadOnly means that the upstream does not lead; nothing ran.
	ReadOnly
	// Misrouted means that a server other than the expected one replied; nothing ran.
	Misrouted
	// TooMany means that the upstream accepts no more connections; nothing ran.
	TooMany
	// NoStatement means that the prepared statement does not exist; nothing ran.
	NoStatement
	// NoDatabase means that there is no route for the database's name; nothing ran.
	NoDatabase
	// NoAuth means that the caller's key is unknown; nothing ran.
	NoAuth
	// Bad means that the statement can't be parsed or is not allowed in this state;
	// nothing ran.
	Bad
	// RunFailed means that the statement ran and failed.
	RunFailed
	// Timeout means that no reply arrived in time.
	Timeout
	// Unsure means that the outcome is unknown.
	Unsure
)

var codeNames = [...]string{"ok", "busy", "aborted", "behind", "read only", "misrouted", "too many",
	"no statement", "no database", "no authorization", "bad", "failed", "timeout", "unsure"}

// String returns the label used in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// NotRun reports whether a reply with this code means that the statement did not
// run on the upstream.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Behind, ReadOnly, Misrouted, TooMany, NoStatement, NoDatabase, NoAuth, Bad:
		return true
	default:
		return false
	}
}

// Reply is the response to a statement.
type Reply struct {
	// Code is OK or the reason why there is no result.
	Code Code
	// Reason is the result code of a refusal by the proxy itself; 0 if the reply comes
	// from an upstream.
	Reason codes.Code
	// RetryAfter is the delay after which a retry is useful; 0 means unspecified.
	RetryAfter time.Duration
	// Detail is a free text that explains Code.
	Detail string
	// Rows are the result's rows, as received.
	Rows []string
	// Proof is the upstream's authentication code of the result; empty for replies of
	// the proxy itself.
	Proof string
	// State is the session's transaction state afterwards.
	State State
	// Position is the log position that the upstream had applied; zero if it did not
	// report one.
	Position tables.Position
	// Status is the status report in reply to Status, Hold, Resume and Demote.
	Status *ServerStatus
}

// Refuse returns a reply of the proxy itself, without a result.
func Refuse(c Code, reason codes.Code, s State, detail string) Reply {
	return Reply{Code: c, Reason: reason, State: s, Detail: detail}
}

// Refusal converts err to the reply for a statement. If err is not a *codes.Error,
// the outcome counts as unknown.
func Refusal(err error, s State) Reply {
	e, ok := codes.From(err)
	if !ok {
		e = codes.New(codes.UpstreamLost, codes.Unknown, 0, err.Error())
	}
	r := Refuse(Busy, e.Code, s, e.Detail)
	r.RetryAfter = e.RetryAfter
	switch e.Ran {
	case codes.Unknown:
		r.Code = Unsure
	case codes.Did:
		r.Code = RunFailed
	}
	return r
}

// Err returns a refusal by the proxy itself as a *codes.Error; nil if r is not one.
func (r Reply) Err() error {
	if r.Reason == codes.OK {
		return nil
	}
	return codes.New(r.Reason, r.ran(), r.RetryAfter, r.Detail)
}

// ran returns whether the statement ran; r must be a refusal by the proxy itself.
func (r Reply) ran() codes.Ran {
	switch r.Code {
	case Unsure, Timeout:
		return codes.Unknown
	case RunFailed:
		return codes.Did
	default:
		return codes.NotRun
	}
}

// ServerStatus is the status that an upstream reports.
type ServerStatus struct {
	// Leads reports whether its role is that of the primary.
	Leads bool
	// Term is the term in which it leads or follows.
	Term tables.Term
	// Received is the newest position in its log, applied or not.
	Received tables.Position
	// Applied is the newest position in its log that it has applied.
	Applied tables.Position
	// Held is the term of the Hold that stopped it from receiving; 0 while it receives.
	Held tables.Term
}
