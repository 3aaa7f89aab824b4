// Package testrun runs components in the background of a test.
package testrun

import (
	"context"
	"testing"
)

// Go calls run in a goroutine until the test ends or stop is called, and then
// waits for it. The error of run is ignored.
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
