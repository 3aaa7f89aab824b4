package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/admit"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// maxHeld bounds the reads of other proxies that a holder has at the same time, running
// or waiting.
const maxHeld = 128

// heldKey identifies a request of another proxy.
type heldKey struct {
	from     tables.VMID
	sequence uint64
}

// held is the set of the requests that this proxy has as holder.
type held struct {
	mu       sync.Mutex
	running  map[heldKey]struct{}
	stopping bool
	wg       sync.WaitGroup
}

// take adds a request. ok is false if it must be refused for the reason, or ignored if
// the reason is ReasonNone: it arrived twice.
func (h *held) take(k heldKey) (reason Reason, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, twice := h.running[k]
	switch {
	case twice:
		return ReasonNone, false
	case h.stopping:
		return Stopping, false
	case len(h.running) >= maxHeld:
		return TooMany, false
	}
	h.running[k] = struct{}{}
	h.wg.Add(1)
	return ReasonNone, true
}

func (h *held) end(k heldKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.running, k)
	h.wg.Done()
}

// status returns whether a request is running, and Stopping if further ones are refused.
func (h *held) status(k heldKey) (result, Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reason := ReasonNone
	if h.stopping {
		reason = Stopping
	}
	if _, ok := h.running[k]; ok {
		return resultRunning, reason
	}
	return resultNotRunning, reason
}

// Stop makes the holder refuse further requests; it still answers those it has taken.
func (f *Forwarder) Stop() {
	f.held.mu.Lock()
	defer f.held.mu.Unlock()
	f.held.stopping = true
}

