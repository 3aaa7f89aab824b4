package rowrelay

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer/peertest"
	"github.com/cranberrystage/cranberrystage/internal/slowlink"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/emulator"
	"github.com/cranberrystage/cranberrystage/platform/store"
	"gotest.tools/v3/assert"
)

const (
	// regionLink is 60 Mbit/s, in bytes per second.
	regionLink = 7_500_000
	// regionLatency is the latency between two regions, one way.
	regionLatency = 30 * time.Millisecond
	// largeConfigBytes is the size of a configuration with 1,400 more routes.
	largeConfigBytes = 278_000
	// regionalApplyLimit is the time within which a configuration must be in force.
	regionalApplyLimit = 6 * time.Second
	// slowStore is the delay of a response of a store that is 60 times slower.
	slowStore = 240 * time.Millisecond
)

var twoRegions = map[tables.DataCentreID]string{"na": "near", "nb": "near", "fa": "far", "fb": "far", "fc": "far"}

// regionalProxy is a proxy that reads shared rows all the time.
type regionalProxy struct {
	*linkedProxy
	stop context.CancelFunc

	mu sync.Mutex
	// read and failed count reads of the shared table since the last reset.
	read, failed int
	lastError    error
}

// regionalFleet is a store in the region "near" and proxies in two regions.
type regionalFleet struct {
	linkedFleet
	t        *testing.T
	network  *peertest.Network
	listener *slowlink.Listener
	// intoFar and intoNear are the directions of the link between the regions.
	intoFar, intoNear *slowlink.Link
	storeDelay        atomic.Int64
	// farCut cuts the far region off from the store.
	farCut atomic.Bool
	// regionsCut drops messages between the regions.
	regionsCut atomic.Bool
	// nearConfig is the configuration version in force in the near region; in the far
	// one it is 6.
	nearConfig atomic.Uint64
	proxies    []*regionalProxy
	startedAt  time.Time
}

// roundTrips delays each request to the store by a round trip: a connection carries
// one request at a time. While cut is set, connections break.
type roundTrips struct {
	net.Conn
	cut *atomic.Bool
}

func (c roundTrips) Write(p []byte) (int, error) {
	time.Sleep(2 * regionLatency)
	if c.cut.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}

// newRegionalFleet starts n proxies in each data centre of twoRegions.
func newRegionalFleet(t *testing.T, n int) *regionalFleet {
	t.Helper()
	f := &regionalFleet{
		linkedFleet: linkedFleet{store: metadata.New()}, t: t, network: peertest.New(), listener: slowlink.Listen(),
		intoFar: slowlink.New(regionLink), intoNear: slowlink.New(regionLink), startedAt: time.Now(),
	}
	handler := emulator.Store(f.store)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(f.storeDelay.Load()))
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(f.listener) }()
	f.network.SetRoutes(f.route)
	f.store.Put("servers", "s", []byte("entry"))
	f.store.Put(shared, "g", make([]byte, 2000))
	f.putRoutes("1", 1000)
	go f.writeOthers()
	for i := range n {
		for _, dc := range []tables.DataCentreID{"fa", "fb", "fc", "na", "nb"} {
			f.proxies = append(f.proxies, f.start(dc, fmt.Sprintf("vm-%s-%02d", dc, i)))
			time.Sleep(5 * time.Millisecond)
		}
	}
	t.Cleanup(func() {
		for _, p := range f.proxies {
			p.stop()
		}
		_ = server.Close()
		time.Sleep(time.Minute) // until connections and calls have ended
	})
	time.Sleep(5 * time.Second)
	return f
}

// writeOthers changes rows that no proxy watches, so that the store's version grows and
// proxies watch from different versions.
func (f *regionalFleet) writeOthers() {
	for f.t.Context().Err() == nil {
		f.store.Put("others", "k", nil)
		time.Sleep(70 * time.Millisecond)
	}
}

// isFar reports whether the proxy at an address is in the region without the store.
func isFar(address string) bool { return address[3] == 'f' }

