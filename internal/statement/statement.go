// Package statement is the vocabulary in which the proxy speaks of callers'
// requests and upstreams' answers. Codecs at the edges translate it to and
// from bytes; routing, session state and retries know nothing else.
package statement

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Kind says what a statement does.
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
	// Rollback ends a transaction without its effects.
	Rollback
	// Read returns one item.
	Read
	// Write sets one item.
	Write
	// Set gives a session value.
	Set
	// Prepare names a statement for Execute.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Forget drops a prepared statement.
	Forget
	// Reset drops session values and prepared statements of a connection.
	Reset
	// Status asks an upstream about itself.
	Status
	// Hold stops a replica from receiving.
	Hold
	// Resume lets a held replica receive again.
	Resume
	// Demote makes a primary of an older term a replica.
	Demote
)

// String returns the label used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unknown", "begin", "begin read", "commit", "rollback", "read", "write", "set",
		"prepare", "execute", "forget", "reset", "status", "hold", "resume", "demote"}[k]
}

// Statement is one request.
type Statement struct {
	// ID is the caller's name of the request; empty for the proxy's own.
	ID string
	// Kind says what the statement does.
	Kind Kind
	// Name is the session value or the prepared statement that it concerns.
	Name string
	// Value is what Set gives, and the shape that Prepare names.
	Value string
	// Writes says, for Prepare, that the shape writes.
	Writes bool
	// Arguments are the operands of Read, Write and Execute, as received.
	Arguments string
	// After is the log position that the upstream must have reached; zero asks for none.
	After tables.Position
	// Term is the operand of Hold and Demote.
	Term tables.Term
}

// State is a session's transaction state after an answer.
type State uint8

// States of a session.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open.
	Open
	// Failed means that the open transaction failed and waits for its end.
	Failed
)

// Code says why a statement has no result.
type Code uint8

// Codes of refusals and failures.
const (
	// OK means that there is a result.
	OK Code = iota
	// Busy means that the upstream or the proxy has no room; nothing ran.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// Behind means that the upstream's log lacks the required position; nothing ran.
	Behind
	// ReadOnly means that the upstream does not lead; nothing ran.
	ReadOnly
	// Misrouted means that another server than the expected one answered; nothing ran.
	Misrouted
	// TooMany means that the upstream takes no more connections; nothing ran.
	TooMany
	// NoStatement means that the prepared statement does not exist; nothing ran.
	NoStatement
	// NoDatabase means that no route has the database's name; nothing ran.
	NoDatabase
	// Bad means that the statement can't be understood or has no place here; nothing ran.
	Bad
	// RunFailed means that the statement ran and failed.
	RunFailed
	// Timeout means that no answer came in time.
	Timeout
	// Unsure means that the outcome was not learnt.
	Unsure
)

var codeNames = [...]string{"ok", "busy", "aborted", "behind", "read only", "misrouted", "too many",
	"no statement", "no database", "bad", "failed", "timeout", "unsure"}

// String returns the label used in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// NotRun reports whether an upstream's answer with this code means that the
// statement did not run there.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Behind, ReadOnly, Misrouted, TooMany, NoStatement, NoDatabase, Bad:
		return true
	default:
		return false
	}
}

// Reply is the answer to a statement.
type Reply struct {
	// Code is OK or the reason why there is no result.
	Code Code
	// Reason is the project's number for a refusal of the proxy's own; 0 if the
	// answer is an upstream's.
	Reason codes.Code
	// RetryAfter is the earliest useful time to ask again; 0 says nothing about it.
	RetryAfter time.Duration
	// Detail is free text beside Code.
	Detail string
	// Rows are the result's rows, as received.
	Rows []string
	// Proof is the upstream's authentication code of the result; empty for the proxy's own answers.
	Proof string
	// State is the session's transaction state afterwards.
	State State
	// Position is how far the answering upstream had applied its log; zero if it said nothing.
	Position tables.Position
	// Status is the answer to Status, Hold, Resume and Demote.
	Status *ServerStatus
}

// Refuse returns a reply of the proxy's own without a result.
func Refuse(c Code, reason codes.Code, s State, detail string) Reply {
	return Reply{Code: c, Reason: reason, State: s, Detail: detail}
}

// Refusal returns the answer that err means for a statement. An error without
// a number means that the outcome was not learnt.
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

// Err returns the proxy's own refusal as a numbered error; nil if there is none.
func (r Reply) Err() error {
	if r.Reason == codes.OK {
		return nil
	}
	return codes.New(r.Reason, r.ran(), r.RetryAfter, r.Detail)
}

// ran says what a refusal of the proxy's own means for the statement's effects.
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

// ServerStatus is an upstream's own account of itself.
type ServerStatus struct {
	// Leads says that it believes itself to be the primary.
	Leads bool
	// Term is the term that it follows or leads.
	Term tables.Term
	// Received is the newest position in its log, applied or not.
	Received tables.Position
	// Applied is how far it had applied its log.
	Applied tables.Position
	// Held is the term under which it was told to stop receiving; 0 while it receives.
	Held tables.Term
}
