package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// clock returns the time of the test's bubble.
func clock() func() tables.Time {
	start := time.Now()
	return func() tables.Time { return tables.Time(time.Since(start)) + 1 }
}

func request(deadline time.Duration, now tables.Time) admit.Request {
	return admit.Request{Service: "s", Weight: 1, Deadline: now.Add(deadline)}
}

func TestNeverMoreThanSlotsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock()
		g := New(3, 100, now)
		var running, most atomic.Int64
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				p, err := g.Acquire(context.Background(), request(10*time.Second, now()))
				assert.NilError(t, err)
				if n := running.Add(1); n > most.Load() {
					most.Store(n)
				}
				time.Sleep(5 * time.Millisecond)
				running.Add(-1)
				p.Release()
				p.Release()
			})
		}
		wg.Wait()
		assert.Equal(t, most.Load(), int64(3))
		assert.Equal(t, g.queue.Running(), 0)
	})
}

func TestHopelessRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock()
		g := New(1, 100, now)
		held, err := g.Acquire(context.Background(), request(time.Minute, now()))
		assert.NilError(t, err)
		start := now()
		_, err = g.Acquire(context.Background(), request(time.Second, now()))
		e, ok := codes.From(err)
		assert.Assert(t, ok)
		assert.Equal(t, e.Ran, codes.NotRun)
		assert.Assert(t, e.RetryAfter > 0)
		assert.Assert(t, now().Sub(start) < time.Second)
		held.Release()
	})
}

func TestCancelledWaitLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock()
		g := New(1, 100, now)
		held, err := g.Acquire(context.Background(), request(time.Minute, now()))
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			synctest.Wait()
			cancel()
		}()
		_, err = g.Acquire(ctx, request(time.Minute, now()))
		assert.ErrorIs(t, err, context.Canceled)
		held.Release()
		again, err := g.Acquire(context.Background(), request(time.Minute, now()))
		assert.NilError(t, err)
		again.Release()
		assert.Equal(t, len(g.waiters), 0)
	})
}
