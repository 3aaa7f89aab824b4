package replace

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func at(ms int) tables.Time { return tables.Time(time.Duration(ms) * time.Millisecond) }

func TestJudge(t *testing.T) {
	now := at(100_000)
	ago := func(d time.Duration) tables.Time { return now.Add(-d) }
	for name, c := range map[string]struct {
		view View
		want Cause
	}{
		"responds":                    {View{Now: now}, CauseNone},
		"leaving":                     {View{Now: now, Leaving: true}, CauseLeaving},
		"entry missing briefly":       {View{Now: now, MissingSince: ago(MissingTimeout - 1)}, CauseNone},
		"entry missing until timeout": {View{Now: now, MissingSince: ago(MissingTimeout)}, CauseGone},
		"one refusal":                 {View{Now: now, RefusedSince: ago(refusedTimeout - 1)}, CauseNone},
		"refusing":                    {View{Now: now, RefusedSince: ago(refusedTimeout)}, CauseRefused},
		"slow":                        {View{Now: now, SilentSince: ago(silentTimeout - 1)}, CauseNone},
		"silent":                      {View{Now: now, SilentSince: ago(silentTimeout)}, CauseSilent},
		"deposed briefly":             {View{Now: now, DeposedSince: ago(deposedTimeout - 1)}, CauseNone},
		"deposed":                     {View{Now: now, DeposedSince: ago(deposedTimeout)}, CauseDeposed},
		"commit pending":              {View{Now: now, CommitSince: ago(commitTimeout - 1)}, CauseNone},
		"no commit completes":         {View{Now: now, CommitSince: ago(commitTimeout)}, CauseNoCommits},
		"leaving precedes silent":     {View{Now: now, Leaving: true, SilentSince: ago(silentTimeout)}, CauseLeaving},
	} {
		assert.Equal(t, Judge(c.view), c.want, name)
	}
}

func TestCausesThatNeedReplicaCheck(t *testing.T) {
	for _, c := range []Cause{CauseRefused, CauseSilent, CauseNoCommits} {
		assert.Assert(t, c.NeedsReplicaCheck(), c.String())
	}
	for _, c := range []Cause{CauseLeaving, CauseGone, CauseDeposed, CauseUnfinished, CauseHeld} {
		assert.Assert(t, !c.NeedsReplicaCheck(), c.String())
	}
}

func held(id string, received, applied tables.Position, leaving bool) Held {
	return Held{ID: tables.UpstreamID(id), Leaving: leaving, Status: statement.ServerStatus{Received: received, Applied: applied}}
}

func pos(term, index uint64) tables.Position {
	return tables.Position{LogTerm: tables.Term(term), Index: index}
}

func unlisted(h Held) Held {
	h.Unlisted = true
	return h
}

func TestCandidate(t *testing.T) {
	for name, c := range map[string]struct {
		held []Held
		want tables.UpstreamID
	}{
		"newest log":                      {[]Held{held("a", pos(1, 5), pos(1, 5), false), held("b", pos(1, 6), pos(1, 6), false)}, "b"},
		"term before index":               {[]Held{held("a", pos(1, 9), pos(1, 9), false), held("b", pos(2, 3), pos(2, 3), false)}, "b"},
		"newest log, although leaving":    {[]Held{held("a", pos(1, 6), pos(1, 6), true), held("b", pos(1, 5), pos(1, 5), false)}, "a"},
		"not leaving, among equal logs":   {[]Held{held("a", pos(1, 6), pos(1, 1), true), held("b", pos(1, 6), pos(1, 6), false)}, "b"},
		"with an entry, among equal logs": {[]Held{unlisted(held("a", pos(1, 6), pos(1, 1), false)), held("b", pos(1, 6), pos(1, 6), true)}, "b"},
		"newest log, without an entry":    {[]Held{unlisted(held("a", pos(1, 6), pos(1, 6), false)), held("b", pos(1, 5), pos(1, 5), false)}, "a"},
		"least applied, among equal logs": {[]Held{held("a", pos(1, 6), pos(1, 6), false), held("b", pos(1, 6), pos(1, 2), false)}, "b"},
		"received precedes applied":       {[]Held{held("a", pos(1, 7), pos(1, 7), false), held("b", pos(1, 6), pos(1, 2), false)}, "a"},
	} {
		best, ok := Candidate(c.held, "")
		assert.Assert(t, ok)
		assert.Equal(t, best.ID, c.want, name)
	}
	_, ok := Candidate(nil, "")
	assert.Assert(t, !ok)
}

// An order without a known outcome may still take effect, so its server stays the
// candidate unless another one has more.
func TestCandidateOfPendingOrder(t *testing.T) {
	list := []Held{held("a", pos(1, 6), pos(1, 6), true), held("b", pos(1, 6), pos(1, 2), false), held("c", pos(1, 5), pos(1, 5), false)}
	for ordered, want := range map[tables.UpstreamID]tables.UpstreamID{"": "b", "a": "a", "b": "b", "c": "b", "gone": "b"} {
		best, ok := Candidate(list, ordered)
		assert.Assert(t, ok)
		assert.Equal(t, best.ID, want, "ordered before: %s", ordered)
	}
}

