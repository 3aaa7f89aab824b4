package plan

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/declare"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"gotest.tools/v3/assert"
)

func batbayar(t *testing.T) config.Document {
	t.Helper()
	doc, err := declare.Load("../../deploy/batbayar")
	assert.NilError(t, err)
	return doc
}

// observed returns the state of a system with two proxies in which stock1-b is
// the primary of stock1. The second proxy reports an earlier term.
func observed() State {
	group := statusapi.Group{Group: "stock1", Term: 2, Primary: "stock1-b", Upstreams: []statusapi.Upstream{
		{Upstream: "stock1-b", Connections: 4},
	}}
	old := statusapi.Group{Group: "stock1", Term: 1, Primary: "stock1-a"}
	callers := []statusapi.ServiceCallers{{Service: "stock-ledger", Open: 10}}
	return Observe([]statusapi.Status{
		{VM: "vm-1", DataCentre: "ub-east", Groups: []statusapi.Group{group}, Callers: callers},
		{VM: "vm-2", DataCentre: "ub-west", Groups: []statusapi.Group{old}, Callers: callers},
	})
}

func TestDrainingPrimaryPlansPrimaryMove(t *testing.T) {
	old, new := batbayar(t), batbayar(t)
	new.Groups[0].Upstreams[1].Leaving = true
	p, err := Make(7, old, new, observed())
	assert.NilError(t, err)
	assert.DeepEqual(t, p.Changes, []Change{
		{Leaving, "upstream stock1-b", "The server receives no new work."},
		{PrimaryMove, "group stock1", "The primary stock1-b gives way to another server at a new term."},
	})
	assert.DeepEqual(t, p.Cost, Cost{
		ConnectionsMoved: 4,
		SessionsTouched:  20,
		PrimaryMoves:     1,
		WriteGap:         config.Duration(plannedWriteGap),
		ReplicaShares:    []ReplicaShare{{Service: "stock-ledger", Before: 18.0 / 27, After: 15.0 / 24}},
		TableRequests:    3 + 2*2 + 2,
		RolloutTime:      config.Duration(2 * time.Second),
		Counted:          true,
	})
}

func TestUnreportedConnectionsCountAsDeclaredLimit(t *testing.T) {
	old, new := batbayar(t), batbayar(t)
	new.Groups[0].Upstreams[1].Leaving = true
	state := Observe([]statusapi.Status{{Groups: []statusapi.Group{{Group: "stock1", Upstreams: []statusapi.Upstream{{Upstream: "stock1-b"}}}}}})
	p, err := Make(7, old, new, state)
	assert.NilError(t, err)
	assert.Equal(t, p.Cost.ConnectionsMoved, 20)
	assert.Assert(t, !p.Cost.Counted)
}

func TestDiffReportsChangeOfEachField(t *testing.T) {
	cases := []struct {
		edit func(*config.Document)
		want string
	}{
		{func(d *config.Document) { d.Services[0].Deadline++ }, "The deadline changes from 5s to 5.000000001s."},
		{func(d *config.Document) { d.Services[0].QueueLimit++ }, "The queue limit changes from 200 to 201."},
		{func(d *config.Document) { d.Services[0].Weight++ }, "The weight changes from 1 to 2."},
		{func(d *config.Document) { d.Services[0].Intents[3].Idempotent = false }, "Intent shelf-price: reads data of up to 5s, not idempotent, priority 1; it was reads data of up to 5s, idempotent, priority 1."},
		{func(d *config.Document) { d.Services[0].Objectives[2].Target = 0.5 }, "Objective latency: a share of 0.5 within 50ms; it was a share of 0.99 within 50ms."},
		{func(d *config.Document) { delete(d.Services[0].Databases, "stock1") }, "Database stock1 closes; it was on group stock1."},
		{func(d *config.Document) { d.Services[0].Databases["stock1"] = "stock9" }, "Database stock1 moves from group stock1 to stock9; no data is copied."},
		{func(d *config.Document) { d.Groups[0].FirstPrimary = "stock1-c" }, "The first primary changes to stock1-c; a group that has a primary keeps it."},
		{func(d *config.Document) { d.Groups[0].Upstreams[0].Slots++ }, "Slots change from 3 to 4."},
		{func(d *config.Document) { d.Groups[0].Upstreams[0].Connections++ }, "Connections change from 20 to 21."},
		{func(d *config.Document) { d.Groups[0].Upstreams[0].Address = "127.0.0.1:1" }, "The address changes from 127.0.0.1:7111 to 127.0.0.1:1."},
		{func(d *config.Document) { d.Groups[0].Upstreams[0].DataCentre = "x" }, "The data centre changes from ub-east to x."},
		{func(d *config.Document) { d.Groups = d.Groups[1:] }, "The group is forgotten; its servers keep their data."},
		{func(d *config.Document) { d.Services = nil }, "The service closes; its callers are refused with code 102."},
		{func(d *config.Document) { d.Users = nil }, "The user may not log in any more; open connections stay."},
		{func(d *config.Document) { d.Operators[0].PublicKey = "" }, "The operator has another key."},
		{func(d *config.Document) { d.LeavingVMs = append(d.LeavingVMs, "vm-1") }, "The VM takes no new callers and is drained."},
	}
	for _, c := range cases {
		old, new := batbayar(t), batbayar(t)
		c.edit(&new)
		p, err := Make(1, old, new, State{})
		assert.NilError(t, err)
		assert.Equal(t, p.Changes[0].Text, c.want)
	}
}

func TestPlanIDDependsOnlyOnBaseAndDocument(t *testing.T) {
	old, new := batbayar(t), batbayar(t)
	new.LeavingVMs = append(new.LeavingVMs, "vm-1")
	one, err := Make(3, old, new, State{})
	assert.NilError(t, err)
	two, err := Make(3, old, new, observed())
	assert.NilError(t, err)
	assert.Equal(t, one.ID, two.ID)
	other, err := Make(4, old, new, State{})
	assert.NilError(t, err)
	assert.Assert(t, one.ID != other.ID)
}

func TestMakeRejectsEqualDocuments(t *testing.T) {
	_, err := Make(1, batbayar(t), batbayar(t), State{})
	wantCode(t, err, codes.NothingToChange)
}

func TestMakeRejectsLossOfMajority(t *testing.T) {
	old, new := batbayar(t), batbayar(t)
	old.Groups[0].Upstreams[0].Leaving = true
	new.Groups[0].Upstreams[0].Leaving = true
	new.Groups[0].Upstreams[1].Leaving = true
	_, err := Make(1, old, new, State{})
	wantCode(t, err, codes.DeclarationBad)
}

func TestMakeRejectsChangeOfTwoServersInOneGroup(t *testing.T) {
	old, new := batbayar(t), batbayar(t)
	new.Groups[0].Upstreams[1].ID = "stock1-d"
	_, err := Make(1, old, new, State{})
	wantCode(t, err, codes.DeclarationBad)
	new = batbayar(t)
	new.Groups[0].Upstreams = append(new.Groups[0].Upstreams, config.Upstream{ID: "stock1-d"})
	_, err = Make(1, old, new, State{})
	assert.NilError(t, err)
}
