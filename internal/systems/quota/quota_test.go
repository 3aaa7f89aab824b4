package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

const team = tables.TeamID("team")

var tolerance = Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// start is the time at which the processes of the tests start.
const start = tables.Time(time.Hour)

// newTestNode returns a proxy that is known to all others and owns its share.
func newTestNode(vm tables.VMID, dc tables.DataCentreID, process uint64, proxies int) *Node {
	n := NewNode(vm, dc, process, start)
	n.Configure(map[tables.TeamID]Limit{team: {Rate: 10, Burst: 10}}, tolerance, start)
	n.SetDirectory(Directory{Proxies: proxies, Near: proxies, Listed: true}, start)
	n.members.heard.learn(proxies, start)
	return n
}

// lend makes p lend its share to a, and returns the time after that.
func lend(p, a *Node, now tables.Time) {
	p.Receive(string(a.vm), now, nil, a.Respond(p.Request(string(a.vm), true, nil, now), now), now)
	a.Respond(p.Request(string(a.vm), true, nil, now), now)
}

// TestPlanStaysWithinWindow guards against plans that allow more operations in a window
// than the formula, or that never mint a whole token.
func TestPlanStaysWithinWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		l := Limit{Rate: rng.Float64() * 1000 * rng.Float64(), Burst: 1 + rng.Float64()*1000*rng.Float64()}
		tol := Tolerance{Window: DefaultWindow}
		if rng.IntN(2) == 0 {
			tol = tolerance
		}
		p := planFor(l, tol)
		window := tol.Window.Seconds()
		allowed := (l.Rate*window+l.Burst)*(1+tol.Overshoot) + tol.Slack*slackUsed
		used := p.rate*(window+p.grantLife.Seconds()) + p.pool + p.reserve
		assert.Assert(t, used <= allowed*(1+1e-9), "%+v %+v: %+v", l, tol, p)
		assert.Assert(t, p.rate >= (1-maxPoolShare)*l.Rate && p.rate <= l.Rate && p.grantLife > 0, "%+v %+v: %+v", l, tol, p)
		if allowed >= 8 {
			assert.Assert(t, p.pool >= 1, "%+v %+v: %+v", l, tol, p)
		}
	}
}

// TestLentShareIsUsedOnce guards against a proxy and its allocators using one share at
// the same time.
func TestLentShareIsUsedOnce(t *testing.T) {
	p, a, b := newTestNode("p", "dc", 1, 3), newTestNode("a", "dc", 2, 3), newTestNode("b", "dc", 3, 3)
	now := start.Add(2 * time.Second)
	lend(p, a, now)
	lend(p, b, now)
	p.updateOwn(now)
	assert.Equal(t, p.alloc.part.rate, 0.0)
	assert.Equal(t, len(a.alloc.shares), 1)
	assert.Equal(t, len(b.alloc.shares), 0)
	a.alloc.settle(now.Add(lease))
	assert.Equal(t, len(a.alloc.shares), 0, "the lease has ended")
	lend(p, b, now.Add(lease+time.Millisecond))
	assert.Equal(t, len(b.alloc.shares), 1)
}

// TestNewProcessDoesNotUseShareOfItsPredecessor guards against the share of a restarted
// proxy being used by the process and by the allocator that its predecessor lent it to.
func TestNewProcessDoesNotUseShareOfItsPredecessor(t *testing.T) {
	p := newTestNode("p", "dc", 1, 3)
	p.updateOwn(start.Add(lease - 1))
	assert.Equal(t, p.alloc.part.rate, 0.0)
	p.updateOwn(start.Add(lease))
	assert.Equal(t, p.alloc.part.rate, 1.0/3)
}

