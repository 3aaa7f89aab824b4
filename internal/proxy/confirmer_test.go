package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"gotest.tools/v3/assert"
)

// decided answers each commit that arrives with the next decision.
func decided(c *confirmer, decisions []decision) {
	for _, d := range decisions {
		<-c.wake
		c.mu.Lock()
		w := c.arrived[len(c.arrived)-1]
		c.mu.Unlock()
		w.decided <- d
	}
}

func TestOldEvidenceIsGatheredAgain(t *testing.T) {
	core := newCore(testWorld(), nil, nil)
	core.started = time.Now().Add(-time.Hour)
	c := newConfirmer("g", core, nil)
	old := core.Now().Add(-2 * evidenceWindow)
	go decided(c, []decision{
		{outcome: ack.Acknowledged, evidenceAt: old},
		{outcome: ack.Replaced},
	})
	o, err := c.acknowledge(context.Background(), ack.Commit{Term: 1})
	assert.NilError(t, err)
	assert.Equal(t, o, ack.Replaced)
}

func TestFreshEvidenceIsEnough(t *testing.T) {
	core := newCore(testWorld(), nil, nil)
	c := newConfirmer("g", core, nil)
	go decided(c, []decision{{outcome: ack.Acknowledged, evidenceAt: core.Now()}})
	o, err := c.acknowledge(context.Background(), ack.Commit{Term: 1})
	assert.NilError(t, err)
	assert.Equal(t, o, ack.Acknowledged)
}

func TestCallerThatGivesUpLeavesTheRound(t *testing.T) {
	c := newConfirmer("g", newCore(testWorld(), nil, nil), nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-c.wake
		cancel()
	}()
	_, err := c.acknowledge(ctx, ack.Commit{Term: 1})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, c.arrived[0].gone)
}
