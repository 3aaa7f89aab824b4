package faults

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/standin/replog"
	"github.com/cranberrystage/cranberrystage/internal/systems/ack"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/failover"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// walk runs the real acknowledgement and failover code with messages that are
// delivered in random order or lost.
type walk struct {
	draw         func(n int) int
	random       *rand.Rand
	rule         ack.Rule
	choose       func([]failover.Fenced, int, bool) (tables.UpstreamID, bool)
	now          tables.Time
	servers      []*walkServer
	coordinators []*coordinator
	writers      []*writer
	messages     []message
	checks       *checker
	// nextTerm is the content of the group's row that matters here, rowVersion its version.
	nextTerm   tables.Term
	rowVersion uint64
	nextWrite  uint64
}

type walkServer struct {
	id    tables.UpstreamID
	state *replog.State
}

// message is a message in transit; it is either delivered or lost.
type message struct {
	deliver func()
	lose    func()
}

// coordinator is a proxy that coordinates failovers.
type coordinator struct {
	world  *tables.World
	system *failover.System
}

// writer is a proxy that writes and acknowledges.
type writer struct {
	tracker    *ack.Tracker
	pending    []pendingWrite
	evidenceAt tables.Time
}

var walkMembers = []tables.UpstreamID{"a", "b", "c"}

func newWalk(draw func(int) int, rule ack.Rule, choose func([]failover.Fenced, int, bool) (tables.UpstreamID, bool)) *walk {
	w := &walk{draw: draw, random: rand.New(rand.NewPCG(1, 1)), rule: rule, choose: choose, checks: newChecker(), nextTerm: 2, rowVersion: 1}
	for i, id := range walkMembers {
		w.servers = append(w.servers, &walkServer{id: id, state: replog.New(i == 0)})
	}
	for _, s := range w.servers[1:] {
		_, _ = s.state.Follow("a", 1)
	}
	for range 2 {
		w.coordinators = append(w.coordinators, w.newCoordinator())
		w.writers = append(w.writers, &writer{tracker: ack.NewTrackerWithRule(walkMembers, rule)})
	}
	return w
}

// newCoordinator returns a proxy that has just started and has no state from
// earlier failovers.
func (w *walk) newCoordinator() *coordinator {
	world := tables.NewWorld("vm1", "east", "")
	for _, m := range walkMembers {
		world.Upstreams.Put(m, tables.Upstream{ID: m, Group: testGroup})
	}
	world.Groups.Put(testGroup, tables.Group{ID: testGroup, Members: walkMembers, Term: 1, Primary: "a"})
	options := failover.DefaultOptions(func(*tables.World, tables.GroupID) []tables.VMID { return []tables.VMID{"vm1"} })
	options.SoleObserverDelay = 0
	options.Choose = w.choose
	return &coordinator{world: world, system: failover.New(options, w.random)}
}

// run takes n steps and returns the checker.
func (w *walk) run(n int) *checker {
	for range n {
		w.now++
		w.step()
	}
	newest := w.checks.newest()
	w.checks.checkDurable(newest.id, w.server(newest.id).state)
	return w.checks
}

func (w *walk) step() {
	switch a := w.draw(100); {
	case a < 8:
		w.write(w.writers[w.draw(len(w.writers))])
	case a < 28:
		w.replicate(w.servers[w.draw(len(w.servers))])
	case a < 95:
		w.deliver()
	case a < 98:
		w.coordinate(w.coordinators[w.draw(len(w.coordinators))])
	default:
		w.coordinators[w.draw(len(w.coordinators))] = w.newCoordinator()
	}
}

func (w *walk) server(id tables.UpstreamID) *walkServer {
	return w.servers[slices.Index(walkMembers, id)]
}

// write sends a write to one of the last two primaries, so possibly to a replaced
// one.
func (w *walk) write(by *writer) {
	recent := w.checks.promotions[max(0, len(w.checks.promotions)-2):]
	p := recent[w.draw(len(recent))]
	w.nextWrite++
	body := strconv.FormatUint(w.nextWrite, 10)
	pos, err := w.server(p.id).state.Append(p.term, body)
	if err != nil {
		return
	}
	c := ack.Commit{ID: w.nextWrite, Primary: p.id, Term: p.term, Position: pos}
	by.pending = append(by.pending, pendingWrite{commit: c, body: body, sentAt: w.now})
	by.tracker.Commit(c)
	w.advanceTracker(by)
}

func (w *walk) replicate(r *walkServer) {
	following := r.state.Status().Following
	if following == "" {
		return
	}
	term, index := r.state.FollowedTerm(), uint64(r.state.Len())
	previous, records, err := w.server(following).state.Entries(term, index, 1+w.draw(3))
	if err == nil {
		_, _ = r.state.Apply(term, index, previous, records)
	}
}

