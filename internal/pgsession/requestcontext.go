package pgsession

import (
	"context"
	"sync"
	"time"
)

// requestContext is the context of one request. Most requests never wait, so
// the timer behind Done is created on first use.
type requestContext struct {
	parent   context.Context
	deadline time.Time

	mu     sync.Mutex
	inner  context.Context
	cancel context.CancelFunc
	// cancelled is set when the caller cancelled the request.
	cancelled bool
}

var _ context.Context = (*requestContext)(nil)

// Deadline implements context.Context.
func (c *requestContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Done implements context.Context.
func (c *requestContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inner == nil {
		c.inner, c.cancel = context.WithDeadline(c.parent, c.deadline)
		if c.cancelled {
			c.cancel()
		}
	}
	return c.inner.Done()
}

// Err implements context.Context.
func (c *requestContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cancelled:
		return context.Canceled
	case c.inner != nil && c.inner.Err() != nil:
		return c.inner.Err()
	case !time.Now().Before(c.deadline):
		return context.DeadlineExceeded
	default:
		return c.parent.Err()
	}
}

// Value implements context.Context.
func (c *requestContext) Value(key any) any { return c.parent.Value(key) }

// cancelByCaller ends all waits because the caller cancelled the request.
func (c *requestContext) cancelByCaller() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.cancel != nil {
		c.cancel()
	}
}

// release frees the timer at the end of the request.
func (c *requestContext) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}
