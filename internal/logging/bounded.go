package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// boundedLines is how many lines may wait to be written: some seconds of the
// most that a proxy writes.
const boundedLines = 4096

// AsyncWriter writes lines beside the program: a writer that is slow or stuck
// never holds it up. Lines that find no room are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewAsyncWriter returns a writer before w. Close writes what waits.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	b := &AsyncWriter{lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write implements io.Writer; it takes one line and never fails.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines found no room.
func (b *AsyncWriter) Dropped() uint64 { return b.dropped.Load() }

func (b *AsyncWriter) run(w io.Writer) {
	defer close(b.done)
	told := uint64(0)
	for line := range b.lines {
		if n := b.dropped.Load(); n != told {
			_, _ = fmt.Fprintf(w, "time=%s level=WARN msg=\"logging: Dropped lines.\" lines=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), n-told) // a log that can't be written has nowhere to say so
			told = n
		}
		_, _ = w.Write(line) // as above
	}
}

// Close writes the lines that wait, for as long as the writer takes them
// within d. Write must not be called any more.
func (b *AsyncWriter) Close(d time.Duration) {
	close(b.lines)
	select {
	case <-b.done:
	case <-time.After(d):
	}
}