// TestOldTokensEnd guards against a suspended proxy using tokens that were granted before,
// or that arrived while it was suspended.
func TestOldTokensEnd(t *testing.T) {
	p := newTestNode("p", "dc", 1, 1)
	asks, grants := []Ask{{Team: team, Need: 1}}, []Grant{{Tokens: 5}}
	p.Keep(asks, grants, start, start)
	assert.Assert(t, p.Take(team, start))
	assert.Assert(t, !p.Take(team, start.Add(maxGrantLife)))
	p.Keep(asks, grants, start, start.Add(10*time.Second))
	assert.Assert(t, !p.Take(team, start.Add(10*time.Second)))
}

// TestTransferCountsOnce guards against tokens of another data centre that are taken
// twice from a repeated message, or late.
func TestTransferCountsOnce(t *testing.T) {
	a, b := newTestNode("a", "dc-a", 1, 2), newTestNode("b", "dc-b", 2, 2)
	a.Configure(map[tables.TeamID]Limit{team: {Rate: 10, Burst: 100}}, tolerance, start)
	b.Configure(map[tables.TeamID]Limit{team: {Rate: 10, Burst: 100}}, tolerance, start)
	a.updateOwn(start.Add(lease))
	b.updateOwn(start.Add(lease))
	now := start.Add(20 * time.Second)
	b.Allocate([]Ask{{Team: team, Need: 1000}}, now)
	a.Allocate([]Ask{{Team: team, Need: 0}}, now)
	a.Accept(b.Exchange("dc-a", now), now)
	e := a.Exchange("dc-b", now)
	assert.Assert(t, len(e.Teams) == 1 && e.Teams[0].Sent >= 1, "%+v", e)
	before := a.alloc.buckets[team].level
	assert.Assert(t, before+float64(e.Teams[0].Sent) <= a.alloc.buckets[team].plan.pool/2)
	tokens := func() float64 { return b.alloc.buckets[team].available(now) }
	had := tokens()
	b.Accept(e, now)
	assert.Assert(t, tokens() > had)
	had = tokens()
	b.Accept(e, now)
	assert.Equal(t, tokens(), had)
	now = now.Add(transferLife)
	late := a.Exchange("dc-b", now)
	late.Teams = []TeamLoad{{Team: team, Sent: 5}}
	b.alloc.settle(now)
	b.alloc.fillAll(now)
	had = tokens()
	b.Accept(late, now)
	assert.Equal(t, tokens(), had, "the stamp that the tokens depend on is too old")
}

// TestReturningProxyHasItsShareAtOnce guards against limits that shrink while proxies are
// stopped and started in turn: the others count a proxy for a minute after it has left.
func TestReturningProxyHasItsShareAtOnce(t *testing.T) {
	var m membership
	m.setDirectory(Directory{Proxies: 5}, start)
	m.hear(5, start)
	assert.Equal(t, m.shareSize(start), 0, "as many as the directory has without this proxy")
	m.hear(6, start)
	assert.Equal(t, m.shareSize(start), 6)
}

// TestJoiningProxyHasNoShareUntilOthersKnowIt guards against shares that add up to more
// than the limit while proxies have different directories. A proxy that no other one
// has heard of waits until all have read the directory again.
func TestJoiningProxyHasNoShareUntilOthersKnowIt(t *testing.T) {
	for _, c := range []struct {
		reported int
		wait     time.Duration
	}{{5, joinTime}, {6, spreadTime}} {
		var m membership
		m.setDirectory(Directory{Proxies: 5}, start)
		listedAt := start.Add(time.Second)
		m.setDirectory(Directory{Proxies: 6, Listed: true}, listedAt)
		m.heard.learn(c.reported, listedAt)
		assert.Equal(t, m.shareSize(listedAt.Add(c.wait-time.Millisecond)), 0, "%d reported", c.reported)
		later := listedAt.Add(c.wait)
		assert.Equal(t, m.shareSize(later), 6, "%d reported", c.reported)
		m.setDirectory(Directory{Proxies: 3, Listed: true}, later)
		assert.Equal(t, m.shareSize(later), 6, "a directory that lost rows")
	}
}
