package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// sender returns a proxy that holds no server for a team, and its holders.
func (tc *testCluster) sender(team tables.TeamID) (*proxyUnderTest, []*proxyUnderTest) {
	tc.t.Helper()
	for _, p := range tc.proxies {
		var holders []*proxyUnderTest
		for _, id := range servers {
			u, _, ok := p.fleet.Server("g", id)
			assert.Assert(tc.t, ok)
			if h, ok := p.forwarder.Holder(u, team); ok {
				holders = append(holders, tc.proxy(h.VM))
			}
		}
		if len(holders) == len(servers) {
			return p, holders
		}
	}
	tc.t.Fatal("every proxy is a holder")
	return nil, nil
}

func (tc *testCluster) proxy(vm tables.VMID) *proxyUnderTest {
	for _, p := range tc.proxies {
		if p.vm == vm {
			return p
		}
	}
	return nil
}

// writeItems writes items with values that name them.
func (tc *testCluster) writeItems(n int) {
	s := tc.proxies[0].session(newest)
	for i := range n {
		r := s.run(statement.Write, fmt.Sprintf("item%d %d", i, i+1))
		assert.Equal(tc.t, r.Code, statement.OK)
	}
	time.Sleep(2 * testMaxAge)
}

// timedRead reads an item and returns how long it took; it must be served.
func (s *session) timedRead(t *testing.T, item int) time.Duration {
	t.Helper()
	at := time.Now()
	r := s.run(statement.Read, fmt.Sprintf("item%d", item))
	assert.Equal(t, r.Code, statement.OK, "%+v", r)
	assert.Equal(t, valueOf(r), item+1)
	return time.Since(at)
}

// Guards against reads that fail, or wait for their deadline, because their holder does.
func TestReadIsServedDespiteFailureOfHolder(t *testing.T) {
	const work = 30 * time.Millisecond
	for _, tc := range []struct {
		name string
		// fail makes the holders fail; it is called when the read is sent.
		fail func(f *forwarding, holders map[tables.VMID]bool)
		// skipped says whether the holder is to be skipped afterwards.
		skipped bool
	}{
		{"dead before", func(f *forwarding, holders map[tables.VMID]bool) { f.set(func() { f.gone = holders }) }, true},
		{"dead while the statement runs", func(f *forwarding, holders map[tables.VMID]bool) {
			time.AfterFunc(work/2, func() { f.set(func() { f.gone = holders }) })
		}, true},
		{"response lost", func(f *forwarding, _ map[tables.VMID]bool) {
			lost := false
			f.set(func() {
				f.drop = func(_ tables.VMID, topic string) bool {
					drop := topic == "read-response" && !lost
					lost = lost || drop
					return drop
				}
			})
		}, false},
		{"request lost", func(f *forwarding, _ map[tables.VMID]bool) {
			lost := false
			f.set(func() {
				f.drop = func(_ tables.VMID, topic string) bool {
					drop := topic == "read-request" && !lost
					lost = lost || drop
					return drop
				}
			})
		}, false},
		{"frozen", func(f *forwarding, holders map[tables.VMID]bool) {
			f.set(func() {
				f.delay = func(from tables.VMID, topic string) time.Duration {
					if holders[from] && topic == "read-response" {
						return 400 * time.Millisecond
					}
					return 0
				}
			})
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newForwardingCluster(t, 30, nil)
				c.writeItems(3)
				for _, id := range servers {
					c.group.Change(id, func(s *dbgroup.Server) { s.SetStatementTime(work) })
				}
				p, list := c.sender("")
				holders := make(map[tables.VMID]bool)
				for _, h := range list {
					holders[h.vm] = true
				}
				s := p.session(bounded)
				tc.fail(c.forwarding, holders)
				took := s.timedRead(t, 0)
				t.Logf("served after %s", took)
				// The holder is asked once, then another server answers.
				assert.Assert(t, took > work && took < 160*time.Millisecond+work, "%s", took)
				assert.Assert(t, s.lastRequest.tries > 1)
				failed := s.lastRequest
				for i := range 20 {
					took := s.timedRead(t, i%3)
					assert.Assert(t, took < 160*time.Millisecond+work, "%s", took)
				}
				assert.Assert(t, s.timedRead(t, 1) < 2*work)
				for _, id := range servers {
					u, _, _ := p.fleet.Server("g", id)
					assert.Assert(t, !u.Unreachable(), "a server counts as unreachable instead of its holder")
				}
				assert.Assert(t, failed.need != tables.Position{})
			})
		})
	}
}

// A late response must not reach another request: each caller gets the value of the item
// that it asked for.
func TestLateResponseReachesNoOtherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newForwardingCluster(t, 12, nil)
		c.writeItems(7)
		n := 0
		c.forwarding.set(func() {
			c.forwarding.delay = func(_ tables.VMID, topic string) time.Duration {
				n++
				if topic == "read-response" && n%3 == 0 {
					return time.Duration(n%500) * time.Millisecond
				}
				return 0
			}
		})
		var wg sync.WaitGroup
		for i, p := range c.proxies {
			wg.Go(func() {
				s := p.session(bounded)
				for k := range 100 {
					s.timedRead(t, (i+k)%7)
				}
			})
		}
		wg.Wait()
		assert.Assert(t, c.paths()[metrics.PathForwarded] > 100)
	})
}

