package faults

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/configure"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// ignoresVMList ignores the platform's VM list.
type ignoresVMList struct{ *membership.System }

func (l ignoresVMList) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	if _, ok := ev.(event.VMsListed); ok {
		return nil
	}
	return l.System.Handle(now, w, ev)
}

// applying returns the systems of a proxy that applies configurations with apply.
func applying(apply configure.ApplyFunc) func(*rand.Rand) []systemstest.System {
	return func(rng *rand.Rand) []systemstest.System {
		return []systemstest.System{membership.New(membership.DefaultOptions(), rng), configure.New(apply, rng)}
	}
}

// ignoreLeavingUpstreams ignores that upstreams are declared leaving.
func ignoreLeavingUpstreams(_ tables.Time, w *tables.World, doc config.Document) {
	configure.Apply(w, w.ConfigVersion, doc)
	for id, u := range w.Upstreams.All() {
		u.DeclaredLeaving, u.Leaving = false, false
		w.Upstreams.Put(id, u)
	}
}

// dropGroups drops the groups that have a leaving upstream.
func dropGroups(_ tables.Time, w *tables.World, doc config.Document) {
	leaves := func(u config.Upstream) bool { return u.Leaving }
	doc.Groups = slices.DeleteFunc(slices.Clone(doc.Groups), func(g config.Group) bool {
		return slices.ContainsFunc(g.Upstreams, leaves)
	})
	configure.Apply(w, w.ConfigVersion, doc)
}

func withoutLists(rng *rand.Rand) []systemstest.System {
	opts := membership.DefaultOptions()
	for i := range confirmVMs {
		opts.Seeds = append(opts.Seeds, seedVM(i))
	}
	return []systemstest.System{ignoresVMList{membership.New(opts, rng)}, configure.New(configure.ApplyAll, rng)}
}

// TestDrainCheckersDetectBrokenCores checks that every checker of drains fails on
// a core that is broken on purpose, and passes on the real core.
func TestDrainCheckersDetectBrokenCores(t *testing.T) {
	kinds := drainKinds()
	cases := []struct {
		name    string
		promise promise
		kind    drainKind
		systems func(*rand.Rand) []systemstest.System
	}{
		{"ignores declared upstreams", promiseDrained, kinds[0], applying(ignoreLeavingUpstreams)},
		{"ignores declared upstreams", promiseEnforced, kinds[0], applying(ignoreLeavingUpstreams)},
		{"ignores the VM list", promiseDrained, kinds[1], withoutLists},
		{"ignores the VM list", promiseNoCoordination, kinds[3], withoutLists},
		{"drops the group", promiseServes, kinds[0], applying(dropGroups)},
	}
	none, atOnce := confirmFaults()[0], drainMoments()[1]
	for _, c := range cases {
		t.Run(c.name+"/"+string(c.promise), func(t *testing.T) {
			core := strictConfirm()
			core.systems = c.systems
			broken := runDrain(1, none, c.kind, atOnce, core)
			assert.Assert(t, slices.ContainsFunc(broken.violations, func(v violation) bool { return v.promise == c.promise }),
				"%v", broken.violations)
			sound := runDrain(1, none, c.kind, atOnce, strictConfirm())
			assert.Equal(t, len(sound.violations), 0, "%v", sound.violations)
		})
	}
}
