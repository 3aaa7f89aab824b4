package faults

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/systems/configure"
	"github.com/cranberrystage/cranberrystage/internal/systems/membership"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	confirmVMs         = 10
	confirmDataCentres = 3
	// operatorTimeout is the timeout of a platform request by an operator's tool.
	operatorTimeout = 2 * time.Second
	// operatorPause is the time between two attempts of a confirm.
	operatorPause = time.Second
	// confirmFaultTime is how long a fault of a confirm lasts.
	confirmFaultTime = 9 * time.Second
	// clusterJoinTime is enough for all VMs to discover each other and receive the
	// first version.
	clusterJoinTime = 8 * time.Second
)

const (
	stepPlanStored step = "plan stored"
	stepHeadRead   step = "head read"
	stepCommit     step = "commit"
	stepCommitted  step = "answer"
)

// confirmCore is the code under test: the commit of a confirm, and the systems
// that distribute the accepted version.
type confirmCore struct {
	// commit commits a transaction on the platform.
	commit func(context.Context, *memory.Platform, platform.Txn) error
	// systems returns the systems of one VM.
	systems func(*rand.Rand) []systemstest.System
	// acceptsStoredPlans makes the proxies apply a stored plan that is not accepted.
	acceptsStoredPlans bool
}

func strictConfirm() confirmCore {
	return confirmCore{
		commit: func(ctx context.Context, p *memory.Platform, t platform.Txn) error {
			return p.Commit(ctx, t)
		},
		systems: distributionSystems,
	}
}

func distributionSystems(rng *rand.Rand) []systemstest.System {
	opts := membership.DefaultOptions()
	opts.Seeds = []tables.VM{seedVM(1)}
	return []systemstest.System{membership.New(opts, rng), configure.New(configure.ApplyAll, rng)}
}

// seedVM returns VM number i as it appears in a settings file.
func seedVM(i int) tables.VM {
	return tables.VM{
		ID:          tables.VMID(fmt.Sprintf("vm-%04d", i)),
		DataCentre:  tables.DataCentreID(fmt.Sprintf("dc-%02d", i%confirmDataCentres)),
		PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i),
	}
}

// operator is one of two operators who confirm plans with the same base version.
type operator struct {
	name    string
	key     ed25519.PrivateKey
	planID  string
	decided bool
	won     bool
}

func newOperator(name string) *operator {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return &operator{name: name, key: ed25519.NewKeyFromSeed(seed)}
}

func (o *operator) declared() config.Operator {
	public := o.key.Public().(ed25519.PublicKey)
	return config.Operator{Name: o.name, PublicKey: base64.StdEncoding.EncodeToString(public)}
}

// confirmRun is one run with operators, the platform and proxies.
type confirmRun struct {
	core   confirmCore
	memory *memory.Platform
	// fault is the platform's current fault.
	fault     memory.Fault
	cluster   *systemstest.Cluster
	operators []*operator
	// late is a VM that stays stopped until a fault or the end of the faults starts
	// it.
	late *systemstest.VM
	// cutOff is the data centre that is cut off from the others and the platform.
	cutOff tables.DataCentreID
	// platformCut are the data centres that are cut off from the platform.
	platformCut []tables.DataCentreID
	onStep      func(step)
	// onTick is called after each tick; may be nil.
	onTick func()
	checks *confirmChecker
}

func newConfirmRun(seed uint64, core confirmCore) *confirmRun {
	r := &confirmRun{core: core, memory: memory.New(), checks: newConfirmChecker()}
	r.cluster = systemstest.NewCluster(seed, confirmVMs, confirmDataCentres, core.systems)
	r.cluster.PlatformDown = r.platformDown
	r.cluster.Partitioned = func(a, b tables.DataCentreID) bool { return a != b && (a == r.cutOff || b == r.cutOff) }
	r.memory.Sleep = func(_ context.Context, d time.Duration) error {
		r.run(min(d, operatorTimeout))
		if d > operatorTimeout {
			return context.DeadlineExceeded
		}
		return nil
	}
	r.operators = []*operator{newOperator("anna"), newOperator("bilal")}
	return r
}

func (r *confirmRun) platformDown(dc tables.DataCentreID) bool {
	if dc == r.cutOff && dc != "" {
		return true
	}
	for _, cut := range r.platformCut {
		if cut == dc {
			return true
		}
	}
	return r.fault.Calls == 0 && noReplyInTime(r.fault)
}

