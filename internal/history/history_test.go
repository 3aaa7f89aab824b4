package history

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

func put(session string, version uint64, outcome Outcome, start, end time.Duration) Op {
	return Op{Kind: KindPut, Session: session, Key: "k", Version: version, Outcome: outcome, Start: start, End: end}
}

func read(session string, version uint64, maxAge, start time.Duration) Op {
	op := Op{Kind: KindRead, Session: session, Key: "k", Outcome: Acknowledged, MaxAge: maxAge, Start: start, End: start + 1}
	if version > 0 {
		op.Saw = Value("k", version)
	}
	return op
}

func insert(outcome Outcome) Op {
	return Op{Kind: KindInsert, Session: "s", Key: "i", Outcome: outcome, Start: 1, End: 2}
}

func count(kind Kind, n int) Op {
	return Op{Kind: kind, Session: "r", Key: "i", Outcome: Acknowledged, Start: 5, End: 6, Count: n}
}

func finalRead(version uint64) Op {
	op := read("", version, 0, 100*second)
	op.Kind = KindFinalRead
	return op
}

func TestCheckFindsEachViolation(t *testing.T) {
	foreign := read("r", 1, 0, 5)
	foreign.Saw = Value("other", 1)
	duplicate := put("s", 1, Unknown, 1, 2)
	duplicate.DuplicateKey = true
	for _, c := range []struct {
		name string
		ops  []Op
		want Promise
	}{
		{"acknowledged item missing", []Op{insert(Acknowledged), count(KindFinalCount, 0)}, LostWrite},
		{"acknowledged version missing", []Op{put("s", 1, Acknowledged, 1, 2), put("s", 2, Acknowledged, 3, 4), finalRead(1)}, LostWrite},
		{"item twice", []Op{insert(Acknowledged), count(KindFinalCount, 2)}, DoubledWrite},
		{"unknown item twice", []Op{insert(Unknown), count(KindFinalCount, 2)}, DoubledWrite},
		{"item twice before the end", []Op{insert(Acknowledged), count(KindCount, 2)}, DoubledWrite},
		{"key already exists", []Op{duplicate}, DoubledWrite},
		{"not-run item present", []Op{insert(NotRun), count(KindFinalCount, 1)}, NotRunButRan},
		{"not-run version present", []Op{put("s", 1, NotRun, 1, 2), finalRead(1)}, NotRunButRan},
		{"not-run version read", []Op{put("s", 1, NotRun, 1, 2), read("r", 1, 0, 5)}, NotRunButRan},
		{"own version missing", []Op{put("s", 1, Acknowledged, 1, 2), read("s", 0, 9*second, 5)}, OwnWriteUnseen},
		{"older than declared", []Op{put("s", 1, Acknowledged, 1, 2), read("r", 0, second, 2*second)}, Stale},
		{"newest requested", []Op{put("s", 1, Acknowledged, 1, 2), read("r", 0, 0, 3)}, Stale},
		{"item not counted", []Op{insert(Acknowledged), count(KindCount, 0)}, Stale},
		{"value of another key", []Op{put("s", 1, Acknowledged, 1, 2), foreign}, WrongAnswer},
		{"never written", []Op{read("r", 7, 0, 5)}, WrongAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Check(c.ops)
			assert.Assert(t, r.Count(c.want) > 0, "%+v", r)
		})
	}
}

func TestAllowedHistoriesPass(t *testing.T) {
	for _, c := range []struct {
		name string
		ops  []Op
	}{
		{"within the age", []Op{put("s", 1, Acknowledged, 1, 2), read("r", 0, second, second)}},
		{"read began before the write ended", []Op{put("s", 1, Acknowledged, 1, 9), read("r", 0, 0, 5)}},
		{"unknown write seen", []Op{put("s", 1, Unknown, 1, 2), read("r", 1, 0, 5), finalRead(1)}},
		{"unknown write absent", []Op{put("s", 1, Unknown, 1, 2), read("s", 0, 0, 5), finalRead(0)}},
		{"unknown item", []Op{insert(Unknown), count(KindFinalCount, 1)}},
		{"not-run item", []Op{insert(NotRun), count(KindFinalCount, 0)}},
		{"newer than requested", []Op{put("s", 1, Acknowledged, 1, 2), put("s", 2, Acknowledged, 3, 4), read("r", 2, 9*second, 5), finalRead(2)}},
		{"failed read", []Op{put("s", 1, Acknowledged, 1, 2), {Kind: KindRead, Key: "k", Outcome: NotRun, Start: 5}}},
	} {
		r := Check(c.ops)
		assert.Equal(t, len(r.Violations), 0, "%s: %+v", c.name, r.Violations)
	}
}

func TestCounts(t *testing.T) {
	r := Check([]Op{insert(Acknowledged), count(KindFinalCount, 1), put("s", 1, Acknowledged, 1, 2), put("s", 2, NotRun, 3, 4), put("s", 3, Unknown, 5, 6), read("r", 1, 0, 3)})
	assert.Equal(t, r.Acknowledged, 2)
	assert.Equal(t, r.Found, 1)
	assert.Equal(t, r.Unverified, 1)
	assert.Equal(t, r.NotRunWrites, 1)
	assert.Equal(t, r.UnknownWrites, 1)
	assert.Equal(t, r.Reads, 1)
}

func TestJSONLines(t *testing.T) {
	ops := []Op{put("s", 1, Acknowledged, 1, 2), read("r", 1, second, 5), count(KindFinalCount, 2)}
	var buf bytes.Buffer
	assert.NilError(t, Write(&buf, ops))
	got, err := Read(bytes.NewReader(buf.Bytes()))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, ops)
	_, err = Read(bytes.NewBufferString("{}\n{"))
	assert.ErrorContains(t, err, "record 2")
}
