package rowrelay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// With several regions, reads pass a chain: a proxy requests rows from the
// designated reader of its data centre, that one from the reader of the region, and
// that one from the store. Every link of the chain joins requests for the same rows,
// so rows cross the link between the regions once per region. A reader whose rows
// are late says so before its requester's timeout: a slow store is not taken for a
// stopped reader, and does not make further proxies call the store.
const (
	// readersTried is how many readers of one level are tried for a request.
	readersTried = 2
	// freeRank is the number of proxies of a region that may call the store without a
	// budget: the first by name, and the one that takes over from it.
	freeRank = 2
	// minDirectInterval is the time between two calls to the store by any other proxy.
	// It leaves a proxy that is the reader because many before it have stopped
	// enough for its region: 4 reads of shared rows and 3 watches per second.
	minDirectInterval = 100 * time.Millisecond
	// maxDirectInterval bounds that time, which doubles with each failed call.
	maxDirectInterval = 2 * time.Second
	// largeDirectInterval is the same for calls that may return a large row. 44
	// copies of 278 kB take 1.6 s of the link of 60 Mbit/s between two regions.
	largeDirectInterval = 4 * time.Second
	// readerWatchTimeout is how long a reader holds a watch of any table. It decides
	// how soon a stopped reader is noticed.
	readerWatchTimeout = urgentWatchTimeout
	// lateMargin is the time between a reader's reply that its rows are late and the
	// requester's timeout.
	lateMargin = 30 * time.Millisecond
	// minRefreshAge is the least age of shared rows at which a region's reader reads
	// them again before they are too old.
	minRefreshAge = 150 * time.Millisecond
	// maxRegionalRequests bounds the peers' requests served at the same time. Each
	// proxy of a data centre holds three watches at its reader.
	maxRegionalRequests = 512
	// directoryWait bounds how long the first reads wait for the directory, without
	// which every proxy takes itself for the reader.
	directoryWait = 500 * time.Millisecond
	// checkInterval is how often peers whose backoff has ended are checked, and
	// maxChecks how many at a time.
	checkInterval = 500 * time.Millisecond
	maxChecks     = 8
	// maxRegionalDoublings bounds the doublings of the backoff: a check costs no
	// statement a wait, so it can be frequent.
	maxRegionalDoublings = 2
)

// hasRegions reports whether the settings name more than one region.
func hasRegions(regions map[tables.DataCentreID]string) bool {
	first := ""
	for _, region := range regions {
		if first != "" && region != first {
			return true
		}
		first = region
	}
	return false
}

// regionOf returns the region of a data centre. One that the settings do not name is
// a region of its own.
func (r *Relay) regionOf(dc tables.DataCentreID) string {
	return cmp.Or(r.Regions[dc], "data centre "+string(dc))
}

func (r *Relay) inOwnRegion(p Peer) bool {
	return r.regionOf(p.DataCentre) == r.regionOf(r.Self.DataCentre)
}

func (r *Relay) inOwnDataCentre(p Peer) bool { return p.DataCentre == r.Self.DataCentre }

// isRegionReader reports whether this proxy reads the store for its region.
func (r *Relay) isRegionReader() bool {
	_, other := r.globalReader()
	return !other
}

// storeAllowance returns the time that a response of the store may take beyond that
// of a store nearby; 0 with one region.
func (r *Relay) storeAllowance() time.Duration {
	if !r.regional {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeTimes.value()
}

// readerAllowance returns the time that a reader may take for shared rows. A reader
// whose copy is too old takes as long as the store.
func (r *Relay) readerAllowance() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.readerTimes.value(), min(r.storeTimes.value()<<r.readerTimes.doublings, maxAllowance))
}

// recordStoreTime records how long a response of the store took to begin. Watches that
// wait measure nothing.
func (r *Relay) recordStoreTime(q request, took time.Duration) {
	if q.wait() > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeTimes.add(took)
}

// recordStoreLate records that a response of the store did not begin to arrive.
func (r *Relay) recordStoreLate(q request) {
	if q.wait() > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeTimes.late()
}

// recordReaderTime records how long a reader took for shared rows.
func (r *Relay) recordReaderTime(took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.readerTimes.add(took)
	} else {
		r.readerTimes.late()
	}
}

