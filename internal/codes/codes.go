// Package codes defines the numbered results that the proxy itself returns to
// callers and operators. An error gets its code where it is created and keeps it
// up to the wire. docs/RESULT-CODES.md lists every code; a test compares the two.
package codes

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Ran is whether a request that failed took effect.
type Ran uint8

const (
	// NotRun means that no upstream received any byte of the request.
	NotRun Ran = iota
	// Unknown means that the request reached an upstream and its outcome is not
	// known.
	Unknown
	// Did means that the request ran and its effects remain.
	Did
)

// String returns the wire form of r: "not run", "unknown" or "ran".
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not run"
	case Did:
		return "ran"
	default:
		return "unknown"
	}
}

// Code is a numbered result. A number is never reused for another result.
type Code int

// Codes for callers are 1xx to 4xx, codes for operators 5xx, codes between processes 6xx.
const (
	OK Code = 0

	BadTag          Code = 101
	UnknownService  Code = 102
	AuthFailed      Code = 103
	FrameTooLarge   Code = 104
	Unsupported     Code = 105
	MalformedFrame  Code = 106
	SessionState    Code = 107
	BadSessionToken Code = 108
	UnknownKey      Code = 109
	KeyRemoved      Code = 110

	NoPrimary      Code = 201
	PrimaryChanged Code = 202
	NoFreshReplica Code = 203
	UpstreamLost   Code = 204
	NotConfirmed   Code = 205
	UpstreamFailed Code = 206

	QueueFull        Code = 301
	DeadlineTooShort Code = 302
	DeadlinePassed   Code = 303
	NoSlot           Code = 304
	RetryBudget      Code = 305
	TooManyCallers   Code = 306
	TeamLimit        Code = 307

	ShuttingDown Code = 401
	NotReady     Code = 402

	StaleBase       Code = 501
	PlanUnknown     Code = 502
	DeclarationBad  Code = 503
	PlatformDown    Code = 504
	OutcomeUnknown  Code = 505
	NotAuthorized   Code = 506
	NothingToChange Code = 507

	PeerFrameTooLarge Code = 601
	PeerVersion       Code = 602
)

// Info describes a code for the documentation and the wire protocol.
type Info struct {
	// Code is the number.
	Code Code
	// Name is the name of the constant.
	Name string
	// SQLState is the five-character SQLSTATE sent to callers.
	SQLState string
	// Text explains the code in one sentence.
	Text string
}

// All lists every code in ascending order.
var All = []Info{
	{OK, "OK", "00000", "The request succeeded."},
	{BadTag, "BadTag", "22023", "A declared request tag could not be read."},
	{UnknownService, "UnknownService", "3D000", "No database service of that name is configured."},
	{AuthFailed, "AuthFailed", "28P01", "The user or the password is wrong."},
	{FrameTooLarge, "FrameTooLarge", "54000", "A protocol message exceeds the size limit."},
	{Unsupported, "Unsupported", "0A000", "The proxy does not carry this kind of request."},
	{MalformedFrame, "MalformedFrame", "08P01", "A protocol message could not be read."},
	{SessionState, "SessionState", "0A000", "The request would leave state on a shared connection."},
	{BadSessionToken, "BadSessionToken", "22023", "The session token could not be read."},
	{UnknownKey, "UnknownKey", "28P01", "The caller's key is unknown."},
	{KeyRemoved, "KeyRemoved", "28P01", "The caller's key was removed from the configuration."},
	{NoPrimary, "NoPrimary", "57P03", "The database has no confirmed primary at the moment."},
	{PrimaryChanged, "PrimaryChanged", "40001", "The primary was replaced while the request was under way."},
	{NoFreshReplica, "NoFreshReplica", "57P03", "No server can answer within the stated age."},
	{UpstreamLost, "UpstreamLost", "08006", "The connection to the upstream broke while the request was under way."},
	{NotConfirmed, "NotConfirmed", "08007", "The write was not confirmed by a second server in time."},
	{UpstreamFailed, "UpstreamFailed", "08006", "The upstream refused the request or failed to run it."},
	{QueueFull, "QueueFull", "53300", "The queue of this database is full."},
	{DeadlineTooShort, "DeadlineTooShort", "53300", "The request could not be served before its deadline."},
	{DeadlinePassed, "DeadlinePassed", "57014", "The deadline passed while the request was under way."},
	{NoSlot, "NoSlot", "53300", "No slot on an upstream became free in time."},
	{RetryBudget, "RetryBudget", "53300", "The retry budget is used up."},
	{TooManyCallers, "TooManyCallers", "53300", "The proxy holds its limit of caller connections."},
	{TeamLimit, "TeamLimit", "53300", "The team has reached its limit of operations."},
	{ShuttingDown, "ShuttingDown", "57P01", "The proxy is shutting down."},
	{NotReady, "NotReady", "57P03", "The proxy has no configuration yet."},
	{StaleBase, "StaleBase", "55000", "The plan was made from a configuration that has been replaced."},
	{PlanUnknown, "PlanUnknown", "55000", "No plan of that id is stored."},
	{DeclarationBad, "DeclarationBad", "55000", "The declarations contain errors."},
	{PlatformDown, "PlatformDown", "55000", "The platform's table service or object store did not answer."},
	{OutcomeUnknown, "OutcomeUnknown", "55000", "The platform may have applied the change; ask again with the same id."},
	{NotAuthorized, "NotAuthorized", "55000", "The operator is unknown or the key is wrong."},
	{NothingToChange, "NothingToChange", "55000", "The declarations equal the configuration in force."},
	{PeerFrameTooLarge, "PeerFrameTooLarge", "54000", "A frame between proxies exceeds the size limit."},
	{PeerVersion, "PeerVersion", "08P01", "A frame between proxies has an unknown version."},
}

var byCode = indexCodes()

func indexCodes() map[Code]Info {
	m := make(map[Code]Info, len(All))
	for _, in := range All {
		m[in.Code] = in
	}
	return m
}

// Lookup returns the description of c; ok is false for an unassigned number.
func Lookup(c Code) (in Info, ok bool) {
	in, ok = byCode[c]
	return in, ok
}

// Error is an error with a code that is returned to a caller or operator.
type Error struct {
	// Code is the number.
	Code Code
	// Ran is whether the request took effect.
	Ran Ran
	// RetryAfter is the shortest useful delay before a retry; 0 means that a retry
	// does not help.
	RetryAfter time.Duration
	// Detail is a short explanation; it may be empty.
	Detail string
}

// New returns an Error; detail may be empty.
func New(c Code, ran Ran, retryAfter time.Duration, detail string) *Error {
	return &Error{Code: c, Ran: ran, RetryAfter: retryAfter, Detail: detail}
}

// Error implements error: "code 201 NoPrimary (not run): detail".
func (e *Error) Error() string {
	in, _ := Lookup(e.Code)
	s := fmt.Sprintf("code %d %s (%s)", e.Code, in.Name, e.Ran)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}

// From returns the Error in err's chain, if there is one.
func From(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}
