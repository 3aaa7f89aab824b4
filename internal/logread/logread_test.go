package logread

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const log = `
  8.9113 vm-1 time=2026-05-14T02:01:20.000Z level=INFO msg="fleet: The primary of a group changed." group=g1 primary="" before=s1 record=24
garbage
time=2026-05-14T02:01:21.000Z level=INFO msg="relay: Refused a statement." request=a1 group=g1 detail="no primary, \"x\" retry" took=3ms
time=2026-05-14T02:01:20.500Z level=INFO msg="fleet: The primary of a group changed." group=g2 primary=s9
time=2026-05-14T02:01:22.000Z level=INFO msg="relay: Refused a statement." request=a2 group=g2
time=2026-05-14T02:00:00.000Z level=INFO msg="entry: Started." vm=vm-1
`

func lines(t *testing.T) []Line {
	t.Helper()
	out, err := Read("log", strings.NewReader(log))
	assert.NilError(t, err)
	assert.Equal(t, len(out), 5)
	return out
}

func TestReadSplitsLines(t *testing.T) {
	l := lines(t)
	assert.Equal(t, l[0].Source, "log 8.9113 vm-1")
	assert.Equal(t, l[0].Part, "fleet")
	assert.Equal(t, l[0].Value("before"), "s1")
	assert.Equal(t, l[1].Value("detail"), `no primary, "x" retry`)
	assert.Equal(t, l[1].Value("took"), "3ms")
}

func TestStoryJoinsARequestWithWhatItsGroupWentThrough(t *testing.T) {
	story := RequestLines(lines(t), "a1")
	assert.Equal(t, len(story), 2)
	assert.Equal(t, story[0].Message, "The primary of a group changed.")
	assert.Equal(t, story[0].Value("group"), "g1")
	assert.Equal(t, story[1].Value("request"), "a1")
	assert.Equal(t, len(RequestLines(lines(t), "unknown")), 0)
}

func TestTimelineIsInOrderAndOfOneGroup(t *testing.T) {
	all := Timeline(lines(t), "")
	assert.Equal(t, len(all), 3)
	assert.Equal(t, all[0].Message, "Started.")
	assert.Equal(t, len(Timeline(lines(t), "g2")), 2)
}
