package relay

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// loadedWorld returns a world of three proxies that has been under load for
// 2 s.
func loadedWorld(t *testing.T) (*world, *load) {
	t.Helper()
	w := newWorld(t, 3)
	l := w.startLoad()
	time.Sleep(2 * time.Second)
	return w, l
}

func TestCalmLoadIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		l := w.startLoad()
		time.Sleep(5 * time.Second)
		l.end()
		assert.Equal(t, l.refused, 0)
		assert.Assert(t, l.served > 1000, "served %d", l.served)
	})
}

// gapLimit is the target for a killed primary: writes are served again within
// a second plus the platform's own time for a promotion.
const gapLimit = time.Second + time.Second

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.group.Change("s1", (*dbgroup.Server).Crash)
		time.Sleep(5 * time.Second)
		l.end()
		assert.Equal(t, w.group.Promotions(), 1)
		assert.Assert(t, l.longestGap <= gapLimit, "gap %s", l.longestGap)
	})
}

func TestSilentPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.group.Change("s1", func(s *dbgroup.Server) { s.SetSilent(true); s.SetIsolated(true) })
		time.Sleep(6 * time.Second)
		l.end()
		assert.Equal(t, w.group.Promotions(), 1)
	})
}

func TestLeavingPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.mark(w.leaving, "s1")
		time.Sleep(5 * time.Second)
		l.end()
		assert.Equal(t, w.group.Promotions(), 1)
		assert.Assert(t, w.group.Primary() != "s1")
	})
}

// The primary's replicas are cut off from it: it answers, but ends no commit,
// and its own log runs ahead.
func TestPrimaryCutFromItsReplicasIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.group.Change("s1", func(s *dbgroup.Server) { s.SetIsolated(true) })
		time.Sleep(8 * time.Second)
		l.end()
		assert.Equal(t, w.group.Promotions(), 1)
	})
}

func TestPrimaryThatOneProxyCantReachStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.sever("vm0", "s1", true)
		time.Sleep(4 * time.Second)
		w.sever("vm0", "s1", false)
		time.Sleep(time.Second)
		l.end()
		assert.Equal(t, w.group.Promotions(), 0)
	})
}

// onlyCopy makes a leaving replica the only one to receive the primary's last
// commits; it ends, the primary crashes, and a proxy that starts afterwards
// does not know of it. Seen on the bench as LOST (batbayar-stock, mix, seed
// 263297380034).
func onlyCopy(w *world) {
	time.Sleep(2 * time.Second)
	w.mark(w.leaving, "s2")
	time.Sleep(time.Second)
	w.group.Change("s3", func(s *dbgroup.Server) { s.SetDeaf(true) })
	time.Sleep(500 * time.Millisecond)
	w.group.Change("s1", (*dbgroup.Server).Crash)
	w.retire("s2")
	w.proxies[1].restart()
	time.Sleep(8 * time.Second)
}

func TestPrimaryWithTheOnlyCopyIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		l := w.startLoad()
		onlyCopy(w)
		assert.Equal(t, w.group.Promotions(), 0)
		w.group.Change("s3", func(s *dbgroup.Server) { s.SetDeaf(false) })
		w.group.Change("s1", (*dbgroup.Server).Restart)
		time.Sleep(3 * time.Second)
		served := w.write(w.proxies[1].session(newest), "last", 1)
		l.end()
		assert.Equal(t, served.Code, statement.OK, served.Detail)
	})
}

// withoutMembers hides the lists of members.
func withoutMembers(_ string, rows platform.Rows) platform.Rows {
	rows.Rows = slices.DeleteFunc(slices.Clone(rows.Rows), func(r platform.TableRow) bool {
		return strings.HasPrefix(r.Key, "members/")
	})
	return rows
}

// Without the list of members the same loses commits.
func TestForgottenMembersLoseCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.alterStores(withoutMembers)
		l := w.startLoad()
		onlyCopy(w)
		assert.Assert(t, len(l.violations()) > 0)
	})
}

// cutOffWriter makes a leaving primary that only one proxy still reaches, which
// is cut off from the store and learns of nothing.
func cutOffWriter(w *world) {
	time.Sleep(2 * time.Second)
	w.proxies[0].store.cut(true)
	w.sever("vm1", "s1", true)
	w.sever("vm2", "s1", true)
	w.mark(w.leaving, "s1")
	time.Sleep(6 * time.Second)
}

func TestProxyThatIsCutOffLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		l := w.startLoad()
		cutOffWriter(w)
		assert.Equal(t, w.group.Promotions(), 1)
		l.end()
	})
}

// Without holds the same loses commits: the old primary goes on acknowledging.
func TestIgnoredHoldsLoseCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.group.IgnoreHolds()
		l := w.startLoad()
		cutOffWriter(w)
		assert.Assert(t, len(l.violations()) > 0)
	})
}

func TestStoreOutageMakesNoPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.store.SetFaults(metadata.Faults{Down: true})
		time.Sleep(8 * time.Second)
		w.store.SetFaults(metadata.Faults{})
		time.Sleep(4 * time.Second)
		l.end()
		assert.Equal(t, w.group.Promotions(), 0)
		assert.Assert(t, l.served > 2000, "served %d", l.served)
	})
}

// While the store is away the primary crashes: it is replaced once the store
// is back, and nothing is lost or read stale before.
func TestPrimaryThatCrashesInAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.store.SetFaults(metadata.Faults{Down: true})
		time.Sleep(time.Second)
		w.group.Change("s1", (*dbgroup.Server).Crash)
		time.Sleep(3 * time.Second)
		assert.Equal(t, w.group.Promotions(), 0)
		w.store.SetFaults(metadata.Faults{})
		time.Sleep(5 * time.Second)
		l.end()
		assert.Equal(t, w.group.Promotions(), 1)
		const away = 3 * time.Second // since the crash
		assert.Assert(t, l.longestGap <= away+gapLimit, "gap %s", l.longestGap)
	})
}

func TestLostAndLateWritesOfTheStore(t *testing.T) {
	for name, faults := range map[string]metadata.Faults{
		"lost": {LoseWrites: true},
		"late": {LateWrites: 3 * time.Second},
		"slow": {Slow: 240 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				l := w.startLoad()
				time.Sleep(2 * time.Second)
				w.store.SetFaults(faults)
				time.Sleep(200 * time.Millisecond)
				w.group.Change("s1", (*dbgroup.Server).Crash)
				time.Sleep(8 * time.Second)
				w.store.SetFaults(metadata.Faults{})
				time.Sleep(12 * time.Second)
				r := w.write(w.proxies[0].session(newest), "last", 1)
				l.end()
				assert.Equal(t, r.Code, statement.OK, r.Detail)
				assert.Assert(t, w.group.Promotions() >= 1)
			})
		})
	}
}

// A request for a primary that can't be reached is refused long before its
// time is over, so that its caller can try another proxy.
func TestUnreachablePrimaryIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.sever("vm0", "s1", true)
		time.Sleep(3 * time.Second)
		at := time.Now()
		r := w.proxies[0].session(newest).run(statement.Write, "x 1")
		assert.Equal(t, r.Code, statement.Busy)
		assert.Assert(t, time.Since(at) < 100*time.Millisecond, "refused after %s", time.Since(at))
		w.sever("vm0", "s1", false)
		l.end()
	})
}

// An order without effect leaves the group without a primary for seconds. Its
// writes are refused soon after the primary was due, not held to their end.
func TestWritesAreNotHeldWhileAnOrderHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.group.PromoteTakes = time.Hour
		w.group.Change("s1", (*dbgroup.Server).Crash)
		time.Sleep(4 * time.Second)
		at := time.Now()
		r := w.proxies[0].session(newest).run(statement.Write, "x 1")
		assert.Equal(t, r.Code, statement.Busy)
		assert.Assert(t, time.Since(at) < 100*time.Millisecond, "refused after %s", time.Since(at))
		l.stop()
	})
}

// Reads go on while a primary is replaced: from held replicas that have all
// that was acknowledged, once they are held.
func TestReadsGoOnDuringAReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.mark(w.leaving, "s1")
		time.Sleep(100 * time.Millisecond)
		refused := make(map[string]int)
		for range 100 {
			for _, database := range []string{newest, bounded, own} {
				if r := w.proxies[1].session(database).run(statement.Read, "item0"); r.Code != statement.OK {
					refused[database]++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, len(refused), 0, "%v", refused)
		l.end()
		assert.Equal(t, w.group.Promotions(), 1)
	})
}

// The recorded primary answers that it does not lead: a replacement stopped it
// and went no further. Somebody has to lead again (random walk 1076).
func TestDeposedPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.group.Change("s1", (*dbgroup.Server).Depose)
		time.Sleep(5 * time.Second)
		r := w.write(w.proxies[0].session(newest), "last", 1)
		l.end()
		assert.Equal(t, r.Code, statement.OK, r.Detail)
		assert.Equal(t, w.group.Promotions(), 1)
	})
}

// A proxy that gets no connection to the primary serves reads that accept an
// age from replicas, by what its peers tell of the primary (the loss of power
// of all proxies on batbayar-stock-grown: servers had no room for 3 s).
func TestPeersTellHowFreshReplicasAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, l := loadedWorld(t)
		w.sever("vm0", "s1", true)
		time.Sleep(3 * time.Second)
		served := 0
		for range 100 {
			if w.proxies[0].session(bounded).run(statement.Read, "item0").Code == statement.OK {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.sever("vm0", "s1", false)
		l.end()
		assert.Assert(t, served >= 95, "%d of 100 reads were served", served)
	})
}

