// Package exec runs a statement of a session on an upstream, independently of the
// caller's protocol. It chooses an upstream, waits for admission, takes a
// connection from the pool, applies the session's state to it, sends the statement
// and evaluates the outcome. It uses the types of package statement and depends on
// no protocol and no deployment.
package exec

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Attempt is one attempt to run a statement on one upstream.
type Attempt interface {
	// Upstream returns the ID of the upstream.
	Upstream() tables.UpstreamID
	// AcquireSlot waits for a slot of the upstream. An error means that the proxy
	// itself refused the statement for lack of capacity.
	AcquireSlot(ctx context.Context) error
	// ReleaseSlot releases the slot of a successful AcquireSlot.
	ReleaseSlot()
	// Connect takes a connection from the pool.
	Connect(ctx context.Context) error
	// ApplyState applies the session's state to the connection. A reply without a
	// result means that the upstream refused that state.
	ApplyState(ctx context.Context) (statement.Reply, error)
	// Exchange sends the statement on the connection and reads the reply. After an
	// error it is unknown whether the statement ran, unless the error is a
	// *codes.Error that states it.
	Exchange(ctx context.Context) (statement.Reply, error)
	// Return returns the connection to the pool after a complete reply, or keeps it
	// for the transaction that is open after the reply.
	Return(r statement.Reply)
	// Discard closes the connection.
	Discard()
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Stage is the point that the attempt reached.
	Stage retry.Stage
	// Reply is the upstream's reply to the statement, or its refusal of the session's
	// state if Stage is retry.StageWaiting; not valid if Err is set.
	Reply statement.Reply
	// Err is the reason why there is no reply.
	Err error
	// Refused reports whether the proxy itself refused the statement for lack of
	// capacity.
	Refused bool
}

// Served reports whether the upstream returned a result.
func (o Outcome) Served() bool {
	return o.Err == nil && o.Stage == retry.StageAnswered && o.Reply.Code == statement.OK
}

// Answered reports whether the upstream's complete reply arrived.
func (o Outcome) Answered() bool { return o.Stage == retry.StageAnswered }

// Plan decides on which upstreams a statement is attempted and what follows from
// the outcome of each attempt.
type Plan interface {
	// Choose returns the next attempt. If it is nil, the reply is final.
	Choose(ctx context.Context) (Attempt, statement.Reply)
	// Judge returns the reply that follows from the outcome of an attempt; done is
	// false if another attempt is to be made.
	Judge(ctx context.Context, a Attempt, o Outcome) (r statement.Reply, done bool)
}

// Serve runs a statement according to its plan until there is a reply. The plan
// must end its waits when ctx is done, so that Serve returns.
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

// Try makes one attempt on a connection from the pool.
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
// transaction holds. It neither returns nor discards the connection.
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
