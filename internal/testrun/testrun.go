// Package testrun runs components in goroutines for the duration of a test.
package testrun

import (
	"context"
	"testing"
)

// Go calls run in a goroutine. At the end of the test, or when stop is called,
// it cancels the context of run and waits for run to return. The error of run is
// ignored.
func Go(t testing.TB, run func(ctx context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}