// allowStoreCall reports whether this proxy may call the store now. The first
// proxies of a region always may; the others have a budget, which falls while their
// calls fail.
func (r *Relay) allowStoreCall(q request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := 0
	for _, p := range r.peers {
		if p.VM < r.Self.VM && r.inOwnRegion(p) {
			rank++
		}
	}
	now := r.Now()
	large := r.UrgentTables[q.Table]
	switch {
	case rank < freeRank:
		return true
	case now < r.directAt || large && now < r.largeDirectAt:
		return false
	}
	r.directAt = now.Add(max(r.directInterval, minDirectInterval))
	if large {
		r.largeDirectAt = now.Add(largeDirectInterval)
	}
	return true
}

// adjustBudget changes the interval between this proxy's calls to the store by the
// outcome of one. The lock must be held.
func (r *Relay) adjustBudget(failed bool) {
	if failed {
		r.directInterval = min(max(2*r.directInterval, minDirectInterval), maxDirectInterval)
	} else {
		r.directInterval = 0
	}
}

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
	// errNoReader means that no reader responded.
	errNoReader = errors.Wrap(platform.ErrUnavailable, "no reader responds")
	// errNoBudget means that this proxy may not call the store now.
	errNoBudget = errors.Wrap(platform.ErrUnavailable, "the budget of calls to the store is used up")
)

// readInRegion reads through the reader of the data centre, or as that reader.
func (r *Relay) readInRegion(ctx context.Context, q request) (platform.Rows, error) {
	r.awaitDirectory(ctx)
	q.TimeoutMillis = readerWatchTimeout.Milliseconds()
	rows, err := r.readThrough(ctx, r.inOwnDataCentre, q, false)
	switch {
	case errors.Is(err, errIsReader):
		return r.readAsReader(ctx, q)
	case err == nil || errors.Is(err, platform.ErrHistoryLost) || errors.Is(err, errLate):
		return rows, err
	}
	q.Direct = true
	return r.awaitCall(ctx, q)
}

