package rowrelay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer/rpc"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Apply implements platform.Metadata.
func (r *Relay) Apply(ctx context.Context, c platform.Change) (platform.Rows, error) {
	return r.Store.Apply(ctx, c)
}

// ReadTable implements platform.Metadata. Rows.Age says how much older than the
// call the rows may be.
func (r *Relay) ReadTable(ctx context.Context, table string) (platform.Rows, error) {
	if r.regional {
		return r.readInRegion(ctx, request{Table: table})
	}
	if table == r.SharedTable {
		if rows, err := r.readSharedThroughReader(ctx); err == nil {
			return rows, nil
		}
	}
	return r.read(ctx, request{Table: table})
}

// readSharedThroughReader returns the newest rows of the shared table at the
// designated reader.
func (r *Relay) readSharedThroughReader(ctx context.Context) (platform.Rows, error) {
	p, ok := r.reader()
	if ok {
		return r.readFromPeer(ctx, p, request{Table: r.SharedTable}, readerTimeout, nil)
	}
	if r.Lost() {
		return platform.Rows{}, platform.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	return r.currentSharedRows(ctx, false)
}

// WatchTable implements platform.Metadata.
func (r *Relay) WatchTable(ctx context.Context, table string, after tables.Version, wait time.Duration) (platform.Rows, error) {
	q := request{Table: table, Watch: true, Era: after.Era, After: after.Counter, WaitMillis: wait.Milliseconds(), TimeoutMillis: wait.Milliseconds()}
	if r.regional {
		return r.readInRegion(ctx, q)
	}
	if p, ok := r.reader(); ok && wait > 0 {
		peerReq := q
		if r.UrgentTables[table] {
			peerReq.TimeoutMillis = min(q.TimeoutMillis, urgentWatchTimeout.Milliseconds())
		}
		// The caller needs to know now whether the store responds.
		q.WaitMillis, q.TimeoutMillis = 0, 0
		return r.watchThroughReader(ctx, p, peerReq, q)
	}
	return r.read(ctx, q)
}

// watchThroughReader sends a watch to the designated reader. It also makes the
// request storeReq if the reader does not respond, or if its response arrives
// slowly.
func (r *Relay) watchThroughReader(ctx context.Context, reader Peer, readerReq, storeReq request) (platform.Rows, error) {
	slow := make(chan struct{})
	onSlow := sync.OnceFunc(func() { close(slow) })
	fromReader := async(func() (platform.Rows, error) {
		return r.readFromPeer(ctx, reader, readerReq, readerReq.timeout()+peerTimeout, onSlow)
	})
	select {
	case res := <-fromReader:
		if res.err == nil || errors.Is(res.err, platform.ErrHistoryLost) {
			return res.rows, res.err
		}
		return r.read(ctx, storeReq)
	case <-slow:
		r.log.Info("A response arrives slowly; reading the store too.", "peer", reader.VM, "table", readerReq.Table)
		fromStore := async(func() (platform.Rows, error) { return r.readStore(ctx, storeReq) })
		return firstSuccess(ctx, fromReader, fromStore)
	}
}

// result is the outcome of one way to read.
type result struct {
	rows platform.Rows
	err  error
}

// read reads the store, and through a peer if the store is lost or slow.
func (r *Relay) read(ctx context.Context, q request) (platform.Rows, error) {
	wait := q.wait()
	if !r.regional && r.skipStore() {
		if rows, err := r.readFromPeers(ctx, q, wait); err == nil || errors.Is(err, platform.ErrHistoryLost) {
			return rows, err
		}
	}
	// The call may outlive this one's ctx, so that its outcome shows whether the
	// store responds.
	call, age := r.callStore(ctx, q)
	done := async(func() (platform.Rows, error) { return call.wait(q, age) })
	timer := time.NewTimer(wait + r.hedgeDelayFor(q))
	defer timer.Stop()
	for {
		select {
		case res := <-done:
			if res.err == nil || !retryable(res.err) || errors.Is(res.err, errNoBudget) {
				return res.rows, res.err
			}
			return r.readFromPeers(ctx, q, 0)
		case <-timer.C:
			late := !r.regional && r.Now().Sub(call.startedAt) > wait+arrivalHedgeDelay
			if !call.arriving() || late {
				return r.readWithHedge(ctx, q, done)
			}
			// A peer would send the same rows over the same link.
			timer.Reset(arrivalHedgeDelay)
		case <-ctx.Done():
			return platform.Rows{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
		}
	}
}

// hedgeDelayFor returns how long the store may take before a peer is queried
// too.
func (r *Relay) hedgeDelayFor(q request) time.Duration {
	if r.UrgentTables[q.Table] && !q.Watch {
		return largeReadHedgeDelay + r.storeAllowance()
	}
	return hedgeDelay + r.storeAllowance()
}

// readWithHedge reads through peers while the store's response is pending, and
// returns the first rows that arrive.
func (r *Relay) readWithHedge(ctx context.Context, q request, fromStore <-chan result) (platform.Rows, error) {
	fromPeers := async(func() (platform.Rows, error) { return r.readFromPeers(ctx, q, 0) })
	return firstSuccess(ctx, fromStore, fromPeers)
}

// async runs read and passes its outcome to the returned channel.
func async(read func() (platform.Rows, error)) <-chan result {
	done := make(chan result, 1)
	go func() {
		rows, err := read()
		done <- result{rows, err}
	}()
	return done
}

// firstSuccess returns the first rows that arrive, or the later error.
func firstSuccess(ctx context.Context, a, b <-chan result) (platform.Rows, error) {
	var last result
	for range 2 {
		select {
		case last = <-a:
		case last = <-b:
		case <-ctx.Done():
			return platform.Rows{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
		}
		if last.err == nil || errors.Is(last.err, platform.ErrHistoryLost) {
			break
		}
	}
	return last.rows, last.err
}

func retryable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown)
}

// skipStore reports whether the store is lost and was tried less than
// storeRetryInterval ago.
func (r *Relay) skipStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if r.storeLostAt == 0 || len(r.peers) < 2 || now.Sub(r.storeTriedAt) >= storeRetryInterval {
		r.storeTriedAt = now
		return false
	}
	return true
}

