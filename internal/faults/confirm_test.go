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
	// operatorTimeout is when an operator's tool gives a platform request up.
	operatorTimeout = 2 * time.Second
	// operatorPause is the time between two attempts of a confirm.
	operatorPause = time.Second
	// holdConfirm is how long a fault of a confirm lasts.
	holdConfirm = 9 * time.Second
	// joinCluster lets all VMs hear of each other and get the first version.
	joinCluster = 8 * time.Second
)

const (
	stepPlanStored step = "plan stored"
	stepHeadRead   step = "head read"
	stepCommit     step = "commit"
	stepCommitted  step = "answer"
)

// confirmCore is what a confirm and its spread run on.
type confirmCore struct {
	// commit passes a transaction on to the platform.
	commit func(context.Context, *memory.Platform, platform.Txn) error
	// systems returns the systems of one VM.
	systems func(*rand.Rand) []systemstest.System
	// takesPlans lets the proxies take a stored plan for an accepted one.
	takesPlans bool
}

func strictConfirm() confirmCore {
	return confirmCore{
		commit: func(ctx context.Context, p *memory.Platform, t platform.Txn) error {
			return p.Commit(ctx, t)
		},
		systems: spreadSystems,
	}
}

func spreadSystems(rng *rand.Rand) []systemstest.System {
	opts := membership.DefaultOptions()
	opts.Seeds = []tables.VM{seedVM(1)}
	return []systemstest.System{membership.New(opts, rng), configure.New(configure.ApplyAll, rng)}
}

// seedVM returns VM number i as a settings file would name it.
func seedVM(i int) tables.VM {
	return tables.VM{
		ID:          tables.VMID(fmt.Sprintf("vm-%04d", i)),
		DataCentre:  tables.DataCentreID(fmt.Sprintf("dc-%02d", i%confirmDataCentres)),
		PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i),
	}
}

// operator is one of two people who confirm plans on the same base.
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

// confirmRun is one run of operators, platform and proxies.
type confirmRun struct {
	core      confirmCore
	memory    *memory.Platform
	fault     memory.Fault
	cluster   *systemstest.Cluster
	operators []*operator
	// late is stopped until a fault starts it.
	late   *systemstest.VM
	cutOff tables.DataCentreID
	// platformCut are the data centres cut from the platform.
	platformCut []tables.DataCentreID
	onStep      func(step)
	// onTick lets a further checker look after each tick; nil for none.
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
	return r.fault.Calls == 0 && withholds(r.fault)
}

// withholds reports whether no answer comes, or none in time.
func withholds(f memory.Fault) bool {
	switch f.Kind {
	case memory.FaultDown, memory.FaultLoseAnswer:
		return true
	case memory.FaultSlow:
		return f.Delay > operatorTimeout
	default:
		return false
	}
}

// inject puts a fault of the platform in effect for operators and proxies.
func (r *confirmRun) inject(f memory.Fault) {
	r.fault = f
	r.memory.Faults.Inject(f)
	r.cluster.PlatformDelay = 0
	if f.Kind == memory.FaultSlow {
		r.cluster.PlatformDelay = f.Delay
	}
}

// run lets d pass and checks the proxies at each tick.
func (r *confirmRun) run(d time.Duration) {
	for end := r.cluster.Now + d; r.cluster.Now < end; {
		r.cluster.Run(min(systemstest.TickInterval, end-r.cluster.Now))
		r.checks.look(r)
		if r.onTick != nil {
			r.onTick()
		}
	}
}

func (r *confirmRun) reach(s step) {
	if r.onStep != nil {
		r.onStep(s)
	}
}

// document returns the configuration that the operator declares.
func (r *confirmRun) document(leaving ...tables.VMID) config.Document {
	doc := config.Document{LeavingVMs: leaving}
	for _, o := range r.operators {
		doc.Operators = append(doc.Operators, o.declared())
	}
	return doc
}

// prepare stores the operator's plan; it fails only by the faults of the platform.
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
	if r.core.takesPlans {
		r.cluster.Head = config.Head{Version: p.BaseVersion + 1, Hash: p.DocumentHash}
		r.cluster.Document = doc
	}
	return nil
}

// confirm makes one attempt.
func (r *confirmRun) confirm(o *operator) {
	before := r.memory.Outcome("confirm-" + o.planID)
	at := time.Unix(0, int64(r.cluster.Now))
	_, err := plan.Confirm(context.Background(), r.store(), plan.Approve(o.planID, o.name, o.key), at)
	after := r.memory.Outcome("confirm-" + o.planID)
	e, coded := codes.From(err)
	if coded && e.Ran == codes.NotRun && before != after && after == memory.OutcomeApplied {
		r.checks.fail(promiseNotRun, "%s was told %v", o.name, err)
	}
	open := coded && (e.Code == codes.PlatformDown || e.Code == codes.OutcomeUnknown)
	o.decided = err == nil || !open
	o.won = err == nil
}

func (r *confirmRun) store() plan.Store {
	return plan.Store{Tables: confirmTables{r}, Objects: r.memory.Objects()}
}

// confirmTables is the operators' way to the platform's table.
type confirmTables struct{ run *confirmRun }

func (t confirmTables) Get(ctx context.Context, key string) (platform.Row, error) {
	if key == config.HeadKey {
		t.run.reach(stepHeadRead)
	}
	return t.run.memory.Get(ctx, key)
}

func (t confirmTables) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	return t.run.memory.List(ctx, prefix)
}

func (t confirmTables) Commit(ctx context.Context, txn platform.Txn) error {
	t.run.reach(stepCommit)
	err := t.run.core.commit(ctx, t.run.memory, txn)
	if t.run.memory.Outcome(txn.ID) == memory.OutcomeApplied {
		t.run.accepted()
	}
	t.run.reach(stepCommitted)
	return err
}

// accepted shows the proxies the head that the platform holds.
func (r *confirmRun) accepted() {
	cur, err := r.undisturbed().Current(context.Background())
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

// undisturbed returns the platform's store without faults; the caller puts
// them back.
func (r *confirmRun) undisturbed() plan.Store {
	r.memory.Faults.Clear()
	return plan.Store{Tables: r.memory, Objects: r.memory.Objects()}
}
