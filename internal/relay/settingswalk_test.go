package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/sessionlog"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"gotest.tools/v3/assert"
)

// settingsWalks is the number of walks with failed statements for each variant seed: they
// have few callers and take a tenth of the time of the others.
const settingsWalks = 5

// maxFailingTime is the longest time for which a server fails a part of its statements.
const maxFailingTime = 4 * time.Second

// failStatements makes one server after the other fail a part of its statements, the
// proxies' own as well, until the walk ends.
func (tc *testCluster) failStatements(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	if rng.IntN(2) == 0 {
		tc.group.RollbackUndoesSettings()
	}
	for began := time.Now(); time.Since(began) < walkTime; {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		failing := sessionlog.RandomFailures(rng, servers[rng.IntN(len(servers))])
		tc.group.FailStatements(failing)
		time.Sleep(time.Duration(rng.Int64N(int64(maxFailingTime))))
		tc.group.FailStatements(nil)
	}
}

// settingsCaller runs a caller with session values at a proxy until ctx ends.
func (p *proxyUnderTest) settingsCaller(ctx context.Context, database string, log *sessionlog.Log, rng *rand.Rand) {
	s := p.current(p.regularKey(database))
	s.database = database
	c := &sessionlog.Caller{Log: log, Name: fmt.Sprintf("%s-%s-", p.vm, database), NewID: newID, Items: []string{"item0", "item1"}, Rand: rng}
	c.Do = func(st statement.Statement) (statement.Reply, bool) {
		now := p.current(s.key)
		if now.fleet != s.fleet {
			return statement.Reply{}, false // the session ended with the process
		}
		return s.handle(ctx, st), true
	}
	c.NewSession()
	for ctx.Err() == nil {
		if !c.Operation() {
			s.close()
			s = p.current(s.key)
			s.database = database
			c.NewSession()
		}
		pause := time.Duration(rng.IntN(30)) * time.Millisecond
		if rng.IntN(5) == 0 {
			pause *= 50 // the proxy itself uses connections that are idle for long
		}
		_ = sleep.For(ctx, pause) // the loop checks ctx
	}
	s.close()
}

// TestRandomWalkWithFailedStatements checks, from the servers' side, that each statement
// runs with the session values and the prepared statement that were acknowledged to its
// caller, while servers fail any statement, run or not, beside all other faults.
func TestRandomWalkWithFailedStatements(t *testing.T) {
	for seed := *walkFirst; seed < *walkFirst+uint64(settingsWalks**variantSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				assert.DeepEqual(t, walkWithFailedStatements(t, newTestCluster(t, 3), seed), []string(nil))
			})
		})
	}
}

// TestRandomWalkWithFailedForwardedStatements checks the same with reads that run through
// the connections of other proxies.
func TestRandomWalkWithFailedForwardedStatements(t *testing.T) {
	for seed := *walkFirst; seed < *walkFirst+uint64(*variantSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				assert.DeepEqual(t, walkWithFailedStatements(t, newForwardingCluster(t, 9, nil), seed), []string(nil))
			})
		})
	}
}

// believingLink makes a proxy believe that statements of a kind always succeed.
type believingLink struct {
	links.Link
	kind statement.Kind
	sent []statement.Kind
}

// Send implements links.Link.
func (l *believingLink) Send(list ...statement.Statement) error {
	for _, st := range list {
		l.sent = append(l.sent, st.Kind)
	}
	return l.Link.Send(list...)
}

// Receive implements links.Link.
func (l *believingLink) Receive() (statement.Reply, error) {
	r, err := l.Link.Receive()
	if l.sent[0] == l.kind {
		r.Code = statement.OK
	}
	l.sent = l.sent[1:]
	return r, err
}

// TestRandomWalkDetectsForeignValues shows that random walks with failed statements find
// faults: with refusals of one kind of statement unnoticed, some walk violates a guarantee.
func TestRandomWalkDetectsForeignValues(t *testing.T) {
	const maxWalks = 40
	for _, kind := range []statement.Kind{statement.Reset, statement.Set} {
		found := false
		for seed := uint64(0); seed < maxWalks && !found; seed++ {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestClusterWith(t, 3, func(tc *testCluster) {
					tc.wrapLink = func(l links.Link) links.Link { return &believingLink{Link: l, kind: kind} }
				})
				found = len(walkWithFailedStatements(t, tc, seed)) > 0
			})
		}
		assert.Assert(t, found, "no violation in %d walks with refusals of %s unnoticed", maxWalks, kind)
	}
}

// walkWithFailedStatements returns the statements that ran with a foreign session state.
func walkWithFailedStatements(t *testing.T, tc *testCluster, seed uint64) []string {
	log := tc.logSettings()
	ctx, stop := context.WithCancel(tc.ctx)
	var callers sync.WaitGroup
	for i, p := range tc.proxies {
		for j, database := range []string{newest, bounded} {
			rng := rand.New(rand.NewPCG(seed, uint64(100+2*i+j)))
			callers.Go(func() { p.settingsCaller(ctx, database, log, rng) })
		}
	}
	go tc.failStatements(seed)
	tc.injectFaults(seed, kindsWithoutDrills)
	time.Sleep(walkRecoveryTime)
	stop()
	callers.Wait()
	assert.Assert(t, log.Ran() > 100, "%d statements of sessions with values ran", log.Ran())
	r := tc.write(tc.proxies[0].session(newest), "last", 1)
	assert.Equal(t, r.Code.String(), "ok", r.Detail)
	return log.Violations()
}
