package retry

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestClassify(t *testing.T) {
	unknown := codes.New(codes.UpstreamLost, codes.Unknown, 0, "")
	notRun := codes.New(codes.NoPrimary, codes.NotRun, 0, "")
	for _, c := range []struct {
		name  string
		stage Stage
		err   error
		want  Exposure
	}{
		{"connect refused", StageWaiting, errors.New("refused"), NeverSent},
		{"reset after a byte", StageWritten, errors.New("reset"), MayHaveReached},
		{"written but labelled not run", StageWritten, notRun, MayHaveReached},
		{"waiting but labelled unknown", StageWaiting, errors.Wrap(unknown, "x"), MayHaveReached},
		{"rejected for its term", StageRejected, notRun, NeverSent},
		{"answered", StageAnswered, nil, Answered},
	} {
		assert.Equal(t, Classify(c.stage, c.err), c.want, c.name)
	}
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name string
		in   Attempt
		want Decision
	}{
		{"never sent goes at once", Attempt{Number: 1}, Decision{Retry: true}},
		{"written, not idempotent", Attempt{Exposure: MayHaveReached, Number: 1}, Decision{Ran: codes.Unknown}},
		{"exposed earlier, not idempotent", Attempt{Exposed: true, Number: 2}, Decision{Ran: codes.Unknown}},
		{"written, idempotent", Attempt{Exposure: MayHaveReached, Idempotent: true, Number: 1}, Decision{Retry: true, At: tables.Time(BackoffBase)}},
		{"answered", Attempt{Exposure: Answered, Idempotent: true, Number: 1}, Decision{Ran: codes.Did}},
		{"in a transaction", Attempt{InTransaction: true, Number: 1}, Decision{Ran: codes.NotRun}},
		{"deadline", Attempt{Number: 1, Deadline: tables.Time(time.Millisecond), ServiceTime: time.Second}, Decision{Ran: codes.NotRun}},
		{"attempts used up", Attempt{Number: MaxAttempts}, Decision{Ran: codes.NotRun}},
	} {
		assert.Equal(t, Decide(0, c.in, NewBudget()), c.want, c.name)
	}
}

func TestBudgetBoundsRetriesToAShareOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget()
		successes, retries := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "requests") {
			if rapid.Bool().Draw(t, "success") {
				budget.OnSuccess()
				successes++
			} else if Decide(0, Attempt{Number: 1}, budget).Retry {
				retries++
			}
		}
		assert.Assert(t, retries <= BurstRetries+successes/SuccessesPerRetry+1)
	})
}

// A request is driven through random failures. Whatever happens, one that is
// not idempotent is written at most once, and "not run" is told only when
// nothing was written.
func TestNonIdempotentIsWrittenAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{Idempotent: rapid.Bool().Draw(t, "idempotent")}
		budget, written := NewBudget(), 0
		for {
			a.Number++
			stage := rapid.SampledFrom([]Stage{StageWaiting, StageWritten, StageRejected}).Draw(t, "stage")
			if stage == StageWritten {
				written++
			}
			a.Exposure = Classify(stage, errors.New("lost"))
			d := Decide(0, a, budget)
			if !d.Retry {
				assert.Equal(t, d.Ran == codes.NotRun, written == 0)
				break
			}
			a.Exposed = a.Exposed || a.Exposure == MayHaveReached
		}
		assert.Assert(t, a.Idempotent || written <= 1)
		assert.Assert(t, a.Number <= MaxAttempts)
	})
}
