package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuck is a writer that takes nothing until it is freed.
type stuck struct {
	free chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(p)
}

func TestStuckWriterNeverBlocksAndDropsAreTold(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	b := NewAsyncWriter(out)
	for range 3 * boundedLines {
		_, err := b.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	dropped := b.Dropped()
	assert.Assert(t, dropped >= 2*boundedLines-1, "%d", dropped)
	close(out.free)
	b.Close(time.Minute)
	assert.Assert(t, strings.Contains(out.String(), "logging: Dropped lines."))
	assert.Equal(t, uint64(strings.Count(out.String(), "line\n")), 3*boundedLines-dropped)
}
