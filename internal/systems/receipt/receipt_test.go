package receipt

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func pos(index uint64) tables.Position { return tables.Position{LogTerm: 1, Index: index} }

// history is a tracker with the time and the position of its last commit.
type history struct {
	Tracker
	now  tables.Time
	last uint64
}

// commit adds a commit that took took, while another one had been under way for oldest.
func (h *history) commit(took, oldest time.Duration) {
	h.last++
	h.now = h.now.Add(20*time.Millisecond + max(took, oldest))
	h.Confirmed(Commit{Position: pos(h.last), SentAt: h.now.Add(-took), ConfirmedAt: h.now, OldestAt: h.now.Add(-oldest)})
}

// show records that a known replica has received the last commit.
func (h *history) show() { h.Received(h.now, pos(h.last)) }

// usual returns a history of 100 commits that took 8 to 12 ms and were shown.
func usual() *history {
	h := &history{now: tables.Time(time.Hour)}
	for i := range 100 {
		took := time.Duration(8+i%5) * time.Millisecond
		h.commit(took, took)
		h.show()
	}
	return h
}

func TestUsualCommitsNeedNoProof(t *testing.T) {
	h := usual()
	h.commit(10*time.Millisecond, 10*time.Millisecond)
	assert.Assert(t, !h.Doubtful())
}

// A server that joins as a cut begins confirms each commit at once; the known replicas show
// no progress.
func TestCommitsNeedProofIfNoReplicaShowsProgress(t *testing.T) {
	h := usual()
	shown := pos(h.last)
	h.commit(5*time.Millisecond, 5*time.Millisecond)
	assert.Assert(t, !h.Doubtful())
	for began := h.now; !h.Doubtful(); {
		h.commit(5*time.Millisecond, 5*time.Millisecond)
		h.Received(h.now, shown)
		assert.Assert(t, h.now.Sub(began) < 2*minProgressTimeout)
	}
	h.Received(h.now, pos(h.last-1))
	assert.Assert(t, h.Doubtful())
	h.show()
	assert.Assert(t, !h.Doubtful())
	h.commit(5*time.Millisecond, 5*time.Millisecond)
	assert.Assert(t, !h.Doubtful())
}

// With few commits, progress is rare, and not each commit needs proof.
func TestProgressTimeoutFollowsLoad(t *testing.T) {
	h := usual()
	for range 50 {
		h.now = h.now.Add(200 * time.Millisecond)
		h.commit(5*time.Millisecond, 5*time.Millisecond)
		h.show()
	}
	assert.Assert(t, h.progressTimeout() > 200*time.Millisecond)
	assert.Assert(t, h.progressTimeout() <= maxProgressTimeout)
}

// Commits that waited for a replica, those that were sent meanwhile, and those after a commit
// without a reply may have been received by an unknown server alone.
func TestLateCommitsNeedProofUntilReplicaHasCaughtUp(t *testing.T) {
	const ms = time.Millisecond
	for name, late := range map[string]func(*history){
		"late itself":              func(h *history) { h.commit(60*ms, 60*ms) },
		"another one is under way": func(h *history) { h.commit(5*ms, 60*ms) },
		"another one was lost":     func(h *history) { h.Failed(); h.commit(5*ms, 5*ms) },
		"the primary was silent":   func(h *history) { h.Answered(silenceTimeout + 1); h.commit(5*ms, 5*ms) },
	} {
		h := usual()
		late(h)
		doubted := h.last
		assert.Assert(t, h.Doubtful(), name)
		h.commit(5*ms, 5*ms)
		assert.Assert(t, h.Doubtful(), name)
		h.Received(h.now, pos(doubted-1))
		assert.Assert(t, h.Doubtful(), name)
		h.Received(h.now, tables.Position{LogTerm: 2, Index: 500})
		assert.Assert(t, h.Doubtful(), "%s: a log of a later term may lack the commit", name)
		h.show()
		assert.Assert(t, !h.Doubtful(), name)
	}
}

func TestShortSilenceNeedsNoProof(t *testing.T) {
	h := usual()
	h.Answered(silenceTimeout)
	h.commit(5*time.Millisecond, 5*time.Millisecond)
	assert.Assert(t, !h.Doubtful())
}

// A primary that was replaced and promoted again would wait for ever for a replica with the
// commits of its earlier term.
func TestLaterTermEndsDoubt(t *testing.T) {
	h := usual()
	h.Failed()
	h.commit(time.Millisecond, time.Millisecond)
	h.Leads(1)
	assert.Assert(t, h.Doubtful())
	h.Leads(2)
	assert.Assert(t, !h.Doubtful())
}

// The first commits of a primary are compared with a fixed bound.
func TestFirstCommit(t *testing.T) {
	for _, c := range []struct {
		took  time.Duration
		doubt bool
	}{{initialBound, false}, {initialBound + 1, true}} {
		h := history{now: tables.Time(time.Hour)}
		h.Received(h.now, pos(0))
		h.commit(c.took, c.took)
		assert.Equal(t, h.Doubtful(), c.doubt)
	}
}

// Each commit of a busy time must not need proof, and a cut after it must still show.
func TestBoundFollowsLoad(t *testing.T) {
	const ms = time.Millisecond
	h := usual()
	for i := range 100 {
		took := time.Duration(60+i%40) * ms
		h.commit(took, took)
		h.show()
	}
	h.commit(90*ms, 90*ms)
	assert.Assert(t, !h.Doubtful(), "bound %s", h.Bound())
	for range 10 {
		h.commit(600*ms, 600*ms)
		h.show()
	}
	for range 100 {
		h.commit(10*ms, 10*ms)
		h.show()
	}
	h.commit(400*ms, 400*ms)
	assert.Assert(t, h.Doubtful(), "bound %s", h.Bound())
}
