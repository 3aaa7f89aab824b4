package runplot

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/burn"
	"github.com/cranberrystage/cranberrystage/internal/logread"
	"gotest.tools/v3/assert"
)

const log = `time=2026-03-01T12:00:00.1Z level=INFO msg="entry: Started." vm=a
time=2026-03-01T12:00:00.2Z level=INFO msg="fleet: Put a configuration in force." version=3
time=2026-03-01T12:00:00.3Z level=INFO msg="fleet: Put a configuration in force." version=3
time=2026-03-01T12:00:02.1Z level=INFO msg="relay: Refused a statement." request=1 reason=201
time=2026-03-01T12:00:02.2Z level=INFO msg="relay: Refused a statement." request=2 reason=201
time=2026-03-01T12:00:02.3Z level=INFO msg="relay: Answered a statement late." request=3
time=2026-03-01T12:00:02.4Z level=INFO msg="fleet: Replaced a primary." group=<g>
time=2026-03-01T12:00:03.5Z level=INFO msg="entry: Isolation changed." isolated=true
time=2026-03-01T12:00:03.6Z level=INFO msg="entry: Isolation changed." isolated=false
`

func collect(t *testing.T) *Run {
	t.Helper()
	lines, err := logread.Read("a.log", strings.NewReader(log))
	assert.NilError(t, err)
	r, err := Collect(lines, time.Second)
	assert.NilError(t, err)
	return r
}

func TestCollectCountsLinesBySpan(t *testing.T) {
	r := collect(t)
	assert.DeepEqual(t, r.Bins, []Bin{{Started: 1}, {}, {Refused: 2, Late: 1}, {Isolated: 1}})
	assert.Equal(t, len(r.Marks), 2)
	assert.Equal(t, r.Marks[0].Label, "config 3")
	assert.Equal(t, r.Marks[1].Label, "<g> replaced")
	_, err := Collect(nil, time.Second)
	assert.Equal(t, err, ErrEmpty)
}

func TestAddMetricsSetsServed(t *testing.T) {
	r := collect(t)
	h := &burn.History{}
	for i, n := range []string{"5", "9", "9", "20"} {
		text := `# TYPE cranberrystage_requests_total counter
cranberrystage_requests_total{service="s",database="d",kind="read",served_by="replica",code="0"} ` + n + "\n"
		s, err := burn.Parse("a", r.From.Add(time.Duration(i)*time.Second), strings.NewReader(text))
		assert.NilError(t, err)
		h.Add(s)
	}
	r.AddMetrics(h)
	assert.Assert(t, r.HasMetrics)
	assert.Equal(t, r.Bins[0].Served, 4.0)
	assert.Equal(t, r.Bins[1].Served, 0.0)
	assert.Equal(t, r.Bins[2].Served, 11.0)
}

func TestSVGIsWellFormed(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, collect(t).WriteSVG(&out))
	assert.Assert(t, strings.Contains(out.String(), "&lt;g&gt; replaced"))
	dec := xml.NewDecoder(&out)
	for {
		_, err := dec.Token()
		if err == io.EOF {
			return
		}
		assert.NilError(t, err)
	}
}
