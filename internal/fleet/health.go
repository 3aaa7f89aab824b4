package fleet

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/sockopt"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/place"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// health is what this proxy saw of a server.
type health struct {
	ahead       int
	latency     time.Duration
	barredUntil tables.Time
	refused     tables.Time
	answeredAt  tables.Time
	// dialFailed says that the last attempt to connect failed.
	dialFailed bool
	// applied is the newest position that it showed to have applied, and
	// behindUntil how long it is not asked for a later one.
	applied     tables.Position
	behindUntil tables.Time
	// failedAt is when an attempt last failed, and commitFailedAt a commit.
	failedAt       tables.Time
	commitFailedAt tables.Time
	// commitLost is when the oldest commit was sent that got no answer, with no
	// commit answered since; 0 without one.
	commitLost tables.Time
	// deposed is when it first answered a write or a transaction with the word
	// that it does not lead, and deposedAt when it did so last; 0 if it leads.
	deposed   tables.Time
	deposedAt tables.Time
	// waiting holds when statements without an answer were sent, by token.
	waiting map[uint64]sent
	next    uint64
}

type sent struct {
	at     tables.Time
	commit bool
}

// candidate returns how a read sees the server.
func (u *Upstream) candidate(now tables.Time, need tables.Position, barred bool) place.Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	return place.Candidate{
		ID:          u.entry.ID,
		Local:       u.local,
		Excluded:    barred || now < u.barredUntil || u.behind(now, need),
		Slots:       u.entry.Slots,
		Outstanding: u.ahead,
		Latency:     u.latency,
	}
}

// behindFor is how long a server that lacked a position is not asked for it
// again. Replicas apply in steps, and a vain question costs a round trip.
const behindFor = 60 * time.Millisecond

// behind reports whether the server has just shown that it has not applied need.
func (h *health) behind(now tables.Time, need tables.Position) bool {
	return now < h.behindUntil && !h.applied.AtLeast(need)
}

// Unreachable reports whether the server has neither answered nor taken a
// connection since it was last tried. One connection that broke says nothing
// yet: new ones may work.
func (u *Upstream) Unreachable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dialFailed || u.silentMark() > u.answeredAt
}

// began records that something was sent.
func (u *Upstream) began(commit bool) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waiting == nil {
		u.waiting = make(map[uint64]sent)
	}
	u.next++
	u.waiting[u.next] = sent{at: u.fleet.Now(), commit: commit}
	return u.next
}

func (u *Upstream) forget(token uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.waiting, token)
}

// answered records an answer.
func (u *Upstream) answered(token uint64, timed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.fleet.Now()
	s, ok := u.waiting[token]
	delete(u.waiting, token)
	u.answeredAt = now
	u.refused, u.dialFailed = 0, false
	if s.commit {
		u.commitLost = 0
	}
	if !ok || !timed {
		return
	}
	took := now.Sub(s.at)
	if u.latency == 0 {
		u.latency = took
	}
	u.latency += (took - u.latency) / latencyWeight
}

// failed records that a connection could not be opened or broke.
func (u *Upstream) failed(token uint64, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.fleet.Now()
	s, ok := u.waiting[token]
	if sockopt.TimedOut(err) {
		// It stays in view as silent until it answers something.
		if ok && (u.silentMark() == 0 || s.at < u.silentMark()) {
			u.waiting[0] = sent{at: s.at}
		}
	} else if u.refused == 0 {
		u.refused = now
	}
	u.failedAt = now
	if s.commit {
		u.commitFailedAt = now
		if u.commitLost == 0 {
			u.commitLost = s.at
		}
	}
	delete(u.waiting, token)
	u.barredUntil = now.Add(failurePause)
}

func (h *health) silentMark() tables.Time { return h.waiting[0].at }

// bar keeps reads away for d.
func (u *Upstream) bar(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.barredUntil = max(u.barredUntil, u.fleet.Now().Add(d))
}

// failureFresh is how long a failure speaks against a server. One that is used
// goes on failing, or answers; of one that is not, nothing is known.
const failureFresh = 1200 * time.Millisecond

// silence returns when the oldest statement without an answer was sent, if
// nothing was answered since, and the same of commits, and since when the
// server refuses.
func (u *Upstream) silence() (silent, commit, refused tables.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.fleet.Now()
	if u.waiting[0].at != 0 && (u.waiting[0].at < u.answeredAt || now.Sub(u.failedAt) > failureFresh) {
		delete(u.waiting, 0)
	}
	if now.Sub(u.failedAt) > failureFresh {
		u.refused = 0
	}
	if now.Sub(u.commitFailedAt) > failureFresh {
		u.commitLost = 0
	}
	for _, s := range u.waiting {
		if s.at >= u.answeredAt && (silent == 0 || s.at < silent) {
			silent = s.at
		}
		if s.commit && (commit == 0 || s.at < commit) {
			commit = s.at
		}
	}
	if u.commitLost != 0 && (commit == 0 || u.commitLost < commit) {
		commit = u.commitLost
	}
	return silent, commit, u.refused
}

// showed takes note of how far the server has applied its log, and whether the
// answer shows that it leads.
func (u *Upstream) showed(r statement.Reply, leads bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Position != (tables.Position{}) {
		u.applied = r.Position
	}
	switch {
	case r.Code == statement.ReadOnly:
		u.deposedAt = u.fleet.Now()
		if u.deposed == 0 {
			u.deposed = u.deposedAt
		}
	case leads:
		u.deposed = 0
	}
	if r.Code == statement.Behind {
		u.behindUntil = u.fleet.Now().Add(behindFor)
	}
}

// probeFailed records that a new connection gave no answer. A server without
// room for one is alive.
func (u *Upstream) probeFailed(token uint64, err error) {
	if err == links.ErrFull || err == links.ErrClosed {
		u.forget(token)
		return
	}
	u.failed(token, err)
}

// deposedSince returns since when the server has answered that it does not
// lead, if it did so lately.
func (u *Upstream) deposedSince() tables.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.deposed == 0 || u.fleet.Now().Sub(u.deposedAt) > failureFresh {
		u.deposed = 0
	}
	return u.deposed
}
