package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/teamlog"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

const (
	// keyPrefix begins all keys of walks; the rest names the callers that use the key,
	// as in teamlog.
	keyPrefix = "key-"
	// maxFaultTime is the longest time for which a fault of a walk affects proxies or
	// the store.
	maxFaultTime = 5200 * time.Millisecond
	// maxCopyAge is more than the age of the oldest copy from which the store comes back.
	maxCopyAge = 10 * time.Second
)

// walkTeams returns the teams of walks with their keys.
func walkTeams() map[tables.TeamID][]string {
	return map[tables.TeamID][]string{"red": {"key-r", "key-early"}, "green": {"key-g", "key-late"}, "blue": {"key-b"}}
}

// regularKey returns a key that is never removed. The sessions of a proxy have keys of
// different teams.
func (p *proxyUnderTest) regularKey(database string) string {
	if p.tc.teams == nil {
		return ""
	}
	keys := []string{"key-r", "key-g", "key-b"}
	return keys[(p.number+len(database))%len(keys)]
}

// current returns a session with a key at the process that now is the proxy.
func (p *proxyUnderTest) current(key string) *session {
	p.tc.mu.Lock()
	defer p.tc.mu.Unlock()
	s := p.session(own)
	s.key = key
	return s
}

// guest runs a caller at a proxy until ctx ends: writes, and transactions that stay
// open for a while. It opens a new session after a refused key and after a restart.
func (p *proxyUnderTest) guest(ctx context.Context, key string, rng *rand.Rand) {
	s := p.current(key)
	for n := 1; ctx.Err() == nil; n++ {
		if now := p.current(key); now.fleet != s.fleet {
			s = now // the session ended with the process
		}
		var r statement.Reply
		write := fmt.Sprintf("%s-%s %d", key, p.vm, n)
		if n%2 == 0 {
			r = s.run(statement.Write, write)
		} else {
			s.run(statement.Begin, "")
			for range 3 {
				r = s.run(statement.Write, write)
				_ = sleep.For(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
			}
			if ctx.Err() == nil && r.Code != statement.NoAuth {
				r = s.run(statement.Commit, "")
			}
		}
		if r.Code == statement.NoAuth {
			s.close()
			s = p.current(key)
		}
		_ = sleep.For(ctx, time.Duration(rng.IntN(200))*time.Millisecond) // the loop checks ctx
	}
	s.close()
}

// TestRandomWalkWithTeams checks, from the servers' side, that no statement runs for
// another team, an unknown key, or a key that was removed too long ago, whatever fails.
func TestRandomWalkWithTeams(t *testing.T) {
	for seed := *walkFirst; seed < *walkFirst+uint64(*walkSeeds+1)/2; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { randomWalkWithTeams(t, seed) })
		})
	}
}

func randomWalkWithTeams(t *testing.T, seed uint64) {
	tc := newTestCluster(t, 3)
	tc.configureTeams(2, walkTeams())
	time.Sleep(maxCopyAge) // else the store may come back without teams
	var ran teamlog.Log
	tc.group.Observe(ran.Record)
	ctx, stop := context.WithCancel(tc.ctx)
	var guests sync.WaitGroup
	for i, p := range tc.proxies {
		for j, key := range []string{"key-early", "key-late", "key-stranger"} {
			rng := rand.New(rand.NewPCG(seed, uint64(10+3*i+j)))
			guests.Go(func() { p.guest(ctx, key, rng) })
		}
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	time.AfterFunc(time.Duration(rng.Int64N(int64(walkTime))), func() { tc.removeKeys(3, "key-early") })
	l := tc.walk(seed, allKinds)
	time.Sleep(maxFaultTime)
	revokedAt := time.Now().Add(applyLimit)
	tc.removeKeys(4, "key-early", "key-late")
	time.Sleep(walkRecoveryTime - maxFaultTime)
	stop()
	guests.Wait()
	l.end()
	r := tc.write(tc.proxies[0].session(newest), "last", 1)
	assert.Equal(t, r.Code.String(), "ok", r.Detail)
	assert.DeepEqual(t, ran.Violations(map[string]teamlog.Holder{
		"r": {Team: "red"}, "g": {Team: "green"}, "b": {Team: "blue"},
		"early": {Team: "red", RevokedAt: revokedAt}, "late": {Team: "green", RevokedAt: revokedAt},
	}, nil), []string(nil))
	for _, holder := range []string{"r", "g", "b", "early", "late"} {
		assert.Assert(t, ran.Count(holder) > 0, "%s ran nothing", holder)
	}
}

// removeKeys writes a configuration of walkTeams without the given keys.
func (tc *testCluster) removeKeys(version uint64, keys ...string) {
	teams := walkTeams()
	for id, list := range teams {
		teams[id] = nil
		for _, key := range list {
			if !slices.Contains(keys, key) {
				teams[id] = append(teams[id], key)
			}
		}
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.configureTeams(version, teams)
}