func (f *regionalFleet) route(from, to string) peertest.Route {
	switch {
	case isFar(from) == isFar(to):
		return peertest.Route{Latency: time.Millisecond}
	case isFar(to):
		return peertest.Route{Link: f.intoFar, Latency: regionLatency, Down: f.regionsCut.Load()}
	default:
		return peertest.Route{Link: f.intoNear, Latency: regionLatency, Down: f.regionsCut.Load()}
	}
}

// start starts a proxy, or starts it again.
func (f *regionalFleet) start(dc tables.DataCentreID, vm string) *regionalProxy {
	ctx, cancel := context.WithCancel(f.t.Context())
	p := &regionalProxy{linkedProxy: &linkedProxy{seenAt: make(map[string]time.Time)}, stop: cancel}
	p.relay = New(Options{
		Self: Peer{VM: tables.VMID(vm), DataCentre: dc, Address: vm},
		Store: store.NewWithDial("store", func(ctx context.Context, _, _ string) (net.Conn, error) {
			if !isFar(vm) {
				return f.listener.Dial(ctx, slowlink.New(fastLink))
			}
			time.Sleep(2 * regionLatency)
			nc, err := f.listener.Dial(ctx, f.intoFar)
			return roundTrips{nc, &f.farCut}, err
		}),
		ConfigVersion: func() uint64 {
			if isFar(vm) {
				return 6
			}
			return f.nearConfig.Load()
		},
		SharedTable: shared, UrgentTables: map[string]bool{"own": true}, Regions: twoRegions, Bus: f.network.Bus(vm),
		Now: func() tables.Time { return tables.Time(time.Since(f.startedAt) + time.Hour) },
		Log: testLog(vm),
	})
	go func() { _ = p.relay.Run(ctx) }()
	go p.follow(ctx, "own", 0)
	go p.follow(ctx, "servers", 200*time.Millisecond)
	go p.readShared(ctx)
	return p
}

// testLog returns the log of a proxy; CRANBERRYSTAGE_TEST_LOG makes it visible.
func testLog(vm string) *slog.Logger {
	if os.Getenv("CRANBERRYSTAGE_TEST_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("vm", vm)
}

// readShared reads the shared table like a proxy with callers: whenever the evidence
// has expired.
func (p *regionalProxy) readShared(ctx context.Context) {
	for ctx.Err() == nil {
		rows, err := p.relay.ReadTable(ctx, shared)
		p.mu.Lock()
		p.read++
		if err != nil || rows.Age > freshness.Lease {
			p.failed++
			p.lastError = err
		}
		p.mu.Unlock()
		if err != nil {
			time.Sleep(15 * time.Millisecond)
			continue
		}
		time.Sleep(max(freshness.Lease-rows.Age, 20*time.Millisecond))
	}
}

// reset starts to count reads.
func (f *regionalFleet) reset() {
	for _, p := range f.proxies {
		p.mu.Lock()
		p.read, p.failed = 0, 0
		p.mu.Unlock()
	}
}

// checkReads checks that each proxy's reads since the last reset succeeded but for the
// given part.
func (f *regionalFleet) checkReads(t *testing.T, failing float64) {
	t.Helper()
	for _, p := range f.proxies {
		p.mu.Lock()
		assert.Check(t, p.read > 0, "%s has not read", p.relay.Self.VM)
		assert.Check(t, float64(p.failed) <= failing*float64(p.read), "%s: %d of %d reads failed, last: %v", p.relay.Self.VM, p.failed, p.read, p.lastError)
		p.mu.Unlock()
	}
}

// checkConfig checks that each proxy received a version in time.
func (f *regionalFleet) checkConfig(t *testing.T, version string, at time.Time) {
	t.Helper()
	for _, p := range f.proxies {
		delay, err := p.delay(version, at)
		assert.Check(t, err)
		assert.Check(t, delay <= regionalApplyLimit, "%s: %s", p.relay.Self.VM, delay)
	}
}

// restart stops the proxies for which match is true, and starts them after 1.5 s.
func (f *regionalFleet) restart(match func(i int) bool) {
	for i, p := range f.proxies {
		if match(i) {
			p.stop()
			f.network.Isolate(string(p.relay.Self.VM))
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for i, p := range f.proxies {
		if match(i) {
			f.network.Rejoin(string(p.relay.Self.VM))
			f.proxies[i] = f.start(p.relay.Self.DataCentre, string(p.relay.Self.VM))
		}
	}
}

// loseMessages drops all messages between proxies for d, as when connections are reset.
func (f *regionalFleet) loseMessages(d time.Duration) {
	for _, p := range f.proxies {
		f.network.Isolate(string(p.relay.Self.VM))
	}
	time.Sleep(d)
	for _, p := range f.proxies {
		f.network.Rejoin(string(p.relay.Self.VM))
	}
}

// The timeouts of a single region are below the round trip between regions: reads
// through readers failed there, and each proxy of the far region called the store.
func TestRegionsShareCallsToStore(t *testing.T) {
	for _, n := range []int{3, 9} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRegionalFleet(t, n)
				calls := f.store.Calls()
				f.reset()
				time.Sleep(20 * time.Second)
				f.checkReads(t, 0.01)
				calls = f.store.Calls() - calls
				t.Logf("%d calls of %d proxies in 20 s", calls, len(f.proxies))
				// Per region: shared rows every 250 ms, two tables every second.
				assert.Assert(t, calls <= 20*2*(4+2), "%d calls", calls)
			})
		})
	}
}

