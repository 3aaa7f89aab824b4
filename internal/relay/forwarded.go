package relay

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/exec"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/forward"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// ForwardReads makes the server forward reads through f. It must be called before Serve.
func (s *Server) ForwardReads(f *forward.Forwarder) { s.forwarder = f }

// forwardedAttempt is one try of a read at one server through the proxy that holds the
// connections to it. Slot and connection are the holder's.
type forwardedAttempt struct {
	q      *request
	u      *fleet.Upstream
	holder forward.Holder
	after  tables.Position
	// tryDirect says that the holder alone is the reason why there is no reply.
	tryDirect bool
	// unanswered says that the holder's response did not arrive.
	unanswered bool
}

var _ exec.Attempt = (*forwardedAttempt)(nil)

// singleReadAt returns an attempt of a single read at u, through the holder if there is
// one.
func (q *request) singleReadAt(u *fleet.Upstream, after tables.Position) exec.Attempt {
	h, ok := q.s.forwarder.Holder(u, q.s.teamID())
	if !ok {
		return q.attemptAt(u, after)
	}
	q.holder = h.VM
	return &forwardedAttempt{q: q, u: u, holder: h, after: after}
}

// Upstream implements exec.Attempt.
func (a *forwardedAttempt) Upstream() tables.UpstreamID { return a.u.ID() }

// AcquireSlot implements exec.Attempt.
func (a *forwardedAttempt) AcquireSlot(context.Context) error {
	a.u.StartForwarded()
	return nil
}

// ReleaseSlot implements exec.Attempt.
func (a *forwardedAttempt) ReleaseSlot() { a.u.EndForwarded() }

// Connect implements exec.Attempt.
func (a *forwardedAttempt) Connect(context.Context) error { return nil }

// ApplyState implements exec.Attempt.
func (a *forwardedAttempt) ApplyState(context.Context) (statement.Reply, error) {
	return statement.Reply{}, nil
}

// Exchange implements exec.Attempt.
func (a *forwardedAttempt) Exchange(ctx context.Context) (statement.Reply, error) {
	began := a.q.s.fleet.Now()
	r, err := a.q.s.forwarder.Run(ctx, a.holder, a.request())
	if err != nil {
		return r, a.failed(err)
	}
	a.u.RecordForwarded(r, a.after, a.q.s.fleet.Now().Sub(began))
	return r, nil
}

func (a *forwardedAttempt) request() forward.Request {
	q := a.q
	admission := q.admission()
	out := forward.Request{
		Server: a.u.ID(), Group: q.route.Group, Team: q.s.teamID(),
		ID: q.st.ID, Kind: q.st.Kind, Arguments: q.st.Arguments,
		Values: q.s.state.Values(), After: a.after,
		Priority: admission.Priority, MaxWaitMicros: admission.MaxWait.Microseconds(),
		TargetMicros: q.route.TargetLatency.Microseconds(),
	}
	if q.st.Kind == statement.Execute {
		definition, _ := q.s.state.Definition(q.st.Name) // handleData has found it
		out.Name, out.Text = q.st.Name, definition.Text
	}
	return out
}

// failed records the reason why there is no reply. A holder that does not respond says
// nothing about the server.
func (a *forwardedAttempt) failed(err error) error {
	var refusal *forward.Refusal
	if !errors.As(err, &refusal) {
		a.unanswered = true
		return err
	}
	a.tryDirect = refusal.HolderOnly()
	switch refusal.Reason {
	case forward.NoConnection:
		a.u.AvoidForwarded(false)
	case forward.ServerLost:
		a.u.AvoidForwarded(true)
	}
	if refusal.Ran {
		return err
	}
	return codes.New(codes.NoSlot, codes.NotRun, 0, refusal.Error())
}

// Return implements exec.Attempt.
func (a *forwardedAttempt) Return(statement.Reply) {}

// Discard implements exec.Attempt.
func (a *forwardedAttempt) Discard() {}
