package rowrelay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// A copy that misses a change hides it from all proxies behind the reader.
func TestTableCopyHasAllChanges(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0))
		changed := make(map[uint64]string) // key by version
		for range 8 {
			changed[rng.Uint64N(60)+1] = string(rune('a' + rng.IntN(3)))
		}
		between := func(after, at uint64) platform.Rows {
			newest := make(map[string]uint64)
			for v := after + 1; v <= at; v++ {
				if key, ok := changed[v]; ok {
					newest[key] = v
				}
			}
			rows := platform.Rows{Era: 1, Version: at}
			for key, v := range newest {
				rows.Rows = append(rows.Rows, platform.TableRow{Key: key, Version: v})
			}
			return rows
		}
		r := &Relay{Options: Options{UrgentTables: map[string]bool{"op": true}}, copies: make(map[string]*tableCopy)}
		for range 40 {
			after := rng.Uint64N(60)
			at := after + rng.Uint64N(61-after)
			r.updateCopy(request{Table: "op", Watch: rng.IntN(4) > 0, Era: 1, After: after}, between(after, at), tables.Time(time.Hour))
			c := r.copies["op"]
			for v := c.since.Counter; v <= c.at.Counter; v++ {
				have := c.changes(tables.Version{Era: 1, Counter: v}, tables.Time(time.Hour))
				assert.Equal(t, len(have.Rows), len(between(v, c.at.Counter).Rows), "seed %d, after %d of %s", seed, v, c.at)
			}
		}
		assert.Assert(t, !r.copies["op"].covers(tables.Version{Era: 2, Counter: r.copies["op"].at.Counter}))
	}
}
