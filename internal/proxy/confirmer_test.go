package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"gotest.tools/v3/assert"
)

// decideNext sends one of the decisions to each commit that arrives, in order.
func decideNext(c *confirmer, decisions []decision) {
	for _, d := range decisions {
		<-c.wake
		c.mu.Lock()
		w := c.newCommits[len(c.newCommits)-1]
		c.mu.Unlock()
		w.decided <- d
	}
}

func TestStaleLeaseEvidenceCausesNewDecision(t *testing.T) {
	core := newCore(testWorld(), nil, nil)
	core.started = time.Now().Add(-time.Hour)
	c := newConfirmer("g", core, nil)
	old := core.Now().Add(-2 * maxEvidenceAge)
	go decideNext(c, []decision{
		{outcome: ack.Acknowledged, evidenceAt: old},
		{outcome: ack.Replaced},
	})
	o, err := c.acknowledge(context.Background(), ack.Commit{Term: 1})
	assert.NilError(t, err)
	assert.Equal(t, o, ack.Replaced)
}

func TestFreshLeaseEvidenceAcknowledges(t *testing.T) {
	core := newCore(testWorld(), nil, nil)
	c := newConfirmer("g", core, nil)
	go decideNext(c, []decision{{outcome: ack.Acknowledged, evidenceAt: core.Now()}})
	o, err := c.acknowledge(context.Background(), ack.Commit{Term: 1})
	assert.NilError(t, err)
	assert.Equal(t, o, ack.Acknowledged)
}

func TestCommitIsCancelledWithItsContext(t *testing.T) {
	c := newConfirmer("g", newCore(testWorld(), nil, nil), nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-c.wake
		cancel()
	}()
	_, err := c.acknowledge(ctx, ack.Commit{Term: 1})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, c.newCommits[0].cancelled)
}