func (r *Relay) recordStoreResult(rows platform.Rows, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.acceptEra(rows.Era)
	}
	switch {
	case err != nil && retryable(err) && r.storeLostAt == 0:
		r.storeLostAt = r.Now()
		r.log.Warn("The store does not respond to this proxy; reading through peers.", "error", err)
	case (err == nil || !retryable(err)) && r.storeLostAt != 0:
		r.log.Info("The store responds to this proxy again.", "lostFor", r.Now().Sub(r.storeLostAt))
		r.storeLostAt = 0
	}
}

// Lost reports whether the store does not respond to this proxy.
func (r *Relay) Lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeLostAt != 0
}

// reader returns the designated reader of this data centre: the first proxy by
// name that responds. ok is false if it is this proxy.
func (r *Relay) reader() (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstByName(r.inOwnDataCentre)
}

// ReaderAddress returns the address of the designated reader; ok is false if it is
// this proxy.
func (r *Relay) ReaderAddress() (address string, ok bool) {
	p, ok := r.reader()
	return p.Address, ok
}

// globalReader returns the proxy that reads the shared table for all data
// centres; ok is false if it is this proxy.
func (r *Relay) globalReader() (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstByName(func(Peer) bool { return true })
}

// firstByName returns the first matching proxy by name that is not in backoff;
// ok is false if it is this one. The lock must be held.
func (r *Relay) firstByName(match func(Peer) bool) (Peer, bool) {
	now := r.Now()
	best := r.Self
	for _, p := range r.peers {
		if p.VM < best.VM && now >= r.avoidUntil[p.VM] && !r.awaitsCheck(p) && match(p) {
			best = p
		}
	}
	return best, best.VM != r.Self.VM
}

// awaitsCheck reports whether a peer must respond to a check before it is used as a
// reader. The lock must be held.
func (r *Relay) awaitsCheck(p Peer) bool { return r.regional && r.failures[p.VM] > 0 }

