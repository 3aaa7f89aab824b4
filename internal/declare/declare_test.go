package declare

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/jsonc"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const (
	batbayar = "../../deploy/batbayar"
	agency   = "../../deploy/agency"
)

func TestLoadMergesDirectoriesInAnyOrder(t *testing.T) {
	one, err := Load(batbayar)
	assert.NilError(t, err)
	assert.Equal(t, len(one.Groups), 3)
	both, err := Load(batbayar, agency)
	assert.NilError(t, err)
	assert.Equal(t, len(both.Groups), 6)
	assert.Equal(t, len(both.Services), 2)

	swapped, err := Load(agency, batbayar)
	assert.NilError(t, err)
	assert.Equal(t, hash(t, both), hash(t, swapped))
}

func hash(t *testing.T, doc config.Document) string {
	t.Helper()
	_, h, err := doc.Encode()
	assert.NilError(t, err)
	return h
}

func TestLoadMarksLeavingUpstreams(t *testing.T) {
	dir := copySample(t)
	write(t, dir, "leaving.jsonc", `{"leavingUpstreams": ["stock2-b"]}`)
	doc, err := Load(dir)
	assert.NilError(t, err)
	assert.Assert(t, doc.Groups[1].Upstreams[1].Leaving)
	assert.Assert(t, !doc.Groups[1].Upstreams[0].Leaving)
}

// TestLoadReportsEachMistake changes one value of the sample at a time and expects
// the problem to be reported with its position.
func TestLoadReportsEachMistake(t *testing.T) {
	cases := []struct{ file, old, new, want string }{
		{"services.jsonc", `"stock1": "stock1"`, `"stock1": "nowhere"`, `services.jsonc:8:19: services[0].databases.stock1: unknown group "nowhere"`},
		{"services.jsonc", `"stock2": "stock2"`, `"stock2": "stock1"`, `services[0].databases.stock2: group "stock1" already serves database "stock-ledger/stock1"`},
		{"services.jsonc", `"deadline": "5s"`, `"deadline": "0s"`, "services[0].deadline: must be longer than 0"},
		{"services.jsonc", `"deadline": "5s"`, `"deadline": "5"`, `services[0].deadline: not a duration: "5"`},
		{"services.jsonc", `"weight": 1`, `"weight": 0`, "services[0].weight: must be at least 1"},
		{"services.jsonc", `"queueLimit": 200`, `"queueLimit": 0`, "services[0].queueLimit: must be at least 1"},
		{"services.jsonc", `"maxAge": "5s"`, `"maxAge": "-5s"`, "services[0].intents[0].maxAge: must not be negative"},
		{"services.jsonc", `"name": "restock"`, `"name": "order"`, `services[0].intents[2].name: duplicate intent "order"`},
		{"services.jsonc", `"target": 0.6`, `"target": 1.0`, "services[0].objectives[3].target: must lie between"},
		{"services.jsonc", `"promise": "age"`, `"promise": "agee"`, "services[0].objectives[2].promise: want one of"},
		{"services.jsonc", `, "threshold": "50ms"`, ``, "services[0].objectives[1].threshold: latency needs a threshold"},
		{"groups.jsonc", `"id": "stock2"`, `"id": "stock1"`, `groups[1].id: duplicate group "stock1", also at`},
		{"groups.jsonc", `"id": "stock2-a"`, `"id": "stock1-a"`, `groups[1].upstreams[0].id: duplicate upstream "stock1-a"`},
		{"groups.jsonc", `"firstPrimary": "stock3-a"`, `"firstPrimary": "stock2-a"`, `groups[2].firstPrimary: "stock2-a" is not an upstream of the group`},
		{"groups.jsonc", `"slots": 3, "connections": 20`, `"slots": 3, "connections": 2`, "groups[0].upstreams[0].slots: 3 slots need as many connections"},
		{"groups.jsonc", `127.0.0.1:7112`, `127.0.0.1:7111`, `also the address of upstream "stock1-a"`},
		{"groups.jsonc", `127.0.0.1:7112`, `localhost:7112`, `want IP:port, have "localhost:7112"`},
		{"groups.jsonc", `"dataCentre": "ub-east"`, `"dataCenter": "ub-east"`, "groups[0].upstreams[0].dataCenter: unknown field"},
		{"users.jsonc", `"stock-ledger"`, `"ledger"`, `users[0].services[0]: unknown service "ledger"`},
		{"users.jsonc", `"iterations": 4096`, `"iterations": 1`, "users[0].iterations: must be at least 4096"},
		{"operators.jsonc", `"publicKey": "`, `"publicKey": "AA`, "operators[0].publicKey: want the base64"},
		{"operators.jsonc", `{"name": "batbayar-demo"`, `// {`, "no file declares an operator"},
		{"leaving.jsonc", `"leavingUpstreams": []`, `"leavingUpstreams": ["stock9"]`, `leavingUpstreams[0]: unknown upstream "stock9"`},
		{"leaving.jsonc", `"leavingUpstreams": []`, `"leavingUpstreams": ["stock1-a", "stock1-b"]`, "groups[0].upstreams: a majority of the group's upstreams must not be leaving"},
	}
	for _, c := range cases {
		dir := copySample(t)
		replace(t, filepath.Join(dir, c.file), c.old, c.new)
		_, err := Load(dir)
		assert.ErrorContains(t, err, c.want)
	}
}

