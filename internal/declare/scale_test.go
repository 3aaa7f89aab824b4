package declare

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// writeGroups writes declarations of one service with n databases into a new directory.
func writeGroups(b *testing.B, n int) string {
	b.Helper()
	dir := b.TempDir()
	assert.NilError(b, os.CopyFS(dir, os.DirFS(batbayar)))
	var groups, databases strings.Builder
	for g := range n {
		fmt.Fprintf(&databases, "\"db%d\": \"g%d\",\n", g, g)
		fmt.Fprintf(&groups, "{\"id\": \"g%d\", \"firstPrimary\": \"g%d-0\", \"upstreams\": [\n", g, g)
		for u := range 3 {
			fmt.Fprintf(&groups, "{\"id\": \"g%d-%d\", \"dataCentre\": \"ub-east\", \"address\": \"10.%d.%d.%d:5432\", \"slots\": 3, \"connections\": 20},\n",
				g, u, g/250, g%250, u+1)
		}
		groups.WriteString("]},\n")
	}
	services := fmt.Sprintf(`{"services": [{"name": "stock-ledger", "databases": {%s}, "deadline": "5s", "queueLimit": 200, "weight": 1}]}`, databases.String())
	assert.NilError(b, os.WriteFile(filepath.Join(dir, "services.jsonc"), []byte(services), 0o600))
	assert.NilError(b, os.WriteFile(filepath.Join(dir, "groups.jsonc"), []byte("{\"groups\": [\n"+groups.String()+"]}"), 0o600))
	return dir
}

func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{36, 360, 3600} {
		b.Run(fmt.Sprintf("databases=%d", n), func(b *testing.B) {
			dir := writeGroups(b, n)
			b.ReportAllocs()
			for b.Loop() {
				_, err := Load(dir)
				assert.NilError(b, err)
			}
		})
	}
}