// readFromPeers reads through up to two peers, one of this data centre first.
// They wait for changes for the time wait; the store responds at once if there
// are any.
func (r *Relay) readFromPeers(ctx context.Context, q request, wait time.Duration) (platform.Rows, error) {
	q.TimeoutMillis = max(wait, peerTimeout/2).Milliseconds()
	err := errors.Wrap(platform.ErrUnavailable, "no peer is available")
	for _, p := range r.pickPeers(2) {
		var rows platform.Rows
		q.Direct = r.regional && r.inOwnRegion(p)
		if rows, err = r.readFromPeer(ctx, p, q, wait+peerTimeout, nil); err == nil || errors.Is(err, platform.ErrHistoryLost) {
			r.recordAcross(!r.inOwnRegion(p))
			return rows, err
		}
	}
	r.recordAcross(false)
	return platform.Rows{}, err
}

// recordAcross records whether this proxy reads through a peer of another region.
func (r *Relay) recordAcross(across bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.across = across
}

// readsAcross reports whether this proxy last read through a peer of another region,
// as those of its own have lost the store too.
func (r *Relay) readsAcross() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.across
}

// shuffledPeers returns the other proxies in random order. The lock must be
// held.
func (r *Relay) shuffledPeers() []Peer {
	others := make([]Peer, 0, len(r.peers))
	for _, i := range rand.Perm(len(r.peers)) {
		if p := r.peers[i]; p.VM != r.Self.VM {
			others = append(others, p)
		}
	}
	return others
}

