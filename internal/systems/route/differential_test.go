package route_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/replog"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/systems/session"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"gotest.tools/v3/assert"
)

// The simulation has five servers, two proxies, four sessions that move between
// the proxies, and three keys. Servers 0 and 1 and proxy 1 are partitioned from the
// rest for a while, and a new primary is promoted among the rest. Every result is
// compared with a reference map to which acknowledged writes are applied at once.
const (
	simStep          = time.Millisecond
	simLength        = 9 * time.Second
	simPartitionAt   = tables.Time(3 * time.Second)
	simPromoteAt     = tables.Time(3400 * time.Millisecond)
	simHealAt        = tables.Time(6 * time.Second)
	simWriteTimeout  = 300 * time.Millisecond
	simProbeInterval = 20 * time.Millisecond
	simServers       = 5
	simProxies       = 2
	simSessions      = 4
	simKeys          = 3
)

// defect is a fault injected into the routing rules.
type defect uint8

const (
	noDefect defect = iota
	// trustPrimary accepts a primary's position without a majority.
	trustPrimary
	// dropSession drops the token when a session changes proxies.
	dropSession
	// ignoreMaxAge treats every maximum age as one minute.
	ignoreMaxAge
)

// Results of the comparison with the reference map.
const (
	matchesReference = "matches reference"
	withinMaxAge     = "within max age"
	unacknowledged   = "unacknowledged write"
	notPermitted     = "not permitted"
)

type simServer struct {
	id       tables.UpstreamID
	log      *replog.State
	isolated bool
	lag      time.Duration
	nextPull tables.Time
}

// value returns the newest version of key in the server's log.
func (s *simServer) value(key int) int {
	prefix := strconv.Itoa(key) + "#"
	for i := s.log.Len(); i > 0; i-- {
		if text, ok := strings.CutPrefix(s.log.At(uint64(i)).Body, prefix); ok {
			version, _ := strconv.Atoi(text)
			return version
		}
	}
	return 0
}

type simProxy struct {
	world    *tables.World
	snap     *route.Snapshot
	isolated bool
}

type ackedVersion struct {
	version int
	at      tables.Time
	session int
}

type pendingWrite struct {
	key, version, session int
	term                  tables.Term
	position              tables.Position
	until                 tables.Time // when the caller stops waiting
}

type pendingRead struct {
	key, session int
	proxy        *simProxy
	tags         tags.Tags
	request      route.Request
}

type sim struct {
	t         *testing.T
	injected  defect
	rnd       *rand.Rand
	now       tables.Time
	servers   []*simServer
	proxies   []*simProxy
	sessions  []session.Session
	lastProxy []int // index of the proxy that got each session's last request
	version   [simKeys]int
	reference [simKeys][]ackedVersion
	writes    []pendingWrite
	reads     []*pendingRead
	outcomes  map[string]int
}

func newSim(t *testing.T, seed uint64, injected defect) *sim {
	s := &sim{t: t, injected: injected, rnd: rand.New(rand.NewPCG(seed, 1)), outcomes: make(map[string]int)}
	for i := range simServers {
		lag := time.Duration(s.rnd.IntN(8)+1) * time.Millisecond
		if i == 2 {
			lag = 800 * time.Millisecond
		}
		s.servers = append(s.servers, &simServer{id: tables.UpstreamID(rune('a' + i)), log: replog.New(i == 0), lag: lag})
	}
	for _, r := range s.servers[1:] {
		_, err := r.log.Follow("a", 1)
		assert.NilError(t, err)
	}
	for range simProxies {
		s.proxies = append(s.proxies, s.newProxy())
	}
	for range simSessions {
		s.sessions = append(s.sessions, session.New())
		s.lastProxy = append(s.lastProxy, 0)
	}
	return s
}

func (s *sim) newProxy() *simProxy {
	w := tables.NewWorld("vm", "dc", "")
	g := tables.Group{ID: "g", Term: 1, Primary: "a"}
	for _, u := range s.servers {
		g.Members = append(g.Members, u.id)
		w.Upstreams.Put(u.id, tables.Upstream{ID: u.id, Group: "g", DataCentre: "dc", Slots: 3})
	}
	w.Groups.Put("g", g)
	return &simProxy{world: w, snap: route.Build(0, w, nil)}
}

func (s *sim) server(id tables.UpstreamID) *simServer { return s.servers[id[0]-'a'] }

func (s *sim) run() {
	for ; s.now < tables.Time(simLength); s.now = s.now.Add(simStep) {
		s.faults()
		s.replicate()
		s.acknowledge()
		if time.Duration(s.now)%simProbeInterval == 0 {
			s.probe()
		}
		s.answerReads()
		if s.rnd.IntN(3) == 0 {
			s.sendRequest()
		}
	}
}

