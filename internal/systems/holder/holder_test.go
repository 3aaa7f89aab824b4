package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// Guards against forwarding in deployments with enough connections for each proxy, and
// against connections that are opened for every other statement where there are not.
func TestWhenForwardingIsNeeded(t *testing.T) {
	for _, tc := range []struct {
		connections, proxies, teams, slots int
		needed                             bool
	}{
		{46, 83, 0, 4, true},
		{28, 27, 0, 2, true},
		{66, 36, 0, 5, true},
		{82, 37, 88, 5, true},
		{180, 26, 0, 3, false},
		{16, 5, 0, 2, false},
		{46, 46, 0, 1, false},
		{46, 47, 0, 1, true},
		{0, 1000, 100, 8, false},
		{2, 0, 0, 0, false},
	} {
		assert.Equal(t, Needed(Share(tc.connections, tc.proxies, tc.teams), tc.slots), tc.needed, "%+v", tc)
	}
}

func proxies(n int) []Proxy {
	list := make([]Proxy, n)
	for i := range list {
		list[i].VM = tables.VMID(fmt.Sprintf("sbg-a-%02d", i))
	}
	return list
}

type work struct {
	server tables.UpstreamID
	team   tables.TeamID
}

func someWork(servers, teams int) []work {
	var out []work
	for i := range servers {
		for j := range teams {
			out = append(out, work{tables.UpstreamID(fmt.Sprintf("db-%d", i)), tables.TeamID(fmt.Sprintf("team%d", j))})
		}
	}
	return out
}

func holderOf(t *testing.T, list []Proxy, self tables.VMID, w work) tables.VMID {
	t.Helper()
	i, ok := Choose(list, self, w.server, w.team, 0)
	assert.Assert(t, ok)
	return list[i].VM
}

// Proxies whose lists hold the same proxies in any order agree on one holder; otherwise
// each would keep connections of its own.
func TestProxiesWithEqualViewsAgree(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	list := proxies(14)
	for _, w := range someWork(24, 9) {
		want := holderOf(t, list, "", w)
		for _, p := range list {
			rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			assert.Equal(t, holderOf(t, list, p.VM, w), want)
		}
	}
}

// A proxy that joins takes over holders, and one that leaves gives its own away; all
// others keep theirs, so that connections are not opened anew.
func TestMembersJoinAndLeave(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	all := proxies(20)
	for range 50 {
		n := 2 + rng.IntN(len(all)-2)
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		before, after := all[:n-1], all[:n]
		joined, moved := after[n-1].VM, 0
		list := someWork(24, 4)
		for _, w := range list {
			was, is := holderOf(t, before, "", w), holderOf(t, after, "", w)
			if was != is {
				assert.Equal(t, is, joined)
				moved++
			}
		}
		assert.Assert(t, moved <= 3*len(list)/n+8, "%d of %d moved to 1 of %d", moved, len(list), n)
	}
}

// Two views that differ in some proxies agree wherever the holder is in both.
func TestDifferentViewsDifferOnlyForProxiesNotInBoth(t *testing.T) {
	all := proxies(14)
	one, two := all[:12], all[2:]
	for _, w := range someWork(24, 4) {
		a, b := holderOf(t, one, "", w), holderOf(t, two, "", w)
		if a != b {
			assert.Assert(t, a < all[2].VM || b >= all[12].VM, "%s and %s", a, b)
		}
	}
}

func TestLoadIsSpreadEvenly(t *testing.T) {
	for _, tc := range []struct{ proxies, servers, teams, most int }{{14, 24, 1, 7}, {12, 24, 88, 230}} {
		count := make(map[tables.VMID]int)
		for _, w := range someWork(tc.servers, tc.teams) {
			count[holderOf(t, proxies(tc.proxies), "", w)]++
		}
		for vm, n := range count {
			assert.Assert(t, n <= tc.most, "%s holds %d of %d", vm, n, tc.servers*tc.teams)
		}
	}
}

// A skipped holder is replaced until its time is over, but never skips itself: it must
// not forward the reads that it holds the connections for.
func TestSkippedHolderIsReplaced(t *testing.T) {
	list := proxies(5)
	i, ok := Choose(list, "", "s", "", 10)
	assert.Assert(t, ok)
	list[i].SkippedUntil = 20
	j, ok := Choose(list, "", "s", "", 10)
	assert.Assert(t, ok && i != j)
	j, _ = Choose(list, list[i].VM, "s", "", 10)
	assert.Equal(t, i, j)
	j, _ = Choose(list, "", "s", "", 20)
	assert.Equal(t, i, j)
	_, ok = Choose(nil, "self", "s", "", 10)
	assert.Assert(t, !ok)
}

func TestSkipTimeGrows(t *testing.T) {
	assert.Equal(t, SkipTime(0), time.Second)
	assert.Equal(t, SkipTime(1), time.Second)
	assert.Equal(t, SkipTime(3), 4*time.Second)
	assert.Equal(t, SkipTime(100), 16*time.Second)
}

func TestChooseDoesNotAllocate(t *testing.T) {
	list := proxies(14)
	assert.Equal(t, testing.AllocsPerRun(100, func() { Choose(list, "self", "db-1", "team", 1) }), 0.0)
}

func BenchmarkChoose(b *testing.B) {
	list := proxies(14)
	for b.Loop() {
		Choose(list, "self", "db-1", "team", 1)
	}
}