// noReplyInTime reports whether a fault prevents a reply within operatorTimeout.
func noReplyInTime(f memory.Fault) bool {
	switch f.Kind {
	case memory.FaultDown, memory.FaultLoseAnswer:
		return true
	case memory.FaultSlow:
		return f.Delay > operatorTimeout
	default:
		return false
	}
}

// inject sets a fault of the platform for operators and proxies.
func (r *confirmRun) inject(f memory.Fault) {
	r.fault = f
	r.memory.Faults.Inject(f)
	r.cluster.PlatformDelay = 0
	if f.Kind == memory.FaultSlow {
		r.cluster.PlatformDelay = f.Delay
	}
}

// run advances the clock by d and checks the proxies at each tick.
func (r *confirmRun) run(d time.Duration) {
	for end := r.cluster.Now + d; r.cluster.Now < end; {
		r.cluster.Run(min(systemstest.TickInterval, end-r.cluster.Now))
		r.checks.checkTick(r)
		if r.onTick != nil {
			r.onTick()
		}
	}
}

func (r *confirmRun) notifyStep(s step) {
	if r.onStep != nil {
		r.onStep(s)
	}
}

// document returns a configuration with the operators and the given leaving VMs.
func (r *confirmRun) document(leaving ...tables.VMID) config.Document {
	doc := config.Document{LeavingVMs: leaving}
	for _, o := range r.operators {
		doc.Operators = append(doc.Operators, o.declared())
	}
	return doc
}

// prepare stores the operator's plan. It fails only because of a platform fault.
func (r *confirmRun) prepare(o *operator, doc config.Document) error {
	s := r.store()
	cur, err := s.Current(context.Background())
	if err != nil {
		return err
	}
	p, err := plan.Make(cur.Head.Version, cur.Document, doc, plan.State{})
	if err != nil {
		return err
	}
	if err := s.Put(context.Background(), p, doc); err != nil {
		return err
	}
	o.planID = p.ID
	if r.core.acceptsStoredPlans {
		r.cluster.Head = config.Head{Version: p.BaseVersion + 1, Hash: p.DocumentHash}
		r.cluster.Document = doc
	}
	return nil
}

// confirm makes one attempt to confirm the operator's plan.
func (r *confirmRun) confirm(o *operator) {
	before := r.memory.Outcome("confirm-" + o.planID)
	at := time.Unix(0, int64(r.cluster.Now))
	_, err := plan.Confirm(context.Background(), r.store(), plan.Approve(o.planID, o.name, o.key), at)
	after := r.memory.Outcome("confirm-" + o.planID)
	e, coded := codes.From(err)
	if coded && e.Ran == codes.NotRun && before != after && after == memory.OutcomeApplied {
		r.checks.fail(promiseNotRun, "%s received %v", o.name, err)
	}
	open := coded && (e.Code == codes.PlatformDown || e.Code == codes.OutcomeUnknown)
	o.decided = err == nil || !open
	o.won = err == nil
}

func (r *confirmRun) store() plan.Store {
	return plan.Store{Tables: confirmTables{r}, Objects: r.memory.Objects()}
}

// confirmTables is the operators' access to the platform's table. It notifies the
// run of the steps of a confirm.
type confirmTables struct{ run *confirmRun }

func (t confirmTables) Get(ctx context.Context, key string) (platform.Row, error) {
	if key == config.HeadKey {
		t.run.notifyStep(stepHeadRead)
	}
	return t.run.memory.Get(ctx, key)
}

func (t confirmTables) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	return t.run.memory.List(ctx, prefix)
}

func (t confirmTables) Commit(ctx context.Context, txn platform.Txn) error {
	t.run.notifyStep(stepCommit)
	err := t.run.core.commit(ctx, t.run.memory, txn)
	if t.run.memory.Outcome(txn.ID) == memory.OutcomeApplied {
		t.run.accepted()
	}
	t.run.notifyStep(stepCommitted)
	return err
}

// accepted makes the platform's current head visible to the proxies.
func (r *confirmRun) accepted() {
	cur, err := r.storeWithoutFaults().Current(context.Background())
	if err != nil {
		panic(errors.Wrap(err, "read the head"))
	}
	if r.fault.Calls == 0 {
		r.memory.Faults.Inject(r.fault)
	}
	r.checks.accept(cur.Head)
	if cur.Head.Version > r.cluster.Head.Version {
		r.cluster.Head, r.cluster.Document = cur.Head, cur.Document
	}
}

// storeWithoutFaults clears the platform's faults and returns its store; the
// caller restores the faults.
func (r *confirmRun) storeWithoutFaults() plan.Store {
	r.memory.Faults.Clear()
	return plan.Store{Tables: r.memory, Objects: r.memory.Objects()}
}
