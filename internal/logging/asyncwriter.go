package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the number of lines that may wait to be written. A proxy at its
// highest log rate writes this many in a few seconds.
const maxQueuedLines = 4096

// AsyncWriter writes lines asynchronously through a bounded queue, so that a slow or
// blocked writer never blocks the program. Lines that don't fit into the queue are
// dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewAsyncWriter returns an asynchronous writer to w. Close writes the queued lines.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It queues or drops one line and never fails.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	reported := uint64(0)
	for line := range a.lines {
		if n := a.dropped.Load(); n != reported {
			// Errors are ignored here and below: those of the log's own writer can't be logged.
			_, _ = fmt.Fprintf(w, "time=%s level=WARN msg=\"logging: Dropped lines.\" lines=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), n-reported)
			reported = n
		}
		_, _ = w.Write(line)
	}
}

// Close writes the queued lines and returns when they are written or after d. Write
// must not be called after Close.
func (a *AsyncWriter) Close(d time.Duration) {
	close(a.lines)
	select {
	case <-a.done:
	case <-time.After(d):
	}
}
