package rowrelay

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer/peertest"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/slowlink"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/emulator"
	"github.com/cranberrystage/cranberrystage/platform/store"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const (
	// fastLink is 200 Mbit/s, in bytes per second.
	fastLink = 25_000_000
	// slowLink is half of 10 Mbit/s: callers use the other half.
	slowLink = 625_000
	// routesBytes is the size of a configuration with 5,666 routes.
	routesBytes = 930_000
	// startStagger is the time between the starts of two proxies, so that their
	// calls for changes end at different times.
	startStagger = 130 * time.Millisecond
	// applyLimit is the time within which a confirmed configuration must be in force.
	applyLimit = 5 * time.Second
)

// linkedProxy is a proxy that reads a store over HTTP, and peers, through a link.
type linkedProxy struct {
	relay *Relay
	links peertest.Links

	mu sync.Mutex
	// seenAt is when each version of the large row arrived.
	seenAt map[string]time.Time
}

// linkedFleet is a store and proxies that follow its tables like package fleet.
type linkedFleet struct {
	store   *metadata.Store
	proxies []*linkedProxy
}

// newLinkedFleet starts a proxy in the data centre "x" for each link, in bytes per
// second. Proxies are named in their order.
func newLinkedFleet(t *testing.T, bandwidths ...int) *linkedFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := &linkedFleet{store: metadata.New()}
	listener := slowlink.Listen()
	server := &http.Server{Handler: emulator.Store(f.store)}
	go func() { _ = server.Serve(listener) }()
	network := peertest.New()
	startedAt := time.Now()
	for i, bandwidth := range bandwidths {
		vm := fmt.Sprintf("vm%02d", i)
		p := &linkedProxy{
			links:  peertest.Links{Out: slowlink.New(bandwidth), In: slowlink.New(bandwidth)},
			seenAt: make(map[string]time.Time),
		}
		network.SetLinks(vm, p.links)
		p.relay = New(Options{
			Self: Peer{VM: tables.VMID(vm), DataCentre: "x", Address: vm},
			Store: store.NewWithDial("store", func(ctx context.Context, _, _ string) (net.Conn, error) {
				return listener.Dial(ctx, p.links.In)
			}),
			SharedTable: shared, UrgentTables: map[string]bool{"own": true}, Bus: network.Bus(vm),
			Now: func() tables.Time { return tables.Time(time.Since(startedAt) + time.Hour) },
			Log: slog.New(slog.DiscardHandler),
		})
		f.proxies = append(f.proxies, p)
		go func() { _ = p.relay.Run(ctx) }()
		go p.follow(ctx, "own", 0)
		go p.follow(ctx, "servers", 200*time.Millisecond)
		go p.readShared(ctx)
		time.Sleep(startStagger)
	}
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		time.Sleep(time.Minute) // until connections and calls have ended
	})
	return f
}

// follow reads a table and its changes until ctx ends, and notes when values of the
// key "config" arrive.
func (p *linkedProxy) follow(ctx context.Context, table string, batchDelay time.Duration) {
	after, loaded := tables.Version{}, false
	for ctx.Err() == nil {
		var rows platform.Rows
		var err error
		if loaded {
			rows, err = p.relay.WatchTable(ctx, table, after, 2*time.Second)
		} else {
			rows, err = p.relay.ReadTable(ctx, table)
		}
		if err != nil {
			time.Sleep(150*time.Millisecond + mathrand.N(150*time.Millisecond))
			continue
		}
		p.note(rows.Rows)
		after, loaded = rows.At(), true
		if len(rows.Rows) > 0 {
			time.Sleep(batchDelay)
		}
	}
}

// readShared reads the shared table like a proxy with callers.
func (p *linkedProxy) readShared(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = p.relay.ReadTable(ctx, shared)
		time.Sleep(300 * time.Millisecond)
	}
}

func (p *linkedProxy) note(rows []platform.TableRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range rows {
		version := string(r.Value[:min(len(r.Value), 1)])
		if _, ok := p.seenAt[version]; r.Key == "config" && !ok {
			p.seenAt[version] = time.Now()
		}
	}
}

// delay returns how long after at the proxy received a version, or an error if it
// has neither received it nor a later one.
func (p *linkedProxy) delay(version string, at time.Time) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for v, seen := range p.seenAt {
		if v >= version {
			return seen.Sub(at), nil
		}
	}
	return 0, errors.Errorf("%s has not received version %s", p.relay.Self.VM, version)
}

// putRoutes writes a configuration of the given version that does not compress.
func (f *linkedFleet) putRoutes(version string, size int) time.Time {
	value := make([]byte, size)
	_, _ = rand.Read(value) // never fails
	copy(value, version)
	f.store.Put("own", "config", value)
	return time.Now()
}

// checkArrival checks that every proxy has a version, or a later one, in time.
func (f *linkedFleet) checkArrival(t *testing.T, version string, at time.Time) {
	t.Helper()
	for _, p := range f.proxies {
		delay, err := p.delay(version, at)
		assert.Check(t, err)
		assert.Check(t, delay <= applyLimit, "%s: %s", p.relay.Self.VM, delay)
		t.Logf("%s: %s, received %d bytes", p.relay.Self.VM, delay, p.links.In.Bytes())
	}
}

// playTwoChanges changes the configuration twice and checks that the second change
// arrives in time.
func (f *linkedFleet) playTwoChanges(t *testing.T, between time.Duration) {
	t.Helper()
	f.store.Put("servers", "s", []byte("entry"))
	f.store.Put(shared, "g", []byte("record"))
	f.putRoutes("1", 1000)
	time.Sleep(10 * time.Second)
	f.putRoutes("2", routesBytes)
	time.Sleep(between)
	at := f.putRoutes("3", routesBytes)
	time.Sleep(30 * time.Second)
	f.checkArrival(t, "3", at)
}

// The moment of the second change decides how much of a wait is left for its transfer.
func TestLargeConfigurationReachesProxiesOnSlowLinksInTime(t *testing.T) {
	for moment := 2 * time.Second; moment < 4*time.Second; moment += 250 * time.Millisecond {
		t.Run(moment.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLinkedFleet(t, fastLink, fastLink, slowLink, slowLink, slowLink, slowLink, slowLink, slowLink, slowLink, slowLink)
				f.playTwoChanges(t, moment)
			})
		})
	}
}

func TestLargeConfigurationReachesProxiesBehindSlowReaderInTime(t *testing.T) {
	for moment := 3 * time.Second; moment < 5*time.Second; moment += 250 * time.Millisecond {
		t.Run(moment.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLinkedFleet(t, slowLink, slowLink, slowLink, slowLink, slowLink, slowLink, slowLink, slowLink)
				f.playTwoChanges(t, moment)
			})
		})
	}
}
