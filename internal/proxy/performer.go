package proxy

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	// controlTimeout bounds one control call: fence, promote, follow or terminate.
	controlTimeout = time.Second
	// platformTimeout bounds a request to the platform, including retries.
	platformTimeout = 6 * time.Second
	// lostPathTimeout is how long a response may be outstanding on a connection once
	// other connections to its upstream have lost their network path.
	lostPathTimeout = time.Second
	// groupRowPrefix followed by a group's name is the key of the group's row.
	groupRowPrefix = "group/"
)

// performer executes the core's actions without blocking the core.
type performer struct {
	ctx          context.Context
	core         *core
	upstreams    *upstreams
	bus          peer.Bus
	tables       platform.Tables
	objects      platform.Objects
	vms          platform.VMs
	probeTimeout time.Duration
	log          *slog.Logger
	// onApplied is called with each configuration that was put in force.
	onApplied func(version uint64, doc config.Document)
}

// perform starts an action. It is called in the core's goroutine.
func (p *performer) perform(now tables.Time, w *tables.World, a action.Action) {
	switch a := a.(type) {
	case action.Probe:
		go p.doProbe(a, now)
	case action.Fence:
		go p.control(a.Group, a.Upstream, a.Term, tables.StepFence, func(ctx context.Context, s group.Server) (tables.Status, error) {
			return s.Fence(ctx, a.Term)
		})
	case action.Promote:
		go p.control(a.Group, a.Upstream, a.Term, tables.StepPromote, func(ctx context.Context, s group.Server) (tables.Status, error) {
			return s.Promote(ctx, a.Term)
		})
	case action.Follow:
		p.follow(w, a)
	case action.Publish:
		p.publish(w, a)
	case action.ReadGroupRow:
		go p.readGroupRow(a)
	case action.WriteGroupRow:
		go p.writeGroupRow(a)
	case action.ListVMs:
		go p.listVMs()
	case action.ReadHead:
		go p.readHead()
	case action.LoadDocument:
		go p.loadDocument(a)
	case action.LoadDelta:
		go p.loadDelta(a)
	case action.ApplyDocument:
		p.applyDocument(a)
	case action.CloseConnections:
		p.closeConnections(a)
	case action.TerminateSessions:
		go p.terminateSessions(a)
	}
}

func (p *performer) doProbe(a action.Probe, sentAt tables.Time) {
	ctx, cancel := context.WithTimeout(p.ctx, p.probeTimeout)
	defer cancel()
	st, cause := p.upstreams.probe(ctx, a.Upstream, a.Fresh)
	p.core.Report(event.ProbeDone{Upstream: a.Upstream, SentAt: sentAt, Status: st, Cause: cause, Fresh: a.Fresh})
}

func (p *performer) control(g tables.GroupID, u tables.UpstreamID, term tables.Term, step tables.Step,
	call func(context.Context, group.Server) (tables.Status, error)) {
	done := event.ControlDone{Group: g, Upstream: u, Term: term, Step: step, Outcome: event.OutcomeFailed}
	if r, ok := p.upstreams.get(u); ok {
		ctx, cancel := context.WithTimeout(p.ctx, controlTimeout)
		defer cancel()
		st, err := call(ctx, r.control)
		done.Status = st
		done.Outcome = controlOutcome(err)
		p.logControl(g, u, term, step, err)
	}
	p.core.Report(done)
}

func (p *performer) logControl(g tables.GroupID, u tables.UpstreamID, term tables.Term, step tables.Step, err error) {
	log := p.log.With("group", g, "upstream", u, "term", term, "step", step)
	if err != nil {
		log.Warn("Control call failed.", "error", err)
		return
	}
	log.Info("Control call succeeded.")
}

// controlOutcome returns the outcome for the error of a control call. A call
// without a response may have taken effect.
func controlOutcome(err error) event.Outcome {
	switch {
	case err == nil:
		return event.OutcomeOK
	case errors.Is(err, group.ErrFenced):
		return event.OutcomeFenced
	default:
		return event.OutcomeUnknown
	}
}

func (p *performer) follow(w *tables.World, a action.Follow) {
	primary, ok := w.Upstreams.Get(a.Primary)
	if !ok {
		return
	}
	go p.control(a.Group, a.Upstream, a.Term, tables.StepFollow, func(ctx context.Context, s group.Server) (tables.Status, error) {
		return s.Follow(ctx, a.Primary, primary.Address, a.Term)
	})
}

func (p *performer) publish(w *tables.World, a action.Publish) {
	for _, id := range a.To {
		if vm, ok := w.VMs.Get(id); ok && vm.PeerAddress != "" {
			p.bus.Send(vm.PeerAddress, a.Topic, a.Message)
		}
	}
}

func (p *performer) platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.ctx, platformTimeout)
}

