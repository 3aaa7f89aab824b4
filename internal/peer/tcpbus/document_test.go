package tcpbus

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDocumentNamesEveryMetric checks that docs/OPERATIONS.md lists every counter.
func TestDocumentNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, m := range metrics {
		assert.Assert(t, strings.Contains(string(page), "`cranberrystage_peer_"+m.name+"`"), m.name)
	}
}
