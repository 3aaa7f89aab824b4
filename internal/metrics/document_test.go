package metrics

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDocumentNamesEveryMetric checks that docs/OPERATIONS.md lists the metrics.
func TestDocumentNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, name := range []string{RequestsTotal, RequestSeconds, ReadAgeSeconds, WriteGapSeconds, ConfigVersion, ConfigVersionKnown, StoreEra, UnconfirmedGroups, CallerConnections, CallerErrorsTotal, TeamOperationsTotal, TeamTokensTotal,
		ForwardableReadsTotal, ForwardHopSeconds, ForwardRefusalsTotal, ForwardMalformedTotal, RampsTotal, RampSeconds, ReceiptChecksTotal} {
		assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), name)
	}
}
