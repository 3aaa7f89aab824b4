package rowrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer/inquiry"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Apply implements platform.Metadata.
func (r *Relay) Apply(ctx context.Context, c platform.Change) (platform.Rows, error) {
	return r.Store.Apply(ctx, c)
}

// ReadTable implements platform.Metadata. Rows.Age says how much older than
// the call the answer may be.
func (r *Relay) ReadTable(ctx context.Context, table string) (platform.Rows, error) {
	if table == r.SharedTable {
		if rows, err := r.lookThroughPeers(ctx); err == nil {
			return rows, nil
		}
	}
	return r.read(ctx, question{Table: table})
}

// lookThroughPeers returns the newest look of the data centre's looker.
func (r *Relay) lookThroughPeers(ctx context.Context) (platform.Rows, error) {
	p, ok := r.looker()
	if ok {
		return r.ask(ctx, p, question{Table: r.SharedTable}, nearTimeout)
	}
	if r.Lost() {
		return platform.Rows{}, platform.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, nearTimeout)
	defer cancel()
	return r.sharedLook(ctx)
}

// WatchTable implements platform.Metadata.
func (r *Relay) WatchTable(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Rows, error) {
	q := question{Table: table, Watch: true, After: after, WaitMillis: wait.Milliseconds(), PatienceMillis: wait.Milliseconds()}
	if p, ok := r.looker(); ok && wait > 0 {
		asked := q
		if r.UrgentTables[table] {
			asked.PatienceMillis = min(q.PatienceMillis, urgentPatience.Milliseconds())
		}
		rows, err := r.ask(ctx, p, asked, asked.patience()+peerTimeout)
		if err == nil || errors.Is(err, platform.ErrHistoryLost) {
			return rows, err
		}
		// Whether the store answers is to be known now.
		q.WaitMillis, q.PatienceMillis = 0, 0
	}
	return r.read(ctx, q)
}

// direct asks the store itself.
func (r *Relay) direct(ctx context.Context, q question) (platform.Rows, error) {
	if q.Watch {
		w := r.storeWatch(ctx, q)
		<-w.done
		return w.rows, w.err
	}
	rows, err := r.Store.ReadTable(ctx, q.Table)
	r.directEnded(err)
	return rows, err
}

// watchCall is a call to the store for changes. Its result may be read once
// done is closed.
type watchCall struct {
	// began is when it was made, and overdue when the store should have answered.
	began, overdue tables.Time
	done           chan struct{}
	rows           platform.Rows
	err            error
}

// storeWatch returns the call for the same changes that is under way, or
// begins one.
func (r *Relay) storeWatch(ctx context.Context, q question) *watchCall {
	key := fmt.Sprintf("%s/%d/%d", q.Table, q.After, q.WaitMillis)
	r.mu.Lock()
	defer r.mu.Unlock()
	if w, ok := r.watches[key]; ok {
		return w
	}
	now := r.Now()
	w := &watchCall{began: now, overdue: now.Add(q.wait() + hedgeAfter), done: make(chan struct{})}
	r.watches[key] = w
	go func() {
		w.rows, w.err = r.Store.WatchTable(context.WithoutCancel(ctx), q.Table, q.After, q.wait())
		r.directEnded(w.err)
		r.mu.Lock()
		delete(r.watches, key)
		r.mu.Unlock()
		close(w.done)
	}()
	return w
}

// result is the end of one way to read.
type result struct {
	rows platform.Rows
	err  error
}

