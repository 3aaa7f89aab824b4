// Package retry decides whether a failed attempt may be retried and what is
// reported to the caller if not. A request that is not idempotent is never sent
// again once a byte of it may have reached an upstream.
package retry

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Stage is the point that an attempt reached.
type Stage uint8

const (
	// StageWaiting means that no byte was written to a connection.
	StageWaiting Stage = iota
	// StageWritten means that at least one byte may have reached an upstream.
	StageWritten
	// StageRejected means that the upstream replied that it did not run the request
	// because of its role or term.
	StageRejected
	// StageAnswered means that the upstream's complete response arrived.
	StageAnswered
)

// Exposure states whether an attempt may have had an effect.
type Exposure uint8

const (
	// NeverSent means that the attempt certainly had no effect.
	NeverSent Exposure = iota
	// MayHaveReached means that the attempt may have had its effect on the upstream.
	MayHaveReached
	// Answered means that the attempt completed and its response is known.
	Answered
)

// Classify returns the exposure of an attempt that ended at stage with err. A
// *codes.Error inside err can only raise the exposure given by the stage, never
// lower it.
func Classify(stage Stage, err error) Exposure {
	switch stage {
	case StageAnswered:
		return Answered
	case StageWritten:
		return MayHaveReached
	}
	if e, ok := codes.From(err); ok && e.Ran != codes.NotRun {
		return MayHaveReached
	}
	return NeverSent
}

// Ran returns what is reported to the caller about a request whose last attempt had
// exposure e. exposed states whether an earlier attempt may have reached an
// upstream.
func Ran(e Exposure, exposed bool) codes.Ran {
	switch {
	case e == Answered:
		return codes.Did
	case e == MayHaveReached || exposed:
		return codes.Unknown
	default:
		return codes.NotRun
	}
}

// Limits of the retry budget and of one request.
const (
	// SuccessesPerRetry is the number of successful requests that allow one retry.
	SuccessesPerRetry = 10
	// BurstRetries is the maximum number of retries that the budget accumulates.
	BurstRetries = 20
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts = 4
	// BackoffBase is the delay before the first retry of a request that was written.
	BackoffBase = 5 * time.Millisecond
)

// Budget limits retries to a fraction of the successful requests. It is not safe
// for concurrent use.
type Budget struct {
	credit int // in successful requests
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{credit: BurstRetries * SuccessesPerRetry}
}

// OnSuccess adds the credit of one successful request.
func (b *Budget) OnSuccess() {
	b.credit = min(b.credit+1, BurstRetries*SuccessesPerRetry)
}

// Available reports whether the budget allows a retry.
func (b *Budget) Available() bool { return b.credit >= SuccessesPerRetry }

// Spend takes one retry from the budget; it returns false if the budget is used up.
func (b *Budget) Spend() bool {
	if !b.Available() {
		return false
	}
	b.credit -= SuccessesPerRetry
	return true
}

// Attempt describes the request and the attempt that failed.
type Attempt struct {
	// Exposure is what the attempt may have done.
	Exposure Exposure
	// Exposed reports whether an earlier attempt may have reached an upstream.
	Exposed bool
	// Idempotent reports whether the caller declared the request idempotent.
	Idempotent bool
	// InTransaction reports whether the request belongs to an open transaction, which
	// can't be moved to another connection.
	InTransaction bool
	// Number is the number of the attempt, counting from 1.
	Number int
	// Deadline is when the caller stops waiting; 0 means never.
	Deadline tables.Time
	// ServiceTime is the expected duration of an attempt.
	ServiceTime time.Duration
}

// Decision states what follows a failed attempt.
type Decision struct {
	// Retry reports whether another attempt is to be made at At.
	Retry bool
	// At is the earliest time of the next attempt; valid if Retry is set.
	At tables.Time
	// Ran is what is reported to the caller; valid unless Retry is set.
	Ran codes.Ran
	// Exhausted reports whether the retry was denied only because of the budget.
	Exhausted bool
}

// Decide decides whether a failed attempt is retried. A retry is taken from the
// budget.
func Decide(now tables.Time, a Attempt, budget *Budget) Decision {
	stop := Decision{Ran: Ran(a.Exposure, a.Exposed)}
	if !mayRepeat(a) {
		return stop
	}
	at := now.Add(backoff(a))
	if a.Deadline != 0 && at.Add(a.ServiceTime) > a.Deadline {
		return stop
	}
	if !budget.Spend() {
		stop.Exhausted = true
		return stop
	}
	return Decision{Retry: true, At: at}
}

// mayRepeat reports whether a may be retried without risk of a duplicate effect.
func mayRepeat(a Attempt) bool {
	if a.Exposure == Answered || a.InTransaction || a.Number >= MaxAttempts {
		return false
	}
	return a.Idempotent || a.Exposure == NeverSent && !a.Exposed
}

// backoff returns the delay before the next attempt. It grows fourfold with each
// attempt; the first retry of a request that was never sent has no delay.
func backoff(a Attempt) time.Duration {
	if a.Exposure == NeverSent && a.Number == 1 {
		return 0
	}
	return BackoffBase << (2 * (a.Number - 1))
}
