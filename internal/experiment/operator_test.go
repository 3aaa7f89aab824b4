package experiment

import (
	"context"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/declare"
	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/platform/adapters"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/standin/platformd"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

var deploy = filepath.Join("..", "..", "deploy")

// newTestOperator returns an operator whose platform has the sample
// declarations in force, and a set-up of one proxy that reports version.
func newTestOperator(t *testing.T, version func() uint64) (*operator, *SetUp) {
	t.Helper()
	pl := httptest.NewServer(platformd.New())
	t.Cleanup(pl.Close)
	address := strings.TrimPrefix(pl.URL, "http://")
	s := settings.ControlDefaults()
	s.Platform.URL = pl.URL
	s.Objects.Endpoint, s.Objects.AccessKey, s.Objects.SecretKey = address, "demo", "demo-secret"
	s.Operator, s.KeyFile = "batbayar-demo", filepath.Join(deploy, "demo-keys", "demo-operator-key.pem")
	a, err := adapters.Open(s.Platform, s.Objects)
	assert.NilError(t, err)
	o := &operator{settings: s, store: plan.Store{Tables: a.Tables, Objects: a.Objects}}
	doc, err := declare.Load(filepath.Join(deploy, "batbayar"))
	assert.NilError(t, err)
	p, err := o.propose(t.Context(), func(d *config.Document) error {
		*d = doc
		return nil
	})
	assert.NilError(t, err)
	_, err = o.confirm(t.Context(), p.ID)
	assert.NilError(t, err)
	admin := httptest.NewServer(statusapi.Handler(func() statusapi.Status { return statusapi.Status{ConfigVersion: version()} }))
	t.Cleanup(admin.Close)
	return o, &SetUp{Platform: address, Proxies: []Proxy{{Admin: strings.TrimPrefix(admin.URL, "http://")}}}
}

func TestOneOfTwoConflictingConfirmsSucceeds(t *testing.T) {
	o, s := newTestOperator(t, func() uint64 { return 9 })
	r := &run{setUp: s, start: time.Now()}
	var plans [2]plan.Plan
	for i := range plans {
		var err error
		plans[i], err = o.propose(t.Context(), raiseQueueLimitBy(i+1))
		assert.NilError(t, err)
	}
	r.confirmBoth(t.Context(), o, plans)
	assert.DeepEqual(t, failedNames(r.verdicts), []string(nil))
	// A repeated confirm of the winning plan succeeds. With two successes the
	// check must fail.
	won, err := o.confirm(t.Context(), plans[0].ID)
	i := 0
	if err != nil {
		won, err = o.confirm(t.Context(), plans[1].ID)
		i = 1
	}
	assert.NilError(t, err)
	assert.Assert(t, won.Already)
	r.confirmBoth(t.Context(), o, [2]plan.Plan{plans[i], plans[i]})
	assert.DeepEqual(t, failedNames(r.verdicts), []string{"one of two conflicting plans wins"})
}

func TestConfirmSucceedsWhenPlatformResponsesAreLost(t *testing.T) {
	o, s := newTestOperator(t, func() uint64 { return 2 })
	r := &run{setUp: s, start: time.Now()}
	p, err := o.propose(t.Context(), raiseQueueLimit)
	assert.NilError(t, err)
	assert.NilError(t, r.confirmDuringFault(t.Context(), o, p, memory.Fault{Kind: memory.FaultLoseAnswer, Calls: 2}))
	assert.DeepEqual(t, failedNames(r.verdicts), []string(nil))
}

func TestCheckInForceFailsOnOldVersion(t *testing.T) {
	_, s := newTestOperator(t, func() uint64 { return 1 })
	r := &run{setUp: s, start: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r.checkInForce(ctx, 2)
	assert.DeepEqual(t, failedNames(r.verdicts), []string{"version 2 in force on every proxy"})
}

func TestSetLeavingMarksListedUpstreams(t *testing.T) {
	doc, err := declare.Load(filepath.Join(deploy, "batbayar"))
	assert.NilError(t, err)
	assert.NilError(t, setLeaving(&doc, []tables.UpstreamID{"stock1-b"}, true))
	assert.Assert(t, doc.Groups[0].Upstreams[1].Leaving && !doc.Groups[0].Upstreams[0].Leaving)
}

func TestLateProxyMustNotRunBeforePlatformFault(t *testing.T) {
	_, s := newTestOperator(t, func() uint64 { return 9 })
	r := &run{setUp: s, start: time.Now()}
	assert.ErrorContains(t, r.checkLateProxy(t.Context(), s.Proxies[0], 2), "before")
	assert.ErrorContains(t, awaitLateProxy(t.Context(), r), "no late proxy")
}
