package rowrelay

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// storeCall is a read of the store that is under way, or with several regions a read
// through the reader of the region.
type storeCall struct {
	request request
	// direct says that the store itself is called.
	direct bool
	// startedAt is when the call was made, and overdueAt when the store should
	// have responded.
	startedAt, overdueAt tables.Time
	// begun is closed when the response begins to arrive, and done when the call has
	// ended.
	begun, done chan struct{}
	rows        platform.Rows
	err         error
}

// arriving reports whether the response has begun to arrive.
func (c *storeCall) arriving() bool {
	select {
	case <-c.begun:
		return true
	default:
		return false
	}
}

// wait returns the outcome of the call for the request q. age is that of callStore.
func (c *storeCall) wait(q request, age time.Duration) (platform.Rows, error) {
	<-c.done
	rows := c.rows
	rows.Age += age
	if q.Watch && c.err == nil && c.request.after() != q.after() && rows.At().Compare(q.after()) < 0 {
		// The call from an earlier version had its response before q was made.
		return platform.Rows{Era: q.Era, Version: q.After, Age: rows.Age + readerWatchTimeout}, nil
	}
	return rows, c.err
}

// readStore reads the store itself.
func (r *Relay) readStore(ctx context.Context, q request) (platform.Rows, error) {
	call, age := r.callStore(ctx, q)
	return call.wait(q, age)
}

// callStore returns a running call that serves q, or starts one. A second call for
// the same rows would share the link with the first. age is how long before now the
// response may have been made.
func (r *Relay) callStore(ctx context.Context, q request) (call *storeCall, age time.Duration) {
	direct := !r.regional || q.Direct || r.isRegionReader()
	allowance := r.storeAllowance()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	rows, ok, q := r.changesFromCopy(q)
	if ok {
		return finishedCall(q, rows, now), 0
	}
	for _, c := range r.calls {
		if !r.serves(c, q) {
			continue
		}
		if q.Watch && c.direct && !c.arriving() {
			return c, 0
		}
		return c, now.Sub(c.startedAt)
	}
	call = &storeCall{
		request: q, direct: direct, startedAt: now, overdueAt: now.Add(q.wait() + hedgeDelay + allowance),
		begun: make(chan struct{}), done: make(chan struct{}),
	}
	r.calls = append(r.calls, call)
	go r.runCall(context.WithoutCancel(ctx), call)
	return call, 0
}

// finishedCall returns a call that has ended with rows.
func finishedCall(q request, rows platform.Rows, now tables.Time) *storeCall {
	c := &storeCall{request: q, startedAt: now, overdueAt: now, begun: make(chan struct{}), done: make(chan struct{}), rows: rows}
	close(c.begun)
	close(c.done)
	return c
}

// serves reports whether the response of a running call is one to q. A watch is
// served by a call for the same changes that waits as long, or whose response is
// arriving. A read is served only if its table is large, or with several regions.
func (r *Relay) serves(c *storeCall, q request) bool {
	if c.request.Table != q.Table || c.request.Watch != q.Watch || q.Direct && !c.direct {
		return false
	}
	if !q.Watch {
		return r.regional || r.UrgentTables[q.Table]
	}
	if r.regional {
		return c.servesInRegion(q)
	}
	return c.request.after() == q.after() && (c.request.WaitMillis == q.WaitMillis || c.arriving())
}

// servesInRegion reports whether the response to a watch is one to q, with several
// regions. Another call would return a second copy of the same change, so a call from an
// earlier version serves, whose changes include those that q needs, and a call with a
// shorter wait, after which q is repeated.
func (c *storeCall) servesInRegion(q request) bool {
	return c.request.Era == q.Era && c.request.After <= q.After && (c.request.WaitMillis <= q.WaitMillis || c.arriving())
}

// runCall makes the call.
func (r *Relay) runCall(ctx context.Context, c *storeCall) {
	if r.regional {
		c.rows, c.err = r.readForRegion(ctx, c)
		if c.err == nil {
			r.updateCopy(c.request, c.rows, c.startedAt)
		}
	} else {
		c.rows, c.err = r.readStoreNow(ctx, c)
	}
	r.mu.Lock()
	r.calls = slices.DeleteFunc(r.calls, func(o *storeCall) bool { return o == c })
	r.mu.Unlock()
	close(c.done)
}

// readStoreNow calls the store.
func (r *Relay) readStoreNow(ctx context.Context, c *storeCall) (rows platform.Rows, err error) {
	q, start := c.request, r.Now()
	ctx = platform.OnResponse(ctx, func() {
		r.recordStoreTime(q, r.Now().Sub(start))
		close(c.begun)
	})
	if q.Watch {
		rows, err = r.Store.WatchTable(ctx, q.Table, q.after(), q.wait())
	} else {
		rows, err = r.Store.ReadTable(ctx, q.Table)
	}
	if !c.arriving() && err != nil {
		r.recordStoreLate(q)
	}
	r.recordStoreResult(rows, err)
	r.mu.Lock()
	r.budgetFor(q).record(err != nil && retryable(err))
	r.mu.Unlock()
	return rows, err
}