// The term of the holds is exactly that of the promotion, the one above the newest in which a
// server led: a lower one does not hold, and a higher one outlasts the promotion. The terms
// of other holds say nothing about it, however many attempts were interrupted.
func TestNextTermIsThatOfThePromotion(t *testing.T) {
	for name, c := range map[string]struct {
		known    tables.Term
		statuses []statement.ServerStatus
		want     tables.Term
	}{
		"known":               {3, nil, 4},
		"of a follower":       {3, []statement.ServerStatus{{Term: 4, Received: pos(2, 9)}, {Term: 5}}, 6},
		"of a log":            {3, []statement.ServerStatus{{Term: 4, Received: pos(6, 9)}}, 7},
		"held before":         {3, []statement.ServerStatus{{Term: 3, Held: 4, Received: pos(3, 9)}, {Term: 3}}, 4},
		"held before, higher": {3, []statement.ServerStatus{{Term: 4, Held: 7, Received: pos(2, 9)}, {Term: 5}}, 6},
	} {
		assert.Equal(t, NextTerm(c.known, c.statuses...), c.want, name)
	}
}

func TestOrderWaitsForLeaseAndNeedsCoordinatorLease(t *testing.T) {
	lease := freshness.Lease + LeaseGuard
	announced, held := at(1000), at(1300)
	due := held.Add(lease)
	assert.Equal(t, OrderAt(announced, held), due)
	assert.Assert(t, !MayOrder(due-1, announced, held, due.Add(time.Second)))
	assert.Assert(t, MayOrder(due, announced, held, due.Add(time.Second)))
	assert.Assert(t, !MayOrder(due, announced, held, due))
}

func TestMembers(t *testing.T) {
	ids := func(list ...tables.UpstreamID) []tables.UpstreamID { return list }
	for name, c := range map[string]struct {
		list, entered, covered, want []tables.UpstreamID
		differs                      bool
	}{
		"first":                          {nil, ids("b", "a"), nil, ids("a", "b"), true},
		"same":                           {ids("a", "b"), ids("a", "b"), nil, ids("a", "b"), false},
		"new server":                     {ids("a"), ids("a", "b"), nil, ids("a", "b"), true},
		"stopped, not covered":           {ids("a", "b"), ids("a"), nil, ids("a", "b"), false},
		"stopped and covered":            {ids("a", "b"), ids("a"), ids("b"), ids("a"), true},
		"covered, but its entry is back": {ids("a", "b"), ids("a", "b"), ids("b"), ids("a", "b"), false},
	} {
		next, differs := Members(c.list, c.entered, c.covered)
		assert.DeepEqual(t, next, c.want)
		assert.Equal(t, differs, c.differs, name)
	}
	assert.DeepEqual(t, Stopped(ids("a", "b", "c"), ids("a"), "c"), ids("b"))
}

// A group that is only just appearing must not be taken for one whose primary is gone.
func TestJudgeAbsent(t *testing.T) {
	const second = tables.Time(time.Second)
	for name, c := range map[string]struct {
		v    AbsentView
		want Cause
	}{
		"entries never read":           {AbsentView{Now: 100 * second, JoinedAt: second}, CauseNone},
		"no server":                    {AbsentView{Now: 100 * second, EntriesSince: second}, CauseNone},
		"first server just appeared":   {AbsentView{Now: 13 * second, EntriesSince: second, JoinedAt: 12 * second}, CauseNone},
		"primary may still appear":     {AbsentView{Now: 15 * second, EntriesSince: second, JoinedAt: 12 * second}, CauseNone},
		"primary did not appear":       {AbsentView{Now: 17 * second, EntriesSince: second, JoinedAt: 12 * second}, CauseGone},
		"ran before":                   {AbsentView{Now: 13 * second, EntriesSince: 10 * second, JoinedAt: 12 * second, Led: true}, CauseGone},
		"ran before, store just back":  {AbsentView{Now: 13 * second, EntriesSince: 12 * second, JoinedAt: second, Led: true}, CauseNone},
		"store back, primary unknown":  {AbsentView{Now: 17 * second, EntriesSince: 16 * second, JoinedAt: second}, CauseNone},
		"store back long ago, unknown": {AbsentView{Now: 30 * second, EntriesSince: 16 * second, JoinedAt: second}, CauseGone},
	} {
		assert.Equal(t, JudgeAbsent(c.v), c.want, name)
	}
}

// The newest held log has all acknowledged commits only if it reaches the end of the
// demoted primary's log.
func TestHasAllCommits(t *testing.T) {
	held := Held{Status: statement.ServerStatus{Received: tables.Position{LogTerm: 2, Index: 7}}}
	assert.Assert(t, HasAllCommits(held, tables.Position{LogTerm: 2, Index: 7}))
	assert.Assert(t, !HasAllCommits(held, tables.Position{LogTerm: 2, Index: 8}))
	assert.Assert(t, !HasAllCommits(held, tables.Position{}), "the primary was not demoted")
}

// A server that ended may be passed over only if nobody acknowledged commits after the
// demoted primary, which takes two servers that are not held.
func TestMayPassOver(t *testing.T) {
	for _, c := range []struct {
		n                 int
		lapsed, laterTerm bool
		want              bool
	}{
		{0, true, true, true}, {1, false, false, true}, {3, false, false, true},
		{1, true, false, true}, {2, true, false, false}, {1, false, true, false},
	} {
		assert.Equal(t, MayPassOver(c.n, c.lapsed, c.laterTerm), c.want, "%+v", c)
	}
}
