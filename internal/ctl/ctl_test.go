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

// fixture is a platform in memory with two proxies, of which only the first can
// be reached.
type fixture struct {
	t        *testing.T
	platform *memory.Platform
	settings string
	dir      string
	stdin    string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, platform: memory.New(), dir: t.TempDir()}
	f.settings = filepath.Join(t.TempDir(), "ctl.jsonc")
	assert.NilError(t, os.WriteFile(f.settings, []byte(controlSettings), 0o600))
	assert.NilError(t, os.CopyFS(f.dir, os.DirFS("../../deploy/batbayar")))
	return f
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

// run runs a command and returns its exit code and output streams.
func (f *fixture) run(args ...string) (code int, stdout, stderr string) {
	f.t.Helper()
	var out, errs bytes.Buffer
	env := Env{
		Stdin:  strings.NewReader(f.stdin),
		Stdout: &out, Stderr: &errs,
		Now:    func() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) },
		Random: bytes.NewReader(bytes.Repeat([]byte{7}, 64)),
		Connect: func(settings.Control) (plan.Store, error) {
			return plan.Store{Tables: f.platform, Objects: f.platform.Objects()}, nil
		},
		Status: fetch,
	}
	code = Run(context.Background(), append([]string{"--settings", f.settings}, args...), env)
	return code, out.String(), errs.String()
}

// want runs a command and checks its exit code.
func (f *fixture) want(code int, args ...string) (stdout, stderr string) {
	f.t.Helper()
	got, stdout, stderr := f.run(args...)
	assert.Equal(f.t, got, code, "%v: %s%s", args, stdout, stderr)
	return stdout, stderr
}

// planID makes a plan from the declarations and returns its id.
func (f *fixture) planID() string {
	f.t.Helper()
	out, _ := f.want(ExitOK, "--json", "plan", f.dir)
	var p plan.Plan
	assert.NilError(f.t, json.Unmarshal([]byte(out), &p))
	return p.ID
}

func (f *fixture) edit(file, old, new string) {
	f.t.Helper()
	path := filepath.Join(f.dir, file)
	text, err := os.ReadFile(path)
	assert.NilError(f.t, err)
	assert.Assert(f.t, strings.Contains(string(text), old))
	assert.NilError(f.t, os.WriteFile(path, []byte(strings.Replace(string(text), old, new, 1)), 0o600))
}

func TestPlanConfirmAndDiff(t *testing.T) {
	f := newFixture(t)
	f.want(ExitOK, "validate", f.dir)
	id := f.planID()
	out, _ := f.want(ExitOK, "confirm", id)
	assert.Assert(t, strings.HasPrefix(out, "version 1 in force"), out)
	out, _ = f.want(ExitOK, "diff", f.dir)
	assert.Equal(t, out, "no drift from version 1\n")
	f.want(ExitNothingToChange, "plan", f.dir)

	f.edit("services.jsonc", `"queueLimit": 200`, `"queueLimit": 300`)
	out, _ = f.want(ExitDrift, "diff", f.dir)
	assert.Assert(t, strings.Contains(out, "The queue limit changes from 200 to 300."), out)
	old, new := id, f.planID()
	f.want(ExitOK, "confirm", new)
	out, _ = f.want(ExitOK, "confirm", new)
	assert.Assert(t, strings.HasPrefix(out, "version 2 already in force"), out)
	out, _ = f.want(ExitOK, "confirm", old)
	assert.Assert(t, strings.HasPrefix(out, "version 1 was in force and has been replaced"), out)
	out, _ = f.want(ExitOK, "history")
	assert.Equal(t, strings.Count(out, "batbayar-demo"), 2)
}

func TestSecondOfTwoConflictingPlansIsStale(t *testing.T) {
	f := newFixture(t)
	f.want(ExitOK, "confirm", f.planID())
	f.edit("services.jsonc", `"weight": 1`, `"weight": 2`)
	first := f.planID()
	f.edit("services.jsonc", `"weight": 2`, `"weight": 3`)
	f.want(ExitOK, "confirm", f.planID())
	_, errs := f.want(ExitStalePlan, "confirm", first)
	assert.Assert(t, strings.Contains(errs, "code 501 StaleBase (not run)"), errs)
}

