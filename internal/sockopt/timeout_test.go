package sockopt

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestTimedOutMatchesOnlyTimeouts(t *testing.T) {
	for _, err := range []error{os.ErrDeadlineExceeded, context.DeadlineExceeded, &net.OpError{Err: os.ErrDeadlineExceeded}} {
		assert.Assert(t, TimedOut(err), "%v", err)
		assert.Assert(t, TimedOut(errors.Wrap(err, "read")), "%v", err)
	}
	for _, err := range []error{nil, io.EOF, syscall.ECONNRESET, &net.OpError{Err: syscall.ECONNREFUSED}, context.Canceled} {
		assert.Assert(t, !TimedOut(err), "%v", err)
	}
}
