package rowrelay

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// awaitDirectory waits until the directory was read after the start.
func (r *Relay) awaitDirectory(ctx context.Context) {
	select {
	case <-r.directoryRead:
		return
	default:
	}
	timer := time.NewTimer(directoryWait)
	defer timer.Stop()
	select {
	case <-r.directoryRead:
	case <-timer.C:
	case <-ctx.Done():
	}
}

var (
	// errLate means that a reader responds but does not have the rows in time. The
	// requester neither backs off from it nor calls the store.
	errLate = errors.Wrap(platform.ErrUnavailable, "a reader's rows are late")
	// errIsReader means that this proxy is the reader itself.
	errIsReader = errors.New("rowrelay: this proxy is the reader")
	// errNoStore means that a reader responds but has lost the store. The first proxies
	// of the region look for the store on behalf of all.
	errNoStore = errors.Wrap(platform.ErrUnavailable, "a reader does not reach the store")
	// errNoReader means that no reader responded.
	errNoReader = errors.Wrap(platform.ErrUnavailable, "no reader responds")
	// errNoBudget means that this proxy may not call the store now.
	errNoBudget = errors.Wrap(platform.ErrUnavailable, "the budget of calls to the store is used up")
)

// readInRegion reads through the reader of the data centre, or as that reader.
func (r *Relay) readInRegion(ctx context.Context, q request) (platform.Rows, error) {
	r.awaitDirectory(ctx)
	q.TimeoutMillis = readerWatchTimeout.Milliseconds()
	rows, err := r.readThrough(ctx, levelDataCentre, q)
	switch {
	case errors.Is(err, errIsReader):
		return r.readAsReader(ctx, q)
	case !errors.Is(err, errNoReader):
		return rows, err
	}
	q.Direct = true
	return r.awaitCall(ctx, q)
}

// readAsReader returns the rows that this proxy, the reader of its data centre, has
// or requests.
func (r *Relay) readAsReader(ctx context.Context, q request) (platform.Rows, error) {
	if r.isShared(q) {
		ctx, cancel := context.WithTimeout(ctx, sharedTimeout)
		defer cancel()
		return r.currentSharedRows(ctx, false)
	}
	if r.isRegionReader() {
		return r.read(ctx, q)
	}
	return r.awaitCall(ctx, q)
}

// awaitCall returns the outcome of a call, without the requests to further peers of
// read: they would multiply the load of a slow store.
func (r *Relay) awaitCall(ctx context.Context, q request) (platform.Rows, error) {
	if !q.Watch {
		if rows, ok, err := r.readCopy(ctx, q); ok {
			return rows, err
		}
	}
	call, age := r.callStore(ctx, q)
	select {
	case <-call.done:
		return call.wait(q, age)
	case <-ctx.Done():
		return platform.Rows{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
}

// isShared reports whether a request is for the newest rows of the shared table.
func (r *Relay) isShared(q request) bool { return q.Table == r.SharedTable && !q.Watch }

// readThroughRegion requests rows from the readers of this region.
func (r *Relay) readThroughRegion(ctx context.Context, q request) (platform.Rows, error) {
	q.TimeoutMillis = readerWatchTimeout.Milliseconds()
	return r.readThrough(ctx, levelRegion, q)
}

// readThrough requests rows from the first readers of a level. The error is errLate if
// one responds but none has the rows in time, errNoStore if those that respond have
// lost the store, and errIsReader if it is this proxy's turn. All but the first reader of
// a region call the store instead of another reader.
func (r *Relay) readThrough(ctx context.Context, l level, q request) (platform.Rows, error) {
	if r.isShared(q) {
		return r.readSharedThrough(ctx, l, q)
	}
	var tried []tables.VMID
	var last error = errNoReader
	for range readersTried {
		p, ok := r.nextReader(l, tried...)
		if !ok {
			if errors.Is(last, errLate) {
				return platform.Rows{}, errLate
			}
			return platform.Rows{}, errIsReader
		}
		q.Direct = l == levelRegion && len(tried) > 0
		rows, err := r.readFromPeer(ctx, p, q, q.timeout()+peerTimeout, nil)
		if err == nil || errors.Is(err, platform.ErrHistoryLost) || ctx.Err() != nil {
			return rows, err
		}
		last = worse(last, err)
		tried = append(tried, p.VM)
	}
	return platform.Rows{}, last
}

// worse returns the outcome of two failed requests to readers: a reader that responds
// says more than one that does not.
func worse(a, b error) error {
	for _, err := range []error{errLate, errNoStore} {
		if errors.Is(a, err) || errors.Is(b, err) {
			return err
		}
	}
	return errNoReader
}

// readSharedThrough requests the shared rows from the first reader, and from the next
// one if that fails, or takes longer than readers usually do.
func (r *Relay) readSharedThrough(ctx context.Context, l level, q request) (platform.Rows, error) {
	q.TimeoutMillis = (sharedTimeout - lateMargin).Milliseconds()
	results := make(chan result, readersTried)
	var tried []tables.VMID
	var last error = errNoReader
	pending, isReader := 0, false
	ask := func() {
		p, ok := r.nextReader(l, tried...)
		if !ok || len(tried) == readersTried {
			isReader = !ok
			return
		}
		q := q
		q.Direct = l == levelRegion && len(tried) > 0
		tried = append(tried, p.VM)
		pending++
		go func() {
			rows, err := r.readSharedFrom(ctx, p, q)
			results <- result{rows, err}
		}()
	}
	ask()
	hedge := time.NewTimer(r.readerAllowance() + readerTimeout)
	defer hedge.Stop()
	for pending > 0 {
		select {
		case res := <-results:
			if res.err == nil {
				return res.rows, nil
			}
			pending--
			last = worse(last, res.err)
			// The rows of a further reader would be as late.
			if !errors.Is(last, errLate) {
				ask()
			}
		case <-hedge.C:
			ask()
		}
	}
	if isReader && !errors.Is(last, errLate) {
		return platform.Rows{}, errIsReader
	}
	return platform.Rows{}, last
}

// readSharedFrom requests the shared rows from one reader.
func (r *Relay) readSharedFrom(ctx context.Context, p Peer, q request) (platform.Rows, error) {
	r.mu.Lock()
	cached := r.sharedRows
	r.mu.Unlock()
	q.Seen = fingerprintOf(cached)
	start := r.Now()
	res, err := r.queryPeer(ctx, p, q, sharedTimeout, nil)
	if err != nil {
		return platform.Rows{}, err
	}
	if res.Unchanged {
		res.Rows.Rows = cached.Rows
	}
	r.recordReaderTime(r.Now().Sub(start))
	return res.Rows, nil
}

// readForRegion makes a call on behalf of this data centre: through the reader of the
// region, or to the store.
func (r *Relay) readForRegion(ctx context.Context, c *storeCall) (rows platform.Rows, err error) {
	q := c.request
	if !c.direct {
		rows, err := r.readThroughRegion(ctx, q)
		if !errors.Is(err, errNoReader) && !errors.Is(err, errIsReader) {
			return rows, err
		}
	}
	if wait := r.deference(); wait > 0 && r.UrgentTables[q.Table] && q.Watch && !q.Direct && !q.starting && sleep.For(ctx, wait) == nil {
		rows, err := r.readThroughRegion(ctx, q)
		if !errors.Is(err, errNoReader) && !errors.Is(err, errIsReader) {
			return rows, err
		}
	}
	if other := r.turnDirect(c); other != nil {
		<-other.done
		return other.rows, other.err
	}
	if !r.allowStoreCall(q) {
		return platform.Rows{}, errNoBudget
	}
	if r.Lost() {
		return r.readLost(ctx, q)
	}
	return r.readStoreNow(ctx, c)
}

// deference returns how long this proxy waits before it calls the store for large rows in
// place of the readers before it: after an outage all of them reach the store again at
// about the same time, and one should fetch the rows for all. It holds for watches only: a
// proxy that starts needs the rows now.
func (r *Relay) deference() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := slices.IndexFunc(r.regionOrder, func(p Peer) bool { return p.VM == r.Self.VM })
	return time.Duration(min(max(rank, 0), freeRank)) * storeRetryInterval
}

// turnDirect makes a call one to the store, unless a call to the store that serves its
// request is under way, which it returns.
func (r *Relay) turnDirect(c *storeCall) *storeCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.direct {
		return nil
	}
	for _, o := range r.calls {
		if o != c && o.direct && r.serves(o, c.request) {
			return o
		}
	}
	c.direct = true
	return nil
}

