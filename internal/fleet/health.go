package fleet

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/sockopt"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/catchup"
	"github.com/cranberrystage/cranberrystage/internal/systems/place"
	"github.com/cranberrystage/cranberrystage/internal/systems/ramp"
	"github.com/cranberrystage/cranberrystage/internal/systems/receipt"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// health is this proxy's view of a server, from the replies and failures of its
// own statements.
type health struct {
	inFlight     int
	latency      time.Duration
	avoidUntil   tables.Time
	refusedSince tables.Time
	lastReplyAt  tables.Time
	// identifiedAt is when a statement was last answered in a session that the server
	// opened under its id.
	identifiedAt tables.Time
	// ended says that a connection was refused and none was opened since.
	ended bool
	// dialFailed says that the last attempt to connect failed.
	dialFailed bool
	// failingSince is when the first attempt that failed since the last reply began;
	// 0 if none did.
	failingSince tables.Time
	progress     catchup.Replica
	// lastFailureAt is when an attempt last failed, lastCommitFailureAt the same
	// for commits.
	lastFailureAt       tables.Time
	lastCommitFailureAt tables.Time
	// oldestLostCommitAt is when the oldest commit without a reply was sent,
	// provided that no commit was answered since; 0 if there is none.
	oldestLostCommitAt tables.Time
	// deposedFirstAt is when the server first replied to a write or a transaction
	// that it does not lead, and deposedLastAt when it last did so;
	// deposedFirstAt is 0 if it leads.
	deposedFirstAt tables.Time
	deposedLastAt  tables.Time
	// commits are the commits that this proxy sent to the server as a primary.
	commits receipt.Tracker
	// noReceiptAt is when the last search for a known replica with a commit failed; 0 if it
	// did not.
	noReceiptAt tables.Time
	// unanswered holds the statements without a reply, by token. Key 0 stands for
	// the oldest statement that timed out.
	unanswered map[uint64]sentStatement
	lastToken  uint64
}

type sentStatement struct {
	at     tables.Time
	commit bool
}

// candidate returns the server's state as the choice of a server for a read
// needs it.
func (u *Upstream) candidate(now tables.Time, need tables.Position, excluded bool) place.Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	return place.Candidate{
		ID:          u.entry.ID,
		Local:       u.local,
		Excluded:    excluded || now < u.avoidUntil || u.progress.Lacks(now, need),
		Elsewhere:   u.ramp.Elsewhere(now, u.inFlight),
		Slots:       u.entry.Slots,
		Outstanding: u.inFlight,
		Latency:     u.latency,
	}
}

// Unreachable reports whether the server has neither replied nor accepted a
// connection since the last attempt. One broken connection is not enough: new
// ones may work.
func (u *Upstream) Unreachable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dialFailed || u.timedOutSentAt() > u.lastReplyAt
}

// startStatement records that a statement or a connection attempt was sent.
func (u *Upstream) startStatement(commit bool) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unanswered == nil {
		u.unanswered = make(map[uint64]sentStatement)
	}
	u.lastToken++
	u.unanswered[u.lastToken] = sentStatement{at: u.fleet.Now(), commit: commit}
	return u.lastToken
}

// recordConnected records that a connection was taken from the pool or opened.
func (u *Upstream) recordConnected(token uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordAnswer(u.fleet.Now())
	u.ended = false
	delete(u.unanswered, token)
}

// refusesConnections reports whether nobody listened at the server's address when it was
// tried last.
func (u *Upstream) refusesConnections() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended
}

// recordAnswer records the end of a time without an answer of the server.
func (h *health) recordAnswer(now tables.Time) {
	if !receipt.Silent(now.Sub(h.lastReplyAt)) {
		return
	}
	oldest := now
	for _, s := range h.unanswered {
		oldest = min(oldest, s.at)
	}
	h.commits.Answered(now.Sub(max(oldest, h.lastReplyAt)))
}

func (u *Upstream) cancelStatement(token uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.unanswered, token)
}

// recordReply records a reply.
func (u *Upstream) recordReply(token uint64, sampleLatency bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.fleet.Now()
	u.recordAnswer(now)
	s, ok := u.unanswered[token]
	delete(u.unanswered, token)
	if u.failingSince != 0 && now.Sub(u.failingSince) >= minRampFailure && (u.dialFailed || u.timedOutSentAt() > u.lastReplyAt) {
		u.beginRamp(ramp.Recovered, 0, 0)
	}
	u.lastReplyAt = now
	u.refusedSince, u.dialFailed, u.failingSince = 0, false, 0
	if s.commit {
		u.oldestLostCommitAt = 0
	}
	if !ok || !sampleLatency {
		return
	}
	u.sampleLatency(now.Sub(s.at))
}

// sampleLatency adds a sample to the moving average of latency.
func (h *health) sampleLatency(took time.Duration) {
	if h.latency == 0 {
		h.latency = took
	}
	h.latency += (took - h.latency) / latencySmoothing
}

