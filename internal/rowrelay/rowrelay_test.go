package rowrelay

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/peer/peertest"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const shared = "records"

// path is the way from one proxy to the store.
type path struct {
	*metadata.Store
	mu   sync.Mutex
	down bool
	// slow is how long reading a table whole takes.
	slow time.Duration
	// mute says that calls for changes get no answer.
	mute bool
}

func (p *path) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mute = true
}

func (p *path) isMute() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mute
}

func (p *path) slowDown(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = d
}

func (p *path) slowness() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slow
}

func (p *path) set(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *path) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

func (p *path) ReadTable(ctx context.Context, table string) (platform.Rows, error) {
	if p.isDown() {
		time.Sleep(time.Second)
		return platform.Rows{}, platform.ErrUnavailable
	}
	time.Sleep(p.slowness())
	return p.Store.ReadTable(ctx, table)
}

func (p *path) WatchTable(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Rows, error) {
	if p.isDown() {
		time.Sleep(time.Second)
		return platform.Rows{}, platform.ErrUnavailable
	}
	if p.isMute() {
		time.Sleep(wait + 1500*time.Millisecond) // the store's client gives up
		return platform.Rows{}, platform.ErrUnavailable
	}
	return p.Store.WatchTable(ctx, table, after, wait)
}

type set struct {
	store  *metadata.Store
	net    *peertest.Network
	relays []*Relay
	paths  []*path
}

// newSet starts relays in the data centres named.
func newSet(t *testing.T, dataCentres ...tables.DataCentreID) *set {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &set{store: metadata.New(), net: peertest.New()}
	began := time.Now()
	for i, dc := range dataCentres {
		vm := tables.VMID(string(rune('a' + i)))
		p := &path{Store: s.store}
		r := New(Options{
			Self: Peer{VM: vm, DataCentre: dc, Address: string(vm)}, Store: p, SharedTable: shared, UrgentTables: map[string]bool{"own": true},
			Bus: s.net.Bus(string(vm)), Now: func() tables.Time { return tables.Time(time.Since(began) + time.Hour) },
			Log: slog.New(slog.DiscardHandler),
		})
		s.relays, s.paths = append(s.relays, r), append(s.paths, p)
		go func() { _ = r.Run(ctx) }()
	}
	time.Sleep(2 * directoryFirst)
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute)
	})
	return s
}

func TestReadThroughAPeerWhereTheStoreIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, "x", "y", "z")
		s.store.Put("own", "k", []byte("v"))
		s.paths[0].set(true)
		for range 3 {
			at := time.Now()
			rows, err := s.relays[0].ReadTable(t.Context(), "own")
			assert.NilError(t, err)
			assert.Equal(t, string(rows.Rows[0].Value), "v")
			assert.Assert(t, time.Since(at) < 500*time.Millisecond, "took %s", time.Since(at))
			time.Sleep(2 * time.Second)
		}
		assert.Assert(t, s.relays[0].Lost())
		s.paths[0].set(false)
		_, err := s.relays[0].ReadTable(t.Context(), "own")
		assert.NilError(t, err)
		assert.Assert(t, !s.relays[0].Lost())
	})
}

// All proxies read a large table over slow links: who has it first doesn't wait
// for a peer that was asked meanwhile.
func TestFirstAnswerCountsWhereAllAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, "x", "x", "y")
		s.store.Put("own", "k", []byte("v"))
		s.paths[0].slowDown(hedgeLarge + 50*time.Millisecond)
		s.paths[1].slowDown(time.Second)
		s.paths[2].slowDown(time.Second)
		at := time.Now()
		rows, err := s.relays[0].ReadTable(t.Context(), "own")
		assert.NilError(t, err)
		assert.Equal(t, len(rows.Rows), 1)
		assert.Assert(t, time.Since(at) <= hedgeLarge+60*time.Millisecond, "took %s", time.Since(at))
		time.Sleep(2 * time.Second) // the peers' calls end
	})
}

func TestNobodyReachesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, "x", "y")
		s.paths[0].set(true)
		s.paths[1].set(true)
		for range 5 {
			_, err := s.relays[0].ReadTable(t.Context(), "own")
			assert.Assert(t, errors.Is(err, platform.ErrUnavailable), "%v", err)
		}
	})
}

func TestWatchThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, "x", "y")
		s.paths[0].set(true)
		rows, err := s.relays[0].ReadTable(t.Context(), "own")
		assert.NilError(t, err)
		time.AfterFunc(time.Second, func() { s.store.Put("own", "k", []byte("new")) })
		rows, err = s.relays[0].WatchTable(t.Context(), "own", rows.Version, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, string(rows.Rows[0].Value), "new")
	})
}

// callsOfLooks lets each relay look 50 times in a second and returns what calls
// that cost the store.
func (s *set) callsOfLooks(t *testing.T) int {
	t.Helper()
	before := s.store.Calls()
	for range 50 {
		for _, r := range s.relays {
			_, err := r.ReadTable(t.Context(), shared)
			assert.NilError(t, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return s.store.Calls() - before
}

// Proxies of one data centre that look at the same time cost the store few calls.
func TestLooksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, "x", "x", "x", "x", "x", "x", "x", "x")
		calls := s.callsOfLooks(t)
		assert.Assert(t, calls <= 70, "%d calls for 400 looks", calls)
	})
}

// The lookers of all data centres share the looks of one of them.
func TestLooksAreSharedBetweenDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, "x", "y", "z", "x", "y", "z")
		// One look in 330 ms over a second.
		calls := s.callsOfLooks(t)
		assert.Assert(t, calls <= 6, "%d calls for 300 looks", calls)
	})
}

// A chief that hears nothing delays no one for longer than a near peer's patience.
func TestSilentChiefIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, "x", "y", "y")
		s.net.Isolate("a")
		for range 10 {
			at := time.Now()
			_, err := s.relays[2].ReadTable(t.Context(), shared)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(at) < nearTimeout, "took %s", time.Since(at))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// A look that is handed on says how old it is: a change that was written
// before now − Age is in it.
func TestAgeOfASharedLookIsTrue(t *testing.T) {
	for _, dataCentres := range [][]tables.DataCentreID{{"x", "x"}, {"x", "y"}, {"x", "y", "y"}} {
		synctest.Test(t, func(t *testing.T) { checkAges(t, newSet(t, dataCentres...)) })
	}
}

// checkAges writes and drops rows and compares them with what the last relay sees.
func checkAges(t *testing.T, s *set) {
	last := s.relays[len(s.relays)-1]
	written, dropped := make(map[string]time.Time), make(map[string]time.Time)
	for i := range 400 {
		key := string(rune('a' + i%26))
		if i%5 == 4 {
			_, err := s.store.Apply(t.Context(), platform.Change{Table: shared, Remove: []string{key}})
			assert.NilError(t, err)
			dropped[key] = time.Now()
		} else {
			s.store.Put(shared, key, []byte{byte(i)})
			written[key] = time.Now()
			delete(dropped, key)
		}
		time.Sleep(time.Duration(i%7) * 9 * time.Millisecond)
		at := time.Now()
		rows, err := last.ReadTable(t.Context(), shared)
		assert.NilError(t, err)
		asOf := at.Add(-rows.Age)
		for _, r := range s.store.Rows(shared) {
			if written[r.Key].Before(asOf) && !hasVersion(rows, r) {
				t.Fatalf("row %s, written %s before the look, is missing", r.Key, asOf.Sub(written[r.Key]))
			}
		}
		for _, r := range rows.Rows {
			if gone, ok := dropped[r.Key]; ok && gone.Before(asOf) {
				t.Fatalf("row %s, dropped %s before the look, is there", r.Key, asOf.Sub(gone))
			}
		}
	}
}

func hasVersion(rows platform.Rows, want platform.TableRow) bool {
	for _, r := range rows.Rows {
		if r.Key == want.Key {
			return r.Version >= want.Version
		}
	}
	return false
}