// A holder that does not know a team or a server refuses the read before anything runs,
// and the sender runs it.
func TestHolderInOlderConfigurationRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newForwardingCluster(t, 30, nil)
		c.writeItems(3)
		p, holders := c.sender("red")
		for _, h := range holders {
			h.store.mu.Lock()
			h.store.alter = func(table string, rows platform.Rows) platform.Rows {
				if table == "op" {
					rows.Rows = nil
				}
				return rows
			}
			h.store.mu.Unlock()
		}
		c.teams = map[tables.TeamID][]string{"red": {"k"}}
		c.configure(2)
		time.Sleep(3 * time.Second)
		c.forwarding.takeRan()
		s := p.session(bounded)
		s.key = "k"
		for i := range 3 {
			assert.Assert(t, s.timedRead(t, i) < 20*time.Millisecond)
		}
		ran := c.forwarding.takeRan()
		assert.Equal(t, len(ran), 3)
		for _, r := range ran {
			assert.Equal(t, r.vm, p.vm)
			assert.Equal(t, r.team, tables.TeamID("red"))
		}
	})
}

// A holder that stops answers the reads that it has, and refuses others as not run.
func TestStoppingHolderAnswersWhatItHasTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newForwardingCluster(t, 30, nil)
		c.writeItems(3)
		for _, id := range servers {
			c.group.Change(id, func(s *dbgroup.Server) { s.SetStatementTime(30 * time.Millisecond) })
		}
		p, holders := c.sender("")
		isHolder := make(map[tables.VMID]bool)
		for _, h := range holders {
			isHolder[h.vm] = true
			time.AfterFunc(15*time.Millisecond, h.forwarder.Stop)
		}
		c.forwarding.takeRan()
		s := p.session(bounded)
		assert.Assert(t, s.timedRead(t, 0) < 40*time.Millisecond)
		assert.Equal(t, s.lastRequest.tries, 1)
		assert.Assert(t, isHolder[c.forwarding.takeRan()[0].vm])
		for i := range 9 {
			assert.Assert(t, s.timedRead(t, i%3) < 40*time.Millisecond)
		}
		ran := c.forwarding.takeRan()
		assert.Equal(t, len(ran), 9, "a read ran twice")
		for _, r := range ran {
			assert.Assert(t, !isHolder[r.vm])
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		for _, h := range holders {
			h.forwarder.Wait(ctx)
		}
		assert.NilError(t, ctx.Err())
	})
}

// The holder's connection gets the session values and prepared statements of the session
// that it runs a read for, and nothing of another session or team.
func TestHolderPreparesConnectionForSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newForwardingCluster(t, 30, func(tc *testCluster) {
			tc.teams = map[tables.TeamID][]string{"red": {"r"}, "blue": {"b"}}
		})
		var sessions []*session
		for i, key := range []string{"r", "b", "r", "b"} {
			p, _ := c.sender(map[string]tables.TeamID{"r": "red", "b": "blue"}[key])
			s := p.session(own)
			s.key = key
			if i >= 2 {
				s.handle(t.Context(), statement.Statement{Kind: statement.Set, Name: "role", Value: fmt.Sprint("v ", i)})
			}
			definition := statement.Statement{Kind: statement.Prepare, Name: "s", Value: fmt.Sprint("text", i), Writes: false}
			assert.Equal(t, s.handle(t.Context(), definition).Code, statement.OK)
			sessions = append(sessions, s)
		}
		c.forwarding.takeRan()
		for n := range 40 {
			i := n % len(sessions)
			s := sessions[i]
			id := fmt.Sprintf("x%d", n)
			r := s.handle(t.Context(), statement.Statement{ID: id, Kind: statement.Execute, Name: "s", Arguments: "item"})
			assert.Equal(t, r.Code, statement.OK, "%+v", r)
			assert.Assert(t, s.lastRequest.holder != "")
			var got *ranStatement
			for _, r := range c.forwarding.takeRan() {
				if r.ID == id {
					got = &r
				}
			}
			assert.Assert(t, got != nil)
			assert.Equal(t, got.team, s.team.ID)
			assert.Equal(t, got.vm, s.lastRequest.holder)
			assert.Equal(t, got.Name, fmt.Sprint("r.text", i))
			want := map[string]string{}
			if i >= 2 {
				want["role"] = fmt.Sprint("v ", i)
			}
			assert.DeepEqual(t, got.values, want)
		}
	})
}

