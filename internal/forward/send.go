package forward

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/pkg/errors"
)

const (
	// queryDelay is how long a response may take until the holder is queried whether the read
	// still runs. Most statements take 8 to 40 ms.
	queryDelay = 50 * time.Millisecond
	// queryInterval is the pause until it is queried again.
	queryInterval = 100 * time.Millisecond
	// queryTimeout bounds the wait for the response. A proxy with a fifth of a core may stand
	// still for 80 ms at a time.
	queryTimeout = 100 * time.Millisecond
	// lateResponseTime is how long a response may follow after the answer that the read has
	// ended: the two arrive on different topics.
	lateResponseTime = 10 * time.Millisecond
	// marginDivisor and maxMargin say how much sooner than the sender's time the holder's
	// time is over, so that its response that the server did not reply still arrives.
	marginDivisor = 10
	maxMargin     = 10 * time.Millisecond
)

// Errors of Run besides a *Refusal, and a reason to skip a holder.
var (
	// ErrHolderSilent means that the holder did not respond. It is skipped for a time.
	ErrHolderSilent = errors.New("the holder does not respond")
	// ErrResponseLost means that the holder responds, but its response to the read did not
	// arrive.
	ErrResponseLost = errors.New("the holder's response was lost")
	// errStopping means that a holder refuses reads because it shuts down.
	errStopping = errors.New("the holder is stopping")
)

// Refusal is the holder's response that it has no reply of the server.
type Refusal struct {
	Reason Reason
	// Ran says that the read may have run.
	Ran bool
	Why string
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Why == "" {
		return "the holder refused: " + r.Reason.String()
	}
	return "the holder refused: " + r.Reason.String() + ": " + r.Why
}

// HolderOnly reports whether the holder, not the server, has no room or knows too little:
// the same server may serve the read on a direct connection.
func (r *Refusal) HolderOnly() bool {
	switch r.Reason {
	case ServerUnknown, TeamUnknown, Stopping, TooMany, TooLarge:
		return true
	default:
		return false
	}
}

// errUnsuitable means that a request can't be forwarded, for instance as it is too large.
var errUnsuitable = &Refusal{Reason: TooLarge, Why: "the request can't be forwarded"}

// Run sends a read to a holder and returns the server's reply. Except for q's From,
// Sequence and LeftMicros, the caller sets its fields. An error is a *Refusal,
// ErrHolderSilent, ErrResponseLost, or that of ctx, which must have a deadline; unless it
// is a Refusal that says otherwise, the read may have run.
func (f *Forwarder) Run(ctx context.Context, h Holder, q Request) (statement.Reply, error) {
	body, err := f.encodeRequest(ctx, &q)
	if err != nil {
		f.Metrics.CountForwardableRead(metrics.PathDirect)
		return statement.Reply{}, err
	}
	f.Metrics.CountForwardableRead(metrics.PathForwarded)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(queryDelay, func() { f.watch(ctx, cancel, h, q.Sequence) })
	defer watch.Stop()
	began := f.Now()
	raw, err := f.exchange.Call(ctx, maxTimeLeft, body, h.address)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return statement.Reply{}, f.noResponse(err, h, &q)
	}
	a, err := decodeResponse(raw)
	if err != nil || a.ID != q.ID {
		f.malformed("response", err)
		return statement.Reply{}, ErrResponseLost
	}
	f.Metrics.ObserveForwardHop(f.Now().Sub(began) - time.Duration(a.TookMicros)*time.Microsecond)
	return f.evaluate(a, h, &q)
}

// encodeRequest completes a request and encodes it. A request that the holder would
// ignore, or that is too large, gives errUnsuitable.
func (f *Forwarder) encodeRequest(ctx context.Context, q *Request) ([]byte, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errUnsuitable
	}
	left := time.Until(deadline)
	left = min(left-min(left/marginDivisor, maxMargin), maxTimeLeft)
	q.From, q.Sequence, q.LeftMicros = f.VM, f.sequence.Add(1), left.Microseconds()
	if q.check() != nil {
		return nil, errUnsuitable
	}
	body, err := encode(q)
	if err != nil || len(body) > maxRequestBytes {
		return nil, errUnsuitable
	}
	return body, nil
}

// noResponse returns the error for a read without response.
func (f *Forwarder) noResponse(cause error, h Holder, q *Request) error {
	reason := "time over"
	switch cause {
	case ErrHolderSilent:
		reason = "holder silent"
		f.skip(h.VM, cause)
	case ErrResponseLost:
		reason = "response lost"
	}
	f.Metrics.CountForwardRefusal(reason)
	f.line("Got no response to a forwarded read.", "request", q.ID, "holder", h.VM, "upstream", q.Server, "error", cause)
	return cause
}

// evaluate returns the server's reply in a response, or the refusal.
func (f *Forwarder) evaluate(a *response, h Holder, q *Request) (statement.Reply, error) {
	if a.Result == resultReply {
		f.responded(h.VM)
		return a.reply(), nil
	}
	f.Metrics.CountForwardRefusal(a.Reason.String())
	f.line("A holder refused a read.", "request", q.ID, "holder", h.VM, "upstream", q.Server, "reason", a.Reason.String(), "why", a.Why)
	if a.Reason == Stopping {
		f.skip(h.VM, errStopping)
	} else {
		f.responded(h.VM)
	}
	return statement.Reply{}, &Refusal{Reason: a.Reason, Ran: a.Result != resultNotRun, Why: a.Why}
}

// probe queries a skipped holder whether it responds again. A response to any query will
// do.
func (f *Forwarder) probe(h Holder) {
	query, err := encode(&Request{From: f.VM, Running: true})
	if err != nil {
		f.log.Error("Failed to encode a query.", "error", err)
		return
	}
	raw, err := f.exchange.Call(context.Background(), queryTimeout, query, h.address)
	if err != nil {
		f.skip(h.VM, ErrHolderSilent)
		return
	}
	switch a, err := decodeResponse(raw); {
	case err != nil:
		f.malformed("response", err)
		f.skip(h.VM, err)
	case a.Reason == Stopping:
		f.skip(h.VM, errStopping)
	default:
		f.responded(h.VM)
	}
}

// watch queries the holder at intervals whether a read still runs, until ctx ends. It
// cancels the read if it does not.
func (f *Forwarder) watch(ctx context.Context, cancel context.CancelCauseFunc, h Holder, sequence uint64) {
	query, err := encode(&Request{From: f.VM, Sequence: sequence, Running: true})
	for err == nil && ctx.Err() == nil {
		raw, callErr := f.exchange.Call(ctx, queryTimeout, query, h.address)
		if callErr != nil {
			cancel(ErrHolderSilent) // no effect if ctx has ended
			return
		}
		a, decodeErr := decodeResponse(raw)
		if decodeErr != nil {
			f.malformed("response", decodeErr)
		}
		if decodeErr != nil || a.Result != resultRunning {
			if sleep.For(ctx, lateResponseTime) == nil {
				cancel(ErrResponseLost)
			}
			return
		}
		_ = sleep.For(ctx, queryInterval) // the loop checks ctx
	}
}
