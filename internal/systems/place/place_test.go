package place

import (
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
		"not the near one that is full": {[]Candidate{{Latency: 20 * ms, Slots: 3}, {Latency: 20 * ms, Slots: 3, Local: true, Ahead: 6}}, 0},
		"not a barred one":              {[]Candidate{{Latency: 20 * ms, Barred: true}, {Latency: 900 * ms}}, 1},
		"an unknown one is tried":       {[]Candidate{{Latency: 80 * ms, Slots: 3}, {Slots: 3}}, 1},
	} {
		for random := range uint32(4) {
			i, ok := Choose(c.list, random)
			assert.Assert(t, ok)
			assert.Equal(t, i, c.want, name)
		}
	}
	_, ok := Choose([]Candidate{{Barred: true}}, 0)
	assert.Assert(t, !ok)
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
		list[n].Ahead++
	}
	assert.Assert(t, list[0].Ahead >= list[1].Ahead, "%d %d", list[0].Ahead, list[1].Ahead)
	assert.Assert(t, list[1].Ahead > list[2].Ahead, "%d %d", list[1].Ahead, list[2].Ahead)
}
