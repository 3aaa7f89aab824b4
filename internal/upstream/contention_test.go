package upstream

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"gotest.tools/v3/assert"
)

// BenchmarkContention measures 5 proxies that share the 3 slots of one server
// with statements of 1 ms, and reports waits, shares and throughput.
func BenchmarkContention(b *testing.B) {
	cases := []struct {
		name    string
		pools   int
		callers int
	}{
		{"one-proxy", 1, 4},
		{"five-proxies-one-caller", 5, 1},
		{"five-proxies-four-callers", 5, 4},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) { benchmarkContention(b, c.pools, c.callers) })
	}
}

func benchmarkContention(b *testing.B, pools, callers int) {
	s := startServer(b, dbserver.Config{Slots: 3, Connections: 20, StatementTime: config.Duration(time.Millisecond)})
	budget := make(chan struct{}, b.N)
	for range b.N {
		budget <- struct{}{}
	}
	close(budget)
	waits := make([][]time.Duration, pools)
	var wg sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for i := range pools {
		p := startPool(b, s.Addr(), "vm-"+string(rune('a'+i)), Limits{Connections: 3, Slots: 3})
		for range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range budget {
					waited := runOne(b, p)
					mu.Lock()
					waits[i] = append(waits[i], waited)
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	took := time.Since(began)
	assert.Equal(b, s.Stats().OverSlots, int64(0))
	all := slices.Concat(waits...)
	slices.Sort(all)
	least, most := len(all), 0
	for _, w := range waits {
		least, most = min(least, len(w)), max(most, len(w))
	}
	b.ReportMetric(float64(b.N)/took.Seconds(), "statements/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "wait-p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "wait-p99-µs")
	b.ReportMetric(float64(least)/float64(max(1, most)), "least/most")
}

func runOne(b *testing.B, p *Pool) time.Duration {
	began := time.Now()
	c, err := p.Acquire(context.Background(), 1)
	if err != nil {
		b.Errorf("acquire: %v", err)
		return 0
	}
	waited := time.Since(began)
	if _, err := c.queryValue("SELECT 1"); err != nil {
		b.Errorf("run: %v", err)
		p.Discard(c)
		return waited
	}
	p.Release(c)
	return waited
}

// BenchmarkAcquire measures taking and returning a connection that holds a slot.
func BenchmarkAcquire(b *testing.B) {
	s := startServer(b, dbserver.Config{Slots: 3, Connections: 20})
	p := startPool(b, s.Addr(), "vm", Limits{Connections: 3, Slots: 3})
	b.ReportAllocs()
	for range b.N {
		c, err := p.Acquire(context.Background(), 1)
		if err != nil {
			b.Fatal(err)
		}
		p.Release(c)
	}
}

// BenchmarkSlot measures taking a free slot at the server and releasing it.
func BenchmarkSlot(b *testing.B) {
	s := startServer(b, dbserver.Config{Slots: 3, Connections: 20})
	p := startPool(b, s.Addr(), "vm", Limits{Connections: 3, Slots: 3})
	c := acquire(b, p, 1)
	defer p.Discard(c)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := c.releaseSlot(); err != nil {
			b.Fatal(err)
		}
		if _, err := c.trySlots(3); err != nil {
			b.Fatal(err)
		}
	}
}
