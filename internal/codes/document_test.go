package codes

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	documentPath = "../../docs/RESULT-CODES.md"
	tableBegin   = "<!-- table: go test ./internal/codes -write-table -->\n"
	tableEnd     = "<!-- end of table -->\n"
)

var writeTable = flag.Bool("write-table", false, "write the table into "+documentPath)

func renderTable() string {
	var b strings.Builder
	b.WriteString("| code | name | SQLSTATE | meaning |\n| --- | --- | --- | --- |\n")
	for _, in := range All {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", in.Code, in.Name, in.SQLState, in.Text)
	}
	return b.String()
}

// TestDocumentContainsTheTable compares docs/RESULT-CODES.md with All. With
// -write-table it updates the document instead.
func TestDocumentContainsTheTable(t *testing.T) {
	page, err := os.ReadFile(documentPath)
	assert.NilError(t, err)
	head, rest, ok := strings.Cut(string(page), tableBegin)
	assert.Assert(t, ok, "start of the table is missing")
	table, tail, ok := strings.Cut(rest, tableEnd)
	assert.Assert(t, ok, "end of the table is missing")
	if *writeTable {
		text := head + tableBegin + renderTable() + tableEnd + tail
		assert.NilError(t, os.WriteFile(documentPath, []byte(text), 0o644))
		return
	}
	assert.Equal(t, table, renderTable())
}
