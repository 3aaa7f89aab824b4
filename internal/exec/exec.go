// Package exec is the path that a statement takes from a session to an
// upstream and back, whatever protocol its caller speaks: a place is chosen,
// admission is awaited, a connection is borrowed and given the session's
// state, the statement is exchanged, and the outcome is judged. It speaks
// package statement's vocabulary and knows no protocol and no deployment.
package exec

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Attempt is one try of a statement at one upstream.
type Attempt interface {
	// Upstream names the upstream.
	Upstream() tables.UpstreamID
	// AcquireSlot waits for the right to run a statement on the upstream. An error
	// means that the proxy itself had no room.
	AcquireSlot(ctx context.Context) error
	// ReleaseSlot ends what a successful Enter began.
	ReleaseSlot()
	// Connect borrows a connection.
	Connect(ctx context.Context) error
	// ApplyState gives the connection the session's state. A reply without a result
	// is the upstream's refusal of that state.
	ApplyState(ctx context.Context) (statement.Reply, error)
	// Exchange runs the statement on the connection. After an error its fate
	// is not known, unless the error carries a number that says so.
	Exchange(ctx context.Context) (statement.Reply, error)
	// Return gives the connection back after a whole answer, or keeps it for
	// the transaction that the answer leaves open.
	Return(r statement.Reply)
	// Discard closes the connection.
	Discard()
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Stage is how far the attempt came.
	Stage retry.Stage
	// Reply is the upstream's answer to the statement, or its refusal of the
	// session's state if Stage is retry.StageWaiting; not valid with Err.
	Reply statement.Reply
	// Err is why there is no answer.
	Err error
	// Refused says that the proxy itself had no room.
	Refused bool
}

// Served reports whether the upstream gave a result.
func (o Outcome) Served() bool {
	return o.Err == nil && o.Stage == retry.StageAnswered && o.Reply.Code == statement.OK
}

// Answered reports whether the upstream's whole answer arrived.
func (o Outcome) Answered() bool { return o.Stage == retry.StageAnswered }

// Plan says where a statement's attempts go and what follows from their outcomes.
type Plan interface {
	// Choose returns the next attempt; if it is nil, the reply is the answer.
	Choose(ctx context.Context) (Attempt, statement.Reply)
	// Judge returns the answer that follows from an attempt; done is false if
	// another one is to be made.
	Judge(ctx context.Context, a Attempt, o Outcome) (r statement.Reply, done bool)
}

// Serve runs a statement by its plan until there is an answer. The plan's
// waits end with ctx, so that Serve does.
func Serve(ctx context.Context, p Plan) statement.Reply {
	for {
		a, refusal := p.Choose(ctx)
		if a == nil {
			return refusal
		}
		r, done := p.Judge(ctx, a, Try(ctx, a))
		if done {
			return r
		}
	}
}

// Try makes one attempt on a connection of its own.
func Try(ctx context.Context, a Attempt) Outcome {
	if err := a.AcquireSlot(ctx); err != nil {
		return Outcome{Err: err, Refused: true}
	}
	defer a.ReleaseSlot()
	if err := a.Connect(ctx); err != nil {
		return Outcome{Err: err}
	}
	o := send(ctx, a)
	if o.Err != nil || !o.Answered() {
		a.Discard()
		return o
	}
	a.Return(o.Reply)
	return o
}

// Continue makes one attempt on the connection that the session's open
// transaction holds. The connection stays with the transaction.
func Continue(ctx context.Context, a Attempt) Outcome {
	if err := a.AcquireSlot(ctx); err != nil {
		return Outcome{Err: err, Refused: true}
	}
	defer a.ReleaseSlot()
	return send(ctx, a)
}

func send(ctx context.Context, a Attempt) Outcome {
	r, err := a.ApplyState(ctx)
	if err != nil || r.Code != statement.OK {
		return Outcome{Reply: r, Err: err}
	}
	r, err = a.Exchange(ctx)
	if err != nil {
		return Outcome{Stage: retry.StageWritten, Reply: r, Err: err}
	}
	return Outcome{Stage: retry.StageAnswered, Reply: r}
}
