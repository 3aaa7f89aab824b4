package links

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// teamLink is a link that knows for which team it was opened.
type teamLink struct {
	fakeLink
	team tables.TeamID
}

// openForTeams opens links that know their team, and counts them.
func openForTeams(n *atomic.Int64) Open {
	return func(_ context.Context, _ tables.Entry, team tables.TeamID) (Link, statement.Reply, error) {
		n.Add(1)
		return &teamLink{team: team}, statement.Reply{}, nil
	}
}

func getFor(t *testing.T, p *Pool, team tables.TeamID) *Conn {
	t.Helper()
	c, err := p.Get(t.Context(), team, false)
	assert.NilError(t, err)
	assert.Equal(t, c.Link.(*teamLink).team, team)
	assert.Equal(t, c.Team, team)
	return c
}

func closed(c *Conn) bool { return c.Link.(*teamLink).closed }

// A connection that one team used must never serve another: the server runs its
// statements with the first team's rights.
func TestIdleConnectionIsNotGivenToAnotherTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n atomic.Int64
		p := newTestPool(9, openForTeams(&n))
		red := getFor(t, p, "red")
		p.Put(red)
		for _, other := range []tables.TeamID{"blue", ""} {
			assert.Assert(t, getFor(t, p, other) != red)
		}
		assert.Equal(t, getFor(t, p, "red"), red)
		assert.Equal(t, n.Load(), int64(3))
	})
}

// At the limit a team must get a place that another team's idle connections occupy, the
// one that was not used for the longest time.
func TestIdleConnectionOfAnotherTeamIsClosedAtLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n atomic.Int64
		p := newTestPool(2, openForTeams(&n))
		a, b := getFor(t, p, "red"), getFor(t, p, "red")
		p.Put(b)
		time.Sleep(time.Millisecond)
		p.Put(a)
		getFor(t, p, "blue")
		assert.Assert(t, closed(b) && !closed(a))
		assert.Equal(t, getFor(t, p, "red"), a)
	})
}

// A waiter of another team can't use a connection that is returned, but must get its
// place instead of waiting until its time-out.
func TestWaiterOfAnotherTeamGetsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n atomic.Int64
		p := newTestPool(1, openForTeams(&n))
		red := getFor(t, p, "red")
		got := make(chan *Conn)
		go func() {
			c, _ := p.Get(context.Background(), "blue", false)
			got <- c
		}()
		synctest.Wait()
		p.Put(red)
		c := <-got
		assert.Assert(t, c != nil && c.Team == "blue")
		assert.Assert(t, closed(red))
	})
}

// A team with more waiting requests than connections must not keep another team out of
// the pool until its time-out.
func TestBusyTeamDoesNotKeepAnotherTeamOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n atomic.Int64
		p := newTestPool(1, openForTeams(&n))
		ctx, cancel := context.WithCancel(t.Context())
		var busy sync.WaitGroup
		defer func() {
			cancel()
			busy.Wait()
		}()
		for range 20 {
			busy.Go(func() {
				for ctx.Err() == nil {
					if c, err := p.Get(ctx, "red", false); err == nil {
						time.Sleep(4 * time.Millisecond)
						p.Put(c)
					}
				}
			})
		}
		time.Sleep(time.Second)
		opened := n.Load()
		for range 10 {
			c := getFor(t, p, "blue")
			time.Sleep(4 * time.Millisecond)
			p.Put(c)
		}
		opened = n.Load() - opened
		assert.Assert(t, opened <= 30, "%d connections were opened", opened)
	})
}

// Random use by three teams: a connection serves one team only, and the pool never has
// more of them than its limit.
func TestConnectionsOfTeamsStaySeparate(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			const limit = 4
			var n atomic.Int64
			open := 0
			r := rand.New(rand.NewPCG(seed, 0))
			p := newTestPool(limit, openForTeams(&n))
			var inUse []*Conn
			for range 500 {
				if r.IntN(2) == 0 && len(inUse) < limit {
					team := []tables.TeamID{"red", "blue", "green", ""}[r.IntN(4)]
					inUse = append(inUse, getFor(t, p, team))
				} else if len(inUse) > 0 {
					i := r.IntN(len(inUse))
					c := inUse[i]
					inUse = append(inUse[:i], inUse[i+1:]...)
					if r.IntN(5) == 0 {
						p.Discard(c)
					} else {
						p.Put(c)
					}
				}
				open = max(open, p.total)
				time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
			}
			assert.Assert(t, open <= limit, "%d connections were open", open)
		})
	}
}

// The proxy's own work may use any team's idle connection, which stays that team's.
func TestOwnWorkLeavesConnectionToItsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n atomic.Int64
		p := newTestPool(3, openForTeams(&n))
		red := getFor(t, p, "red")
		p.Put(red)
		for _, get := range []func(context.Context) (*Conn, error){p.GetOwn, p.GetBeyondLimit} {
			c, err := get(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, c, red)
			p.Put(c)
		}
		assert.Assert(t, getFor(t, p, "blue") != red)
		assert.Equal(t, getFor(t, p, "red"), red)
	})
}

// Without teams a pool behaves as before: one connection after another is reused.
func TestWithoutTeamsNothingIsClosedOrOpenedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n atomic.Int64
		p := newTestPool(1, openForTeams(&n))
		for range 100 {
			p.Put(getFor(t, p, ""))
		}
		assert.Equal(t, n.Load(), int64(1))
	})
}
