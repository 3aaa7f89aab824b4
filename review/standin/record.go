//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{started: time.Now(), file: f}, err
}

// now returns the time since the start of the case.
func (r *recorder) now() time.Duration { return time.Since(r.started) }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if len(text) > maxRecordLine {
		text = text[:maxRecordLine] + "..."
	}
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.started).Seconds(), text)
}

const maxRecordLine = 400