// platformOutcome returns the outcome for an error of the platform.
func platformOutcome(err error) event.Outcome {
	switch {
	case err == nil:
		return event.OutcomeOK
	case errors.Is(err, platform.ErrNotFound):
		return event.OutcomeNotFound
	case errors.Is(err, platform.ErrConflict):
		return event.OutcomeConflict
	case errors.Is(err, platform.ErrUnavailable):
		return event.OutcomeFailed
	default:
		return event.OutcomeUnknown
	}
}

func (p *performer) readGroupRow(a action.ReadGroupRow) {
	ctx, cancel := p.platformContext()
	defer cancel()
	done := event.GroupRowRead{Group: a.Group}
	row, err := p.tables.Get(ctx, groupRowPrefix+string(a.Group))
	if err == nil {
		err = json.Unmarshal(row.Value, &done.Row)
		done.Version = row.Version
	}
	done.Outcome = readOutcome(err)
	p.core.Report(done)
}

// readOutcome returns the outcome for the error of a read, which never has an effect.
func readOutcome(err error) event.Outcome {
	o := platformOutcome(err)
	if o == event.OutcomeUnknown || o == event.OutcomeConflict {
		return event.OutcomeFailed
	}
	return o
}

func (p *performer) writeGroupRow(a action.WriteGroupRow) {
	ctx, cancel := p.platformContext()
	defer cancel()
	key := groupRowPrefix + string(a.Group)
	value, err := json.Marshal(a.Row)
	if err == nil {
		err = p.tables.Commit(ctx, platform.Txn{
			ID:         a.TxnID,
			Conditions: []platform.Condition{{Key: key, Version: a.Version}},
			Writes:     []platform.Write{{Key: key, Value: value}},
		})
	}
	p.core.Report(event.GroupRowWritten{Group: a.Group, TxnID: a.TxnID, Outcome: platformOutcome(err)})
}

func (p *performer) listVMs() {
	ctx, cancel := p.platformContext()
	defer cancel()
	list, err := p.vms.ListVMs(ctx)
	p.core.Report(event.VMsListed{Outcome: readOutcome(err), VMs: list})
}

func (p *performer) readHead() {
	ctx, cancel := p.platformContext()
	defer cancel()
	done := event.HeadRead{}
	row, err := p.tables.Get(ctx, config.HeadKey)
	if err == nil {
		err = json.Unmarshal(row.Value, &done.Head)
	}
	done.Outcome = readOutcome(err)
	p.core.Report(done)
}

func (p *performer) loadDocument(a action.LoadDocument) {
	ctx, cancel := p.platformContext()
	defer cancel()
	done := event.DocumentLoaded{Version: a.Version}
	body, err := p.objects.Get(ctx, config.ObjectPrefix+a.Hash)
	if err == nil {
		done.Document, err = config.Decode(body)
	}
	if err != nil {
		p.log.Warn("Could not load a configuration document.", "version", a.Version, "error", err)
	}
	done.Outcome = readOutcome(err)
	p.core.Report(done)
}

func (p *performer) loadDelta(a action.LoadDelta) {
	ctx, cancel := p.platformContext()
	defer cancel()
	done := event.DeltaLoaded{Version: a.Version, Hash: a.Hash}
	body, err := p.objects.Get(ctx, config.DeltaKey(a.BaseHash, a.Hash))
	if err == nil {
		done.Delta, err = config.DecodeDelta(body)
	}
	if err != nil {
		p.log.Info("Could not load a configuration delta.", "version", a.Version, "error", err)
	}
	done.Outcome = readOutcome(err)
	p.core.Report(done)
}

func (p *performer) applyDocument(a action.ApplyDocument) {
	p.upstreams.apply(a.Document)
	p.onApplied(a.Version, a.Document)
	p.log.Info("Put a configuration in force.", "version", a.Version)
}

func (p *performer) closeConnections(a action.CloseConnections) {
	r, ok := p.upstreams.get(a.Upstream)
	switch {
	case !ok:
	case a.BelowTerm == 0:
		r.pool.CloseSilent(lostPathTimeout)
	default:
		r.pool.CloseBelow(a.BelowTerm)
	}
}

func (p *performer) terminateSessions(a action.TerminateSessions) {
	r, ok := p.upstreams.get(a.Upstream)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, controlTimeout)
	defer cancel()
	n, err := r.control.TerminateVM(ctx, a.VM)
	switch {
	case err != nil:
		p.log.Warn("Could not terminate the sessions of a VM that failed or was removed.", "upstream", a.Upstream, "vm", a.VM, "error", err)
	case n > 0:
		p.log.Info("Terminated the sessions of a VM that failed or was removed.", "upstream", a.Upstream, "vm", a.VM, "sessions", n)
	}
}
