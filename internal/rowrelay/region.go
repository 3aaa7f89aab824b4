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
	// budget: the first ones, of which one takes over from the other.
	freeRank = 3
	// storeCallInterval and storeCallBurst are the budget of calls of any other proxy.
	// They suffice for one that is the reader because many before it have stopped: 4
	// reads of shared rows and 3 watches per second.
	storeCallInterval = 100 * time.Millisecond
	storeCallBurst    = 5
	// largeCallInterval and largeCallBurst are the same for calls that may return a
	// large row. 44 copies of 278 kB, one per proxy of a region, take 1.6 s of a link
	// of 60 Mbit/s between two regions.
	largeCallInterval = time.Second
	largeCallBurst    = 3
	// readerWatchTimeout is how long a reader holds a watch of any table. It decides
	// how soon a stopped reader is noticed.
	readerWatchTimeout = urgentWatchTimeout
	// sharedTimeout bounds the wait for shared rows of a reader. Longer waits are of no
	// use: fleet gives a read of the records up after 500 ms.
	sharedTimeout = 430 * time.Millisecond
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
	// lostCheckInterval is how often a lost store is checked.
	lostCheckInterval = 2 * time.Second
	// maxDirectoryAge is the greatest age of a directory that is handed on.
	maxDirectoryAge = 5 * time.Second
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

// SeveralRegions reports whether the deployment has several regions.
func (r *Relay) SeveralRegions() bool { return r.regional }

// regionOf returns the region of a data centre. One that the settings do not name is
// a region of its own.
func (r *Relay) regionOf(dc tables.DataCentreID) string {
	return cmp.Or(r.Regions[dc], "data centre "+string(dc))
}

func (r *Relay) inOwnRegion(p Peer) bool {
	return r.regionOf(p.DataCentre) == r.regionOf(r.Self.DataCentre)
}

// level is one of the two levels of readers.
type level uint8

const (
	// levelDataCentre are the proxies of this data centre by name.
	levelDataCentre level = iota
	// levelRegion are the proxies of this region: the first ones by name of all its
	// data centres, then the second ones, and so on. So the first two do not stop
	// together with a data centre.
	levelRegion
)

// orderRegion returns the proxies of this region, including this one, in the order in
// which they become its reader.
func (r *Relay) orderRegion(peers []Peer) []Peer {
	byDataCentre := make(map[tables.DataCentreID][]Peer)
	for _, p := range peers {
		if r.inOwnRegion(p) && p.VM != r.Self.VM {
			byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p)
		}
	}
	byDataCentre[r.Self.DataCentre] = append(byDataCentre[r.Self.DataCentre], r.Self)
	type place struct {
		index int
		peer  Peer
	}
	var places []place
	for _, list := range byDataCentre {
		slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
		for i, p := range list {
			places = append(places, place{i, p})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.peer.VM, b.peer.VM))
	})
	order := make([]Peer, len(places))
	for i, p := range places {
		order[i] = p.peer
	}
	return order
}

// nextReader returns the first reader of a level that is neither in backoff nor tried;
// ok is false if it is this proxy.
func (r *Relay) nextReader(l level, tried ...tables.VMID) (p Peer, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l == levelDataCentre {
		return r.firstByName(func(p Peer) bool { return r.inOwnDataCentre(p) && !slices.Contains(tried, p.VM) })
	}
	for _, p := range r.regionOrder {
		if p.VM == r.Self.VM {
			break
		}
		if r.failures[p.VM] == 0 && !slices.Contains(tried, p.VM) {
			return p, true
		}
	}
	return r.Self, false
}

func (r *Relay) inOwnDataCentre(p Peer) bool { return p.DataCentre == r.Self.DataCentre }