// A peer that hears nothing costs one short wait, then is left alone.
func TestSilentPeerIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, "x", "x")
		s.net.Isolate("a")
		var longest time.Duration
		for range 10 {
			at := time.Now()
			_, err := s.relays[1].ReadTable(t.Context(), shared)
			assert.NilError(t, err)
			longest = max(longest, time.Since(at))
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, longest < 2*nearTimeout, "%s", longest)
		sent := s.net.Sent()
		_, err := s.relays[1].ReadTable(t.Context(), shared)
		assert.NilError(t, err)
		assert.Equal(t, s.net.Sent(), sent, "the silent peer was asked again")
	})
}

// A proxy that the store turns away hears of a change in time for the users'
// bound of a configuration, also where the peer it waits for has gone silent.
// Seen as CONFIG on batbayar-stock-grown trouble-1 with waits of 4 s.
func TestChangeIsHeardInTimeBesideASilentPeer(t *testing.T) {
	const bound = 3 * time.Second
	for range 8 { // which peer is asked first is up to chance
		synctest.Test(t, func(t *testing.T) {
			s := newSet(t, "x", "y", "z")
			s.paths[0].set(true)
			rows, err := s.relays[0].ReadTable(t.Context(), "own")
			assert.NilError(t, err)
			time.Sleep(2 * time.Second)
			assert.Assert(t, s.relays[0].Lost())
			s.net.Isolate("b")
			put := time.Now().Add(10 * time.Millisecond)
			time.AfterFunc(time.Until(put), func() { s.store.Put("own", "k", []byte("new")) })
			for len(rows.Rows) == 0 {
				// Another table's reader tries the store at this moment.
				go func() { _, _ = s.relays[0].ReadTable(t.Context(), "other") }()
				time.Sleep(time.Millisecond)
				next, err := s.relays[0].WatchTable(t.Context(), "own", rows.Version, fleet.WatchWait)
				if err == nil {
					rows = next
				}
			}
			assert.Assert(t, time.Since(put) < bound, "heard after %s", time.Since(put))
		})
	}
}

// The proxies of a data centre watch an urgent table through one of them: at
// rest they cost the store no more than that one, and news comes at once. A
// looker that falls silent, or whose call the store doesn't answer, delays
// news by less than the bound.
func TestUrgentChangesThroughTheLooker(t *testing.T) {
	const bound = 3 * time.Second
	for name, fault := range map[string]func(*set){
		"no fault":      func(*set) {},
		"silent looker": func(s *set) { s.net.Isolate("a") },
		"unanswered looker": func(s *set) {
			s.paths[0].silence()
			time.Sleep(fleet.WatchWait) // its next call has begun
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSet(t, "x", "x", "x", "x", "x", "x", "x", "x")
				rows, err := s.relays[0].ReadTable(t.Context(), "own")
				assert.NilError(t, err)
				before := s.store.Calls()
				heard := make(chan time.Duration, len(s.relays))
				var put time.Time
				for _, r := range s.relays[1:] {
					go func() {
						for {
							next, err := r.WatchTable(t.Context(), "own", rows.Version, fleet.WatchWait)
							if err == nil && len(next.Rows) > 0 {
								heard <- time.Since(put)
								return
							}
							time.Sleep(time.Millisecond)
						}
					}()
				}
				time.Sleep(10 * time.Second)
				assert.Assert(t, s.store.Calls()-before <= 8, "%d calls in 10 s", s.store.Calls()-before)
				fault(s)
				put = time.Now()
				s.store.Put("own", "k", []byte("new"))
				for range s.relays[1:] {
					took := <-heard
					assert.Assert(t, took < bound, "heard after %s", took)
					assert.Assert(t, name != "no fault" || took < 100*time.Millisecond, "heard after %s", took)
				}
			})
		})
	}
}

func TestQuestionsThatCantBeReadAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, "x", "y")
		b := s.net.Bus("b")
		for _, topic := range []string{topicQuestion, topicAnswer} {
			b.Send("a", topic, "nonsense")
			b.Send("a", topic, map[string]int{"i": -1})
		}
		s.paths[1].set(true)
		_, err := s.relays[1].ReadTable(t.Context(), "own")
		assert.NilError(t, err)
	})
}