// pickPeers returns up to n peers in random order, one of this data centre
// first.
func (r *Relay) pickPeers(n int) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.regional {
		return r.pickRegionalPeers(n)
	}
	now := r.Now()
	var near, far []Peer
	for _, p := range r.shuffledPeers() {
		switch {
		case now < r.avoidUntil[p.VM]:
		case p.DataCentre == r.Self.DataCentre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if len(near) > 1 {
		near = near[:1]
	}
	all := append(near, far...)
	return all[:min(n, len(all))]
}

// PeerAddresses returns the addresses of up to n peers in random order, up to
// half of them of this data centre. With several regions, those of this region come
// before the others.
func (r *Relay) PeerAddresses(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, regional, far []string
	for _, p := range r.shuffledPeers() {
		switch {
		case p.DataCentre == r.Self.DataCentre && len(near) < n/2:
			near = append(near, p.Address)
		case r.regional && r.inOwnRegion(p):
			regional = append(regional, p.Address)
		default:
			far = append(far, p.Address)
		}
	}
	all := slices.Concat(near, regional, far)
	return all[:min(n, len(all))]
}

// readFromPeer reads through one peer. It calls onSlow, unless nil, if the response
// arrives slowly.
func (r *Relay) readFromPeer(ctx context.Context, p Peer, q request, timeout time.Duration, onSlow func()) (platform.Rows, error) {
	res, err := r.queryPeer(ctx, p, q, timeout, onSlow)
	return res.Rows, err
}

// queryPeer sends a request to one peer and receives all parts of the response.
func (r *Relay) queryPeer(ctx context.Context, p Peer, q request, timeout time.Duration, onSlow func()) (response, error) {
	q.AcceptsParts = true
	res, err := r.call(ctx, timeout, q, p.Address)
	switch {
	case err == nil:
		if err := r.checkResponse(p, q, res); err != nil || res.Part == nil {
			return res, err
		}
		res.Rows.Rows, err = r.fetch(ctx, p, q, *res.Part, onSlow)
		return res, err
	case errors.Is(err, rpc.ErrTimeout):
		r.backOffFrom(p, q, "no response in "+timeout.String())
		return res, errors.Wrapf(platform.ErrUnavailable, "%s did not respond", p.VM)
	default:
		return res, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
}

// checkResponse resets the backoff from a peer that sent rows. Otherwise it
// returns why there are none.
func (r *Relay) checkResponse(p Peer, q request, res response) error {
	switch res.Failure {
	case failureNone:
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.failures, p.VM)
		if !r.acceptEra(res.Rows.Era) {
			r.log.Info("Ignored rows of an earlier era.", "peer", p.VM, "table", q.Table, "era", res.Rows.Era, "newest", r.era)
			return errors.Wrapf(platform.ErrUnavailable, "%s has rows of era %d only", p.VM, res.Rows.Era)
		}
		if q.Watch && res.Rows.Era != q.Era {
			return platform.ErrHistoryLost
		}
		return nil
	case failureHistoryLost:
		return platform.ErrHistoryLost
	case failureSlow:
		if r.regional {
			return errLate
		}
		return errors.Wrapf(platform.ErrUnavailable, "the store's response arrives slowly at %s", p.VM)
	default:
		if r.regional {
			return errNoStore
		}
		r.backOffFrom(p, q, "it does not reach the store")
		return errors.Wrapf(platform.ErrUnavailable, "%s does not reach the store either", p.VM)
	}
}

// backOffFrom sends no requests to p for a time that doubles with each failure in a
// row.
func (r *Relay) backOffFrom(p Peer, q request, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	doublings := maxBackoffDoublings
	if r.regional {
		doublings = maxRegionalDoublings
	}
	r.failures[p.VM] = min(r.failures[p.VM]+1, doublings)
	backoff := peerBackoff << r.failures[p.VM]
	r.avoidUntil[p.VM] = r.Now().Add(backoff)
	r.log.Info("Backing off from a peer.", "peer", p.VM, "table", q.Table, "reason", reason, "for", backoff)
}

// respond serves a peer's request from the store itself.
func (r *Relay) respond(ctx context.Context, q request) response {
	if q.Content != 0 {
		return r.respondPart(q)
	}
	out := response{Failure: failureUnavailable}
	if q.Check {
		return response{}
	}
	if r.refuses(q) {
		return out
	}
	rows, err := r.rowsFor(ctx, q)
	switch {
	case err == nil:
		out.Failure, out.Rows = failureNone, rows
		if out.Unchanged = q.Seen.Rows > 0 && q.Seen == fingerprintOf(rows); out.Unchanged {
			out.Rows.Rows = nil
		}
		if q.AcceptsParts {
			if err := r.splitLarge(&out); err != nil {
				r.log.Error("Could not split a response.", "table", q.Table, "error", err)
				return response{Failure: failureUnavailable}
			}
		}
	case errors.Is(err, platform.ErrHistoryLost):
		out.Failure = failureHistoryLost
	case errors.Is(err, errSlowResponse) || errors.Is(err, errLate) || errors.Is(err, errNoBudget):
		out.Failure = failureSlow
	}
	return out
}

// refuses reports whether this proxy can't serve a peer's request because it does not
// reach the store.
func (r *Relay) refuses(q request) bool {
	switch {
	case !r.Lost():
		return false
	case !r.regional:
		return true
	case q.Direct:
		return true
	default:
		return r.isRegionReader() && !r.readsAcross()
	}
}

func (r *Relay) rowsFor(ctx context.Context, q request) (platform.Rows, error) {
	if r.isShared(q) {
		if r.regional {
			return r.sharedRowsInTime(ctx, q)
		}
		return r.currentSharedRows(ctx, false)
	}
	if q.Watch {
		return r.watchFor(ctx, q)
	}
	if r.regional {
		return r.readInTime(ctx, q)
	}
	return r.readStore(ctx, q)
}

// sharedRowsInTime returns the newest rows of the shared table, or errLate shortly
// before the requester's timeout.
func (r *Relay) sharedRowsInTime(ctx context.Context, q request) (platform.Rows, error) {
	ctx, cancel := context.WithTimeout(ctx, q.timeout())
	defer cancel()
	rows, err := r.currentSharedRows(ctx, q.Direct)
	if err != nil && ctx.Err() != nil {
		return platform.Rows{}, errLate
	}
	return rows, err
}

// readInTime returns a whole table, or errLate shortly before the requester's
// timeout.
func (r *Relay) readInTime(ctx context.Context, q request) (platform.Rows, error) {
	ctx, cancel := context.WithTimeout(ctx, q.timeout())
	defer cancel()
	read := r.awaitCall
	if q.Table == directoryTable {
		read = r.readDirectoryFor
	}
	rows, err := read(ctx, q)
	if err != nil && ctx.Err() != nil {
		return platform.Rows{}, errLate
	}
	return rows, err
}

// errSlowResponse means that the store's response arrives slowly at this proxy.
var errSlowResponse = errors.New("rowrelay: the store's response arrives slowly")

// watchFor waits for changes for as long as the requester does. One call to the
// store serves all requesters and lasts longer than each of them waits: a
// response without changes is as old as that call. While the store's response
// is overdue, this proxy can't tell whether there are changes. While it arrives
// slowly, the request fails, because the requester receives it sooner from the store.
func (r *Relay) watchFor(ctx context.Context, q request) (platform.Rows, error) {
	call, age := r.callStore(ctx, q)
	timeout := time.NewTimer(q.timeout())
	defer timeout.Stop()
	overdue := time.NewTimer(max(call.overdueAt.Sub(r.Now()), 0))
	defer overdue.Stop()
	begun, overdueAt := call.begun, overdue.C
	var slow <-chan time.Time
	for {
		select {
		case <-call.done:
			return call.wait(q, age)
		case <-begun:
			begun, overdueAt = nil, nil
			if !r.regional {
				slow = time.After(forwardDelay)
			}
		case <-slow:
			return platform.Rows{}, errSlowResponse
		case <-overdueAt:
			if r.regional {
				return platform.Rows{}, errLate
			}
			return platform.Rows{}, errors.Wrap(platform.ErrUnavailable, "the store's response is overdue")
		case <-timeout.C:
			age := r.Now().Sub(call.startedAt)
			if r.regional {
				// The call may not have reached the store, or joined an earlier one at a
				// reader: the store has not answered since the last wait.
				age += q.wait() + readerWatchTimeout
			}
			return platform.Rows{Era: q.Era, Version: q.After, Age: age}, nil
		}
	}
}

// currentSharedRows returns the newest rows of the shared table, reading it if
// they are too old. direct says that it is not read through another proxy.
func (r *Relay) currentSharedRows(ctx context.Context, direct bool) (platform.Rows, error) {
	arrived := r.Now()
	r.mu.Lock()
	rows, asOf := r.sharedRows, r.sharedRowsAsOf
	current := rows.Era == r.era
	r.mu.Unlock()
	if asOf != 0 && current && arrived.Sub(asOf) <= maxSharedAge {
		rows.Age = arrived.Sub(asOf)
		r.refreshAhead(ctx, rows.Age)
		return rows, nil
	}
	done := r.reads.DoChan(r.SharedTable, func() (any, error) { return nil, r.refreshSharedRows(context.WithoutCancel(ctx), direct) })
	select {
	case res := <-done:
		if res.Err != nil {
			return platform.Rows{}, res.Err
		}
	case <-ctx.Done():
		return platform.Rows{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rows = r.sharedRows
	rows.Age = max(arrived.Sub(r.sharedRowsAsOf), 0)
	return rows, nil
}

// refreshSharedRows reads the shared table, through the global reader if that
// is another proxy and direct is false.
func (r *Relay) refreshSharedRows(ctx context.Context, direct bool) error {
	asOf := r.Now()
	rows, err := r.readShared(ctx, direct, &asOf)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sharedRows, r.sharedRowsAsOf = rows, asOf.Add(-rows.Age)
	return nil
}

// readShared reads the shared table. It sets asOf to when the read began.
func (r *Relay) readShared(ctx context.Context, direct bool, asOf *tables.Time) (platform.Rows, error) {
	if r.regional {
		return r.readSharedInRegion(ctx, direct, asOf)
	}
	rows, err := r.readThroughGlobalReader(ctx)
	if err != nil {
		*asOf = r.Now()
		rows, err = r.readStore(ctx, request{Table: r.SharedTable})
	}
	return rows, err
}

// errIsGlobalReader means that this proxy is the global reader itself.
var errIsGlobalReader = errors.New("rowrelay: this proxy is the global reader")

// readThroughGlobalReader requests the newest rows of the shared table from the
// global reader.
func (r *Relay) readThroughGlobalReader(ctx context.Context) (platform.Rows, error) {
	p, ok := r.globalReader()
	if !ok {
		return platform.Rows{}, errIsGlobalReader
	}
	r.mu.Lock()
	cached := r.sharedRows
	r.mu.Unlock()
	res, err := r.queryPeer(ctx, p, request{Table: r.SharedTable, Seen: fingerprintOf(cached)}, globalReaderTimeout, nil)
	if err != nil {
		return platform.Rows{}, err
	}
	if res.Unchanged {
		res.Rows.Rows = cached.Rows
	}
	return res.Rows, nil
}