// readLost reads through peers while the store is lost, also through those of other
// regions: a region may be cut off from the store alone. Meanwhile it checks whether
// the store responds again.
func (r *Relay) readLost(ctx context.Context, q request) (platform.Rows, error) {
	r.checkLostStore(ctx, storeRetryInterval)
	if r.UrgentTables[q.Table] && !r.isRegionReader() {
		// The reader of the region requests large rows for all.
		return platform.Rows{}, errNoStore
	}
	// A longer wait would outlast the store's return.
	return r.readFromPeers(ctx, q, min(q.wait(), storeRetryInterval))
}

// readSharedInRegion reads the shared table through the reader of this region, or from
// the store. It sets asOf to when the read began.
func (r *Relay) readSharedInRegion(ctx context.Context, direct bool, asOf *tables.Time) (platform.Rows, error) {
	q := request{Table: r.SharedTable, Direct: direct}
	if !direct {
		rows, err := r.readThroughRegion(ctx, q)
		if !errors.Is(err, errNoReader) && !errors.Is(err, errIsReader) {
			return rows, err
		}
		*asOf = r.Now()
	}
	if r.Lost() {
		return r.read(ctx, q)
	}
	q.Direct = true
	return r.awaitCall(ctx, q)
}

// readDirectoryFor returns the directory for a peer, from a copy if it is recent.
func (r *Relay) readDirectoryFor(ctx context.Context, q request) (platform.Rows, error) {
	start := r.Now()
	r.mu.Lock()
	rows, asOf := r.directory, r.directoryAsOf
	r.mu.Unlock()
	if asOf != 0 && start.Sub(asOf) <= maxDirectoryAge {
		rows.Age = start.Sub(asOf)
		return rows, nil
	}
	rows, err := r.awaitCall(ctx, q)
	if err == nil {
		r.mu.Lock()
		r.directory, r.directoryAsOf = rows, start.Add(-rows.Age)
		r.mu.Unlock()
	}
	return rows, err
}

// refreshAhead reads the shared rows again, if they will soon be too old, while they
// are handed on. Only the region's reader does: the others receive its copy at once.
func (r *Relay) refreshAhead(ctx context.Context, age time.Duration) {
	if !r.regional || age < max(maxSharedAge-r.storeAllowance(), minRefreshAge) || !r.isRegionReader() {
		return
	}
	r.reads.DoChan(r.SharedTable, func() (any, error) { return nil, r.refreshSharedRows(context.WithoutCancel(ctx), false) })
}
