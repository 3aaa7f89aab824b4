package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/systems/session"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	second = tables.Time(time.Second)
	milli  = tables.Time(time.Millisecond)
)

func pos(term tables.Term, index uint64) tables.Position {
	return tables.Position{LogTerm: term, Index: index}
}

func withMaxAge(d time.Duration) *tags.Tags { return &tags.Tags{MaxAge: &d} }

// testSnapshot returns a snapshot of group "g": primary "a" of term 2 and replica
// "b" in the local data centre, and replica "c" in another one.
func testSnapshot(edit func(*Group)) *Snapshot {
	g := Group{ID: "g", Term: 2, Primary: "a", Members: []Member{
		{ID: "a", Known: true, Position: pos(2, 100), Slots: 3, Local: true, ClaimsPrimary: true},
		{ID: "b", Known: true, Position: pos(2, 90), Slots: 3, Local: true},
		{ID: "c", Known: true, Position: pos(2, 95), Slots: 3},
	}, Points: []tables.ConfirmedPoint{
		{Term: 2, Position: pos(2, 100), SentAt: 100 * second},
		{Term: 2, Position: pos(2, 92), SentAt: 99 * second},
		{Term: 2, Position: pos(2, 80), SentAt: 96 * second},
	}}
	if edit != nil {
		edit(&g)
	}
	return &Snapshot{groups: []Group{g}}
}

func request(t *tags.Tags) Request {
	return Request{Group: "g", Tags: t, ArrivedAt: 100 * second}
}