// A proxy whose view of the records is old must not follow the word of a server
// that was promoted meanwhile: writes there would be acknowledged before the
// record is written, while others still answer reads by the old one. Seen as
// STALE on batbayar-stock-grown (cut-and-store varied by seed 254382084583).
func TestServersClaimIsNotFollowedBeforeTheRecord(t *testing.T) {
	for range 12 { // who is promoted, and when the old primary hears of it, is up to chance
		synctest.Test(t, claimBeforeRecord)
	}
}

func claimBeforeRecord(t *testing.T) {
	w := newWorld(t, 3)
	late := w.proxies[2]
	late.store.deafen(fleet.RecordTable)
	stop := w.keepWriting()
	defer stop()
	time.Sleep(2 * time.Second)
	w.setLeaving("s1", true)
	for range 500 {
		time.Sleep(10 * time.Millisecond)
		if w.record(t).Ordered != "" {
			// The order takes effect before its end is on record.
			w.store.SetFaults(metadata.Faults{LateWrites: time.Second})
		}
		leader, _, _, ok := late.fleet.Leader("g")
		if !ok || leader.Upstream.ID() == "s1" {
			continue
		}
		assert.Equal(t, leader.Upstream.ID(), w.record(t).Primary)
	}
	assert.Equal(t, w.group.Promotions(), 1)
}

// record returns the store's record of the group's primary.
func (w *world) record(t *testing.T) tables.PrimaryRecord {
	t.Helper()
	var record tables.PrimaryRecord
	for _, r := range w.store.Rows(fleet.RecordTable) {
		if r.Key == "group/g" {
			assert.NilError(t, json.Unmarshal(r.Value, &record))
		}
	}
	return record
}

// All proxies lose power at once, at one moment of a replacement or another:
// what was acknowledged is there, and each serves again soon.
func TestAllProxiesStartAgainAtOnce(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 3)
			l := w.startLoad()
			time.Sleep(2 * time.Second)
			w.group.Change("s1", (*dbgroup.Server).Crash)
			time.Sleep(after)
			l.end()
			for _, p := range w.proxies {
				p.restart()
			}
			// A claim of the duty runs out and a turn passes before another proxy goes on.
			time.Sleep(10 * time.Second)
			for i, p := range w.proxies {
				r := w.write(p.session(newest), "last", i+1)
				assert.Equal(t, r.Code, statement.OK, "vm%d after %s: %s", i, after, r.Detail)
				r, stale := w.read(p.session(newest), "item1")
				assert.Equal(t, r.Code, statement.OK, "vm%d after %s: %s", i, after, r.Detail)
				assert.Assert(t, !stale)
			}
			assert.Equal(t, len(w.group.Lost()), 0)
		})
	}
}

// A proxy that is cut off with its whole data centre sends its callers
// elsewhere, also where the store was lost before and its groups' freshness was
// kept up from replicas until then. Seen on batbayar-stock-grown trouble-1: the
// one proxy of a data centre that did not count as cut off drew all its callers.
func TestProxyThatIsCutOffSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		p := w.proxies[2]
		serve := func(lasts time.Duration) {
			s := p.session(newest)
			for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				s.run(statement.Read, "item1")
				w.write(s, "item1", 1)
			}
		}
		serve(time.Second)
		w.store.SetFaults(metadata.Faults{Down: true})
		serve(300 * time.Millisecond)
		assert.Assert(t, !p.fleet.Isolated(), "the servers still show who leads")
		p.store.cut(true)
		for _, id := range servers {
			w.sever(p.vm, id, true)
		}
		serve(1500 * time.Millisecond)
		assert.Assert(t, p.fleet.Isolated())
	})
}

// A data centre with the primary and a replica in it is cut off: both entries
// lapse, and come back one after the other. The replica that is still missing
// receives commits again, so a replacement must go on counting it. Seen as STALE
// on batbayar-stock-grown (hunt-0345-7): it was left out for 0.2 s, in which the
// primary was replaced.
func TestEntriesThatLapsedTogetherAreNotGoneOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		stop := w.keepWriting()
		defer stop()
		time.Sleep(2 * time.Second)
		cut := func(on bool) {
			for _, p := range w.proxies {
				w.sever(p.vm, "s1", on)
				w.sever(p.vm, "s3", on)
			}
		}
		cut(true)
		w.mark(w.gone, "s1")
		w.mark(w.gone, "s3")
		time.Sleep(3500 * time.Millisecond)
		cut(false)
		w.mu.Lock()
		delete(w.gone, "s1")
		w.mu.Unlock()
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, strings.Contains(w.members(), "s3"), w.members())
		}
	})
}

// members returns the row of the group's members as the store has it.
func (w *world) members() string {
	rows, err := w.store.ReadTable(w.ctx, fleet.RecordTable)
	assert.NilError(w.t, err)
	for _, r := range rows.Rows {
		if strings.HasPrefix(r.Key, "members/") {
			return string(r.Value)
		}
	}
	return ""
}
