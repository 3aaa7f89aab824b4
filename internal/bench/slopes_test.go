package bench

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSlopeFitsLine(t *testing.T) {
	s := newSlope("cost", "B", "groups", []SlopePoint{{1, 5}, {2, 7}, {4, 11}})
	assert.Assert(t, math.Abs(s.Fixed-3) < 1e-9 && math.Abs(s.PerUnit-2) < 1e-9 && math.Abs(s.Fit-1) < 1e-9, "%+v", s)
	assert.Assert(t, math.Abs(s.At(10)-23) < 1e-9)
	scattered := newSlope("cost", "B", "groups", []SlopePoint{{1, 5}, {2, 1}, {4, 5}})
	assert.Assert(t, scattered.Fit < 0.5)

	var text, lines bytes.Buffer
	assert.NilError(t, WriteSlopesText(&text, []Slope{s, scattered}))
	assert.Equal(t, strings.Count(text.String(), "\n"), 3)
	assert.NilError(t, WriteSlopesJSON(&lines, []Slope{s, scattered}))
	assert.Equal(t, strings.Count(lines.String(), "\n"), 2)
}

func TestControlCoreReachesSteadyState(t *testing.T) {
	c := newControlCore(4, true)
	c.run(coreWarmUp, coreTick, func() {})
	assert.Equal(t, c.writes, 4*3)
	assert.Assert(t, c.probes > 0)
	before := c.writes
	c.run(10*time.Second, coreTick, func() {})
	assert.Equal(t, c.writes, before)
	assert.Equal(t, c.world.Coordinations.Len(), 0)
}