// Writes, transactions, reads of the newest data and prepared statements that write are
// never forwarded.
func TestOnlyReadsOfReplicasAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newForwardingCluster(t, 30, nil)
		c.writeItems(1)
		p, _ := c.sender("")
		before := c.forwarding.network.Sent()
		s := p.session(own)
		assert.Equal(t, s.run(statement.Write, "item0 5").Code, statement.OK)
		s.handle(t.Context(), statement.Statement{Kind: statement.Prepare, Name: "w", Value: "text", Writes: true})
		s.handle(t.Context(), statement.Statement{ID: "w1", Kind: statement.Execute, Name: "w", Arguments: "item0 6"})
		for _, kind := range []statement.Kind{statement.Begin, statement.BeginRead} {
			assert.Equal(t, s.run(kind, "").Code, statement.OK)
			assert.Equal(t, s.run(statement.Read, "item0").Code, statement.OK)
			assert.Equal(t, s.run(statement.Commit, "").Code, statement.OK)
		}
		assert.Equal(t, p.session(newest).run(statement.Read, "item0").Code, statement.OK)
		assert.Equal(t, c.forwarding.network.Sent(), before)
		assert.Equal(t, s.run(statement.Read, "item0").Code, statement.OK)
		assert.Assert(t, c.forwarding.network.Sent() > before)
	})
}

// A server that does not respond is avoided because of the holder's word, and a refusal
// says that nothing ran only if nothing did.
func TestServerWithoutResponseAtHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newForwardingCluster(t, 30, nil)
		c.writeItems(1)
		p, _ := c.sender("")
		for _, id := range servers {
			c.group.Change(id, func(s *dbgroup.Server) { s.SetSilent(true) })
		}
		s := p.session(bounded)
		at := time.Now()
		r := s.run(statement.Read, "item0")
		assert.Assert(t, time.Since(at) <= testTimeout+time.Millisecond)
		assert.Assert(t, r.Code == statement.Timeout || r.Reason != codes.OK && r.Code == statement.Busy, "%+v", r)
		h := p.forwarder
		for _, id := range servers {
			u, _, _ := p.fleet.Server("g", id)
			_, ok := h.Holder(u, "")
			assert.Assert(t, ok, "the holder of %s is skipped, though it responds", id)
		}
	})
}

// A holder that is gone costs no read more than the first ones: whether it responds again
// is found out beside the reads, and it is used again once it does.
func TestHolderThatIsGoneDelaysNoFurtherReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newForwardingCluster(t, 30, nil)
		c.writeItems(1)
		p, holders := c.sender("")
		gone := make(map[tables.VMID]bool)
		for _, h := range holders {
			gone[h.vm] = true
		}
		c.forwarding.set(func() { c.forwarding.gone = gone })
		s := p.session(bounded)
		slow := 0
		for range 3000 {
			if s.timedRead(t, 0) > 20*time.Millisecond {
				slow++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, slow >= 1 && slow <= len(gone), "%d slow reads", slow)
		c.forwarding.set(func() { c.forwarding.gone = nil })
		back := false
		for range 2000 {
			s.timedRead(t, 0)
			back = back || gone[s.lastRequest.holder]
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, back)
	})
}

// A proxy that is cut off from all others must not try each of them with a read.
func TestProxyThatIsCutOffReadsDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newForwardingCluster(t, 60, nil)
		c.writeItems(1)
		p, _ := c.sender("")
		c.forwarding.set(func() { c.forwarding.gone = map[tables.VMID]bool{p.vm: true} })
		s := p.session(bounded)
		slow := 0
		for range 1000 {
			if s.timedRead(t, 0) > 20*time.Millisecond {
				slow++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, slow <= 4, "%d slow reads", slow)
		c.forwarding.set(func() { c.forwarding.gone = nil })
		time.Sleep(2 * time.Second)
		for range 100 {
			s.timedRead(t, 0)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, s.lastRequest.holder != "", "reads still go direct")
	})
}

// TestRandomWalkWithHolders checks the guarantees of TestRandomWalk where reads go
// through holders, and messages between proxies are lost, late, or cut off for a while.
func TestRandomWalkWithHolders(t *testing.T) {
	for seed := *walkFirst; seed < *walkFirst+uint64(*walkSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newForwardingCluster(t, 6, nil)
				f := c.forwarding
				rng := rand.New(rand.NewPCG(seed, 2))
				f.set(func() {
					f.drop = func(tables.VMID, string) bool { return rng.IntN(300) == 0 }
					f.delay = func(tables.VMID, string) time.Duration {
						return time.Duration(rng.IntN(100)/99*rng.IntN(600)) * time.Millisecond
					}
				})
				go func() {
					for sleep.For(c.ctx, 3*time.Second) == nil {
						f.set(func() { f.gone = map[tables.VMID]bool{c.proxies[rng.IntN(6)].vm: true} })
					}
				}()
				walkCluster(t, c, seed, kindsWithoutDrills)
				paths := c.paths()
				t.Logf("%v", paths)
				assert.Assert(t, paths[metrics.PathHeld] > 100)
			})
		})
	}
}
