package ack

import (
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

var members = []tables.UpstreamID{"a", "b", "c"}

func replica(fenced, logTerm tables.Term, index uint64) tables.Status {
	return tables.Status{Fenced: fenced, Last: tables.Position{LogTerm: logTerm, Index: index}}
}

func primary(fenced tables.Term, index uint64) tables.Status {
	s := replica(fenced, fenced, index)
	s.Role = tables.RolePrimary
	return s
}

func commit(id uint64, term tables.Term, index uint64) Commit {
	return Commit{ID: id, Primary: "a", Term: term, Position: tables.Position{LogTerm: term, Index: index}}
}

func TestCovered(t *testing.T) {
	five := []tables.UpstreamID{"a", "b", "c", "d", "e"}
	cases := []struct {
		name    string
		members []tables.UpstreamID
		reports []Report
		want    bool
	}{
		{"nobody answered", members, nil, false},
		{"replica holds it", members, []Report{{Upstream: "b", Status: replica(3, 3, 9)}}, true},
		{"replica is beyond it", members, []Report{{Upstream: "b", Status: replica(3, 3, 12)}}, true},
		{"replica is behind", members, []Report{{Upstream: "b", Status: replica(3, 3, 8)}}, false},
		{"replica is fenced higher", members, []Report{{Upstream: "b", Status: replica(4, 3, 9)}}, false},
		{"replica is fenced lower", members, []Report{{Upstream: "b", Status: replica(2, 3, 9)}}, false},
		{"replica ends in an older term", members, []Report{{Upstream: "b", Status: replica(3, 2, 20)}}, false},
		{"replica ends in a newer term", members, []Report{{Upstream: "b", Status: replica(3, 4, 20)}}, false},
		{"the primary counts once", members, []Report{{Upstream: "a", Status: primary(3, 9)}}, false},
		{"an upstream of another group", members, []Report{{Upstream: "x", Status: replica(3, 3, 9)}}, false},
		{"one of five", five, []Report{{Upstream: "b", Status: replica(3, 3, 9)}}, false},
		{"the same one of five twice", five, []Report{{Upstream: "b", Status: replica(3, 3, 9)}, {Upstream: "b", Status: replica(3, 3, 9)}}, false},
		{"two of five", five, []Report{{Upstream: "b", Status: replica(3, 3, 9)}, {Upstream: "e", Status: replica(3, 3, 9)}}, true},
		{"a group of one", []tables.UpstreamID{"a"}, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Covered(commit(1, 3, 9), c.members, c.reports), c.want)
		})
	}
}

func TestConfirm(t *testing.T) {
	read := Report{Upstream: "a", SentAt: 100, Status: primary(3, 9)}
	cases := []struct {
		name    string
		read    Report
		reports []Report
		want    bool
	}{
		{"nobody else answered", read, nil, false},
		{"another server asked after", read, []Report{{Upstream: "b", SentAt: 100, Status: replica(3, 2, 1)}}, true},
		{"another server asked before", read, []Report{{Upstream: "b", SentAt: 99, Status: replica(3, 3, 9)}}, false},
		{"another server fenced higher", read, []Report{{Upstream: "b", SentAt: 101, Status: replica(4, 3, 9)}}, false},
		{"another server fenced lower", read, []Report{{Upstream: "b", SentAt: 101, Status: replica(2, 2, 9)}}, false},
		{"the primary itself", read, []Report{{Upstream: "a", SentAt: 101, Status: primary(3, 9)}}, false},
		{"read of a replica", Report{Upstream: "a", SentAt: 100, Status: replica(3, 3, 9)}, []Report{{Upstream: "b", SentAt: 101, Status: replica(3, 3, 9)}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			point, ok := Confirm(c.read, members, c.reports)
			assert.Equal(t, ok, c.want)
			if ok {
				assert.Equal(t, point, tables.ConfirmedPoint{Term: 3, Position: read.Status.Last, SentAt: 100})
			}
		})
	}
}

func TestTrackerAcknowledgesInTwoPhases(t *testing.T) {
	tr := NewTracker(members)
	tr.Commit(commit(1, 3, 9))
	tr.Commit(commit(2, 3, 10))
	assert.DeepEqual(t, tr.Start(), []StatusRequest{{1, "b"}, {1, "c"}})
	assert.Assert(t, tr.Start() == nil)

	tr.Commit(commit(3, 3, 11))
	assert.DeepEqual(t, tr.Answer(1, "c", replica(3, 3, 11)), []StatusRequest{{1, "a"}})
	assert.Assert(t, tr.Done() == nil)
	assert.Assert(t, tr.Answer(1, "b", replica(3, 3, 11)) == nil)
	assert.Assert(t, tr.Answer(1, "a", primary(3, 11)) == nil)

	assert.DeepEqual(t, tr.Done(), []Result{{1, Acknowledged}, {2, Acknowledged}})
	assert.Equal(t, tr.Waiting(), 1)
}

