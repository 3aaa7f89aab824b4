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

const reconnectRetryAfter = time.Second

// txStatus is the transaction status of a ReadyForQuery, by state.
var txStatus = [...]byte{statement.Idle: 'I', statement.Open: 'T', statement.Failed: 'E'}

// StateOf returns the state that the transaction status of a ReadyForQuery
// stands for.
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
	in     messageReader
	// be reads and writes the startup messages; it is nil afterwards.
	be *pgproto3.Backend
	// exec runs the caller's requests; it is nil until the caller is
	// authenticated.
	exec Session
	// pid and secret identify the connection in cancel requests.
	pid    uint32
	secret []byte

	state statement.State
	// inTransaction is set while a transaction or a partial batch is open.
	inTransaction bool
	// busy is set while a request runs or a transaction is open.
	busy atomic.Bool
}

func newSession(s *Server, nc net.Conn) *session {
	c := &session{server: s, state: statement.Idle}
	c.setConn(nc)
	return c
}

// interruptIdle interrupts the session's read if it waits for a request outside
// a transaction. It runs in another goroutine than the session.
func (c *session) interruptIdle() {
	if c.busy.Load() {
		return
	}
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
	if c.busy.Load() {
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

// markBusy marks the session busy. It removes a read deadline that
// interruptIdle set just before. A deadline that interruptIdle sets just
// afterwards is removed by interruptIdle itself, which checks the mark again.
func (c *session) markBusy() {
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
		c.inTransaction = b.Partial || c.state != statement.Idle
		if !b.Partial && c.endIfDraining() {
			return
		}
	}
}

// receive reads one request; it returns false when the connection has ended.
func (c *session) receive() (*Batch, bool) {
	b := &Batch{}
	size := 0
	for {
		msg, err := c.nextMessage(size > 0)
		if err != nil {
			c.handleReadError(err)
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

// nextMessage reads one message. Within a transaction or a batch the message
// has to arrive within IdleInTransaction.
func (c *session) nextMessage(inBatch bool) (pgproto3.FrontendMessage, error) {
	bounded := c.inTransaction || inBatch
	if bounded {
		_ = c.net.SetReadDeadline(time.Now().Add(c.server.opts.IdleInTransaction))
	}
	c.in.releaseBuffer()
	msg, err := c.in.next()
	c.markBusy()
	if bounded && err == nil {
		_ = c.net.SetReadDeadline(time.Time{})
	}
	return msg, err
}

// request runs one batch and completes its response; it returns false when the
// connection has ended.
func (c *session) request(ctx context.Context, b *Batch) bool {
	resp := getResponse(c)
	defer resp.recycle()
	state, err := c.exec.Run(ctx, b, resp)
	if err != nil {
		resp.Drop()
		if resp.Send(errorResponse(asCode(err), "ERROR")) != nil {
			return false
		}
	}
	resp.Release()
	c.state = state
	if !b.Partial && resp.Send(&pgproto3.ReadyForQuery{TxStatus: txStatus[state]}) != nil {
		return false
	}
	return resp.Flush() == nil
}

// Write implements io.Writer. The caller has to accept the bytes within
// WriteTimeout.
func (c *session) Write(b []byte) (int, error) {
	if err := c.net.SetWriteDeadline(time.Now().Add(c.server.opts.WriteTimeout)); err != nil {
		return 0, errors.Wrap(err, "bound a write")
	}
	return c.net.Write(b)
}

// endIfDraining ends a session outside a transaction if the proxy is draining,
// and reports whether it did. It marks the session idle first, so that a drain
// that begins now interrupts it.
func (c *session) endIfDraining() bool {
	if c.state != statement.Idle {
		return false
	}
	c.busy.Store(false)
	if !c.server.draining.Load() {
		return false
	}
	c.fatal(codes.New(codes.ShuttingDown, codes.NotRun, reconnectRetryAfter, ""))
	return true
}

// handleReadError reports a failed read to the caller where a reason is known.
func (c *session) handleReadError(err error) {
	timeout := sockopt.TimedOut(err)
	switch e, ok := codes.From(err); {
	case ok:
		c.fatal(e)
	case timeout && c.inTransaction:
		c.fatal(codes.New(codes.DeadlinePassed, codes.NotRun, 0, "idle in a transaction"))
	case timeout && c.server.draining.Load():
		c.fatal(codes.New(codes.ShuttingDown, codes.NotRun, reconnectRetryAfter, ""))
	case timeout:
		c.fatal(codes.New(codes.DeadlinePassed, codes.NotRun, 0, "the request did not end"))
	}
}

// asCode returns the *codes.Error in err. Any other error means that the
// outcome is unknown.
func asCode(err error) *codes.Error {
	if e, ok := codes.From(err); ok {
		return e
	}
	return codes.New(codes.UpstreamLost, codes.Unknown, reconnectRetryAfter, err.Error())
}