func (w *walk) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := w.draw(len(w.messages))
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	if w.draw(30) == 0 {
		m.lose()
		return
	}
	m.deliver()
}

func (w *walk) send(deliver, lose func()) {
	w.messages = append(w.messages, message{deliver: deliver, lose: lose})
}

func (w *walk) advanceTracker(by *writer) {
	for _, r := range by.tracker.Done() {
		i := slices.IndexFunc(by.pending, func(p pendingWrite) bool { return p.commit.ID == r.ID })
		if r.Outcome == ack.Acknowledged {
			w.checks.acknowledged("vm1", by.pending[i], by.evidenceAt, w.now)
		}
		by.pending = slices.Delete(by.pending, i, i+1)
	}
	if by.tracker.Active() {
		return
	}
	requests := by.tracker.Start()
	by.evidenceAt = w.now
	w.requestStatus(by, requests)
}

// requestStatus sends status requests; requests and replies are messages in
// transit like any other.
func (w *walk) requestStatus(by *writer, requests []ack.StatusRequest) {
	for _, a := range requests {
		lose := func() { by.tracker.Fail(a.Round, a.Upstream); w.advanceTracker(by) }
		w.send(func() {
			status, servedAt := w.server(a.Upstream).state.Status(), w.now
			w.send(func() { w.handleStatusReply(by, a, status, servedAt) }, lose)
		}, lose)
	}
}

func (w *walk) handleStatusReply(by *writer, a ack.StatusRequest, status tables.Status, servedAt tables.Time) {
	requests := by.tracker.Answer(a.Round, a.Upstream, status)
	if requests != nil {
		by.evidenceAt = servedAt
		w.requestStatus(by, requests)
	}
	w.advanceTracker(by)
}

// coordinate makes the primary appear failed to a proxy and lets the proxy act
// under a new grant.
func (w *walk) coordinate(c *coordinator) {
	now := w.now.Add(time.Duration(w.now) * time.Minute)
	for _, s := range w.servers {
		u, _ := c.world.Upstreams.Get(s.id)
		u.HasStatus = true
		u.Status = s.state.Status()
		u.StatusAt = now
		u.FailingSince = now
		c.world.Upstreams.Put(s.id, u)
	}
	g, _ := c.world.Groups.Get(testGroup)
	g.Term, g.Primary = w.checks.newest().term, w.checks.newest().id
	c.world.Groups.Put(testGroup, g)
	p, _ := c.world.Upstreams.Get(g.Primary)
	p.Cause = tables.CauseRefused
	c.world.Upstreams.Put(g.Primary, p)
	w.perform(c, now, c.system.Tick(now, c.world))
	w.perform(c, now, c.system.Tick(now, c.world))
	p.Cause = tables.CauseNone
	c.world.Upstreams.Put(g.Primary, p)
}

func (w *walk) perform(c *coordinator, now tables.Time, actions []action.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case action.ReadGroupRow:
			w.perform(c, now, c.system.Handle(now, c.world, event.GroupRowRead{Group: testGroup, Row: tables.GroupRow{Next: w.nextTerm}, Version: w.rowVersion}))
		case action.WriteGroupRow:
			w.perform(c, now, c.system.Handle(now, c.world, event.GroupRowWritten{Group: testGroup, TxnID: a.TxnID, Outcome: w.writeRow(a)}))
			w.perform(c, now, c.system.Tick(now, c.world))
		case action.Fence:
			w.control(c, now, a.Upstream, a.Term, tables.StepFence, func(s *replog.State) (tables.Status, error) { return s.Fence(a.Term) })
		case action.Promote:
			w.control(c, now, a.Upstream, a.Term, tables.StepPromote, func(s *replog.State) (tables.Status, error) { return s.Promote(a.Term) })
		case action.Follow:
			w.control(c, now, a.Upstream, a.Term, tables.StepFollow, func(s *replog.State) (tables.Status, error) { return s.Follow(a.Primary, a.Term) })
		}
	}
}

// writeRow writes the group's row if it has the expected version.
func (w *walk) writeRow(a action.WriteGroupRow) event.Outcome {
	if a.Version != w.rowVersion {
		return event.OutcomeConflict
	}
	w.nextTerm = a.Row.Next
	w.rowVersion++
	return event.OutcomeOK
}

func (w *walk) control(c *coordinator, now tables.Time, id tables.UpstreamID, term tables.Term, step tables.Step, run func(*replog.State) (tables.Status, error)) {
	w.send(func() {
		s := w.server(id)
		was := s.state.Status().Role
		status, err := run(s.state)
		if s.state.Status().Role == tables.RolePrimary && was != tables.RolePrimary {
			w.checks.promoted(w.now, id, s.state)
		}
		done := event.ControlDone{Group: testGroup, Upstream: id, Term: term, Step: step, Status: status}
		if errors.Is(err, group.ErrFenced) {
			done.Outcome = event.OutcomeFenced
		}
		w.send(func() { w.perform(c, now, c.system.Handle(now, c.world, done)) }, func() {})
	}, func() {})
}

