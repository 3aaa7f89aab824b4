package benchcmd

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"gotest.tools/v3/assert"
)

func TestDemoPassesAndWritesHistory(t *testing.T) {
	s, err := dbserver.New(dbserver.Config{ID: "a", Listen: "127.0.0.1:0", Primary: true, Slots: 100, Connections: 100}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	go func() { _ = s.Run(t.Context()) }()
	file := filepath.Join(t.TempDir(), "history")
	var out, progress bytes.Buffer
	err = Run(t.Context(), []string{"demo", "--proxy", s.Addr(), "--duration", "300ms", "--connections", "4", "--history", file,
		"--batbayar-user", "u", "--batbayar-password", "p", "--batbayar-database", "x/1",
		"--agency-user", "u", "--agency-password", "p", "--agency-database", "y/1"}, &out, &progress)
	assert.NilError(t, err, out.String())
	assert.Assert(t, strings.HasSuffix(out.String(), "16 passed, 0 failed\n"), out.String())
	f, err := os.Open(file)
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	ops, err := history.Read(f)
	assert.NilError(t, err)
	assert.Equal(t, len(history.Check(ops).Violations), 0)
	assert.Assert(t, len(ops) > 0)
}

func TestCommandLineErrors(t *testing.T) {
	var out bytes.Buffer
	assert.ErrorContains(t, Run(t.Context(), []string{"load"}, &out, &out), "command line")
	err := Run(t.Context(), []string{"load", "--proxy", "127.0.0.1:1", "--user", "u", "--database", "d", "--rate", "0"}, &out, &out)
	assert.ErrorContains(t, err, "rate")
}

func TestNaiveProxyStopsOnCancel(t *testing.T) {
	s, err := dbserver.New(dbserver.Config{ID: "a", Listen: "127.0.0.1:0", Primary: true, Slots: 100, Connections: 100}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	go func() { _ = s.Run(t.Context()) }()
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error)
	go func() {
		stopped <- Run(ctx, []string{"naive", "--listen", "127.0.0.1:0", "--primary", s.Addr()}, &bytes.Buffer{}, &bytes.Buffer{})
	}()
	cancel()
	assert.NilError(t, <-stopped)
}

func TestExperimentRejectsMalformedEndpoints(t *testing.T) {
	var out bytes.Buffer
	args := []string{"experiment", "undisturbed", "--proxy", "x", "--platform", "x", "--control-settings", "x",
		"--batbayar-user", "u", "--batbayar-password", "p", "--batbayar-database", "x/1",
		"--agency-user", "u", "--agency-password", "p", "--agency-database", "y/1"}
	assert.ErrorContains(t, Run(t.Context(), append(args, "--server", "a/b=c", "--proxy-process", "x"), &out, &out), "GROUP/ID")
	assert.ErrorContains(t, Run(t.Context(), append(args, "--server", "a/b=c,d,42", "--proxy-process", "x"), &out, &out), "CALLERS")
}