func TestLoadReportsProblemsOfAllFiles(t *testing.T) {
	dir := copySample(t)
	replace(t, filepath.Join(dir, "services.jsonc"), `"weight": 1`, `"weight": 0`)
	replace(t, filepath.Join(dir, "groups.jsonc"), `"firstPrimary": "stock3-a"`, `"firstPrimary": "x"`)
	_, err := Load(dir)
	var problems jsonc.Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.Equal(t, len(problems), 2)
}

func TestLoadReportsWrongTypesAndWrongValuesTogether(t *testing.T) {
	dir := copySample(t)
	replace(t, filepath.Join(dir, "services.jsonc"), `"weight": 1`, `"weight": "1"`)
	replace(t, filepath.Join(dir, "groups.jsonc"), `"firstPrimary": "stock3-a"`, `"firstPrimary": "x"`)
	_, err := Load(dir)
	assert.ErrorContains(t, err, "services[0].weight: want a whole number")
	assert.ErrorContains(t, err, `groups[2].firstPrimary: "x" is not an upstream`)
	assert.Equal(t, strings.Count(err.Error(), "\n"), 1)
}

// TestSyntaxErrorCausesNoUnknownNames checks that names declared in a file with a
// syntax error aren't reported as unknown where other files use them.
func TestSyntaxErrorCausesNoUnknownNames(t *testing.T) {
	dir := copySample(t)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "groups.jsonc"), []byte("{"), 0o600))
	_, err := Load(dir)
	assert.ErrorContains(t, err, "groups.jsonc:1:2: syntax")
	assert.Equal(t, strings.Count(err.Error(), "\n"), 0)
}

func TestLoadRejectsEmptyDirectory(t *testing.T) {
	_, err := Load(t.TempDir())
	assert.ErrorContains(t, err, "no .jsonc file")
}

func copySample(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS(batbayar)))
	return dir
}

func replace(t *testing.T, path, old, new string) {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), old), "%s has no %s", path, old)
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(text), old, new, 1)), 0o600))
}

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
}

// TestDocumentListsEveryField checks that docs/DECLARATIONS.md lists each field of
// the declarations.
func TestDocumentListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/DECLARATIONS.md")
	assert.NilError(t, err)
	for _, field := range fieldPaths(reflect.TypeFor[sections](), "") {
		assert.Assert(t, strings.Contains(string(page), "\n| `"+field+"` | "), "docs/DECLARATIONS.md lacks %s", field)
	}
}

func fieldPaths(typ reflect.Type, prefix string) []string {
	var paths []string
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			paths = append(paths, fieldPaths(f.Type.Elem(), prefix+name+"[].")...)
			continue
		}
		paths = append(paths, prefix+name)
	}
	return paths
}
