package plan

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

var (
	ctx   = context.Background()
	noon  = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	later = noon.Add(time.Minute)
	anna  = ed25519.NewKeyFromSeed([]byte("anna-anna-anna-anna-anna-anna-an"))
	bilal = ed25519.NewKeyFromSeed([]byte("bilal-bilal-bilal-bilal-bilal-bi"))
)

func operator(name string, key ed25519.PrivateKey) config.Operator {
	public := key.Public().(ed25519.PublicKey)
	return config.Operator{Name: name, PublicKey: base64.StdEncoding.EncodeToString(public)}
}

func document(leaving ...tables.VMID) config.Document {
	return config.Document{
		Operators:  []config.Operator{operator("anna", anna), operator("bilal", bilal)},
		LeavingVMs: leaving,
	}
}

// put stores the plan that changes the configuration in force to doc, and returns
// its id.
func put(t *testing.T, f *fakePlatform, doc config.Document) string {
	t.Helper()
	s := f.store(healthy)
	cur, err := s.Current(ctx)
	assert.NilError(t, err)
	p, err := Make(cur.Head.Version, cur.Document, doc, State{})
	assert.NilError(t, err)
	assert.NilError(t, s.Put(ctx, p, doc))
	return p.ID
}

// bootstrap returns a platform with version 1 of the configuration in force.
func bootstrap(t *testing.T) *fakePlatform {
	t.Helper()
	f := newFakePlatform()
	id := put(t, f, document())
	_, err := Confirm(ctx, f.store(healthy), Approve(id, "anna", anna), noon)
	assert.NilError(t, err)
	return f
}

func wantCode(t *testing.T, err error, c codes.Code) {
	t.Helper()
	e, ok := codes.From(err)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, e.Code, c)
}

func TestConfirmRecordsOperatorAndTime(t *testing.T) {
	f := bootstrap(t)
	id := put(t, f, document("vm-1"))
	_, err := Confirm(ctx, f.store(healthy), Approve(id, "bilal", bilal), later)
	assert.NilError(t, err)

	history, err := f.store(healthy).History(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[1].Operator, "bilal")
	assert.Equal(t, history[1].ConfirmedAt, later)
	cur, err := f.store(healthy).Current(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, cur.Head, history[1])
	assert.DeepEqual(t, cur.Document, document("vm-1"))
}

func TestRepeatedConfirmReturnsFirstResult(t *testing.T) {
	f := bootstrap(t)
	id := put(t, f, document("vm-1"))
	first, err := Confirm(ctx, f.store(healthy), Approve(id, "anna", anna), noon)
	assert.NilError(t, err)
	again, err := Confirm(ctx, f.store(healthy), Approve(id, "bilal", bilal), later)
	assert.NilError(t, err)
	assert.Equal(t, again, Result{Head: first.Head, Already: true})

	next := put(t, f, document("vm-2"))
	_, err = Confirm(ctx, f.store(healthy), Approve(next, "anna", anna), later)
	assert.NilError(t, err)
	again, err = Confirm(ctx, f.store(healthy), Approve(id, "anna", anna), later)
	assert.NilError(t, err)
	assert.Equal(t, again, Result{Head: first.Head, Already: true, Replaced: true})
}

func TestConfirmRejectsStaleBase(t *testing.T) {
	f := bootstrap(t)
	loser, winner := put(t, f, document("vm-1")), put(t, f, document("vm-2"))
	_, err := Confirm(ctx, f.store(healthy), Approve(winner, "anna", anna), noon)
	assert.NilError(t, err)
	_, err = Confirm(ctx, f.store(healthy), Approve(loser, "bilal", bilal), noon)
	wantCode(t, err, codes.StaleBase)
}

func TestConfirmRejectsUnknownPlan(t *testing.T) {
	f := bootstrap(t)
	_, err := Confirm(ctx, f.store(healthy), Approve("00ff", "anna", anna), noon)
	wantCode(t, err, codes.PlanUnknown)
	_, hash, err := document().Encode()
	assert.NilError(t, err)
	_, err = Confirm(ctx, f.store(healthy), Approve(hash, "anna", anna), noon)
	wantCode(t, err, codes.PlanUnknown)
}

func TestConfirmAcceptsOnlyOperatorsInForce(t *testing.T) {
	f := bootstrap(t)
	doc := document()
	carla := ed25519.NewKeyFromSeed([]byte("carla-carla-carla-carla-carla-ca"))
	doc.Operators = append(doc.Operators, operator("carla", carla))
	id := put(t, f, doc)
	swapped := Approve(id, "anna", anna)
	swapped.Operator = "bilal"
	for _, a := range []Approval{
		Approve(id, "carla", carla),
		Approve(id, "anna", bilal),
		Approve(id, "nobody", anna),
		{PlanID: id, Operator: "anna"},
		swapped,
	} {
		_, err := Confirm(ctx, f.store(healthy), a, noon)
		wantCode(t, err, codes.NotAuthorized)
	}
	_, err := Confirm(ctx, f.store(healthy), Approve(id, "anna", anna), noon)
	assert.NilError(t, err)
}

// TestConfirmWithFaultsAtEveryPairOfRequests makes each pair of platform requests
// of a confirm fail in every combination of faults. After an error that says "not
// run" nothing may have changed, and after a repeat without faults the plan must
// be in force exactly once.
func TestConfirmWithFaultsAtEveryPairOfRequests(t *testing.T) {
	const requests = 12
	faults := []fault{faultUnavailable, faultLostBefore, faultLostAfter}
	base := bootstrap(t)
	approval := Approve(put(t, base, document("vm-1")), "anna", anna)
	for first := range requests {
		for second := first; second < requests; second++ {
			for _, a := range faults {
				for _, b := range faults {
					checkConfirmWithFaults(t, base.clone(), approval, first, second, a, b)
				}
			}
		}
	}
}

func checkConfirmWithFaults(t *testing.T, f *fakePlatform, approval Approval, first, second int, a, b fault) {
	t.Helper()
	n := 0
	flaky := func() fault {
		defer func() { n++ }()
		switch n {
		case first:
			return a
		case second:
			return b
		}
		return faultNone
	}
	_, err := Confirm(ctx, f.store(flaky), approval, noon)
	if e, ok := codes.From(err); ok && e.Ran == codes.NotRun {
		assert.Equal(t, len(f.rows), 2, "%d %d %d %d: %v took effect", first, second, a, b, err)
	}
	if err == nil {
		assert.Equal(t, len(f.rows), 3, "%d %d %d %d: success without effect", first, second, a, b)
	}
	res, err := Confirm(ctx, f.store(healthy), approval, later)
	assert.NilError(t, err)
	assert.Equal(t, res.Head.Version, uint64(2))
	assert.Equal(t, len(f.rows), 3)
}

func TestConfirmReportsPlatformOutage(t *testing.T) {
	f := bootstrap(t)
	id := put(t, f, document("vm-1"))
	down := func() fault { return faultUnavailable }
	_, err := Confirm(ctx, f.store(down), Approve(id, "anna", anna), noon)
	wantCode(t, err, codes.PlatformDown)

	n := 0
	lostFromCommit := func() fault {
		n++
		if n > 4 { // the first four requests read the record, base, document and head
			return faultLostAfter
		}
		return faultNone
	}
	_, err = Confirm(ctx, f.store(lostFromCommit), Approve(id, "anna", anna), noon)
	wantCode(t, err, codes.OutcomeUnknown)
	res, err := Confirm(ctx, f.store(healthy), Approve(id, "anna", anna), later)
	assert.NilError(t, err)
	assert.Assert(t, res.Already)
}
