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

// clock returns a clock with the time of the synctest bubble.
func clock() func() tables.Time {
	start := time.Now()
	return func() tables.Time { return tables.Time(time.Since(start)) + 1 }
}

func request(deadline time.Duration, now tables.Time) admit.Request {
	return admit.Request{Service: "s", Weight: 1, Deadline: now.Add(deadline)}
}

func TestRunsAtMostOneRequestPerSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock()
		l := New(3, 100, now)
		var running, maxRunning atomic.Int64
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				slot, err := l.Acquire(context.Background(), request(10*time.Second, now()))
				assert.NilError(t, err)
				if n := running.Add(1); n > maxRunning.Load() {
					maxRunning.Store(n)
				}
				time.Sleep(5 * time.Millisecond)
				running.Add(-1)
				slot.Release()
				slot.Release()
			})
		}
		wg.Wait()
		assert.Equal(t, maxRunning.Load(), int64(3))
		assert.Equal(t, l.queue.Running(), 0)
	})
}

func TestRefusesRequestBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock()
		l := New(1, 100, now)
		held, err := l.Acquire(context.Background(), request(time.Minute, now()))
		assert.NilError(t, err)
		start := now()
		_, err = l.Acquire(context.Background(), request(time.Second, now()))
		e, ok := codes.From(err)
		assert.Assert(t, ok)
		assert.Equal(t, e.Ran, codes.NotRun)
		assert.Assert(t, e.RetryAfter > 0)
		assert.Assert(t, now().Sub(start) < time.Second)
		held.Release()
	})
}

func TestCancelledWaitReleasesResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock()
		l := New(1, 100, now)
		held, err := l.Acquire(context.Background(), request(time.Minute, now()))
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			synctest.Wait()
			cancel()
		}()
		_, err = l.Acquire(ctx, request(time.Minute, now()))
		assert.ErrorIs(t, err, context.Canceled)
		held.Release()
		again, err := l.Acquire(context.Background(), request(time.Minute, now()))
		assert.NilError(t, err)
		again.Release()
		assert.Equal(t, len(l.waiters), 0)
	})
}

// A paced gate must run a waiting request, and one that arrives too late to wait,
// instead of refusing them; without a reserve both are refused.
func TestPaceAloneRefusesNothing(t *testing.T) {
	for _, reserve := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			now := clock()
			l := New(3, 100, now)
			l.SetPace(1, reserve)
			_, err := l.Acquire(context.Background(), request(time.Second, now()))
			assert.NilError(t, err)
			began := now()
			_, err = l.Acquire(context.Background(), request(100*time.Millisecond, now()))
			assert.Equal(t, err == nil, reserve > 0)
			assert.Assert(t, now().Sub(began) > 80*time.Millisecond, "it waits for the slot first")
			_, err = l.Acquire(context.Background(), request(2*time.Millisecond, now()))
			assert.Equal(t, err == nil, reserve > 0)
			_, err = l.Acquire(context.Background(), request(2*time.Millisecond, now()))
			assert.Assert(t, err != nil, "the reserve is full")
		})
	}
}
