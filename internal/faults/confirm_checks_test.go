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

// unconditional commits whatever the rows' versions are.
func unconditional(ctx context.Context, p *memory.Platform, t platform.Txn) error {
	t.Conditions = nil
	return p.Commit(ctx, t)
}

// overconfident takes a commit without an answer for one without effect.
func overconfident(ctx context.Context, p *memory.Platform, t platform.Txn) error {
	err := p.Commit(ctx, t)
	if errors.Is(err, platform.ErrUnknown) {
		return platform.ErrUnavailable
	}
	return err
}

// forgetful starts its configuration anew with each head that it reads.
type forgetful struct {
	rng *rand.Rand
	*configure.System
}

func (f *forgetful) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	if _, ok := ev.(event.HeadRead); ok {
		f.System = configure.New(configure.ApplyAll, f.rng)
		w.ConfigVersion = 0
	}
	return f.System.Handle(now, w, ev)
}

// satisfied learns nothing after its first configuration.
type satisfied struct{ *configure.System }

func (s satisfied) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	if w.ConfigVersion > 0 {
		return nil
	}
	return s.System.Handle(now, w, ev)
}

func systemsWith(broken func(*rand.Rand, *configure.System) systemstest.System) func(*rand.Rand) []systemstest.System {
	return func(rng *rand.Rand) []systemstest.System {
		return []systemstest.System{
			membership.New(membership.DefaultOptions(), rng),
			broken(rng, configure.New(configure.ApplyAll, rng)),
		}
	}
}

// brokenConfirm is a core of confirms broken on purpose and the promise that it breaks.
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
			"takes no answer for no effect", promiseNotRun, "one answer lost", confirmStep{stepCommit, false},
			func(c *confirmCore) { c.commit = overconfident },
		},
		{"forgets what is in force", promiseForward, "none", confirmStep{stepCommit, false}, func(c *confirmCore) {
			c.systems = systemsWith(func(rng *rand.Rand, s *configure.System) systemstest.System {
				return &forgetful{rng: rng, System: s}
			})
		}},
		{"learns only once", promiseInForce, "none", confirmStep{stepCommit, false}, func(c *confirmCore) {
			c.systems = systemsWith(func(_ *rand.Rand, s *configure.System) systemstest.System { return satisfied{s} })
		}},
		{
			"takes a plan for a version", promiseOnlyKnown, "platform down for one call", confirmStep{stepHeadRead, false},
			func(c *confirmCore) { c.takesPlans = true },
		},
	}
}

// TestConfirmCheckersSeeBrokenCores shows that every checker of confirms fails
// on a core that is broken on purpose, and passes the same run of the real one.
func TestConfirmCheckersSeeBrokenCores(t *testing.T) {
	seen := make(map[promise]bool)
	for _, b := range brokenConfirms() {
		seen[b.promise] = true
		t.Run(b.name+"/"+string(b.promise), func(t *testing.T) {
			core := strictConfirm()
			b.weaken(&core)
			i := slices.IndexFunc(confirmFaults(), func(f confirmFault) bool { return f.name == b.fault })
			f := confirmFaults()[i]
			assert.Assert(t, breaksConfirm(b, f, core), "no seed broke it")
			sound := runConfirm(1, f, b.at, strictConfirm())
			assert.Equal(t, len(sound.violations), 0, "%v", sound.violations)
		})
	}
	for _, p := range []promise{promiseOneWins, promiseNotRun, promiseKept, promiseForward, promiseInForce, promiseOnlyKnown} {
		assert.Check(t, seen[p], "no broken core for: %s", p)
	}
}

// breaksConfirm reports whether one of a few seeds shows the broken promise.
func breaksConfirm(b brokenConfirm, f confirmFault, core confirmCore) bool {
	for seed := uint64(1); seed <= 4; seed++ {
		for _, v := range runConfirm(seed, f, b.at, core).violations {
			if v.promise == b.promise {
				return true
			}
		}
	}
	return false
}
