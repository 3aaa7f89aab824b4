package ack

import (
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// StatusRequest is a status request to be sent by the user of the Tracker.
type StatusRequest struct {
	// Round is the number of the round; it is passed to Answer with the response.
	Round uint64
	// Upstream is the server to query.
	Upstream tables.UpstreamID
}

// Outcome is the decision on a commit.
type Outcome uint8

const (
	// Undecided means that there is no decision yet.
	Undecided Outcome = iota
	// Acknowledged means that a quorum holds the write and its primary still led.
	Acknowledged
	// Replaced means that the primary no longer leads; the write may or may not be kept.
	Replaced
)

// Result is the decision on one commit.
type Result struct {
	// ID is the commit's ID.
	ID uint64
	// Outcome is Acknowledged or Replaced.
	Outcome Outcome
}

// Tracker decides the commits of one group in rounds of status requests. A round
// queries first the replicas, then the primary, and includes all commits that were
// undecided at its start. A Tracker is not safe for concurrent use.
type Tracker struct {
	members []tables.UpstreamID
	rule    Rule
	term    tables.Term
	waiting []Commit
	results []Result
	round   round
	// lastRound is the number of the last round that was started.
	lastRound uint64
}

type phase uint8

const (
	phaseIdle phase = iota
	phaseReplicas
	phasePrimary
)

// round is a round of status requests.
type round struct {
	number uint64
	phase  phase
	// commits are in ascending order of position; covered is a prefix of them.
	commits []Commit
	covered []Commit
	// pending are the servers whose responses are outstanding.
	pending []tables.UpstreamID
	reports []Report
}

// NewTracker returns a tracker for a group with the given members that uses the
// rule Strict.
func NewTracker(members []tables.UpstreamID) *Tracker {
	return NewTrackerWithRule(members, Strict())
}

// NewTrackerWithRule returns a tracker that uses rule.
func NewTrackerWithRule(members []tables.UpstreamID, rule Rule) *Tracker {
	return &Tracker{members: slices.Clone(members), rule: rule}
}

// Commit adds a write that its primary has committed. It is included only in rounds
// that start later.
func (t *Tracker) Commit(c Commit) {
	t.Replace(c.Term)
	if c.Term < t.term {
		t.decide(c, Replaced)
		return
	}
	t.waiting = append(t.waiting, c)
}

// Replace sets the term of the current primary. Commits of lower terms are decided
// as Replaced.
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

// Cancel removes a commit whose caller no longer waits, whether it is decided or
// not: Done will not return it.
func (t *Tracker) Cancel(id uint64) {
	t.waiting = slices.DeleteFunc(t.waiting, func(c Commit) bool { return c.ID == id })
	t.results = slices.DeleteFunc(t.results, func(r Result) bool { return r.ID == id })
}

// Waiting returns the number of undecided commits.
func (t *Tracker) Waiting() int { return len(t.waiting) }

// Active reports whether a round is in progress.
func (t *Tracker) Active() bool { return t.round.phase != phaseIdle }

// Start starts a round for the undecided commits and returns its requests. It
// returns nil if a round is in progress or no commit is undecided.
func (t *Tracker) Start() []StatusRequest {
	if t.Active() || len(t.waiting) == 0 {
		return nil
	}
	t.lastRound++
	t.round = round{number: t.lastRound, phase: phaseReplicas, commits: slices.Clone(t.waiting)}
	slices.SortFunc(t.round.commits, func(a, b Commit) int { return a.Position.Compare(b.Position) })
	primary := t.waiting[0].Primary
	for _, m := range t.members {
		if m != primary {
			t.round.pending = append(t.round.pending, m)
		}
	}
	if requests := t.advance(); requests != nil {
		return requests
	}
	return t.requests(t.round.pending)
}

// Retry returns new requests to the replicas whose responses covered no commit, so
// that a round does not depend on a replica that never responds. The calling code
// limits the rate of calls.
func (t *Tracker) Retry() []StatusRequest {
	if t.round.phase != phaseReplicas {
		return nil
	}
	var again []tables.UpstreamID
	for _, p := range t.round.reports {
		if !slices.Contains(t.round.pending, p.Upstream) {
			again = append(again, p.Upstream)
		}
	}
	t.round.reports = nil
	t.round.pending = append(t.round.pending, again...)
	return t.requests(again)
}

// Abort ends the round in progress without a decision.
func (t *Tracker) Abort() { t.round.phase = phaseIdle }

// Answer processes the response to a request and returns further requests of the
// round. Responses of earlier rounds are ignored.
func (t *Tracker) Answer(number uint64, upstream tables.UpstreamID, s tables.Status) []StatusRequest {
	if !t.expects(number, upstream) {
		return nil
	}
	t.removePending(upstream)
	if t.round.phase == phasePrimary {
		t.finish(s)
		return nil
	}
	t.round.reports = append(t.round.reports, Report{Upstream: upstream, Status: s})
	return t.advance()
}

// Fail records that a request of the round failed.
func (t *Tracker) Fail(number uint64, upstream tables.UpstreamID) {
	if !t.expects(number, upstream) {
		return
	}
	t.removePending(upstream)
	if len(t.round.pending) == 0 {
		t.Abort()
	}
}

// Done returns the commits decided since the last call.
func (t *Tracker) Done() []Result {
	done := t.results
	t.results = nil
	return done
}

// advance returns a request to the primary as soon as at least one commit is
// covered. It ends the round if all responses have been received and cover none.
func (t *Tracker) advance() []StatusRequest {
	r := &t.round
	for _, c := range r.commits {
		if !t.rule.covered(c, t.members, r.reports) {
			break
		}
		r.covered = append(r.covered, c)
	}
	if len(r.covered) == 0 {
		if len(r.pending) == 0 {
			t.Abort()
		}
		return nil
	}
	r.phase = phasePrimary
	r.pending = []tables.UpstreamID{r.covered[0].Primary}
	return t.requests(r.pending)
}

// finish decides the covered commits from the primary's last status.
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

// settle decides a commit that is still undecided.
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

// expects reports whether the request to upstream in round number is pending.
func (t *Tracker) expects(number uint64, upstream tables.UpstreamID) bool {
	return t.Active() && number == t.round.number && slices.Contains(t.round.pending, upstream)
}

func (t *Tracker) removePending(upstream tables.UpstreamID) {
	t.round.pending = slices.DeleteFunc(t.round.pending, func(u tables.UpstreamID) bool { return u == upstream })
}

func (t *Tracker) requests(to []tables.UpstreamID) []StatusRequest {
	requests := make([]StatusRequest, 0, len(to))
	for _, u := range to {
		requests = append(requests, StatusRequest{Round: t.round.number, Upstream: u})
	}
	return requests
}
