package faults

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

var gapSeeds = flag.Int("gap-seeds", 5, "runs of each cause in TestGap")

func TestHealthyRunAcknowledges(t *testing.T) {
	s := newSimulation(settings{seed: 1})
	s.runUntil(at(10 * time.Second))
	assert.Equal(t, len(s.checks.violations), 0, "%v", s.checks.violations)
	assert.Equal(t, len(s.checks.promotions), 1)
	assert.Assert(t, len(s.checks.acks) > 2400, "%d", len(s.checks.acks))
}

// parallel calls do with 0 to n-1, up to eight calls at a time, and returns the
// results in order.
func parallel[T any](n int, do func(i int) T) []T {
	out := make([]T, n)
	var wait sync.WaitGroup
	limit := make(chan struct{}, 8)
	for i := range n {
		wait.Add(1)
		limit <- struct{}{}
		go func() {
			defer wait.Done()
			out[i] = do(i)
			<-limit
		}()
	}
	wait.Wait()
	return out
}

// gap injects a fault and returns the time until every proxy that stays connected
// has acknowledged a write that was sent after the fault. For a planned move it
// returns the longest pause between two acknowledgements instead. A run with a
// violation returns one hour, which exceeds every limit.
func gap(seed uint64, inject func(*simulation), outage bool) (worst time.Duration, promotions int) {
	s := newSimulation(settings{seed: seed, writeEvery: 5 * time.Millisecond})
	s.runUntil(at(3 * time.Second))
	s.platform.down = outage
	s.runUntil(at(4 * time.Second).Add(s.jitter(500 * time.Millisecond)))
	start := s.now
	inject(s)
	connected := slices.DeleteFunc(slices.Clone(s.proxies), func(p *proxy) bool { return s.cut(&p.host, &s.replica().host) })
	if s.planned {
		s.runUntil(start.Add(2 * time.Second))
		return longestPause(s, start), len(s.checks.promotions) - 1
	}
	s.runWhile(start.Add(20*time.Second), func() bool { return !allAcknowledgedSince(s, connected, start) })
	for _, p := range connected {
		d := 20 * time.Second
		if first, ok := s.checks.firstSince(start, p.world.Self); ok {
			d = first.Sub(start)
		}
		worst = max(worst, d)
	}
	if len(s.checks.violations) > 0 {
		worst = time.Hour
	}
	return worst, len(s.checks.promotions) - 1
}

// longestPause returns the longest time between two successive acknowledgements
// of a proxy.
func longestPause(s *simulation, start tables.Time) time.Duration {
	var worst time.Duration
	for _, p := range s.proxies {
		last := start
		for _, a := range s.checks.acks {
			if a.by == p.world.Self && a.decidedAt > start {
				worst = max(worst, a.decidedAt.Sub(last))
				last = a.decidedAt
			}
		}
		worst = max(worst, s.now.Sub(last))
	}
	return worst
}

func allAcknowledgedSince(s *simulation, proxies []*proxy, start tables.Time) bool {
	for _, p := range proxies {
		if _, ok := s.checks.firstSince(start, p.world.Self); !ok {
			return false
		}
	}
	return true
}

// cause is a fault whose failover gap is measured.
type cause struct {
	name   string
	inject func(*simulation)
	// promotes reports whether the primary must be replaced.
	promotes bool
	// limit is the highest allowed 99th percentile of the gap.
	limit time.Duration
}

func gapCauses() []cause {
	return []cause{
		{"killed", func(s *simulation) { kill(s.primary()) }, true, 300 * time.Millisecond},
		{"frozen", func(s *simulation) { pauseServer(s.primary()) }, true, 2 * time.Second},
		{"isolated", func(s *simulation) { isolatePrimary(s, nil) }, true, 2 * time.Second},
		{"data centre isolated", func(s *simulation) { cutPrimaryCentre(s, nil) }, true, 2 * time.Second},
		{"path lost", func(s *simulation) { silenceConnections(s, nil) }, false, 2 * time.Second},
		{"slow by 100 ms", func(s *simulation) { slow(s.primary()) }, false, 2 * time.Second},
		{"planned", planChange, true, 300 * time.Millisecond},
	}
}

// TestGap prints the failover gap by cause with the platform up and down.
func TestGap(t *testing.T) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "cause\tplatform\truns\tp50 ms\tp99 ms\tmax ms\tpromotions")
	for _, c := range gapCauses() {
		for _, outage := range []bool{false, true} {
			reportGap(t, out, c, outage)
		}
	}
	assert.NilError(t, out.Flush())
}

func reportGap(t *testing.T, out *tabwriter.Writer, c cause, outage bool) {
	t.Helper()
	type result struct {
		gap        time.Duration
		promotions int
	}
	n := max(1, *gapSeeds/cellStride)
	results := parallel(n, func(i int) result {
		g, promotions := gap(uint64(i), c.inject, outage)
		return result{g, promotions}
	})
	slices.SortFunc(results, func(a, b result) int { return int(a.gap - b.gap) })
	promotions := 0
	for _, r := range results {
		promotions += r.promotions
	}
	p99 := results[(n*99+99)/100-1].gap
	platform := "up"
	if outage {
		platform = "down"
	}
	fmt.Fprintf(out, "%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%d\n", c.name, platform, n,
		millis(results[n/2].gap), millis(p99), millis(results[n-1].gap), promotions)
	assert.Check(t, p99 <= c.limit, "%s, platform %s: p99 %v", c.name, platform, p99)
	if !c.promotes {
		assert.Check(t, promotions == 0, "%s: %d promotions", c.name, promotions)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