// A large configuration crosses the link between the regions a few times, not once
// for each proxy.
func TestLargeConfigurationCrossesRegionLinkOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t, 9)
		before := f.intoFar.Bytes()
		at := f.putRoutes("2", largeConfigBytes)
		time.Sleep(regionalApplyLimit)
		f.checkConfig(t, "2", at)
		crossed := f.intoFar.Bytes() - before
		t.Logf("%d bytes crossed the link", crossed)
		// The store encodes rows as base64.
		assert.Assert(t, crossed < 2*largeConfigBytes*4/3, "%d bytes", crossed)
	})
}

// The incident of two regions: once overloaded, the fleet did not recover after the
// store had.
func TestRegionsRecoverFromOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t, 9)
		at := f.putRoutes("2", largeConfigBytes)
		time.Sleep(4 * time.Second)
		f.restart(func(i int) bool { return i%2 == 0 })
		time.Sleep(7 * time.Second)
		f.checkConfig(t, "2", at)
		f.storeDelay.Store(int64(slowStore))
		time.Sleep(time.Second)
		at = f.putRoutes("3", 2*largeConfigBytes)
		time.Sleep(4 * time.Second)
		f.storeDelay.Store(0)
		f.loseMessages(300 * time.Millisecond)
		time.Sleep(2 * time.Second)
		f.checkConfig(t, "3", at)
		f.reset()
		calls := f.store.Calls()
		time.Sleep(10 * time.Second)
		f.checkReads(t, 0.05)
		calls = f.store.Calls() - calls
		assert.Assert(t, calls <= 10*2*(4+3), "%d calls", calls)
	})
}

// While the store is 60 times slower, evidence can still be read in time, and no further
// proxies call the store.
func TestReadsOfSlowStoreAreSharedInRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t, 9)
		f.storeDelay.Store(int64(slowStore))
		f.reset()
		calls := f.store.Calls()
		time.Sleep(5 * time.Second)
		f.checkReads(t, 0.05)
		calls = f.store.Calls() - calls
		assert.Assert(t, calls <= 5*2*(4+3), "%d calls", calls)
	})
}

// A data centre with the readers of its region is cut off: the proxies of the others
// must not try its proxies one after the other.
func TestReaderOfOtherDataCentreTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t, 14)
		f.proxies = slices.DeleteFunc(f.proxies, func(p *regionalProxy) bool {
			if p.relay.Self.DataCentre != "fa" {
				return false
			}
			p.stop()
			f.network.Isolate(string(p.relay.Self.VM))
			return true
		})
		time.Sleep(time.Second)
		f.reset()
		at := f.putRoutes("2", largeConfigBytes)
		time.Sleep(regionalApplyLimit)
		f.checkConfig(t, "2", at)
		f.checkReads(t, 0.05)
	})
}

