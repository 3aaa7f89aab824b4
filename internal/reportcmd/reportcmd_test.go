package reportcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/burn"
	"gotest.tools/v3/assert"
)

const declarations = "--declarations=../../deploy/batbayar"

// run runs the command with a clock that only advances during Wait.
func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	env := Env{
		Stdout: &out, Stderr: &errs,
		Now: func() time.Time { return now },
		Wait: func(_ context.Context, d time.Duration) error {
			now = now.Add(d)
			return nil
		},
	}
	code = Run(context.Background(), args, env)
	return code, out.String(), errs.String()
}

func counter(code, n int) string {
	return fmt.Sprintf("cranberrystage_requests_total{service=\"stock-ledger\",database=\"stock1\",kind=\"read\",served_by=\"replica\",code=\"%d\"} %d\n", code, n)
}

func TestReportFromSavedSamplesEqualsPolledReport(t *testing.T) {
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		_, _ = fmt.Fprint(w, "# TYPE cranberrystage_requests_total counter\n", counter(0, 90*requests), counter(301, 10*requests))
	}))
	defer server.Close()
	dir := filepath.Join(t.TempDir(), "samples")
	code, polled, errs := run(t, declarations, "--format=json", "--samples=3", "--every=1m", "--save", dir, server.URL)
	assert.Equal(t, code, ExitOK, errs)
	var r burn.Report
	assert.NilError(t, json.Unmarshal([]byte(polled), &r))
	assert.Equal(t, r.Services[0].Promises[1].Long.Total, 200.0)
	assert.Equal(t, r.Services[0].Promises[1].Long.Bad, 20.0)

	code, fromFiles, errs := run(t, declarations, "--format=json", dir)
	assert.Equal(t, code, ExitOK, errs)
	assert.Equal(t, fromFiles, polled)
}

func TestHTMLReportIsWrittenToFile(t *testing.T) {
	dir := t.TempDir()
	for i, name := range []string{"vm-1-20260301T120000Z.prom", "vm-1-20260301T120500Z.prom"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte("# TYPE cranberrystage_requests_total counter\n"+counter(0, 5*i)), 0o600))
	}
	out := filepath.Join(t.TempDir(), "burn.html")
	code, _, errs := run(t, declarations, "--format=html", "--out", out, dir)
	assert.Equal(t, code, ExitOK, errs)
	page, err := os.ReadFile(out)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), "0 of 5"))
}

func TestInvalidInputIsReported(t *testing.T) {
	wrong := filepath.Join(t.TempDir(), "metrics.prom")
	assert.NilError(t, os.WriteFile(wrong, nil, 0o600))
	cases := []struct {
		code int
		want string
		args []string
	}{
		{ExitUsage, "declarations", []string{wrong}},
		{ExitFailed, "want a name such as", []string{declarations, wrong}},
		{ExitFailed, "no .prom file", []string{declarations, t.TempDir()}},
		{ExitFailed, "0 samples", []string{declarations, "http://127.0.0.1:1/metrics"}},
	}
	for _, c := range cases {
		code, _, errs := run(t, c.args...)
		assert.Equal(t, code, c.code, errs)
		assert.Assert(t, strings.Contains(errs, c.want), errs)
	}
}
