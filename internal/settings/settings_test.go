package settings

import (
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/jsonc"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const minimal = `{
  "vm": "vm-1",
  "dataCentre": "ub-east",
  "callers": {"addresses": ["127.0.0.1:6432"]},
  "peerAddress": "127.0.0.1:6501",
  "adminAddress": "127.0.0.1:6601",
  "platform": {"url": "http://127.0.0.1:6700"},
  "objects": {"endpoint": "127.0.0.1:6701", "accessKey": "demo", "secretKey": "demo-secret"},
  "upstreams": {"control": {"user": "control"}, "pool": {"user": "pool", "password": "p"}},
}`

func load(t *testing.T, text string) (Proxy, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "proxy.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

func TestDefaultsFillOptionalFields(t *testing.T) {
	p, err := load(t, minimal)
	assert.NilError(t, err)
	assert.Equal(t, p.Callers.MaxCallers, DefaultMaxCallers)
	assert.Equal(t, time.Duration(p.Timeouts.Probe), DefaultProbeTimeout)
	assert.Equal(t, p.Objects.Bucket, DefaultBucket)
}

func TestEveryProblemIsReported(t *testing.T) {
	text := strings.NewReplacer(
		`"vm": "vm-1",`, ``,
		`127.0.0.1:6432`, `localhost:6432`,
		`"http://127.0.0.1:6700"`, `"127.0.0.1", "timeout": "0s"`,
		`"secretKey": "demo-secret"`, `"secretKey": ""`,
		`{"user": "control"}`, `{}`,
	).Replace(minimal)
	_, err := load(t, text)
	var problems jsonc.Problems
	assert.Assert(t, errors.As(err, &problems))
	var fields []string
	for _, p := range problems {
		fields = append(fields, p.Field)
	}
	assert.DeepEqual(t, fields, []string{
		"vm", "callers.addresses[0]", "platform.url", "platform.timeout", "objects.secretKey", "upstreams.control.user",
	})
}

func TestUnknownAndWrongFieldsAreReportedTogether(t *testing.T) {
	text := strings.NewReplacer(
		`"vm": "vm-1"`, `"vm": 17`, `"peerAddress"`, `"peerAdress"`, `"http://127.0.0.1:6700"`, `"ftp://127.0.0.1"`,
	).Replace(minimal)
	_, err := load(t, text)
	var problems jsonc.Problems
	assert.Assert(t, errors.As(err, &problems))
	var fields []string
	for _, p := range problems {
		fields = append(fields, p.Field)
	}
	assert.DeepEqual(t, fields, []string{"peerAddress", "vm", "peerAdress", "platform.url"})
}

func TestLogLevelIsOneOfFour(t *testing.T) {
	p, err := load(t, strings.Replace(minimal, `"vm":`, `"logLevel": "Warn", "vm":`, 1))
	assert.NilError(t, err)
	assert.Equal(t, p.LogLevel.Level(), slog.LevelWarn)
	_, err = load(t, strings.Replace(minimal, `"vm":`, `"logLevel": "loud", "vm":`, 1))
	assert.ErrorContains(t, err, `logLevel: want debug, info, warn or error, have "loud"`)
}

func TestSyntaxErrorIsTheOnlyProblem(t *testing.T) {
	_, err := load(t, `{"vm": `)
	var problems jsonc.Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.Equal(t, len(problems), 1)
}

func TestCertificateFilesAreChecked(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.pem")
	assert.NilError(t, os.WriteFile(bad, []byte("no certificate"), 0o600))
	with := func(certificate, key string) string {
		return strings.Replace(minimal, `"callers": {`, `"callers": {"certificateFile": "`+certificate+`", "keyFile": "`+key+`", `, 1)
	}
	_, err := load(t, with(bad, "nothing.pem"))
	assert.ErrorContains(t, err, "callers.keyFile: open nothing.pem: no such file or directory")
	_, err = load(t, with(bad, bad))
	assert.ErrorContains(t, err, "callers.certificateFile: not a certificate with its key")
}

func TestUnknownFieldIsReportedWithItsLine(t *testing.T) {
	_, err := load(t, strings.Replace(minimal, `"peerAddress"`, `"peerAdress"`, 1))
	assert.ErrorContains(t, err, "proxy.jsonc:5:3: peerAdress: unknown field")
}

func TestControlSettingsAreChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ctl.jsonc")
	text := `{"objects": {"endpoint": "127.0.0.1:1", "accessKey": "a", "secretKey": "s"}, "keyFile": "k", "proxies": ["x"]}`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err := LoadControl(path)
	assert.ErrorContains(t, err, "platform.url")
	assert.ErrorContains(t, err, "proxies[0]")
	assert.ErrorContains(t, err, "operator: is required beside keyFile")
}

func TestSecretsAreHiddenInText(t *testing.T) {
	assert.Equal(t, Secret("x").String(), "(hidden)")
	assert.Equal(t, Secret("x").LogValue().String(), "(hidden)")
}

// TestDocumentNamesEveryField checks that docs/SETTINGS.md lists every field.
func TestDocumentNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	proxy, control, ok := strings.Cut(string(page), "## Settings of the operators' tool")
	assert.Assert(t, ok)
	for _, field := range fieldPaths(reflect.TypeFor[Proxy](), "") {
		assert.Assert(t, strings.Contains(proxy, "| `"+field+"` |"), "docs/SETTINGS.md lacks %s", field)
	}
	for _, field := range fieldPaths(reflect.TypeFor[Control](), "") {
		assert.Assert(t, strings.Contains(control, "| `"+field+"` |"), "docs/SETTINGS.md lacks the tool's %s", field)
	}
}

func fieldPaths(typ reflect.Type, prefix string) []string {
	var paths []string
	for i := range typ.NumField() {
		f := typ.Field(i)
		path := prefix + f.Tag.Get("json")
		if f.Type.Kind() == reflect.Struct {
			paths = append(paths, fieldPaths(f.Type, path+".")...)
			continue
		}
		paths = append(paths, path)
	}
	return paths
}