func (s *sim) faults() {
	switch s.now {
	case simPartitionAt:
		s.servers[0].isolated, s.servers[1].isolated, s.proxies[1].isolated = true, true, true
	case simPromoteAt:
		s.promotePrimary()
	case simHealAt:
		s.servers[0].isolated, s.servers[1].isolated, s.proxies[1].isolated = false, false, false
		primary := s.updatePrimary(s.proxies[1])
		for _, old := range s.servers[:2] {
			_, err := old.log.Follow(primary, 2)
			assert.NilError(s.t, err)
		}
	}
}

// promotePrimary promotes the server with the longest log of the fenced majority.
func (s *sim) promotePrimary() {
	var best *simServer
	for _, u := range s.servers[2:] {
		st, err := u.log.Fence(2)
		assert.NilError(s.t, err)
		if best == nil || st.Last.Compare(best.log.Last()) > 0 {
			best = u
		}
	}
	_, err := best.log.Promote(2)
	assert.NilError(s.t, err)
	for _, u := range s.servers[2:] {
		if u != best {
			_, err := u.log.Follow(best.id, 2)
			assert.NilError(s.t, err)
		}
	}
	s.updatePrimary(s.proxies[0])
}

func (s *sim) updatePrimary(p *simProxy) tables.UpstreamID {
	g, _ := p.world.Groups.Get("g")
	for _, u := range s.servers {
		if st := u.log.Status(); st.Role == tables.RolePrimary && st.Fenced == 2 {
			g.Term, g.Primary = 2, u.id
		}
	}
	p.world.Groups.Put("g", g)
	return g.Primary
}

func (s *sim) replicate() {
	for _, u := range s.servers {
		st := u.log.Status()
		if st.Following == "" || s.now < u.nextPull {
			continue
		}
		u.nextPull = s.now.Add(time.Duration(s.rnd.Int64N(int64(u.lag)) + int64(simStep)))
		from := s.server(st.Following)
		if from.isolated != u.isolated || from.log.Last() == u.log.Last() {
			continue
		}
		s.pull(u, from)
	}
}

// pull copies records from from's log to u until u has them all, truncating u's log
// where it diverges.
func (s *sim) pull(u, from *simServer) {
	term := u.log.FollowedTerm()
	for {
		index := min(uint64(u.log.Len()), uint64(from.log.Len()))
		previous, records, err := from.log.Entries(term, index, 1000)
		if err != nil {
			return
		}
		cut, err := u.log.Apply(term, index, previous, records)
		assert.NilError(s.t, err)
		if !cut {
			return
		}
	}
}

// acknowledge completes the writes that a majority holds in their term, and drops
// those whose callers have timed out.
func (s *sim) acknowledge() {
	kept := s.writes[:0]
	for _, w := range s.writes {
		if s.now > w.until {
			continue
		}
		holders := 0
		for _, u := range s.servers {
			st := u.log.Status()
			if st.Fenced == w.term && st.Last.LogTerm == w.term && st.Last.AtLeast(w.position) {
				holders++
			}
		}
		if holders < tables.Majority(simServers) {
			kept = append(kept, w)
			continue
		}
		s.reference[w.key] = append(s.reference[w.key], ackedVersion{version: w.version, at: s.now, session: w.session})
		s.sessions[w.session] = s.sessions[w.session].Wrote("g", w.position)
	}
	s.writes = kept
}

func (s *sim) probe() {
	for _, p := range s.proxies {
		fenced := 0
		g, _ := p.world.Groups.Get("g")
		for id, u := range p.world.Upstreams.All() {
			from := s.server(id)
			u.Cause = tables.CauseNone
			if from.isolated != p.isolated {
				u.Cause = tables.CauseSilent
			} else {
				u.Status, u.HasStatus, u.StatusSentAt = from.log.Status(), true, s.now
				if u.Status.Fenced == g.Term {
					fenced++
				}
			}
			p.world.Upstreams.Put(id, u)
		}
		primary, _ := p.world.Upstreams.Get(g.Primary)
		confirmed := fenced >= tables.Majority(simServers) || s.injected == trustPrimary
		if primary.Cause == tables.CauseNone && primary.Status.Role == tables.RolePrimary && confirmed {
			g.Confirmed = tables.ConfirmedPoint{Term: g.Term, Position: primary.Status.Last, SentAt: s.now}
			p.world.Groups.Put("g", g)
		}
		p.snap = route.Build(s.now, p.world, p.snap)
	}
}

