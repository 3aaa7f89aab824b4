package faults

import (
	"fmt"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"github.com/pkg/errors"
)

const (
	promiseDrained        promise = "no new work for a leaving upstream after 3 s"
	promiseNoCoordination promise = "no coordination by a leaving VM after 3 s"
	promiseServes         promise = "reads get an upstream at all times"
	promiseEnforced       promise = "every proxy marks the leaving upstream or VM at the end"
	leavingReplica                = tables.UpstreamID("g-1-b")
	leavingVM                     = tables.VMID("vm-0004")
	drainLimit                    = 3 * time.Second
	drainGroups                   = 3
	choicesEachCheck              = 8
)

// drainKind is what leaves, a replica or a VM, and where that is recorded.
type drainKind struct {
	name string
	vm   bool
	// declared means that an operator's plan records it, otherwise the platform's VM
	// list.
	declared bool
}

func drainKinds() []drainKind {
	return []drainKind{
		{"replica declared leaving", false, true},
		{"replica listed leaving", false, false},
		{"VM declared leaving", true, true},
		{"VM listed leaving", true, false},
	}
}

// drainDocument returns a configuration with groups of three upstreams. If k is a
// declared drain, its replica or VM is marked as leaving.
func (r *confirmRun) drainDocument(k *drainKind) config.Document {
	doc := r.document()
	for i := range drainGroups {
		id := tables.GroupID(fmt.Sprintf("g-%d", i))
		g := config.Group{ID: id, FirstPrimary: tables.UpstreamID(id + "-a")}
		for j, name := range []string{"a", "b", "c"} {
			g.Upstreams = append(g.Upstreams, config.Upstream{
				ID:         tables.UpstreamID(string(id) + "-" + name),
				DataCentre: tables.DataCentreID(fmt.Sprintf("dc-%02d", j)),
				Address:    fmt.Sprintf("10.%d.0.%d:5432", j+1, i+1), Slots: 3, Connections: 20,
			})
		}
		doc.Groups = append(doc.Groups, g)
	}
	switch {
	case k == nil || !k.declared:
	case k.vm:
		doc.LeavingVMs = []tables.VMID{leavingVM}
	default:
		doc.Groups[1].Upstreams[1].Leaving = true
	}
	return doc
}

// drainChecker checks that proxies stop using the leaving replica or VM in time.
type drainChecker struct {
	kind drainKind
	// published means that the drain is recorded on the platform.
	published bool
	// overdue is how long a proxy has used the leaving replica or VM although it
	// could have received the drain.
	overdue map[tables.VMID]time.Duration
}

// marksLeaving reports whether a proxy's tables mark the replica or VM as leaving.
func (d *drainChecker) marksLeaving(vm *systemstest.VM) bool {
	if d.kind.vm {
		row, _ := vm.World.VMs.Get(leavingVM)
		return row.Leaving
	}
	u, _ := vm.World.Upstreams.Get(leavingReplica)
	return u.Leaving
}

// canReceiveDrain reports whether a proxy reaches the platform or another proxy
// that has received the drain.
func (d *drainChecker) canReceiveDrain(r *confirmRun, vm *systemstest.VM) bool {
	if !vm.Running || vm.Paused {
		return false
	}
	if !r.platformDown(vm.World.DataCentre) {
		return true
	}
	return slices.ContainsFunc(r.cluster.VMs, func(other *systemstest.VM) bool {
		return other.Running && !other.Paused && d.marksLeaving(other) && !r.cluster.Partitioned(vm.World.DataCentre, other.World.DataCentre)
	})
}

// checkTick checks the proxies after a tick.
func (d *drainChecker) checkTick(r *confirmRun) {
	for _, vm := range r.cluster.VMs {
		if !d.published || !vm.Running || vm.Paused || vm.World.ConfigVersion == 0 {
			d.overdue[vm.World.Self] = 0
			continue
		}
		if !d.choosesLeaving(r, vm) || !d.canReceiveDrain(r, vm) {
			d.overdue[vm.World.Self] = 0
			continue
		}
		d.overdue[vm.World.Self] += systemstest.TickInterval
		if d.overdue[vm.World.Self] > drainLimit {
			r.checks.fail(d.promise(), "%s at %v", vm.World.Self, r.cluster.Now)
		}
	}
}

func (d *drainChecker) promise() promise {
	if d.kind.vm {
		return promiseNoCoordination
	}
	return promiseDrained
}

// choosesLeaving reports whether the proxy would still choose the leaving replica
// or VM.
func (d *drainChecker) choosesLeaving(r *confirmRun, vm *systemstest.VM) bool {
	if d.kind.vm {
		return slices.ContainsFunc(vm.World.Groups.Keys(), func(g tables.GroupID) bool {
			return slices.Contains(membership.Candidates(vm.World, g), leavingVM)
		})
	}
	chosen := choices(r.cluster.Now, vm.World)
	if slices.Contains(chosen, "") {
		r.checks.fail(promiseServes, "%s at %v", vm.World.Self, r.cluster.Now)
	}
	return slices.Contains(chosen, leavingReplica)
}

// choices returns the upstreams that route.Choose picks for reads of the group
// when all its servers are reachable and up to date.
func choices(elapsed time.Duration, w *tables.World) []tables.UpstreamID {
	const id = tables.GroupID("g-1")
	now, last := tables.Time(elapsed), tables.Position{LogTerm: 1, Index: 1}
	seen := tables.NewWorld(w.Self, w.DataCentre, w.PeerAddress)
	g, _ := w.Groups.Get(id)
	g.Confirmed = tables.ConfirmedPoint{Term: 1, Position: last, SentAt: now}
	seen.Groups.Put(id, g)
	for _, m := range g.Members {
		u, _ := w.Upstreams.Get(m)
		u.HasStatus = true
		u.Status = tables.Status{Fenced: 1, Last: last}
		seen.Upstreams.Put(m, u)
	}
	snapshot := route.Build(now, seen, nil)
	var out []tables.UpstreamID
	for i := range uint64(choicesEachCheck) {
		// The halves of Random select the two servers that Choose compares.
		request := route.Request{Group: id, Tags: &tags.Tags{MaxAge: age(0)}, ArrivedAt: now, Random: i | i<<33}
		out = append(out, route.Choose(now, snapshot, &request).Upstream)
	}
	return out
}

// leave records the drain on the platform.
func (r *confirmRun) leave(d *drainChecker) {
	switch {
	case d.kind.declared:
		r.confirm(r.operators[0])
		if !r.operators[0].won {
			panic(errors.New("the drain was not confirmed"))
		}
	case d.kind.vm:
		r.list(leavingVM)
	default:
		r.cluster.List = append(slices.Clone(r.cluster.List), platform.ListedVM{ID: string(leavingReplica), DataCentre: "dc-01", Leaving: true})
	}
	d.published = true
}

// list marks a VM as leaving in the platform's list.
func (r *confirmRun) list(id tables.VMID) {
	r.cluster.List = slices.Clone(r.cluster.List)
	for i, vm := range r.cluster.List {
		if vm.ID == string(id) {
			r.cluster.List[i].Leaving = true
		}
	}
}
