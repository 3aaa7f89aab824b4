package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/confcheck"
	"github.com/cranberrystage/cranberrystage/platform/routes"
	"gotest.tools/v3/assert"
)

func runCheck(args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	code = Run(context.Background(), append([]string{"check"}, args...), Env{Stdout: &stdout, Stderr: &stderr, CheckPlatform: routes.Check})
	return code, stdout.String(), stderr.String()
}

func TestCheckPlatformExitCodes(t *testing.T) {
	const dir = "../../platform/routes/testdata/check/"
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{dir + "good.json"}, 0},
		{[]string{dir + "less.json", "--against", dir + "good.json"}, 0},
		{[]string{dir + "bad.json"}, 1},
		{[]string{dir + "bad.txt"}, 2},
		{[]string{dir + "absent.json"}, 2},
		{[]string{dir + "good.json", "--against", dir + "bad.txt"}, 2},
	} {
		for _, flag := range []string{"--no-json", "--json"} {
			code, out, errText := runCheck(append(c.args, "--platform", flag)...)
			assert.Equal(t, code, c.want, "%v: %s", c.args, errText)
			assert.Assert(t, !strings.Contains(out+errText, "SECRET"), "a key is printed")
			var r confcheck.Report
			assert.Equal(t, json.Unmarshal([]byte(out), &r) == nil, flag == "--json" && code != 2, out)
			assert.Equal(t, errText != "", code == 2)
		}
	}
}

func TestCheckDeclarations(t *testing.T) {
	const sample = "../../deploy/batbayar"
	code, out, _ := runCheck(sample)
	assert.Equal(t, code, 0, out)
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS(sample)))
	path := filepath.Join(dir, "services.jsonc")
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	change := func(old, new string) {
		t.Helper()
		changed := strings.Replace(string(data), old, new, 1)
		assert.Assert(t, changed != string(data))
		assert.NilError(t, os.WriteFile(path, []byte(changed), 0o600))
	}
	change(`"stock2": "stock2"`, `"stock9": "stock2"`)
	code, out, _ = runCheck(dir, "--against", sample)
	assert.Equal(t, code, 0, out)
	assert.Equal(t, strings.Count(out, "change: "), 1, "one line for one entry: %s", out)
	assert.Assert(t, strings.Contains(out, "Database stock2 closes") && strings.Contains(out, "callers: "), out)
	change(`"deadline": "5s"`, `"deadline": "1ms"`)
	code, out, _ = runCheck(dir)
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(out, "objectives") && strings.Contains(out, "longer than the service's deadline"), out)
	change(`{`, `[`)
	code, _, errText := runCheck(dir)
	assert.Equal(t, code, 2, errText)
}
