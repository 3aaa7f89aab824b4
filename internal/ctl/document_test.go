package ctl

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDocumentListsEveryExitCode checks that docs/OPERATIONS.md lists each exit
// code and no others.
func TestDocumentListsEveryExitCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, table, ok := strings.Cut(string(page), "| `cranberrystage-ctl` | meaning |")
	assert.Assert(t, ok)
	table, _, _ = strings.Cut(table, "\n\n")
	for code := ExitOK; code <= ExitNothingToChange; code++ {
		assert.Assert(t, strings.Contains(table, fmt.Sprintf("\n| %d | ", code)), "exit code %d", code)
	}
	assert.Equal(t, strings.Count(table, "\n| "), ExitNothingToChange+2)
}
