package ack

import (
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// StatusRequest is a status request that the caller of Tracker sends.
type StatusRequest struct {
	// Round numbers the round; the answer carries it back.
	Round uint64
	// Upstream is the server to ask.
	Upstream tables.UpstreamID
}

// Outcome is the decision on a commit.
type Outcome uint8

const (
	// StillWaiting means that no decision was reached.
	StillWaiting Outcome = iota
	// Acknowledged means that the write is safe and its primary still led.
	Acknowledged
	// Replaced means that the primary no longer leads; the write may or may not survive.
	Replaced
)

// Result is a decided commit.
type Result struct {
	// ID is the commit's handle.
	ID uint64
	// Outcome is Acknowledged or Replaced.
	Outcome Outcome
}

// Tracker decides the commits of one group in rounds of status requests: first
// the replicas, then the primary. One round covers all commits that waited at
// its start. It is not safe for concurrent use.
type Tracker struct {
	members []tables.UpstreamID
	rule    Rule
	term    tables.Term
	waiting []Commit
	results []Result
	round   round
	next    uint64
}

type phase uint8

const (
	phaseIdle phase = iota
	phaseReplicas
	phasePrimary
)

type round struct {
	number uint64
	phase  phase
	// commits are in ascending order of position; covered are the first of them.
	commits []Commit
	covered []Commit
	asked   []tables.UpstreamID
	reports []Report
}

// NewTracker returns a tracker for a group of members that decides by Strict.
func NewTracker(members []tables.UpstreamID) *Tracker {
	return NewTrackerWithRule(members, Strict())
}

// NewTrackerWithRule returns a tracker that decides by rule.
func NewTrackerWithRule(members []tables.UpstreamID, rule Rule) *Tracker {
	return &Tracker{members: slices.Clone(members), rule: rule}
}

// Commit adds a write that its primary has committed. Only rounds that start
// later cover it.
func (t *Tracker) Commit(c Commit) {
	t.Replace(c.Term)
	if c.Term < t.term {
		t.decide(c, Replaced)
		return
	}
	t.waiting = append(t.waiting, c)
}

// Replace says that a primary stands at term: commits of lower terms are Replaced.
func (t *Tracker) Replace(term tables.Term) {
	if term <= t.term {
		return
	}
	t.term = term
	for _, c := range t.waiting {
		t.decide(c, Replaced)
	}
	t.waiting = nil
	t.round.phase = phaseIdle
}

// Cancel forgets a commit whose caller no longer waits, decided or not: Done
// does not return it any more.
func (t *Tracker) Cancel(id uint64) {
	t.waiting = slices.DeleteFunc(t.waiting, func(c Commit) bool { return c.ID == id })
	t.results = slices.DeleteFunc(t.results, func(r Result) bool { return r.ID == id })
}

// Waiting returns how many commits are undecided.
func (t *Tracker) Waiting() int { return len(t.waiting) }

// Active reports whether a round is under way.
func (t *Tracker) Active() bool { return t.round.phase != phaseIdle }

// Start begins a round over the waiting commits and returns its requests. It
// returns nothing while a round is under way or nothing waits.
func (t *Tracker) Start() []StatusRequest {
	if t.Active() || len(t.waiting) == 0 {
		return nil
	}
	t.next++
	t.round = round{number: t.next, phase: phaseReplicas, commits: slices.Clone(t.waiting)}
	slices.SortFunc(t.round.commits, func(a, b Commit) int { return a.Position.Compare(b.Position) })
	primary := t.waiting[0].Primary
	for _, m := range t.members {
		if m != primary {
			t.round.asked = append(t.round.asked, m)
		}
	}
	if asks := t.advance(); asks != nil {
		return asks
	}
	return t.asks(t.round.asked)
}

// Retry asks the replicas again whose answers covered nothing, so that a round
// does not wait for a replica that never answers. The caller paces the calls.
func (t *Tracker) Retry() []StatusRequest {
	if t.round.phase != phaseReplicas {
		return nil
	}
	var again []tables.UpstreamID
	for _, p := range t.round.reports {
		if !slices.Contains(t.round.asked, p.Upstream) {
			again = append(again, p.Upstream)
		}
	}
	t.round.reports = nil
	t.round.asked = append(t.round.asked, again...)
	return t.asks(again)
}

// Abort ends the round under way without a decision.
func (t *Tracker) Abort() { t.round.phase = phaseIdle }

// Answer takes the answer to a request and returns further requests of the
// round. Answers to earlier rounds are ignored.
func (t *Tracker) Answer(number uint64, upstream tables.UpstreamID, s tables.Status) []StatusRequest {
	if !t.expects(number, upstream) {
		return nil
	}
	t.unask(upstream)
	if t.round.phase == phasePrimary {
		t.finish(s)
		return nil
	}
	t.round.reports = append(t.round.reports, Report{Upstream: upstream, Status: s})
	return t.advance()
}

// Fail says that a request of the round got no answer.
func (t *Tracker) Fail(number uint64, upstream tables.UpstreamID) {
	if !t.expects(number, upstream) {
		return
	}
	t.unask(upstream)
	if len(t.round.asked) == 0 {
		t.Abort()
	}
}

// Done returns the commits decided since the last call.
func (t *Tracker) Done() []Result {
	done := t.results
	t.results = nil
	return done
}

// advance asks the primary once at least one commit is covered. A round whose
// answers are all in and cover nothing ends.
func (t *Tracker) advance() []StatusRequest {
	r := &t.round
	for _, c := range r.commits {
		if !t.rule.covered(c, t.members, r.reports) {
			break
		}
		r.covered = append(r.covered, c)
	}
	if len(r.covered) == 0 {
		if len(r.asked) == 0 {
			t.Abort()
		}
		return nil
	}
	r.phase = phasePrimary
	r.asked = []tables.UpstreamID{r.covered[0].Primary}
	return t.asks(r.asked)
}

// finish decides the covered commits by the primary's last answer.
func (t *Tracker) finish(s tables.Status) {
	for _, c := range t.round.covered {
		if t.rule.Leads(c, s) {
			t.settle(c, Acknowledged)
		} else {
			t.settle(c, Replaced)
		}
	}
	t.Abort()
}

// settle decides a commit that still waits.
func (t *Tracker) settle(c Commit, o Outcome) {
	i := slices.Index(t.waiting, c)
	if i < 0 {
		return
	}
	t.waiting = slices.Delete(t.waiting, i, i+1)
	t.decide(c, o)
}

func (t *Tracker) decide(c Commit, o Outcome) {
	t.results = append(t.results, Result{ID: c.ID, Outcome: o})
}

func (t *Tracker) expects(number uint64, upstream tables.UpstreamID) bool {
	return t.Active() && number == t.round.number && slices.Contains(t.round.asked, upstream)
}

func (t *Tracker) unask(upstream tables.UpstreamID) {
	t.round.asked = slices.DeleteFunc(t.round.asked, func(u tables.UpstreamID) bool { return u == upstream })
}

func (t *Tracker) asks(to []tables.UpstreamID) []StatusRequest {
	asks := make([]StatusRequest, 0, len(to))
	for _, u := range to {
		asks = append(asks, StatusRequest{Round: t.round.number, Upstream: u})
	}
	return asks
}
