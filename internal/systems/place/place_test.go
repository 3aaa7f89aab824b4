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
		"the faster":                    {[]Candidate{{Latency: 50 * ms, Slots: 3}, {Latency: 20 * ms, Slots: 3}}, 1},
		"the nearer":                    {[]Candidate{{Latency: 20 * ms, Slots: 3}, {Latency: 20 * ms, Slots: 3, Local: true}}, 1},
		"not the near one that is full": {[]Candidate{{Latency: 20 * ms, Slots: 3}, {Latency: 20 * ms, Slots: 3, Local: true, Outstanding: 6}}, 0},
		"not a barred one":              {[]Candidate{{Latency: 20 * ms, Excluded: true}, {Latency: 900 * ms}}, 1},
		"an unknown one is tried":       {[]Candidate{{Latency: 80 * ms, Slots: 3}, {Slots: 3}}, 1},
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

// A near and a far server with the same work: the chance in their smoothed
// times sends few reads between the data centres, a real queue does.
func TestChanceKeepsReadsNear(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	far := func(busy float64) int {
		list := []Candidate{{Local: true, Slots: 3, Latency: 24 * time.Millisecond}, {Slots: 3, Latency: 24 * time.Millisecond}}
		n := 0
		for range 10_000 {
			i, ok := Choose(list, random.Uint32())
			assert.Assert(t, ok)
			n += i
			took := work(random)
			if i == 0 {
				took = time.Duration(float64(took) * busy)
			}
			list[i].Latency += (took - list[i].Latency) / 8
		}
		return n
	}
	assert.Assert(t, far(1) < 1000, "%d of 10000 reads went far", far(1))
	assert.Assert(t, far(5) > 4000, "%d of 10000 reads went far from a slow server", far(5))
}

// work returns the time of a statement of the users' mix: 8, 24 or 40 ms in the
// mean, spread by 0.7 on a log scale, and five times that once in a hundred.
func work(random *rand.Rand) time.Duration {
	mean := []float64{8, 24, 24, 24, 24, 24, 40}[random.IntN(7)]
	took := mean * math.Exp(0.7*random.NormFloat64())
	if random.IntN(100) == 0 {
		took *= 5
	}
	return time.Duration(took * float64(time.Millisecond))
}

// Reads of one data centre are spread over its own server and, once that is
// full, over the others, in proportion to what they take.
func TestLoadSpreads(t *testing.T) {
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
