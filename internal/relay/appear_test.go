package relay

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

var (
	startSeeds = flag.Int("start-seeds", 30, "number of random starts of a group")
	startFirst = flag.Uint64("start-first", 0, "seed of the first random start")
)

const (
	// servedWithin is how long after its entry appeared a primary must take writes.
	servedWithin = 5 * time.Second
	// replacedWithin is how long after the last change a group whose primary does
	// not live must have another one.
	replacedWithin = 20 * time.Second
)

// groupStart says when the entries of a group's servers appear, counted from the start
// of the proxies; the first is the primary's. A negative time means that the server does
// not run and never gets one.
type groupStart struct {
	name    string
	entries [3]time.Duration
	// claimless means that the primary's entry does not say that it leads.
	claimless bool
	// pressed means that callers load all proxies meanwhile.
	pressed bool
	proxies int
	// severalRegions is the fleets' option.
	severalRegions bool
}

// newStartingCluster returns a cluster whose servers appear as s says.
func newStartingCluster(t *testing.T, s groupStart) *testCluster {
	t.Helper()
	tc := newTestClusterWith(t, s.proxies, func(tc *testCluster) {
		tc.severalRegions = s.severalRegions
		for _, id := range servers {
			tc.removed[id] = true
		}
	})
	if s.claimless {
		tc.hideClaims()
	}
	for i, id := range servers {
		if s.entries[i] < 0 {
			tc.group.Change(id, (*dbgroup.Server).Crash)
			continue
		}
		time.AfterFunc(s.entries[i]-time.Since(tc.began), func() {
			tc.mu.Lock()
			defer tc.mu.Unlock()
			tc.removed[id] = false
		})
	}
	return tc
}

// awaitWrites waits until every proxy has served a write and returns the time of the
// last first one, counted from the start of the proxies.
func (tc *testCluster) awaitWrites(limit time.Duration) (time.Duration, error) {
	for i, p := range tc.proxies {
		for n := 1; ; n++ {
			r := tc.write(p.session(newest), fmt.Sprintf("first%d", i), n)
			if r.Code == statement.OK {
				break
			}
			if time.Since(tc.began) > limit {
				return 0, fmt.Errorf("%s takes no write: %s", p.vm, r.Detail)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(tc.began), nil
}

// check plays the start and checks that the group gets a primary that takes writes, and
// that a living primary is kept.
func (s groupStart) check(t *testing.T) {
	t.Helper()
	tc := newStartingCluster(t, s)
	var l *load
	if s.pressed {
		l = tc.startLoad()
	}
	lives := s.entries[0] >= 0
	last := slices.Max(s.entries[:])
	limit := last + replacedWithin
	if lives && !s.claimless {
		limit = s.entries[0] + servedWithin
	}
	time.Sleep(last - time.Since(tc.began))
	_, err := tc.awaitWrites(limit)
	assert.NilError(t, err)
	if lives {
		// A replacement that was announced meanwhile may still be on its way.
		time.Sleep(replacedWithin)
		assert.Equal(t, tc.group.Promotions(), 0)
	}
	if l != nil {
		l.end()
	}
	assert.Equal(t, len(tc.group.Lost()), 0)
	assert.DeepEqual(t, tc.orderViolations(), []string(nil))
}

// A group whose entries appear one after the other was taken for one whose primary is
// gone: a replacement was announced before the primary's entry appeared, and neither
// finished nor cancelled, as the primary still led.
func TestGroupIsServedFromItsStart(t *testing.T) {
	const never = -1
	s := time.Second
	for _, c := range []groupStart{
		{name: "all at once", entries: [3]time.Duration{4 * s, 4 * s, 4 * s}},
		{name: "primary last", entries: [3]time.Duration{5 * s, 4 * s, 4 * s}},
		{name: "primary between replicas", entries: [3]time.Duration{4200 * time.Millisecond, 4 * s, 4600 * time.Millisecond}},
		{name: "primary after 3 s", entries: [3]time.Duration{7 * s, 4 * s, 4 * s}},
		{name: "primary after 5 s", entries: [3]time.Duration{9 * s, 4 * s, 4 * s}},
		{name: "primary after 5 s, replicas apart", entries: [3]time.Duration{9 * s, 4 * s, 6 * s}},
		{name: "primary first, replicas late", entries: [3]time.Duration{4 * s, 7 * s, 9 * s}},
		{name: "primary does not say that it leads", entries: [3]time.Duration{4 * s, 4 * s, 4 * s}, claimless: true},
		{name: "primary never", entries: [3]time.Duration{never, 4 * s, 5 * s}},
		{name: "two regions", entries: [3]time.Duration{4200 * time.Millisecond, 4 * s, 4600 * time.Millisecond}, severalRegions: true, proxies: 40, pressed: true},
		{name: "two regions, primary late", entries: [3]time.Duration{9 * s, 4 * s, 4 * s}, severalRegions: true, proxies: 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.proxies = max(c.proxies, 3)
			synctest.Test(t, c.check)
		})
	}
}

// TestRandomStarts plays starts with gaps of up to 5 s between the entries of a group.
func TestRandomStarts(t *testing.T) {
	for seed := *startFirst; seed < *startFirst+uint64(*startSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 2))
			s := groupStart{proxies: 3 + rng.IntN(10), severalRegions: rng.IntN(2) == 0, pressed: rng.IntN(3) == 0}
			at := time.Duration(rng.IntN(5000)) * time.Millisecond
			for _, i := range rng.Perm(len(s.entries)) {
				s.entries[i] = at
				at += time.Duration(rng.IntN(5000)) * time.Millisecond
			}
			if rng.IntN(4) == 0 {
				s.entries[0] = -1
			}
			synctest.Test(t, s.check)
		})
	}
}

// hideClaims makes the entries that proxies read say of no server that it leads.
func (tc *testCluster) hideClaims() {
	tc.alterStores(func(table string, rows platform.Rows) platform.Rows {
		if table != "servers" {
			return rows
		}
		rows.Rows = slices.Clone(rows.Rows)
		for i, r := range rows.Rows {
			e, err := decode[tables.Entry](r.Value)
			if r.Dropped || err != nil {
				continue
			}
			e.ClaimsToLead = false
			value, err := json.Marshal(e)
			assert.NilError(tc.t, err)
			rows.Rows[i].Value = value
		}
		return rows
	})
}