const walkSteps = 250

var walkSeeds = flag.Int("walk-seeds", 3200, "seeded walks of each rule in TestWalkFindsWeakenedRules")

// TestWalk checks that the strict rule breaks no promise in random walks.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		c := newWalk(draw, ack.Strict(), failover.Choose).run(walkSteps)
		assert.Equal(t, len(c.violations), 0, "%v", c.violations)
	})
}

// walkCount counts the results of many seeded walks.
type walkCount struct {
	lost, late, acknowledged, promotions int
	lostSeeds, lateSeeds                 []uint64
}

func (c *walkCount) add(m walkCount) {
	c.lost += m.lost
	c.late += m.late
	c.acknowledged += m.acknowledged
	c.promotions += m.promotions
	c.lostSeeds = append(c.lostSeeds, m.lostSeeds...)
	c.lateSeeds = append(c.lateSeeds, m.lateSeeds...)
}

// firstOf returns the first three seeds.
func firstOf(seeds []uint64) []uint64 { return seeds[:min(3, len(seeds))] }

func countWalks(from, to uint64, rule ack.Rule, choose func([]failover.Fenced, int, bool) (tables.UpstreamID, bool)) walkCount {
	var n walkCount
	for seed := from; seed < to; seed++ {
		r := rand.New(rand.NewPCG(seed, 7))
		c := newWalk(r.IntN, rule, choose).run(walkSteps)
		n.acknowledged += len(c.acks)
		n.promotions += len(c.promotions) - 1
		if c.broken(promiseDurable) {
			n.lost++
			n.lostSeeds = append(n.lostSeeds, seed)
		}
		if c.broken(promiseStillPrimary) {
			n.late++
			n.lateSeeds = append(n.lateSeeds, seed)
		}
	}
	return n
}

// weakened returns the strict rule with a change.
func weakened(change func(*ack.Rule)) ack.Rule {
	r := ack.Strict()
	change(&r)
	return r
}

// TestWalkFindsWeakenedRules checks that the walk detects each weakened rule
// within the fixed seeds, and finds no violation with the strict rule.
func TestWalkFindsWeakenedRules(t *testing.T) {
	notAsked := weakened(func(r *ack.Rule) { r.Leads = func(ack.Commit, tables.Status) bool { return true } })
	fencedOnly := weakened(func(r *ack.Rule) {
		r.Holds = func(c ack.Commit, s tables.Status) bool {
			return s.Fenced == c.Term && s.Last.Index >= c.Position.Index
		}
	})
	logTermOnly := weakened(func(r *ack.Rule) {
		r.Holds = func(c ack.Commit, s tables.Status) bool {
			return s.Last.LogTerm == c.Term && s.Last.AtLeast(c.Position)
		}
	})
	cases := []struct {
		name   string
		rule   ack.Rule
		choose func([]failover.Fenced, int, bool) (tables.UpstreamID, bool)
		// from is the first seed. The walks that violate a rule can be rare, so the
		// seeds of such a rule start where some of them are.
		from uint64
		// lost and late are the violations that the walk must find: a lost write, and
		// an acknowledgement after the primary was replaced.
		lost bool
		late bool
	}{
		{"strict", ack.Strict(), failover.Choose, 0, false, false},
		{"primary not asked again", notAsked, failover.Choose, 0, false, true},
		{"fenced term only", fencedOnly, failover.Choose, 0, true, false},
		{"log term only", logTermOnly, failover.Choose, 8380, false, true},
		{"lowest fenced server promoted", ack.Strict(), chooseLowest, 0, true, false},
		{"primary trusted without replicas", trustPrimary(), failover.Choose, 0, true, true},
	}
	const parts = 4
	each := uint64(*walkSeeds / cellStride / parts)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sum walkCount
			for _, n := range parallel(parts, func(i int) walkCount {
				from := c.from + uint64(i)*each
				return countWalks(from, from+each, c.rule, c.choose)
			}) {
				sum.add(n)
			}
			t.Logf("%d walks, %d acknowledged, %d promotions, %d lost %v, %d late %v", parts*each,
				sum.acknowledged, sum.promotions, sum.lost, firstOf(sum.lostSeeds), sum.late, firstOf(sum.lateSeeds))
			assert.Assert(t, !c.lost || sum.lost > 0, "no walk found a lost write")
			assert.Assert(t, !c.late || sum.late > 0, "no walk found a late acknowledgement")
			if c.name == "strict" {
				assert.Equal(t, sum.lost+sum.late, 0)
			}
		})
	}
}