// recordFailure records that a connection could not be opened or broke.
func (u *Upstream) recordFailure(token uint64, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.fleet.Now()
	s, ok := u.unanswered[token]
	if sockopt.TimedOut(err) {
		// The server counts as unresponsive until it replies, or until the failure is
		// older than failureMaxAge.
		if ok && (u.timedOutSentAt() == 0 || s.at < u.timedOutSentAt()) {
			u.unanswered[0] = sentStatement{at: s.at}
		}
	} else if u.refusedSince == 0 {
		u.refusedSince = now
	}
	u.lastFailureAt = now
	if u.failingSince == 0 {
		u.failingSince = now
		if ok {
			u.failingSince = s.at
		}
	}
	u.commits.Failed()
	if s.commit {
		u.lastCommitFailureAt = now
		if u.oldestLostCommitAt == 0 {
			u.oldestLostCommitAt = s.at
		}
	}
	delete(u.unanswered, token)
	u.avoidUntil = now.Add(failureAvoidTime)
}

func (h *health) timedOutSentAt() tables.Time { return h.unanswered[0].at }

// recordCommit records the server's reply to a commit that was sent at sentAt.
func (u *Upstream) recordCommit(sentAt tables.Time, r statement.Reply) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch r.Code {
	case statement.OK:
	case statement.Timeout:
		u.commits.Failed()
		return
	default:
		return
	}
	now, oldest := u.fleet.Now(), sentAt
	for _, s := range u.unanswered {
		if s.commit {
			oldest = min(oldest, s.at)
		}
	}
	u.commits.Confirmed(receipt.Commit{Position: r.Position, SentAt: sentAt, ConfirmedAt: now, OldestAt: oldest})
}

// recordTerm records that the server leads a term, which is 0 if it is not known.
func (u *Upstream) recordTerm(term tables.Term) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.commits.Leads(term)
}

// doubted returns the newest commit of the server with a sign of a cut that no known replica
// has shown to have received; zero if there is none.
func (u *Upstream) doubted() tables.Position {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.commits.Doubted()
}

// recordReceived records that a known replica of the server has received a position.
func (u *Upstream) recordReceived(p tables.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.commits.Received(u.fleet.Now(), p)
}

// recordReceipt records whether a search for a known replica with a commit found one.
func (u *Upstream) recordReceipt(found bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.noReceiptAt = 0
	if !found {
		u.noReceiptAt = u.fleet.Now()
	}
}

// receiptFailed reports whether the last search for a known replica with a commit failed, and
// whether it did just now, so that another one would fail too.
func (u *Upstream) receiptFailed() (failed, recently bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.noReceiptAt != 0, u.noReceiptAt != 0 && u.fleet.Now().Sub(u.noReceiptAt) < receiptRetryDelay
}

// avoidReads keeps reads away from the server for d.
func (u *Upstream) avoidReads(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.avoidUntil = max(u.avoidUntil, u.fleet.Now().Add(d))
}

// failureMaxAge is how long a failure counts against a server. A server in use
// either keeps failing or replies; the state of an unused one is unknown.
const failureMaxAge = 1200 * time.Millisecond

// unansweredSince returns when the oldest statement without a reply was sent,
// if there was no reply since, the same for commits, and since when the server
// refuses connections. Values are 0 where there is none.
func (u *Upstream) unansweredSince() (oldest, commit, refused tables.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.fleet.Now()
	if u.unanswered[0].at != 0 && (u.unanswered[0].at < u.lastReplyAt || now.Sub(u.lastFailureAt) > failureMaxAge) {
		delete(u.unanswered, 0)
	}
	if now.Sub(u.lastFailureAt) > failureMaxAge {
		u.refusedSince = 0
	}
	if now.Sub(u.lastCommitFailureAt) > failureMaxAge {
		u.oldestLostCommitAt = 0
	}
	for _, s := range u.unanswered {
		if s.at >= u.lastReplyAt && (oldest == 0 || s.at < oldest) {
			oldest = s.at
		}
		if s.commit && (commit == 0 || s.at < commit) {
			commit = s.at
		}
	}
	if u.oldestLostCommitAt != 0 && (commit == 0 || u.oldestLostCommitAt < commit) {
		commit = u.oldestLostCommitAt
	}
	return oldest, commit, u.refusedSince
}

// recordState records how far the server has applied its log, and whether the
// reply shows that it leads. after is the position that the statement needed.
func (u *Upstream) recordState(r statement.Reply, after tables.Position, leads bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Code == statement.Behind {
		u.progress.Lacked(u.fleet.Now(), r.Position, after)
	} else {
		u.progress.Reported(u.fleet.Now(), r.Position)
	}
	switch {
	case r.Code == statement.ReadOnly:
		u.deposedLastAt = u.fleet.Now()
		if u.deposedFirstAt == 0 {
			u.deposedFirstAt = u.deposedLastAt
		}
	case leads:
		u.deposedFirstAt = 0
	}
}

// recordProbeFailure records that a probe with a new connection, begun at startedAt,
// failed. It doesn't count links.ErrFull as a failure; a server that refuses connections
// for lack of capacity is alive.
func (u *Upstream) recordProbeFailure(token uint64, startedAt tables.Time, err error) {
	switch {
	case err == links.ErrFull && u.pool.RefusedSince(startedAt):
		u.recordReply(token, false)
	case err == links.ErrFull, err == links.ErrClosed:
		u.cancelStatement(token)
	default:
		u.recordFailure(token, err)
	}
}

// deposedSince returns since when the server has replied that it does not lead,
// or 0 if there is no recent reply of this kind.
func (u *Upstream) deposedSince() tables.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.deposedFirstAt == 0 || u.fleet.Now().Sub(u.deposedLastAt) > failureMaxAge {
		u.deposedFirstAt = 0
	}
	return u.deposedFirstAt
}
