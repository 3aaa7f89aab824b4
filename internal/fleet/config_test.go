package fleet

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// A configuration that can't be decoded must leave the one in force, with its keys, and
// mistakes in one that is used must be logged, but not thousands of lines of them.
func TestFaultyConfigurations(t *testing.T) {
	f := newFleetUnderTest()
	var log bytes.Buffer
	f.log = slog.New(slog.NewTextHandler(&log, nil))
	var next *tables.Routing
	f.Codec.Config = func([]byte) (*tables.Routing, error) {
		if next == nil {
			return nil, errors.New("tenant 3 has no usable name")
		}
		return next, nil
	}
	next = &tables.Routing{Version: 1, Problems: []string{"mistake 0"}}
	f.applyConfig(platform.TableRow{})
	assert.Equal(t, strings.Count(log.String(), "Found a mistake in the configuration"), 1)
	inForce := next
	next = nil
	f.applyConfig(platform.TableRow{})
	assert.Equal(t, f.Routing(), inForce)
	assert.Assert(t, strings.Contains(log.String(), "tenant 3 has no usable name"))
	log.Reset()
	next = &tables.Routing{Version: 2}
	for i := range 5000 {
		next.Problems = append(next.Problems, fmt.Sprintf("mistake %d", i))
	}
	f.applyConfig(platform.TableRow{})
	assert.Equal(t, f.Routing(), next)
	assert.Equal(t, strings.Count(log.String(), "Found a mistake in the configuration"), maxProblemLines)
	assert.Assert(t, strings.Contains(log.String(), "problems=5000"))
}