// readAsReader returns the rows that this proxy, the reader of its data centre, has
// or requests.
func (r *Relay) readAsReader(ctx context.Context, q request) (platform.Rows, error) {
	if r.isShared(q) {
		ctx, cancel := context.WithTimeout(ctx, r.readerAllowance()+readerTimeout)
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
	call, age := r.callStore(ctx, q)
	select {
	case <-call.done:
		return call.wait(age)
	case <-ctx.Done():
		return platform.Rows{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
}

// isShared reports whether a request is for the newest rows of the shared table.
func (r *Relay) isShared(q request) bool { return q.Table == r.SharedTable && !q.Watch }

// readThroughRegion requests rows from the readers of this region.
func (r *Relay) readThroughRegion(ctx context.Context, q request) (platform.Rows, error) {
	q.TimeoutMillis = readerWatchTimeout.Milliseconds()
	return r.readThrough(ctx, r.inOwnRegion, q, true)
}

// readThrough requests rows from the first readers by name among the matching
// proxies. The error is errLate if one responds but none has the rows in time, and
// errIsReader if this proxy is the first. If secondDirect, the second reader calls the
// store instead of the first reader.
func (r *Relay) readThrough(ctx context.Context, match func(Peer) bool, q request, secondDirect bool) (platform.Rows, error) {
	var tried []tables.VMID
	var late error
	for range readersTried {
		p, ok := r.nextReader(match, tried)
		if !ok {
			return platform.Rows{}, cmp.Or(late, errIsReader)
		}
		q.Direct = secondDirect && len(tried) > 0
		rows, err := r.readFromReader(ctx, p, q)
		if err == nil || errors.Is(err, platform.ErrHistoryLost) {
			return rows, err
		}
		if errors.Is(err, errLate) {
			late = err
		}
		// The shared rows of a second reader would be as late as those of the first.
		if ctx.Err() != nil || late != nil && r.isShared(q) {
			return rows, err
		}
		tried = append(tried, p.VM)
	}
	return platform.Rows{}, cmp.Or(late, errNoReader)
}

// nextReader returns the first matching proxy by name that is neither in backoff nor
// tried; ok is false if it is this proxy.
func (r *Relay) nextReader(match func(Peer) bool, tried []tables.VMID) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstByName(func(p Peer) bool { return match(p) && !slices.Contains(tried, p.VM) })
}

// readFromReader requests rows from one reader.
func (r *Relay) readFromReader(ctx context.Context, p Peer, q request) (platform.Rows, error) {
	if !r.isShared(q) {
		return r.readFromPeer(ctx, p, q, q.timeout()+peerTimeout, nil)
	}
	allowed := r.readerAllowance() + readerTimeout
	q.TimeoutMillis = (allowed - lateMargin).Milliseconds()
	r.mu.Lock()
	cached := r.sharedRows
	r.mu.Unlock()
	q.Seen = fingerprintOf(cached)
	start := r.Now()
	res, err := r.queryPeer(ctx, p, q, allowed, nil)
	if err == nil && res.Unchanged {
		res.Rows.Rows = cached.Rows
	}
	if ctx.Err() == nil {
		r.recordReaderTime(r.Now().Sub(start), err)
	}
	return res.Rows, err
}

// readForRegion makes a call on behalf of this data centre: through the reader of the
// region, or to the store.
func (r *Relay) readForRegion(ctx context.Context, c *storeCall) (rows platform.Rows, err error) {
	q := c.request
	if !c.direct {
		rows, err := r.readThroughRegion(ctx, q)
		if err == nil || errors.Is(err, platform.ErrHistoryLost) || errors.Is(err, errLate) {
			return rows, err
		}
	}
	if !r.allowStoreCall(q) {
		return platform.Rows{}, errNoBudget
	}
	return r.readStoreNow(ctx, c)
}

// readSharedInRegion reads the shared table through the reader of this region, or from
// the store. It sets asOf to when the read began.
func (r *Relay) readSharedInRegion(ctx context.Context, direct bool, asOf *tables.Time) (platform.Rows, error) {
	q := request{Table: r.SharedTable, Direct: direct}
	if !direct {
		rows, err := r.readThroughRegion(ctx, q)
		if err == nil || errors.Is(err, errLate) {
			return rows, err
		}
		*asOf = r.Now()
		if errors.Is(err, errIsReader) {
			return r.read(ctx, q)
		}
	}
	q.Direct = true
	return r.awaitCall(ctx, q)
}

// refreshAhead reads the shared rows again, if they will soon be too old, while they
// are handed on. Only the region's reader does: the others receive its copy at once.
func (r *Relay) refreshAhead(ctx context.Context, age time.Duration) {
	if !r.regional || age < max(maxSharedAge-r.storeAllowance(), minRefreshAge) || !r.isRegionReader() {
		return
	}
	r.reads.DoChan(r.SharedTable, func() (any, error) { return nil, r.refreshSharedRows(context.WithoutCancel(ctx), false) })
}

// checkPeers checks the peers of this region whose backoff has ended, until ctx
// ends. A reader in backoff is used again only after it responded to a check.
func (r *Relay) checkPeers(ctx context.Context) {
	for sleep.For(ctx, checkInterval) == nil {
		r.mu.Lock()
		now := r.Now()
		var due []Peer
		for _, p := range r.peers {
			if r.failures[p.VM] > 0 && now >= r.avoidUntil[p.VM] && r.inOwnRegion(p) && len(due) < maxChecks {
				r.avoidUntil[p.VM] = now.Add(peerBackoff << r.failures[p.VM])
				due = append(due, p)
			}
		}
		r.mu.Unlock()
		for _, p := range due {
			go r.checkPeer(ctx, p)
		}
	}
}

// checkPeer ends the backoff from a peer that responds and reaches the store.
func (r *Relay) checkPeer(ctx context.Context, p Peer) {
	res, err := r.exchange.Call(ctx, peerTimeout, request{Check: true}, p.Address)
	if err != nil || res.Failure != failureNone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures[p.VM] > 0 {
		r.log.Info("A peer responds again.", "peer", p.VM)
	}
	delete(r.failures, p.VM)
	delete(r.avoidUntil, p.VM)
}
