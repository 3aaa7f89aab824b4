package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/declare"
	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const controlSettings = `{
  "platform": {"url": "http://127.0.0.1:1"},
  "objects": {"endpoint": "127.0.0.1:1", "accessKey": "a", "secretKey": "s"},
  "operator": "batbayar-demo",
  "keyFile": "../../deploy/demo-keys/demo-operator-key.pem",
  "proxies": ["127.0.0.1:2", "127.0.0.1:3"],
}`

// bench is a platform in memory with two proxies, of which one answers.
type bench struct {
	t        *testing.T
	platform *memory.Platform
	settings string
	dir      string
	stdin    string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, platform: memory.New(), dir: t.TempDir()}
	b.settings = filepath.Join(t.TempDir(), "ctl.jsonc")
	assert.NilError(t, os.WriteFile(b.settings, []byte(controlSettings), 0o600))
	assert.NilError(t, os.CopyFS(b.dir, os.DirFS("../../deploy/batbayar")))
	return b
}

func fetch(_ context.Context, address string) (statusapi.Status, error) {
	if address != "127.0.0.1:2" {
		return statusapi.Status{}, errors.New("refused")
	}
	group := statusapi.Group{
		Group: "stock1", Term: 3, Primary: "stock1-b",
		Upstreams: []statusapi.Upstream{
			{Upstream: "stock1-a", LagMillis: -1, Cause: "silent"},
			{Upstream: "stock1-b", LagMillis: 250, Cause: "answered"},
		},
		Refused: []statusapi.Refused{{Code: codes.QueueFull, Count: 4}},
	}
	return statusapi.Status{VM: "vm-1", DataCentre: "ub-east", ConfigVersion: 1, Ready: true, Groups: []statusapi.Group{group}}, nil
}

// run runs a command and returns its exit code and both streams.
func (b *bench) run(args ...string) (code int, stdout, stderr string) {
	b.t.Helper()
	var out, errs bytes.Buffer
	env := Env{
		Stdin:  strings.NewReader(b.stdin),
		Stdout: &out, Stderr: &errs,
		Now:    func() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) },
		Random: bytes.NewReader(bytes.Repeat([]byte{7}, 64)),
		Connect: func(settings.Control) (plan.Store, error) {
			return plan.Store{Tables: b.platform, Objects: b.platform.Objects()}, nil
		},
		Status: fetch,
	}
	code = Run(context.Background(), append([]string{"--settings", b.settings}, args...), env)
	return code, out.String(), errs.String()
}

func (b *bench) want(code int, args ...string) (stdout, stderr string) {
	b.t.Helper()
	got, stdout, stderr := b.run(args...)
	assert.Equal(b.t, got, code, "%v: %s%s", args, stdout, stderr)
	return stdout, stderr
}

// planID makes a plan of the declarations and returns its id.
func (b *bench) planID() string {
	b.t.Helper()
	out, _ := b.want(ExitOK, "--json", "plan", b.dir)
	var p plan.Plan
	assert.NilError(b.t, json.Unmarshal([]byte(out), &p))
	return p.ID
}

func (b *bench) edit(file, old, new string) {
	b.t.Helper()
	path := filepath.Join(b.dir, file)
	text, err := os.ReadFile(path)
	assert.NilError(b.t, err)
	assert.Assert(b.t, strings.Contains(string(text), old))
	assert.NilError(b.t, os.WriteFile(path, []byte(strings.Replace(string(text), old, new, 1)), 0o600))
}

func TestDeclarePlanConfirmAndDrift(t *testing.T) {
	b := newBench(t)
	b.want(ExitOK, "validate", b.dir)
	id := b.planID()
	out, _ := b.want(ExitOK, "confirm", id)
	assert.Assert(t, strings.HasPrefix(out, "version 1 in force"), out)
	out, _ = b.want(ExitOK, "diff", b.dir)
	assert.Equal(t, out, "no drift from version 1\n")
	b.want(ExitNothing, "plan", b.dir)

	b.edit("services.jsonc", `"queueLimit": 200`, `"queueLimit": 300`)
	out, _ = b.want(ExitDrift, "diff", b.dir)
	assert.Assert(t, strings.Contains(out, "The queue limit changes from 200 to 300."), out)
	old, new := id, b.planID()
	b.want(ExitOK, "confirm", new)
	out, _ = b.want(ExitOK, "confirm", new)
	assert.Assert(t, strings.HasPrefix(out, "version 2 already in force"), out)
	out, _ = b.want(ExitOK, "confirm", old)
	assert.Assert(t, strings.HasPrefix(out, "version 1 was in force and has been replaced"), out)
	out, _ = b.want(ExitOK, "history")
	assert.Equal(t, strings.Count(out, "batbayar-demo"), 2)
}

func TestConflictingPlansHaveOneWinner(t *testing.T) {
	b := newBench(t)
	b.want(ExitOK, "confirm", b.planID())
	b.edit("services.jsonc", `"weight": 1`, `"weight": 2`)
	first := b.planID()
	b.edit("services.jsonc", `"weight": 2`, `"weight": 3`)
	b.want(ExitOK, "confirm", b.planID())
	_, errs := b.want(ExitStale, "confirm", first)
	assert.Assert(t, strings.Contains(errs, "code 501 StaleBase (not run)"), errs)
}

