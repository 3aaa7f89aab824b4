package callers

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/sockopt"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

const connectRetry = time.Second

// txStatus is the transaction status of a ReadyForQuery, by state.
var txStatus = [...]byte{statement.Idle: 'I', statement.Open: 'T', statement.Failed: 'E'}

// StateOf returns the state that a ReadyForQuery's transaction status says.
func StateOf(status byte) statement.State {
	switch status {
	case txStatus[statement.Open]:
		return statement.Open
	case txStatus[statement.Failed]:
		return statement.Failed
	default:
		return statement.Idle
	}
}

// session is one caller's connection.
type session struct {
	server *Server
	net    net.Conn
	in     frames
	// be reads and writes the startup messages; it is nil afterwards.
	be     *pgproto3.Backend
	exec   Session
	pid    uint32
	secret []byte

	state statement.State
	// within is set while a transaction or a batch is open.
	within bool
	// busy is set while a request runs or a transaction is open.
	busy atomic.Bool
}

func newSession(s *Server, nc net.Conn) *session {
	c := &session{server: s, state: statement.Idle}
	c.use(nc)
	return c
}

// interruptIdle wakes the session if it waits for a request outside a transaction.
func (c *session) interruptIdle() {
	if c.busy.Load() {
		return
	}
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
	if c.busy.Load() {
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

// begin marks the session busy. A read that a shutdown interrupts afterwards
// finds the mark and takes its interruption back.
func (c *session) begin() {
	c.busy.Store(true)
	if c.server.draining.Load() {
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

// loop serves requests until the connection ends.
func (c *session) loop(ctx context.Context) {
	for {
		b, ok := c.receive()
		if !ok || !c.request(ctx, b) {
			return
		}
		c.within = b.Partial || c.state != statement.Idle
		if !b.Partial && c.leave() {
			return
		}
	}
}

// receive reads one request; false means that the connection is over.
func (c *session) receive() (*Batch, bool) {
	b := &Batch{}
	size := 0
	for {
		msg, err := c.nextMessage(size > 0)
		if err != nil {
			c.end(err)
			return nil, false
		}
		switch m := msg.(type) {
		case *pgproto3.Query:
			if size > 0 {
				c.fatal(codes.New(codes.MalformedFrame, codes.NotRun, 0, "a query inside a batch"))
				return nil, false
			}
			return &Batch{Query: m.String, Simple: true}, true
		case *pgproto3.Sync:
			return b, true
		case *pgproto3.Flush:
			if size > 0 {
				b.Partial = true
				return b, true
			}
		case *pgproto3.Terminate:
			return nil, false
		case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
			if size += b.add(m); size > c.server.opts.MaxFrame {
				c.fatal(codes.New(codes.FrameTooLarge, codes.NotRun, 0, "pipelined messages"))
				return nil, false
			}
		default:
			c.fatal(codes.New(codes.Unsupported, codes.NotRun, 0, "message kind"))
			return nil, false
		}
	}
}

// nextMessage reads one message. Inside a transaction or batch the caller has
// to send it in time.
func (c *session) nextMessage(inBatch bool) (pgproto3.FrontendMessage, error) {
	bounded := c.within || inBatch
	if bounded {
		_ = c.net.SetReadDeadline(time.Now().Add(c.server.opts.IdleInTransaction))
	}
	c.in.rest()
	msg, err := c.in.next()
	c.begin()
	if bounded && err == nil {
		_ = c.net.SetReadDeadline(time.Time{})
	}
	return msg, err
}

// request runs one batch and ends its answer; false means that the connection is over.
func (c *session) request(ctx context.Context, b *Batch) bool {
	a := borrowAnswer(c)
	defer a.giveBack()
	state, err := c.exec.Run(ctx, b, a)
	if err != nil {
		a.Drop()
		if a.Send(errorResponse(asCode(err), "ERROR")) != nil {
			return false
		}
	}
	a.Release()
	c.state = state
	if !b.Partial && a.Send(&pgproto3.ReadyForQuery{TxStatus: txStatus[state]}) != nil {
		return false
	}
	return a.Flush() == nil
}

// Write implements io.Writer: the caller has a bounded time to accept it.
func (c *session) Write(b []byte) (int, error) {
	if err := c.net.SetWriteDeadline(time.Now().Add(c.server.opts.WriteTimeout)); err != nil {
		return 0, errors.Wrap(err, "bound a write")
	}
	return c.net.Write(b)
}

// leave reports whether the session ends because the proxy is shutting down.
// It marks the session idle first, so that a shutdown that begins now sees it.
func (c *session) leave() bool {
	if c.state != statement.Idle {
		return false
	}
	c.busy.Store(false)
	if !c.server.draining.Load() {
		return false
	}
	c.fatal(codes.New(codes.ShuttingDown, codes.NotRun, connectRetry, ""))
	return true
}

// end answers a read that failed.
func (c *session) end(err error) {
	timeout := sockopt.TimedOut(err)
	switch e, ok := codes.From(err); {
	case ok:
		c.fatal(e)
	case timeout && c.within:
		c.fatal(codes.New(codes.DeadlinePassed, codes.NotRun, 0, "idle in a transaction"))
	case timeout && c.server.draining.Load():
		c.fatal(codes.New(codes.ShuttingDown, codes.NotRun, connectRetry, ""))
	case timeout:
		c.fatal(codes.New(codes.DeadlinePassed, codes.NotRun, 0, "the request did not end"))
	}
}

// asCode returns the numbered error in err; any other is an unknown outcome.
func asCode(err error) *codes.Error {
	if e, ok := codes.From(err); ok {
		return e
	}
	return codes.New(codes.UpstreamLost, codes.Unknown, connectRetry, err.Error())
}
