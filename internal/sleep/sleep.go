// Package sleep waits for a time that a context may cut short.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns nil, or ctx's error once ctx ends. A d of 0 or
// less does not wait.
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