// A region is cut off from the store alone: its proxies read through those of the other
// region.
func TestRegionWithoutStoreReadsThroughOtherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t, 4)
		f.farCut.Store(true)
		time.Sleep(5 * time.Second)
		f.reset()
		time.Sleep(10 * time.Second)
		f.checkReads(t, 0.2)
		f.farCut.Store(false)
		time.Sleep(5 * time.Second)
		for _, p := range f.proxies {
			assert.Check(t, !p.relay.Lost(), "%s still counts the store as lost", p.relay.Self.VM)
		}
		f.reset()
		calls := f.store.Calls()
		time.Sleep(10 * time.Second)
		f.checkReads(t, 0.02)
		calls = f.store.Calls() - calls
		assert.Assert(t, calls <= 10*2*(4+2), "%d calls", calls)
	})
}

// After a partition of the regions, what proxies did to reach the store must not outlast
// it.
func TestRegionsRecoverFromPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t, 9)
		f.farCut.Store(true)
		f.regionsCut.Store(true)
		calls := f.store.Calls()
		f.reset()
		time.Sleep(10 * time.Second)
		for _, p := range f.proxies {
			p.mu.Lock()
			assert.Check(t, isFar(string(p.relay.Self.VM)) || p.failed == 0, "%s: %d of %d failed: %v", p.relay.Self.VM, p.failed, p.read, p.lastError)
			p.mu.Unlock()
		}
		t.Logf("%d calls of the near region", f.store.Calls()-calls)
		at := f.putRoutes("2", largeConfigBytes)
		before := f.intoFar.Bytes()
		f.farCut.Store(false)
		f.regionsCut.Store(false)
		time.Sleep(regionalApplyLimit)
		f.checkConfig(t, "2", at)
		crossed := f.intoFar.Bytes() - before
		t.Logf("%d bytes crossed the link", crossed)
		// A copy for each data centre at most; the store encodes rows as base64.
		const otherMessages = 200_000
		assert.Assert(t, crossed < 3*largeConfigBytes*4/3+otherMessages, "%d bytes", crossed)
		f.reset()
		calls = f.store.Calls()
		time.Sleep(10 * time.Second)
		f.checkReads(t, 0.02)
		calls = f.store.Calls() - calls
		assert.Assert(t, calls <= 10*2*(4+2), "%d calls", calls)
	})
}

// In the incident a whole region was behind, so its proxies could not tell from each
// other.
func TestRegionKnowsOfNewerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t, 3)
		f.nearConfig.Store(10)
		time.Sleep(4 * time.Second)
		for _, p := range f.proxies {
			p.relay.mu.Lock()
			assert.Check(t, p.relay.known.version == 10, "%s knows %d", p.relay.Self.VM, p.relay.known.version)
			p.relay.mu.Unlock()
		}
	})
}

// The readers of a region stop: the next ones by name take over, and the first ones
// are used again after they return.
func TestNextReaderOfRegionTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegionalFleet(t, 4)
		gone := slices.Clone(f.proxies[:2]) // the readers of the region and of a data centre
		for _, p := range gone {
			p.stop()
			f.network.Isolate(string(p.relay.Self.VM))
		}
		f.proxies = f.proxies[2:]
		at := f.putRoutes("2", largeConfigBytes)
		time.Sleep(4 * time.Second)
		f.checkConfig(t, "2", at)
		f.reset()
		time.Sleep(10 * time.Second)
		f.checkReads(t, 0.02)
		for _, p := range gone {
			f.network.Rejoin(string(p.relay.Self.VM))
			f.proxies = append(f.proxies, f.start(p.relay.Self.DataCentre, string(p.relay.Self.VM)))
		}
		time.Sleep(8 * time.Second)
		reader, _ := f.proxies[0].relay.nextReader(levelRegion)
		assert.Equal(t, reader.VM, tables.VMID("vm-fa-00"))
		f.reset()
		time.Sleep(5 * time.Second)
		f.checkReads(t, 0.02)
	})
}