func TestDrainAndUndrainArePlans(t *testing.T) {
	f := newFixture(t)
	f.want(ExitOK, "confirm", f.planID())
	out, _ := f.want(ExitOK, "drain", "--confirm", "upstream", "stock1-b")
	assert.Assert(t, strings.Contains(out, "The primary stock1-b gives way"), out)
	out, _ = f.want(ExitDrift, "diff", f.dir)
	assert.Assert(t, strings.Contains(out, "The server receives work again."), out)
	_, errs := f.want(ExitDeclarations, "drain", "upstream", "stock1-c")
	assert.Assert(t, strings.Contains(errs, "a majority of its upstreams must not be leaving"), errs)
	_, errs = f.want(ExitOK, "drain", "--confirm", "vm", "vm-2")
	assert.Assert(t, strings.Contains(errs, `no proxy that answered reports VM "vm-2"`), errs)
	_, errs = f.want(ExitOK, "drain", "vm", "vm-1")
	assert.Assert(t, !strings.Contains(errs, "no proxy"), errs)
	f.want(ExitNothingToChange, "drain", "vm", "vm-2")
	f.want(ExitOK, "undrain", "--confirm", "vm", "vm-2")
	f.want(ExitOK, "undrain", "--confirm", "upstream", "stock1-b")
	f.want(ExitOK, "diff", f.dir)
	f.want(ExitFailed, "drain", "upstream", "stock9")
}

func TestStatusShowsReachableAndUnreachableProxies(t *testing.T) {
	out, _ := newFixture(t).want(ExitOK, "status")
	for _, want := range []string{
		"vm-1   ub-east      1        true", "127.0.0.1:3: refused",
		"unknown    0 of 1 answered (silent)", "250ms      1 of 1 answered", "301 QueueFull",
	} {
		assert.Assert(t, strings.Contains(out, want), "%q is missing in\n%s", want, out)
	}
}

func TestSummaryKeepsWorstReportOfAllProxies(t *testing.T) {
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

func TestExitCodesOfErrors(t *testing.T) {
	f := newFixture(t)
	f.want(ExitUsage, "confirm")
	f.want(ExitUsage, "no-such-command")
	_, errs := f.want(ExitStalePlan, "confirm", "00ff")
	assert.Assert(t, strings.Contains(errs, "code 502 PlanUnknown"), errs)
	f.platform.Faults.Inject(memory.Fault{Kind: memory.FaultDown})
	_, errs = f.want(ExitPlatform, "plan", f.dir)
	assert.Assert(t, strings.Contains(errs, "Ask again after 1s."), errs)
	f.edit("groups.jsonc", `"slots": 3`, `"slots": 0`)
	_, errs = f.want(ExitDeclarations, "validate", f.dir)
	assert.Assert(t, strings.Contains(errs, "groups[0].upstreams[0].slots: must be at least 1"), errs)
	assert.NilError(t, os.WriteFile(f.settings, []byte(`{"keyfile": ""}`), 0o600))
	_, errs = f.want(ExitUsage, "status")
	assert.Assert(t, strings.Contains(errs, "keyfile: unknown field"), errs)
}

func TestNewUserAndKeyAreValidInDeclarations(t *testing.T) {
	f := newFixture(t)
	f.stdin = "secret\n"
	out, _ := f.want(ExitOK, "user", "courier")
	var u config.User
	assert.NilError(t, json.Unmarshal([]byte(out), &u))
	f.edit("users.jsonc", `"users": [`, `"users": [`+out+`,`)

	keyFile := filepath.Join(t.TempDir(), "key.pem")
	out, _ = f.want(ExitOK, "key", "new", "--out", keyFile)
	f.edit("operators.jsonc", `"operators": [`, `"operators": [`+out+`,`)
	f.want(ExitFailed, "key", "new", "--out", keyFile)
	doc, err := declare.Load(f.dir)
	assert.NilError(t, err)
	assert.Equal(t, len(doc.Users), 2)
	assert.Equal(t, len(doc.Operators), 2)
	f.stdin = ""
	f.want(ExitFailed, "user", "courier")
}
