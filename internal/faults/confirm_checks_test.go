package faults

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/configure"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// unconditional commits a transaction without its conditions.
func unconditional(ctx context.Context, p *memory.Platform, t platform.Txn) error {
	t.Conditions = nil
	return p.Commit(ctx, t)
}

// reportUnknownAsUnavailable reports a commit with an unknown outcome as one that
// had no effect.
func reportUnknownAsUnavailable(ctx context.Context, p *memory.Platform, t platform.Txn) error {
	err := p.Commit(ctx, t)
	if errors.Is(err, platform.ErrUnknown) {
		return platform.ErrUnavailable
	}
	return err
}

// restartsOnHeadRead discards its configuration whenever it reads the head.
type restartsOnHeadRead struct {
	rng *rand.Rand
	*configure.System
}

func (r *restartsOnHeadRead) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	if _, ok := ev.(event.HeadRead); ok {
		r.System = configure.New(configure.ApplyAll, r.rng)
		w.ConfigVersion = 0
	}
	return r.System.Handle(now, w, ev)
}

// appliesFirstVersion ignores all events after its first configuration.
type appliesFirstVersion struct{ *configure.System }

func (a appliesFirstVersion) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	if w.ConfigVersion > 0 {
		return nil
	}
	return a.System.Handle(now, w, ev)
}

func systemsWith(broken func(*rand.Rand, *configure.System) systemstest.System) func(*rand.Rand) []systemstest.System {
	return func(rng *rand.Rand) []systemstest.System {
		return []systemstest.System{
			membership.New(membership.DefaultOptions(), rng),
			broken(rng, configure.New(configure.ApplyAll, rng)),
		}
	}
}

// brokenConfirm is a core of confirms that is broken on purpose, and the promise
// that it breaks.
type brokenConfirm struct {
	name    string
	promise promise
	fault   string
	at      confirmStep
	weaken  func(*confirmCore)
}

func brokenConfirms() []brokenConfirm {
	noConditions := func(c *confirmCore) { c.commit = unconditional }
	return []brokenConfirm{
		{"commits without conditions", promiseOneWins, "none", confirmStep{stepCommit, true}, noConditions},
		{"commits without conditions", promiseKept, "none", confirmStep{stepCommit, true}, noConditions},
		{
			"reports a lost reply as no effect", promiseNotRun, "one answer lost", confirmStep{stepCommit, false},
			func(c *confirmCore) { c.commit = reportUnknownAsUnavailable },
		},
		{"discards its configuration", promiseForward, "none", confirmStep{stepCommit, false}, func(c *confirmCore) {
			c.systems = systemsWith(func(rng *rand.Rand, s *configure.System) systemstest.System {
				return &restartsOnHeadRead{rng: rng, System: s}
			})
		}},
		{"applies only the first version", promiseInForce, "none", confirmStep{stepCommit, false}, func(c *confirmCore) {
			c.systems = systemsWith(func(_ *rand.Rand, s *configure.System) systemstest.System { return appliesFirstVersion{s} })
		}},
		{
			"applies a stored plan", promiseOnlyAccepted, "platform down for one call", confirmStep{stepHeadRead, false},
			func(c *confirmCore) { c.acceptsStoredPlans = true },
		},
	}
}

// TestConfirmCheckersDetectBrokenCores checks that every checker of confirms
// fails on a core that is broken on purpose, and passes on the real core.
func TestConfirmCheckersDetectBrokenCores(t *testing.T) {
	seen := make(map[promise]bool)
	for _, b := range brokenConfirms() {
		seen[b.promise] = true
		t.Run(b.name+"/"+string(b.promise), func(t *testing.T) {
			core := strictConfirm()
			b.weaken(&core)
			i := slices.IndexFunc(confirmFaults(), func(f confirmFault) bool { return f.name == b.fault })
			f := confirmFaults()[i]
			assert.Assert(t, violatesConfirm(b, f, core), "no seed showed the violation")
			sound := runConfirm(1, f, b.at, strictConfirm())
			assert.Equal(t, len(sound.violations), 0, "%v", sound.violations)
		})
	}
	for _, p := range []promise{promiseOneWins, promiseNotRun, promiseKept, promiseForward, promiseInForce, promiseOnlyAccepted} {
		assert.Check(t, seen[p], "no broken core for: %s", p)
	}
}

// violatesConfirm reports whether one of a few seeds shows the broken promise.
func violatesConfirm(b brokenConfirm, f confirmFault, core confirmCore) bool {
	for seed := uint64(1); seed <= 4; seed++ {
		for _, v := range runConfirm(seed, f, b.at, core).violations {
			if v.promise == b.promise {
				return true
			}
		}
	}
	return false
}