// read asks the store, and a peer if the store is lost or slow to answer.
func (r *Relay) read(ctx context.Context, q question) (platform.Rows, error) {
	wait := q.wait()
	if r.skipDirect() {
		if rows, err := r.askAny(ctx, q, wait); err == nil || errors.Is(err, platform.ErrHistoryLost) {
			return rows, err
		}
	}
	// The call may outlive this one's ctx, so that its end tells whether the store answers.
	done := make(chan result, 1)
	go func() {
		rows, err := r.direct(context.WithoutCancel(ctx), q)
		done <- result{rows, err}
	}()
	timer := time.NewTimer(wait + r.hedge(q))
	defer timer.Stop()
	select {
	case first := <-done:
		if first.err == nil || !retryable(first.err) {
			return first.rows, first.err
		}
		return r.askAny(ctx, q, 0)
	case <-timer.C:
		return r.race(ctx, q, done)
	case <-ctx.Done():
		return platform.Rows{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
}

// hedge returns how long the store may take until a peer is asked too.
func (r *Relay) hedge(q question) time.Duration {
	if r.UrgentTables[q.Table] && !q.Watch {
		return hedgeLarge
	}
	return hedgeAfter
}

// race asks peers while the store is still to answer, and returns the first
// rows that come.
func (r *Relay) race(ctx context.Context, q question, direct <-chan result) (platform.Rows, error) {
	relayed := make(chan result, 1)
	go func() {
		rows, err := r.askAny(ctx, q, 0)
		relayed <- result{rows, err}
	}()
	var last result
	for range 2 {
		select {
		case last = <-direct:
		case last = <-relayed:
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

// skipDirect reports whether the store is lost and was tried a moment ago.
func (r *Relay) skipDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if r.lostAt == 0 || len(r.peers) < 2 || now.Sub(r.triedAt) >= directPause {
		r.triedAt = now
		return false
	}
	return true
}

func (r *Relay) directEnded(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && retryable(err) && r.lostAt == 0:
		r.lostAt = r.Now()
		r.log.Warn("The store does not answer this proxy, reading through peers.", "error", err)
	case (err == nil || !retryable(err)) && r.lostAt != 0:
		r.log.Info("The store answers this proxy again.", "lostFor", r.Now().Sub(r.lostAt))
		r.lostAt = 0
	}
}

// Lost reports whether the store does not answer this proxy.
func (r *Relay) Lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lostAt != 0
}

// looker returns the peer that looks at the shared table for this data centre:
// the first one by name that answers. ok is false if it is this proxy.
func (r *Relay) looker() (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first(func(p Peer) bool { return p.DataCentre == r.Self.DataCentre })
}

// ReaderAddress returns the address of the peer that looks for this data centre; ok is
// false if it is this proxy.
func (r *Relay) ReaderAddress() (address string, ok bool) {
	p, ok := r.looker()
	return p.Address, ok
}

// chief returns the peer that looks at the shared table for all data centres;
// ok is false if it is this proxy.
func (r *Relay) chief() (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first(func(Peer) bool { return true })
}

// first returns the first proxy by name that answers and fits; ok is false if
// it is this one. The lock must be held.
func (r *Relay) first(fits func(Peer) bool) (Peer, bool) {
	now := r.Now()
	best := r.Self
	for _, p := range r.peers {
		if p.VM < best.VM && now >= r.avoid[p.VM] && fits(p) {
			best = p
		}
	}
	return best, best.VM != r.Self.VM
}

// askAny asks up to two peers, those of this data centre first, and waits for
// changes for a time. The store answers at once if there are any.
func (r *Relay) askAny(ctx context.Context, q question, wait time.Duration) (platform.Rows, error) {
	q.PatienceMillis = max(wait, peerTimeout/2).Milliseconds()
	err := errors.Wrap(platform.ErrUnavailable, "no peer to ask")
	for _, p := range r.candidates(2) {
		var rows platform.Rows
		if rows, err = r.ask(ctx, p, q, wait+peerTimeout); err == nil || errors.Is(err, platform.ErrHistoryLost) {
			return rows, err
		}
	}
	return platform.Rows{}, err
}

// shuffled returns the other proxies in random order. The lock must be held.
func (r *Relay) shuffled() []Peer {
	others := make([]Peer, 0, len(r.peers))
	for _, i := range rand.Perm(len(r.peers)) {
		if p := r.peers[i]; p.VM != r.Self.VM {
			others = append(others, p)
		}
	}
	return others
}

// candidates returns up to n peers in random order, one of each data centre first.
func (r *Relay) candidates(n int) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	var near, far []Peer
	for _, p := range r.shuffled() {
		switch {
		case now < r.avoid[p.VM]:
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

// PeerAddresses returns the addresses of up to n peers in random order, half of them of
// this data centre if it has as many.
func (r *Relay) PeerAddresses(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far []string
	for _, p := range r.shuffled() {
		if p.DataCentre == r.Self.DataCentre && len(near) < n/2 {
			near = append(near, p.Address)
		} else {
			far = append(far, p.Address)
		}
	}
	all := append(near, far...)
	return all[:min(n, len(all))]
}

// ask asks one peer for rows.
func (r *Relay) ask(ctx context.Context, p Peer, q question, timeout time.Duration) (platform.Rows, error) {
	a, err := r.askAnswer(ctx, p, q, timeout)
	return a.Rows, err
}

// askAnswer asks one peer.
func (r *Relay) askAnswer(ctx context.Context, p Peer, q question, timeout time.Duration) (answer, error) {
	a, err := r.desk.Call(ctx, timeout, q, p.Address)
	switch {
	case err == nil:
		return a, r.taken(p, a)
	case errors.Is(err, inquiry.ErrTimeout):
		r.leaveAlone(p)
		return a, errors.Wrapf(platform.ErrUnavailable, "%s did not answer", p.VM)
	default:
		return a, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
}

// taken takes note of a peer's answer and returns why it has no rows, if so.
func (r *Relay) taken(p Peer, a answer) error {
	switch a.Failure {
	case failureNone:
		r.mu.Lock()
		delete(r.misses, p.VM)
		r.mu.Unlock()
		return nil
	case failureHistory:
		return platform.ErrHistoryLost
	default:
		r.leaveAlone(p)
		return errors.Wrapf(platform.ErrUnavailable, "%s does not reach the store either", p.VM)
	}
}

func (r *Relay) leaveAlone(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misses[p.VM] = min(r.misses[p.VM]+1, maxMisses)
	r.avoid[p.VM] = r.Now().Add(peerPause << r.misses[p.VM])
}

// answer answers a peer's question from the store itself.
func (r *Relay) answer(ctx context.Context, q question) answer {
	out := answer{Failure: failureUnavailable}
	if r.Lost() {
		return out
	}
	rows, err := r.answerRows(ctx, q)
	switch {
	case err == nil:
		out.Failure, out.Rows = failureNone, rows
		if out.Same = q.Seen.Rows > 0 && q.Seen == markOf(rows); out.Same {
			out.Rows.Rows = nil
		}
	case errors.Is(err, platform.ErrHistoryLost):
		out.Failure = failureHistory
	}
	return out
}

func (r *Relay) answerRows(ctx context.Context, q question) (platform.Rows, error) {
	if q.Table == r.SharedTable && !q.Watch {
		return r.sharedLook(ctx)
	}
	if q.Watch {
		return r.answerWatch(ctx, q)
	}
	return r.direct(ctx, q)
}

// answerWatch waits for changes for as long as the asker does. One call to the
// store serves all askers, longer than each of them waits: that there is no
// news is as old as that call. While the store owes its answer, this proxy
// can't tell.
func (r *Relay) answerWatch(ctx context.Context, q question) (platform.Rows, error) {
	w := r.storeWatch(ctx, q)
	patience := time.NewTimer(q.patience())
	defer patience.Stop()
	overdue := time.NewTimer(max(w.overdue.Sub(r.Now()), 0))
	defer overdue.Stop()
	select {
	case <-w.done:
		return w.rows, w.err
	case <-overdue.C:
		return platform.Rows{}, errors.Wrap(platform.ErrUnavailable, "the store owes an answer")
	case <-patience.C:
		return platform.Rows{Version: q.After, Age: r.Now().Sub(w.began)}, nil
	}
}

// sharedLook returns the newest look at the shared table, taking one if it is old.
func (r *Relay) sharedLook(ctx context.Context) (platform.Rows, error) {
	arrived := r.Now()
	r.mu.Lock()
	rows, began := r.look, r.lookBegan
	r.mu.Unlock()
	if began != 0 && arrived.Sub(began) <= sharedAge {
		rows.Age = arrived.Sub(began)
		return rows, nil
	}
	done := r.reads.DoChan(r.SharedTable, func() (any, error) { return nil, r.takeLook(context.WithoutCancel(ctx)) })
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
	rows = r.look
	rows.Age = max(arrived.Sub(r.lookBegan), 0)
	return rows, nil
}

// takeLook reads the shared table, through the chief if that is another proxy.
func (r *Relay) takeLook(ctx context.Context) error {
	began := r.Now()
	rows, err := r.chiefLook(ctx)
	if err != nil {
		began = r.Now()
		rows, err = r.direct(ctx, question{Table: r.SharedTable})
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.look, r.lookBegan = rows, began.Add(-rows.Age)
	return nil
}

// errChief means that this proxy is the chief itself.
var errChief = errors.New("rowrelay: this proxy looks for all")

// chiefLook asks the chief for its newest look.
func (r *Relay) chiefLook(ctx context.Context) (platform.Rows, error) {
	p, ok := r.chief()
	if !ok {
		return platform.Rows{}, errChief
	}
	r.mu.Lock()
	known := r.look.Rows
	r.mu.Unlock()
	a, err := r.askAnswer(ctx, p, question{Table: r.SharedTable, Seen: markOf(platform.Rows{Rows: known})}, farTimeout)
	if err != nil {
		return platform.Rows{}, err
	}
	if a.Same {
		a.Rows.Rows = known
	}
	return a.Rows, nil
}
