package fleet

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// A commit may be acknowledged to its caller only if every later primary has it. The
// replica that received it is held before a promotion is ordered, if it is known: a server
// that joins receives commits before its entry shows, and behind a cut it may never show.
// A replica that restarts after the order has lost its hold, and a primary that returns may
// go on with it until the promotion takes effect. So a commit needs lease evidence that no
// promotion had been ordered when it was acknowledged, or a known replica that shows to
// have received it and to be neither held nor restarted. If an unknown server may have been
// the only one to receive it, a known replica must show that it has it as well: held or not,
// the replacement takes its log into account. That is so once a replacement is announced, as
// known replicas may be held, after a sign of a cut (see package receipt), and while a server
// without an entry may live.

// MayCommit reports whether a commit that is sent to l now can be acknowledged. While
// the store is lost, it looks for evidence if necessary; otherwise MayAcknowledge can.
func (f *Fleet) MayCommit(ctx context.Context, l Leader) bool {
	// A commit behind one that no known replica gets could not be acknowledged either.
	if failed, recently := l.Upstream.receiptFailed(); failed && f.needsReceipt(l) {
		p := l.Upstream.doubted()
		if recently || p != (tables.Position{}) && !f.receivedByKnown(ctx, l, p) {
			return false
		}
	}
	now := f.Now()
	f.mu.Lock()
	ok := f.storeLostAt == 0 || f.commitProves(l, now)
	f.mu.Unlock()
	if ok {
		return true
	}
	if _, follows := f.queryFollower(ctx, l, tables.Position{}, false); follows {
		return true
	}
	return f.LedAt(ctx, l, now)
}

// MayAcknowledge reports whether a commit that was sent at sentAt and that l acknowledged
// just now, with its log at position p, is surely in the log of every later primary, as far
// as this proxy can know. It looks for evidence if necessary.
func (f *Fleet) MayAcknowledge(ctx context.Context, l Leader, sentAt tables.Time, p tables.Position) bool {
	if f.needsReceipt(l) && !f.receivedByKnown(ctx, l, p) {
		f.log.Info("Did not acknowledge a commit that no known replica is known to have received.", "group", l.group.id,
			"upstream", l.Upstream.ID(), "position", p, "took", f.Now().Sub(sentAt))
		return false
	}
	now := f.Now()
	f.mu.Lock()
	ok, storeLost := f.commitProves(l, now), f.storeLostAt != 0
	f.mu.Unlock()
	switch {
	case ok:
		return true
	case storeLost && f.receivedByFollower(ctx, l, p):
		f.mu.Lock()
		defer f.mu.Unlock()
		l.group.AddEvidence(l.Upstream.entry.ID, l.record, sentAt)
		f.noEvidenceAt = 0
		return true
	default:
		return f.LedAt(ctx, l, now)
	}
}

// receivedByFollower reports whether a known replica that follows l has received a
// position, within the time that one query may take.
func (f *Fleet) receivedByFollower(ctx context.Context, l Leader, p tables.Position) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	for {
		if _, ok := f.queryFollower(ctx, l, p, false); ok {
			return true
		}
		if sleep.For(ctx, evidenceRetryDelay) != nil {
			return false
		}
	}
}

// commitProves reports whether a commit that l acknowledges at t shows that no
// promotion had been ordered before. The lock must be held.
func (f *Fleet) commitProves(l Leader, t tables.Time) bool {
	g := l.group
	// No promotion is ordered in an era of the store before its groups are confirmed.
	unconfirmed := f.storeLostAt == 0 && !f.confirmed(g)
	return unconfirmed || g.NotOrderedAt(l.Upstream.entry.ID, l.record, t)
}

// mayHaveRestartedSince reports whether a connection to the server has broken or could
// not be opened after the moment since.
func (u *Upstream) mayHaveRestartedSince(since tables.Time) bool {
	broken := u.pool.BrokenAfter(since)
	u.mu.Lock()
	defer u.mu.Unlock()
	return broken || u.lastFailureAt > since
}