func TestChoose(t *testing.T) {
	now := 100*second + 1*milli
	late := 101 * second
	for _, c := range []struct {
		name  string
		edit  func(*Group)
		req   func(*Request)
		tags  *tags.Tags
		now   tables.Time
		kind  Kind
		where tables.UpstreamID
		code  codes.Code
	}{
		{name: "no max age declared", tags: &tags.Tags{}, kind: KindPrimary, where: "a"},
		{name: "max age, local data centre", tags: withMaxAge(5 * time.Second), kind: KindReplica, where: "b"},
		{name: "max age, only the remote replica has reached the point", tags: withMaxAge(2 * time.Second), kind: KindReplica, where: "c"},
		{name: "max age, replica may still catch up", tags: withMaxAge(500 * time.Millisecond), kind: KindWaitReplica},
		{name: "max age, wait timed out", tags: withMaxAge(1200 * time.Millisecond), now: late, kind: KindPrimary, where: "a"},
		{name: "max age 0, point older than the request", tags: withMaxAge(0), req: func(r *Request) { r.ArrivedAt++ }, kind: KindNeedConfirm},
		{name: "max age 0, no point confirmed in time", tags: withMaxAge(0), req: func(r *Request) { r.ArrivedAt++ }, now: late, kind: KindRefuse, code: codes.NoFreshReplica},
		{name: "session ahead of the local replica", tags: withMaxAge(5 * time.Second),
			req: func(r *Request) { r.Session = pos(2, 93) }, kind: KindReplica, where: "c"},
		{name: "session ahead of all replicas", tags: withMaxAge(5 * time.Second),
			req: func(r *Request) { r.Session = pos(2, 99) }, kind: KindWaitReplica},
		{name: "session ahead of all replicas, wait timed out", tags: withMaxAge(5 * time.Second), now: late,
			req: func(r *Request) { r.Session = pos(2, 99) }, kind: KindPrimary, where: "a"},
		{name: "session of a newer primary than known", tags: &tags.Tags{},
			req: func(r *Request) { r.Session = pos(3, 1) }, kind: KindRefuse, code: codes.NoPrimary},
		{name: "read in a session of a newer primary", tags: withMaxAge(5 * time.Second), now: late,
			req: func(r *Request) { r.Session = pos(3, 1) }, kind: KindRefuse, code: codes.NoFreshReplica},
		{name: "incomplete session", tags: withMaxAge(5 * time.Second),
			req: func(r *Request) { r.ArrivedAt++; r.ForSession(session.Session{Name: "n"}) }, kind: KindNeedConfirm},
		{name: "in a transaction", tags: withMaxAge(5 * time.Second),
			req: func(r *Request) { r.InTransaction = true }, kind: KindPrimary, where: "a"},
		{name: "leaving replica", tags: withMaxAge(5 * time.Second),
			edit: func(g *Group) { g.Members[1].Leaving = true }, kind: KindReplica, where: "c"},
		{name: "failing replica", tags: withMaxAge(5 * time.Second),
			edit: func(g *Group) { g.Members[1].Failing = true }, kind: KindReplica, where: "c"},
		{name: "replica already tried", tags: withMaxAge(5 * time.Second),
			req: func(r *Request) { r.Tried = []tables.UpstreamID{"b"} }, kind: KindReplica, where: "c"},
		{name: "replaced primary that still claims to be the primary", tags: withMaxAge(5 * time.Second),
			edit: func(g *Group) { g.Members[1].ClaimsPrimary = true }, kind: KindReplica, where: "c"},
		{name: "no replica at all", tags: withMaxAge(5 * time.Second), kind: KindPrimary, where: "a",
			edit: func(g *Group) { g.Members = g.Members[:1] }},
		{name: "no replica and a failing primary", tags: withMaxAge(5 * time.Second), kind: KindRefuse, code: codes.NoFreshReplica,
			edit: func(g *Group) { g.Members = g.Members[:1]; g.Members[0].Failing = true }},
		{name: "write without a primary", tags: &tags.Tags{}, kind: KindRefuse, code: codes.NoPrimary,
			edit: func(g *Group) { g.Primary = "" }},
		{name: "write to a failing primary", tags: &tags.Tags{}, kind: KindRefuse, code: codes.NoPrimary,
			edit: func(g *Group) { g.Members[0].Failing = true }},
		{name: "write to a leaving primary", tags: &tags.Tags{}, kind: KindPrimary, where: "a",
			edit: func(g *Group) { g.Members[0].Leaving = true }},
		{name: "isolated primary and replica still respond, no majority confirms", tags: withMaxAge(5 * time.Second),
			now: 106 * second, req: func(r *Request) { r.ArrivedAt = 106 * second }, kind: KindNeedConfirm},
		{name: "isolated for longer than the wait timeout", tags: withMaxAge(5 * time.Second),
			now: 107 * second, req: func(r *Request) { r.ArrivedAt = 106 * second }, kind: KindRefuse, code: codes.NoFreshReplica},
		{name: "after a change of term, old status and old point", tags: withMaxAge(5 * time.Second), kind: KindReplica, where: "b",
			edit: func(g *Group) { g.Term, g.Primary = 3, "c" }},
		{name: "after a change of term, old status and new point", tags: withMaxAge(0), kind: KindWaitReplica,
			edit: func(g *Group) {
				g.Term, g.Primary = 3, "c"
				g.Points = []tables.ConfirmedPoint{{Term: 3, Position: pos(3, 91), SentAt: 100 * second}}
			}},
		{name: "after a change of term, status of the new term", tags: withMaxAge(0), kind: KindReplica, where: "b",
			edit: func(g *Group) {
				g.Term, g.Primary, g.Members[1].Position = 3, "c", pos(3, 91)
				g.Points = []tables.ConfirmedPoint{{Term: 3, Position: pos(3, 91), SentAt: 100 * second}}
			}},
		{name: "no replica, and the new primary is not yet confirmed", tags: withMaxAge(5 * time.Second), kind: KindNeedConfirm,
			edit: func(g *Group) { g.Members = g.Members[:1]; g.Term = 3 }},
		{name: "unknown group", tags: withMaxAge(0), req: func(r *Request) { r.Group = "x" }, kind: KindRefuse, code: codes.UnknownService},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := request(c.tags)
			if c.req != nil {
				c.req(&r)
			}
			if c.now == 0 {
				c.now = now
			}
			d := Choose(c.now, testSnapshot(c.edit), &r)
			assert.Equal(t, d.Kind, c.kind)
			assert.Equal(t, d.Upstream, c.where)
			if c.code != 0 {
				assert.Equal(t, d.Err.Code, c.code)
				assert.Equal(t, d.Err.Ran, codes.NotRun)
			}
		})
	}
}

// loads implements Load; the counts are in the order a, b, c.
type loads [3]int

func (l *loads) InFlight(id tables.UpstreamID) int { return l[id[0]-'a'] }

func TestAsOfIsNewestPointReachedByReplica(t *testing.T) {
	snap := testSnapshot(nil)
	r := request(withMaxAge(5 * time.Second))
	r.Session = pos(2, 93)
	d := Choose(100*second+milli, snap, &r)
	assert.Equal(t, d.Upstream, tables.UpstreamID("c"))
	assert.Equal(t, d.AsOf, 99*second)
	assert.Equal(t, d.MinPosition, pos(2, 93))
}

func TestBalancesReadsByLoad(t *testing.T) {
	s := testSnapshot(func(g *Group) { g.Members[1].Local = false; g.Members[1].Position = pos(2, 95) })
	rnd := rand.New(rand.NewPCG(1, 1))
	var l loads
	for range 1000 {
		r := request(withMaxAge(2 * time.Second))
		r.Load, r.Random = &l, rnd.Uint64()
		d := Choose(100*second, s, &r)
		assert.Equal(t, d.Kind, KindReplica)
		l[d.Upstream[0]-'a']++
	}
	assert.Equal(t, l[1], 500)
	assert.Equal(t, l[2], 500)

	full := loads{0, 3, 0}
	r := request(withMaxAge(5 * time.Second))
	r.Load = &full
	assert.Equal(t, Choose(100*second, testSnapshot(nil), &r).Upstream, tables.UpstreamID("c"), "all slots of the local replica are in use")
}