// isRegionReader reports whether this proxy reads the store for its region.
func (r *Relay) isRegionReader() bool {
	_, other := r.nextReader(levelRegion)
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
	return max(r.readerTimes.value(), r.storeTimes.value())
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
func (r *Relay) recordReaderTime(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readerTimes.add(took)
}

// allowStoreCall reports whether this proxy may call the store now. The first
// proxies of a region always may; the others have a budget, which falls while their
// calls fail.
func (r *Relay) allowStoreCall(q request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.IndexFunc(r.regionOrder, func(p Peer) bool { return p.VM == r.Self.VM }) < freeRank {
		return true
	}
	b, now := r.budgetFor(q), r.Now()
	if !b.available(now) {
		return false
	}
	b.use(now)
	return true
}

// budgetFor returns the budget for a call. The lock must be held.
func (r *Relay) budgetFor(q request) *budget {
	if r.UrgentTables[q.Table] {
		return &r.largeCalls
	}
	return &r.storeCalls
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
	rows, err := r.readThrough(ctx, levelDataCentre, q)
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
	return r.readThrough(ctx, levelRegion, q)
}

// readThrough requests rows from the first readers of a level. The error is errLate if
// one responds but none has the rows in time, and errIsReader if this proxy is the
// first. The second reader of a region calls the store instead of the first.
func (r *Relay) readThrough(ctx context.Context, l level, q request) (platform.Rows, error) {
	if r.isShared(q) {
		return r.readSharedThrough(ctx, l, q)
	}
	var tried []tables.VMID
	var late error
	for range readersTried {
		p, ok := r.nextReader(l, tried...)
		if !ok {
			return platform.Rows{}, cmp.Or(late, errIsReader)
		}
		q.Direct = l == levelRegion && len(tried) > 0
		rows, err := r.readFromPeer(ctx, p, q, q.timeout()+peerTimeout, nil)
		if err == nil || errors.Is(err, platform.ErrHistoryLost) || ctx.Err() != nil {
			return rows, err
		}
		if errors.Is(err, errLate) {
			late = err
		}
		tried = append(tried, p.VM)
	}
	return platform.Rows{}, cmp.Or(late, errNoReader)
}

// readSharedThrough requests the shared rows from the first reader, and also from the
// second if the first takes longer than readers usually do.
func (r *Relay) readSharedThrough(ctx context.Context, l level, q request) (platform.Rows, error) {
	first, ok := r.nextReader(l)
	if !ok {
		return platform.Rows{}, errIsReader
	}
	q.TimeoutMillis = (sharedTimeout - lateMargin).Milliseconds()
	fromFirst := async(func() (platform.Rows, error) { return r.readSharedFrom(ctx, first, q) })
	hedge := time.NewTimer(r.readerAllowance() + readerTimeout)
	defer hedge.Stop()
	var failed result
	select {
	case failed = <-fromFirst:
		if failed.err == nil || errors.Is(failed.err, errLate) {
			return failed.rows, failed.err
		}
		fromFirst = nil
	case <-hedge.C:
	}
	second, ok := r.nextReader(l, first.VM)
	switch {
	case !ok && fromFirst == nil:
		return platform.Rows{}, errIsReader
	case !ok:
		failed = <-fromFirst
		return failed.rows, failed.err
	}
	q.Direct = l == levelRegion
	fromSecond := async(func() (platform.Rows, error) { return r.readSharedFrom(ctx, second, q) })
	if fromFirst == nil {
		failed = <-fromSecond
		return failed.rows, failed.err
	}
	return firstSuccess(ctx, fromSecond, fromFirst)
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
		if err == nil || errors.Is(err, platform.ErrHistoryLost) || errors.Is(err, errLate) {
			return rows, err
		}
	}
	if !r.allowStoreCall(q) {
		return platform.Rows{}, errNoBudget
	}
	if r.Lost() {
		return r.readLost(ctx, q)
	}
	return r.readStoreNow(ctx, c)
}

// readLost reads through peers while the store is lost, also through those of other
// regions: a region may be cut off from the store alone. Meanwhile it checks whether
// the store responds again.
func (r *Relay) readLost(ctx context.Context, q request) (platform.Rows, error) {
	r.checkLostStore(ctx, storeRetryInterval)
	return r.readFromPeers(ctx, q, q.wait())
}

// checkLostStore calls a lost store, to record whether it responds again, unless it was
// called so within the interval.
func (r *Relay) checkLostStore(ctx context.Context, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if r.storeLostAt == 0 || now.Sub(r.storeCheckedAt) < interval {
		return
	}
	r.storeCheckedAt = now
	r.reads.DoChan("lost", func() (any, error) {
		rows, err := r.Store.ReadTable(context.WithoutCancel(ctx), r.SharedTable)
		r.recordStoreResult(rows, err)
		return nil, err
	})
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

// checkPeers checks the peers of this region whose backoff has ended, until ctx
// ends. A reader in backoff is used again only after it responded to a check.
func (r *Relay) checkPeers(ctx context.Context) {
	for sleep.For(ctx, checkInterval) == nil {
		// A proxy that is not the reader of its region makes no other calls that would
		// show that the store is back.
		r.checkLostStore(ctx, lostCheckInterval)
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