// Wait stops the holder and waits until the requests that it has taken are answered, or
// ctx ends.
func (f *Forwarder) Wait(ctx context.Context) {
	f.Stop()
	done := make(chan struct{})
	go func() {
		f.held.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Serve runs the reads that other proxies send, until ctx ends.
func (f *Forwarder) Serve(ctx context.Context) error {
	return f.exchange.Run(ctx, func(body []byte, reply func([]byte)) {
		q, err := decodeRequest(body)
		if err != nil {
			f.malformed("request", err)
			return
		}
		f.receive(ctx, q, reply)
	})
}

// receive answers a request, later if it runs.
func (f *Forwarder) receive(ctx context.Context, q *Request, reply func([]byte)) {
	k := heldKey{q.From, q.Sequence}
	if q.Running {
		var a response
		a.Result, a.Reason = f.held.status(k)
		f.respond(q, a, reply)
		return
	}
	reason, ok := f.held.take(k)
	switch {
	case ok:
		go func() {
			defer f.held.end(k)
			f.serve(ctx, q, reply)
		}()
	case reason != ReasonNone:
		f.respond(q, response{Result: resultNotRun, Reason: reason}, reply)
	}
}

// serve runs a request and responds.
func (f *Forwarder) serve(ctx context.Context, q *Request, reply func([]byte)) {
	began := f.Now()
	f.Metrics.CountForwardableRead(metrics.PathHeld)
	a := f.run(ctx, q)
	a.TookMicros = f.Now().Sub(began).Microseconds()
	f.respond(q, a, reply)
}

func (f *Forwarder) respond(q *Request, a response, reply func([]byte)) {
	a.ID = q.ID
	b, err := encode(&a)
	if err == nil && len(b) > maxResponseBytes {
		b, err = encode(&response{ID: q.ID, Result: resultLost, Reason: TooLarge, TookMicros: a.TookMicros})
	}
	if err != nil {
		f.log.Error("Failed to encode a response.", "request", q.ID, "error", err)
		return
	}
	if a.Reason != ReasonNone && !q.Running {
		f.line("Refused a read of a proxy.", "request", q.ID, "from", q.From, "upstream", q.Server, "reason", a.Reason.String(), "why", a.Why)
	}
	reply(b)
}

// run runs a request at the server.
func (f *Forwarder) run(ctx context.Context, q *Request) response {
	fl := f.Fleet()
	u, leaving, ok := fl.Server(q.Group, q.Server)
	switch {
	case !ok:
		return response{Result: resultNotRun, Reason: ServerUnknown}
	case leaving:
		return response{Result: resultNotRun, Reason: ServerLeaving}
	case !knowsTeam(fl.Routing(), q.Team):
		return response{Result: resultNotRun, Reason: TeamUnknown}
	}
	state, ok := q.session()
	if !ok {
		return response{Result: resultNotRun, Reason: TooLarge, Why: "too many session values"}
	}
	ctx, cancel := context.WithTimeout(ctx, q.left())
	defer cancel()
	deadline, _ := ctx.Deadline()
	return outcomeResponse(exec.Try(ctx, &attempt{f: f, u: u, q: q, state: state, deadline: deadline}))
}

// knowsTeam reports whether a configuration has a team. A caller without a team needs none.
func knowsTeam(r *tables.Routing, team tables.TeamID) bool {
	if team == "" {
		return true
	}
	return r != nil && r.Teams[team] != nil
}

// outcomeResponse returns the response that tells the outcome of an attempt.
func outcomeResponse(o exec.Outcome) response {
	switch {
	case o.Refused:
		return response{Result: resultNotRun, Reason: NoSlot, Why: o.Err.Error()}
	case o.Err != nil && o.Stage == retry.StageWaiting:
		return response{Result: resultNotRun, Reason: NoConnection, Why: o.Err.Error()}
	case o.Err != nil:
		return response{Result: resultLost, Reason: ServerLost, Why: o.Err.Error()}
	default:
		return replyResponse(o.Reply)
	}
}

// attempt runs a request of another proxy at one server.
type attempt struct {
	f        *Forwarder
	u        *fleet.Upstream
	q        *Request
	state    preparation.Session
	deadline time.Time
	slot     gate.Slot
	conn     *links.Conn
	st       statement.Statement
}

var _ exec.Attempt = (*attempt)(nil)

// Upstream implements exec.Attempt.
func (a *attempt) Upstream() tables.UpstreamID { return a.u.ID() }

// AcquireSlot implements exec.Attempt.
func (a *attempt) AcquireSlot(ctx context.Context) (err error) {
	a.slot, err = a.u.AcquireSlot(ctx, admit.Request{
		Weight:   1,
		Priority: a.q.Priority,
		Deadline: a.f.Now().Add(time.Until(a.deadline)),
		MaxWait:  time.Duration(a.q.MaxWaitMicros) * time.Microsecond,
	})
	return err
}

// ReleaseSlot implements exec.Attempt.
func (a *attempt) ReleaseSlot() { a.u.ReleaseSlot(&a.slot) }

// Connect implements exec.Attempt.
func (a *attempt) Connect(ctx context.Context) (err error) {
	a.conn, err = a.u.Connect(ctx, a.q.Team)
	return err
}

// ApplyState implements exec.Attempt.
func (a *attempt) ApplyState(context.Context) (statement.Reply, error) {
	list, st := preparation.Plan(&a.conn.State, &a.state, a.q.statement(), false)
	a.st = st
	return a.u.Prepare(a.conn, a.deadline, list)
}

// Exchange implements exec.Attempt.
func (a *attempt) Exchange(context.Context) (statement.Reply, error) {
	began := a.f.Now()
	r, err := a.u.Exchange(a.conn, a.deadline, false, a.st)
	if err != nil {
		return r, err
	}
	a.u.AdjustConcurrency(r, a.f.Now().Sub(began), time.Duration(a.q.TargetMicros)*time.Microsecond)
	return r, nil
}

// Return implements exec.Attempt.
func (a *attempt) Return(r statement.Reply) {
	if r.State != statement.Idle {
		a.Discard()
		return
	}
	a.u.Release(a.conn)
}

// Discard implements exec.Attempt.
func (a *attempt) Discard() { a.u.Discard(a.conn) }
