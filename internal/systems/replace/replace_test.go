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
		"answers":                     {View{Now: now}, CauseNone},
		"leaving":                     {View{Now: now, Leaving: true}, CauseLeaving},
		"entry missing for a moment":  {View{Now: now, MissingSince: ago(MissingTimeout - 1)}, CauseNone},
		"entry missing for long":      {View{Now: now, MissingSince: ago(MissingTimeout)}, CauseGone},
		"one refusal":                 {View{Now: now, RefusedSince: ago(refusedSpan - 1)}, CauseNone},
		"refusing":                    {View{Now: now, RefusedSince: ago(refusedSpan)}, CauseRefused},
		"slow":                        {View{Now: now, SilentSince: ago(silentSpan - 1)}, CauseNone},
		"silent":                      {View{Now: now, SilentSince: ago(silentSpan)}, CauseSilent},
		"deposed for a moment":        {View{Now: now, DeposedSince: ago(deposedSpan - 1)}, CauseNone},
		"deposed":                     {View{Now: now, DeposedSince: ago(deposedSpan)}, CauseDeposed},
		"a commit waits":              {View{Now: now, CommitSince: ago(commitSpan - 1)}, CauseNone},
		"no commit ends":              {View{Now: now, CommitSince: ago(commitSpan)}, CauseNoCommits},
		"leaving comes before silent": {View{Now: now, Leaving: true, SilentSince: ago(silentSpan)}, CauseLeaving},
	} {
		assert.Equal(t, Judge(c.view), c.want, name)
	}
}

func TestProofIsNeededWhereThePathMayBeToBlame(t *testing.T) {
	for _, c := range []Cause{CauseRefused, CauseSilent, CauseNoCommits} {
		assert.Assert(t, c.NeedsReplicaCheck(), c.String())
	}
	for _, c := range []Cause{CauseLeaving, CauseGone, CauseDeposed, CauseUnfinished} {
		assert.Assert(t, !c.NeedsReplicaCheck(), c.String())
	}
}

func held(id string, received, applied tables.Position, leaving bool) Held {
	return Held{ID: tables.UpstreamID(id), Leaving: leaving, Status: statement.ServerStatus{Received: received, Applied: applied}}
}

func pos(term, index uint64) tables.Position {
	return tables.Position{LogTerm: tables.Term(term), Index: index}
}

func TestCandidate(t *testing.T) {
	for name, c := range map[string]struct {
		held []Held
		want tables.UpstreamID
	}{
		"newest log":                        {[]Held{held("a", pos(1, 5), pos(1, 5), false), held("b", pos(1, 6), pos(1, 6), false)}, "b"},
		"term before number":                {[]Held{held("a", pos(1, 9), pos(1, 9), false), held("b", pos(2, 3), pos(2, 3), false)}, "b"},
		"newest log, although it leaves":    {[]Held{held("a", pos(1, 6), pos(1, 6), true), held("b", pos(1, 5), pos(1, 5), false)}, "a"},
		"one that stays among equals":       {[]Held{held("a", pos(1, 6), pos(1, 1), true), held("b", pos(1, 6), pos(1, 6), false)}, "b"},
		"the one that lags among equals":    {[]Held{held("a", pos(1, 6), pos(1, 6), false), held("b", pos(1, 6), pos(1, 2), false)}, "b"},
		"received counts more than applied": {[]Held{held("a", pos(1, 7), pos(1, 7), false), held("b", pos(1, 6), pos(1, 2), false)}, "a"},
	} {
		best, ok := Candidate(c.held)
		assert.Assert(t, ok)
		assert.Equal(t, best.ID, c.want, name)
	}
	_, ok := Candidate(nil)
	assert.Assert(t, !ok)
}

func TestNextTermIsAboveAllThatIsKnown(t *testing.T) {
	next := NextTerm(3, statement.ServerStatus{Term: 4, Held: 7, Received: pos(2, 9)}, statement.ServerStatus{Term: 5})
	assert.Equal(t, next, tables.Term(8))
}

func TestOrderWaitsForTheLeaseAndTheClaim(t *testing.T) {
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
		"newcomer":                       {ids("a"), ids("a", "b"), nil, ids("a", "b"), true},
		"ended, not covered":             {ids("a", "b"), ids("a"), nil, ids("a", "b"), false},
		"ended and covered":              {ids("a", "b"), ids("a"), ids("b"), ids("a"), true},
		"covered, but its entry is back": {ids("a", "b"), ids("a", "b"), ids("b"), ids("a", "b"), false},
	} {
		next, differs := Members(c.list, c.entered, c.covered)
		assert.DeepEqual(t, next, c.want)
		assert.Equal(t, differs, c.differs, name)
	}
	assert.DeepEqual(t, Stopped(ids("a", "b", "c"), ids("a"), "c"), ids("b"))
}
