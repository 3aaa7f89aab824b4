// Package sleep provides a sleep that ends early when a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns ctx's error as soon as ctx ends. If
// d is 0 or negative, it returns ctx's error, if any, without waiting.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
