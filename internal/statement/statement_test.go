package statement

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestRefusalPreservesError guards against losing the information whether a request
// ran when an error is converted to a reply: a caller may resend only a request that
// did not run.
func TestRefusalPreservesError(t *testing.T) {
	for _, ran := range []codes.Ran{codes.NotRun, codes.Unknown, codes.Did} {
		want := codes.New(codes.NoSlot, ran, time.Second, "why")
		r := Refusal(errors.Wrap(want, "outer"), Failed)
		got, ok := codes.From(r.Err())
		assert.Assert(t, ok)
		assert.DeepEqual(t, got, want)
		assert.Equal(t, r.State, Failed)
		assert.Equal(t, r.Code.NotRun(), ran == codes.NotRun)
	}
}

func TestRefusalOfOtherErrorIsUnsure(t *testing.T) {
	r := Refusal(errors.New("cut"), Idle)
	assert.Equal(t, r.Code, Unsure)
	assert.Equal(t, r.Reason, codes.UpstreamLost)
}

func TestUpstreamReplyIsNotARefusal(t *testing.T) {
	assert.NilError(t, Reply{Code: RunFailed, Detail: "duplicate key"}.Err())
	assert.NilError(t, Reply{}.Err())
}