func TestBuild(t *testing.T) {
	w := tables.NewWorld("vm1", "east", "127.0.0.1:1")
	w.Upstreams.Put("a", tables.Upstream{ID: "a", DataCentre: "east", HasStatus: true, Status: tables.Status{Last: pos(1, 5)}, Cause: tables.CauseSlow})
	w.Upstreams.Put("b", tables.Upstream{ID: "b", DataCentre: "west", Cause: tables.CauseSilent, Leaving: true})
	g := tables.Group{ID: "g", Members: []tables.UpstreamID{"a", "b"}, Term: 1, Primary: "a"}
	g.Confirmed = tables.ConfirmedPoint{Term: 1, Position: pos(1, 4), SentAt: second}
	w.Groups.Put("g", g)
	s := Build(second, w, nil)
	g.Confirmed = tables.ConfirmedPoint{Term: 1, Position: pos(1, 5), SentAt: 2 * second}
	w.Groups.Put("g", g)
	next, ok := Build(2*second, w, s).Group("g")
	assert.Assert(t, ok)
	assert.Equal(t, len(next.Points), 2)
	assert.Assert(t, next.Members[0].Local && !next.Members[0].Failing && next.Members[0].Known)
	assert.Assert(t, !next.Members[1].Local && next.Members[1].Failing && next.Members[1].Leaving)
	first, _ := s.Group("g")
	assert.Equal(t, len(first.Points), 1, "a snapshot is immutable")
}

func TestPointSpacingIsProportionalToAge(t *testing.T) {
	var points []tables.ConfirmedPoint
	var now tables.Time
	for i := range uint64(40000) {
		now = now.Add(20 * time.Millisecond)
		points = addPoint(now, points, tables.ConfirmedPoint{Term: 1, Position: pos(1, i+1), SentAt: now})
	}
	assert.Assert(t, len(points) <= maxPoints)
	g := Group{Points: points}
	for a := 100 * time.Millisecond; a < 8*time.Minute; a += a / 7 {
		p, ok := g.pointSince(now.Add(-a))
		assert.Assert(t, ok)
		assert.Assert(t, now.Sub(p.SentAt) >= a*3/5, "age %s, point %s", a, now.Sub(p.SentAt))
	}
}

// In any state, a replica is chosen only if it has reached both a confirmed point
// within the maximum age and the session's position.
func TestChosenReplicaMeetsMaxAgeAndSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) tables.Position {
			return pos(tables.Term(rapid.IntRange(1, 3).Draw(t, label)), uint64(rapid.IntRange(1, 6).Draw(t, label)))
		}
		now := 10 * second
		age := time.Duration(rapid.IntRange(0, 6).Draw(t, "age")) * time.Second
		s := testSnapshot(func(g *Group) {
			g.Points = nil
			for at := now - second; at > 0 && rapid.Bool().Draw(t, "more"); at -= second {
				g.Points = append(g.Points, tables.ConfirmedPoint{Term: 2, Position: draw("point"), SentAt: at})
			}
			for i := range g.Members {
				g.Members[i].Position = draw("member")
				g.Members[i].Failing = rapid.Bool().Draw(t, "failing")
			}
		})
		r := Request{Group: "g", Tags: withMaxAge(age), Session: draw("session"), ArrivedAt: now, Random: rapid.Uint64().Draw(t, "random")}
		d := Choose(now, s, &r)
		if d.Kind != KindReplica {
			return
		}
		g, _ := s.Group("g")
		reached := false
		for _, m := range g.Members {
			if m.ID != d.Upstream {
				continue
			}
			assert.Assert(t, !m.Failing && m.ID != g.Primary && m.Position.AtLeast(r.Session))
			for _, p := range g.Points {
				reached = reached || now.Sub(p.SentAt) <= age && m.Position.AtLeast(p.Position)
			}
		}
		assert.Assert(t, reached)
	})
}

func TestChooseAllocatesNothing(t *testing.T) {
	s, r := testSnapshot(nil), request(withMaxAge(5*time.Second))
	r.Load = &loads{}
	n := testing.AllocsPerRun(100, func() { Choose(100*second, s, &r) })
	assert.Equal(t, n, 0.0)
}

func BenchmarkChooseReplica(b *testing.B) {
	s, r := testSnapshot(nil), request(withMaxAge(5*time.Second))
	r.Load = &loads{}
	b.ReportAllocs()
	for b.Loop() {
		Choose(100*second, s, &r)
	}
}

func BenchmarkChoosePrimary(b *testing.B) {
	s, r := testSnapshot(nil), request(&tags.Tags{})
	b.ReportAllocs()
	for b.Loop() {
		Choose(100*second, s, &r)
	}
}
