package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(p)
}

func TestBlockedWriterDropsLinesAndReportsThem(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	a := NewAsyncWriter(out)
	for range 3 * maxQueuedLines {
		_, err := a.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	dropped := a.Dropped()
	assert.Assert(t, dropped >= 2*maxQueuedLines-1, "%d", dropped)
	close(out.unblock)
	a.Close(time.Minute)
	assert.Assert(t, strings.Contains(out.String(), "logging: Dropped lines."))
	assert.Equal(t, uint64(strings.Count(out.String(), "line\n")), 3*maxQueuedLines-dropped)
}