func TestDrainIsAPlan(t *testing.T) {
	b := newBench(t)
	b.want(ExitOK, "confirm", b.planID())
	out, _ := b.want(ExitOK, "drain", "--confirm", "upstream", "stock1-b")
	assert.Assert(t, strings.Contains(out, "The primary stock1-b gives way"), out)
	out, _ = b.want(ExitDrift, "diff", b.dir)
	assert.Assert(t, strings.Contains(out, "The server receives work again."), out)
	_, errs := b.want(ExitDeclarations, "drain", "upstream", "stock1-c")
	assert.Assert(t, strings.Contains(errs, "a majority of its upstreams must not be leaving"), errs)
	_, errs = b.want(ExitOK, "drain", "--confirm", "vm", "vm-2")
	assert.Assert(t, strings.Contains(errs, `no proxy that answered reports VM "vm-2"`), errs)
	_, errs = b.want(ExitOK, "drain", "vm", "vm-1")
	assert.Assert(t, !strings.Contains(errs, "no proxy"), errs)
	b.want(ExitNothing, "drain", "vm", "vm-2")
	b.want(ExitOK, "undrain", "--confirm", "vm", "vm-2")
	b.want(ExitOK, "undrain", "--confirm", "upstream", "stock1-b")
	b.want(ExitOK, "diff", b.dir)
	b.want(ExitFailed, "drain", "upstream", "stock9")
}

func TestStatusShowsAnswersAndSilence(t *testing.T) {
	out, _ := newBench(t).want(ExitOK, "status")
	for _, want := range []string{
		"vm-1   ub-east      1        true", "127.0.0.1:3: refused",
		"unknown    0 of 1 answered (silent)", "250ms      1 of 1 answered", "301 QueueFull",
	} {
		assert.Assert(t, strings.Contains(out, want), "%q is missing in\n%s", want, out)
	}
}

func TestSummaryKeepsTheWorstOfAllProxies(t *testing.T) {
	one, err := fetch(context.Background(), "127.0.0.1:2")
	assert.NilError(t, err)
	two := one
	two.Groups = []statusapi.Group{{
		Group: "stock1", Term: 2, Primary: "stock1-a",
		Upstreams: []statusapi.Upstream{{Upstream: "stock1-b", LagMillis: 900, Cause: "reset", Leaving: true}},
		Refused:   []statusapi.Refused{{Code: codes.QueueFull, Count: 5}},
	}}
	for _, order := range [][]statusapi.Status{{one, two}, {two, one}} {
		got := summarize(order)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].primaryText(), "stock1-b (1 of 2 proxies)")
		assert.DeepEqual(t, got[0].refused, []statusapi.Refused{{Code: codes.QueueFull, Count: 9}})
		for _, u := range got[0].upstreams {
			if u.upstream == "stock1-b" {
				assert.Equal(t, u.lagText(), "900ms")
				assert.Equal(t, u.probeText(), "1 of 2 answered (reset), leaving")
			}
		}
	}
}

func TestErrorsHaveTheirExitCodes(t *testing.T) {
	b := newBench(t)
	b.want(ExitUsage, "confirm")
	b.want(ExitUsage, "no-such-command")
	_, errs := b.want(ExitStale, "confirm", "00ff")
	assert.Assert(t, strings.Contains(errs, "code 502 PlanUnknown"), errs)
	b.platform.Faults.Inject(memory.Fault{Kind: memory.FaultDown})
	_, errs = b.want(ExitPlatform, "plan", b.dir)
	assert.Assert(t, strings.Contains(errs, "Ask again after 1s."), errs)
	b.edit("groups.jsonc", `"slots": 3`, `"slots": 0`)
	_, errs = b.want(ExitDeclarations, "validate", b.dir)
	assert.Assert(t, strings.Contains(errs, "groups[0].upstreams[0].slots: must be at least 1"), errs)
	assert.NilError(t, os.WriteFile(b.settings, []byte(`{"keyfile": ""}`), 0o600))
	_, errs = b.want(ExitUsage, "status")
	assert.Assert(t, strings.Contains(errs, "keyfile: unknown field"), errs)
}

func TestUserAndKeyFitTheDeclarations(t *testing.T) {
	b := newBench(t)
	b.stdin = "secret\n"
	out, _ := b.want(ExitOK, "user", "courier")
	var u config.User
	assert.NilError(t, json.Unmarshal([]byte(out), &u))
	b.edit("users.jsonc", `"users": [`, `"users": [`+out+`,`)

	keyFile := filepath.Join(t.TempDir(), "key.pem")
	out, _ = b.want(ExitOK, "key", "new", "--out", keyFile)
	b.edit("operators.jsonc", `"operators": [`, `"operators": [`+out+`,`)
	b.want(ExitFailed, "key", "new", "--out", keyFile)
	doc, err := declare.Load(b.dir)
	assert.NilError(t, err)
	assert.Equal(t, len(doc.Users), 2)
	assert.Equal(t, len(doc.Operators), 2)
	b.stdin = ""
	b.want(ExitFailed, "user", "courier")
}
