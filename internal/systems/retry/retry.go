// Package retry decides whether a failed attempt may be made again and what
// the caller is told about it. A request that is not idempotent is never sent
// again once a byte of it may have reached an upstream.
package retry

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Stage is how far an attempt came.
type Stage uint8

const (
	// StageWaiting means that no byte was handed to a connection.
	StageWaiting Stage = iota
	// StageWritten means that at least one byte may have reached an upstream.
	StageWritten
	// StageRejected means that the upstream answered that it did not run the request, for its role or term.
	StageRejected
	// StageAnswered means that the upstream's whole answer arrived.
	StageAnswered
)

// Exposure says what an attempt may have done.
type Exposure uint8

const (
	// NeverSent means that the attempt surely had no effect.
	NeverSent Exposure = iota
	// MayHaveReached means that the attempt may have had its effect.
	MayHaveReached
	// Answered means that the attempt ended and its answer is known.
	Answered
)

// Classify returns the exposure of an attempt that ended at stage with err. A
// numbered result inside err that says more than the stage is believed only in
// the cautious direction.
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

// Ran returns what a caller is told about a request whose last attempt had
// exposure e. Earlier attempts that may have reached an upstream are given by
// exposed.
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

// Limits of the budget and of one request.
const (
	// SuccessesPerRetry is how many successes pay for one retry.
	SuccessesPerRetry = 10
	// BurstRetries is how many retries may be saved up.
	BurstRetries = 20
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 4
	// BackoffBase is the pause before the first retry of a written attempt.
	BackoffBase = 5 * time.Millisecond
)

// Budget bounds retries to a share of successes. It is not safe for
// concurrent use.
type Budget struct {
	credit int // in successes
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{credit: BurstRetries * SuccessesPerRetry}
}

// OnSuccess earns a part of a retry.
func (b *Budget) OnSuccess() {
	b.credit = min(b.credit+1, BurstRetries*SuccessesPerRetry)
}

// Available reports whether a retry can be paid for.
func (b *Budget) Available() bool { return b.credit >= SuccessesPerRetry }

// Spend pays for one retry; it reports false when the budget is used up.
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
	// Exposed says that an earlier attempt may have reached an upstream.
	Exposed bool
	// Idempotent is the caller's declaration.
	Idempotent bool
	// InTransaction says that the request belongs to a transaction under way, which can't move.
	InTransaction bool
	// Number counts attempts from 1.
	Number int
	// Deadline is when the caller stops waiting; 0 means never.
	Deadline tables.Time
	// ServiceTime is the expected duration of an attempt.
	ServiceTime time.Duration
}

// Decision is what to do after a failed attempt.
type Decision struct {
	// Retry says to make another attempt at At.
	Retry bool
	// At is the earliest time of the next attempt; valid when Retry.
	At tables.Time
	// Ran is what the caller is told; valid unless Retry.
	Ran codes.Ran
	// Exhausted says that only the budget stood in the way.
	Exhausted bool
}

// Decide returns what to do after a failed attempt. It spends from the budget
// when it decides to retry.
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

func mayRepeat(a Attempt) bool {
	if a.Exposure == Answered || a.InTransaction || a.Number >= MaxAttempts {
		return false
	}
	return a.Idempotent || a.Exposure == NeverSent && !a.Exposed
}

// backoff grows fourfold with each attempt; the first repeat of a request that
// was never sent goes at once.
func backoff(a Attempt) time.Duration {
	if a.Exposure == NeverSent && a.Number == 1 {
		return 0
	}
	return BackoffBase << (2 * (a.Number - 1))
}