// sendRequest sends a request of a random session to a random proxy.
func (s *sim) sendRequest() {
	sessionIndex, proxyIndex, key := s.rnd.IntN(simSessions), s.rnd.IntN(simProxies), s.rnd.IntN(simKeys)
	if s.injected == dropSession && s.lastProxy[sessionIndex] != proxyIndex {
		s.sessions[sessionIndex] = session.New()
	}
	s.lastProxy[sessionIndex] = proxyIndex
	p := s.proxies[proxyIndex]
	r := &pendingRead{key: key, session: sessionIndex, proxy: p}
	r.request = route.Request{Group: "g", ArrivedAt: s.now, Deadline: s.now.Add(2 * time.Second), Random: s.rnd.Uint64()}
	r.request.ForSession(s.sessions[sessionIndex])
	if s.rnd.IntN(5) == 0 {
		s.write(r)
		return
	}
	age := []time.Duration{0, 100 * time.Millisecond, time.Second, 5 * time.Second}[s.rnd.IntN(4)]
	r.tags.MaxAge = &age
	if s.rnd.IntN(10) == 0 {
		r.request.Newest = true
	}
	s.reads = append(s.reads, r)
}

func (s *sim) write(r *pendingRead) {
	r.request.Tags = &r.tags
	d := route.Choose(s.now, r.proxy.snap, &r.request)
	if d.Kind != route.KindPrimary || s.server(d.Upstream).isolated != r.proxy.isolated {
		s.outcomes["write "+d.Kind.String()]++
		return
	}
	s.version[r.key]++
	position, err := s.server(d.Upstream).log.Append(d.Term, fmt.Sprintf("%d#%d", r.key, s.version[r.key]))
	if err != nil {
		s.outcomes["write rejected"]++
		return
	}
	s.writes = append(s.writes, pendingWrite{key: r.key, version: s.version[r.key], session: r.session, term: d.Term, position: position, until: s.now.Add(simWriteTimeout)})
}

func (s *sim) answerReads() {
	kept := s.reads[:0]
	for _, r := range s.reads {
		if !s.answer(r) {
			kept = append(kept, r)
		}
	}
	s.reads = kept
}

// answer runs a read if the routing decision allows it, and reports whether the
// read has ended.
func (s *sim) answer(r *pendingRead) bool {
	appliedTags := r.tags
	if s.injected == ignoreMaxAge {
		minute := time.Minute
		appliedTags.MaxAge = &minute
	}
	r.request.Tags = &appliedTags
	d := route.Choose(s.now, r.proxy.snap, &r.request)
	switch d.Kind {
	case route.KindNeedConfirm, route.KindWaitReplica:
		return false
	case route.KindRefuse:
		s.outcomes["read refused"]++
		return true
	}
	u := s.server(d.Upstream)
	if u.isolated != r.proxy.isolated {
		s.outcomes["read unreachable"]++
		return true
	}
	s.outcomes["read from "+d.Kind.String()]++
	s.outcomes[s.compare(r, u.value(r.key))]++
	return true
}

// compare classifies got, the version that a read returned, against the reference
// map. A higher version of a key is always written after a lower one.
func (s *sim) compare(r *pendingRead, got int) string {
	age := *r.tags.MaxAge
	if r.request.Newest {
		age = 0
	}
	required, newest, acked := 0, 0, got == 0
	for _, a := range s.reference[r.key] {
		own := a.session == r.session && a.at <= r.request.ArrivedAt
		if own || a.at <= r.request.ArrivedAt.Add(-age) {
			required = max(required, a.version)
		}
		newest = max(newest, a.version)
		acked = acked || a.version == got
	}
	switch {
	case got == newest:
		return matchesReference
	case got < required:
		return notPermitted
	case acked:
		return withinMaxAge
	default:
		return unacknowledged
	}
}

func runAll(t *testing.T, injected defect, seeds uint64) map[string]int {
	total := make(map[string]int)
	for seed := range seeds {
		s := newSim(t, seed, injected)
		s.run()
		for k, n := range s.outcomes {
			total[k] += n
		}
	}
	return total
}

func TestReadsDifferFromReferenceOnlyWithinMaxAge(t *testing.T) {
	got := runAll(t, noDefect, 20)
	t.Log(got)
	assert.Equal(t, got[notPermitted], 0)
	for _, k := range []string{matchesReference, withinMaxAge, unacknowledged, "read from replica", "read from primary", "read refused", "write refuse"} {
		assert.Assert(t, got[k] > 0, "no simulated run produced %q", k)
	}
}

func TestComparisonDetectsInjectedDefects(t *testing.T) {
	for injected, name := range map[defect]string{trustPrimary: "trust the primary", dropSession: "drop the session", ignoreMaxAge: "ignore the max age"} {
		got := runAll(t, injected, 8)
		t.Log(name, got)
		assert.Assert(t, got[notPermitted] > 0, name)
	}
}