func TestTrackerLeavesUncoveredCommitsWaiting(t *testing.T) {
	tr := NewTracker(members)
	tr.Commit(commit(1, 3, 9))
	tr.Commit(commit(2, 3, 10))
	tr.Start()
	assert.Equal(t, len(tr.Answer(1, "b", replica(3, 3, 9))), 1)
	tr.Answer(1, "a", primary(3, 10))
	assert.DeepEqual(t, tr.Done(), []Result{{1, Acknowledged}})
	assert.Equal(t, tr.Waiting(), 1)
	assert.DeepEqual(t, tr.Start(), []StatusRequest{{2, "b"}, {2, "c"}})
}

func TestTrackerEndsARoundThatCoversNothing(t *testing.T) {
	tr := NewTracker(members)
	tr.Commit(commit(1, 3, 9))
	tr.Start()
	tr.Answer(1, "b", replica(3, 3, 8))
	assert.Assert(t, tr.Active())
	tr.Fail(1, "c")
	assert.Assert(t, !tr.Active())
	assert.Equal(t, tr.Waiting(), 1)
}

func TestTrackerAsksAReplicaThatLagsAgain(t *testing.T) {
	tr := NewTracker(members)
	assert.Assert(t, tr.Retry() == nil)
	tr.Commit(commit(1, 3, 9))
	tr.Start()
	assert.Equal(t, len(tr.Retry()), 0)
	tr.Answer(1, "b", replica(3, 3, 8))
	assert.DeepEqual(t, tr.Retry(), []StatusRequest{{1, "b"}})
	assert.Equal(t, len(tr.Retry()), 0)
	assert.DeepEqual(t, tr.Answer(1, "b", replica(3, 3, 9)), []StatusRequest{{1, "a"}})
	assert.Assert(t, tr.Retry() == nil)
}

func TestTrackerIgnoresAnswersOfEarlierRounds(t *testing.T) {
	tr := NewTracker(members)
	tr.Commit(commit(1, 3, 9))
	tr.Start()
	tr.Abort()
	tr.Commit(commit(2, 3, 10))
	tr.Start()
	assert.Assert(t, tr.Answer(1, "b", replica(3, 3, 10)) == nil)
	assert.Equal(t, len(tr.Answer(2, "b", replica(3, 3, 10))), 1)
	assert.Assert(t, tr.Answer(1, "a", primary(3, 10)) == nil)
	assert.Assert(t, tr.Done() == nil)
}

func TestTrackerReportsReplaced(t *testing.T) {
	cases := []struct {
		name   string
		status tables.Status
	}{
		{"primary fenced higher", primary(4, 9)},
		{"primary is a replica now", replica(3, 3, 9)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker(members)
			tr.Commit(commit(1, 3, 9))
			tr.Start()
			tr.Answer(1, "b", replica(3, 3, 9))
			tr.Answer(1, "a", c.status)
			assert.DeepEqual(t, tr.Done(), []Result{{1, Replaced}})
		})
	}
	t.Run("a later primary stands", func(t *testing.T) {
		tr := NewTracker(members)
		tr.Commit(commit(1, 3, 9))
		tr.Start()
		tr.Answer(1, "b", replica(3, 3, 9))
		tr.Replace(4)
		tr.Answer(1, "a", primary(3, 9))
		assert.DeepEqual(t, tr.Done(), []Result{{1, Replaced}})
		assert.Equal(t, tr.Waiting(), 0)
	})
	t.Run("commit under an older term", func(t *testing.T) {
		tr := NewTracker(members)
		tr.Replace(4)
		tr.Commit(commit(1, 3, 9))
		assert.DeepEqual(t, tr.Done(), []Result{{1, Replaced}})
	})
}

func TestTrackerForgetsCancelledCommits(t *testing.T) {
	tr := NewTracker(members)
	tr.Commit(commit(1, 3, 9))
	tr.Start()
	tr.Cancel(1)
	tr.Answer(1, "b", replica(3, 3, 9))
	tr.Answer(1, "a", primary(3, 9))
	assert.Assert(t, tr.Done() == nil)

	tr.Commit(commit(2, 3, 10))
	tr.Replace(4)
	tr.Cancel(2)
	assert.Equal(t, len(tr.Done()), 0)
}

func TestTrackerOfOneServerAsksThePrimary(t *testing.T) {
	tr := NewTracker([]tables.UpstreamID{"a"})
	tr.Commit(commit(1, 3, 9))
	assert.DeepEqual(t, tr.Start(), []StatusRequest{{1, "a"}})
	tr.Answer(1, "a", primary(3, 9))
	assert.DeepEqual(t, tr.Done(), []Result{{1, Acknowledged}})
}
