package place

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestChoose(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		list []Candidate
		want int
	}{
		"the faster one":                  {[]Candidate{{Latency: 50 * ms, Slots: 3}, {Latency: 20 * ms, Slots: 3}}, 1},
		"the local one":                   {[]Candidate{{Latency: 20 * ms, Slots: 3}, {Latency: 20 * ms, Slots: 3, Local: true}}, 1},
		"the remote if the local is full": {[]Candidate{{Latency: 20 * ms, Slots: 3}, {Latency: 20 * ms, Slots: 3, Local: true, Outstanding: 6}}, 0},
		"not an excluded one":             {[]Candidate{{Latency: 20 * ms, Excluded: true}, {Latency: 900 * ms}}, 1},
		"one without a measurement":       {[]Candidate{{Latency: 80 * ms, Slots: 3}, {Slots: 3}}, 1},
		"not one that is to go elsewhere": {[]Candidate{{Latency: 20 * ms, Elsewhere: true}, {Latency: 900 * ms}}, 1},
		"one that is to go elsewhere if it is the only one": {[]Candidate{{Latency: 20 * ms, Excluded: true},
			{Latency: 900 * ms, Elsewhere: true}, {Latency: 800 * ms, Elsewhere: true}}, 2},
	} {
		for random := range uint32(4) {
			i, ok := Choose(c.list, random)
			assert.Assert(t, ok)
			assert.Equal(t, i, c.want, name)
		}
	}
	_, ok := Choose([]Candidate{{Excluded: true}}, 0)
	assert.Assert(t, !ok)
}

// With a local and a remote server under the same load, random variation of their
// smoothed latencies must send few reads to the other data centre. A local server
// that really is slow must send many.
func TestLatencyVariationKeepsReadsLocal(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	remoteReads := func(slowdown float64) int {
		list := []Candidate{{Local: true, Slots: 3, Latency: 24 * time.Millisecond}, {Slots: 3, Latency: 24 * time.Millisecond}}
		n := 0
		for range 10_000 {
			i, ok := Choose(list, random.Uint32())
			assert.Assert(t, ok)
			n += i
			took := statementTime(random)
			if i == 0 {
				took = time.Duration(float64(took) * slowdown)
			}
			list[i].Latency += (took - list[i].Latency) / 8
		}
		return n
	}
	assert.Assert(t, remoteReads(1) < 1000, "%d of 10000 reads went to the remote server", remoteReads(1))
	assert.Assert(t, remoteReads(5) > 4000, "%d of 10000 reads left a slow local server", remoteReads(5))
}

// statementTime returns a random duration of a statement of the specified load: a
// log-normal distribution with a median of 8, 24 or 40 ms and a sigma of 0.7, and
// five times as long in one of a hundred cases.
func statementTime(random *rand.Rand) time.Duration {
	median := []float64{8, 24, 24, 24, 24, 24, 40}[random.IntN(7)]
	took := median * math.Exp(0.7*random.NormFloat64())
	if random.IntN(100) == 0 {
		took *= 5
	}
	return time.Duration(took * float64(time.Millisecond))
}

// Reads go to the local server first and, once that is loaded, also to the remote
// ones, in inverse proportion to their latency.
func TestBalancesOutstandingStatements(t *testing.T) {
	list := []Candidate{
		{Local: true, Slots: 3, Latency: 24 * time.Millisecond},
		{Slots: 3, Latency: 24 * time.Millisecond},
		{Slots: 3, Latency: 120 * time.Millisecond},
	}
	for i := range 30 {
		n, ok := Choose(list, uint32(i))
		assert.Assert(t, ok)
		list[n].Outstanding++
	}
	assert.Assert(t, list[0].Outstanding >= list[1].Outstanding, "%d %d", list[0].Outstanding, list[1].Outstanding)
	assert.Assert(t, list[1].Outstanding > list[2].Outstanding, "%d %d", list[1].Outstanding, list[2].Outstanding)
}
