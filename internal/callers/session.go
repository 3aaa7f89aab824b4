package callers

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

const (
	statusIdle   = byte('I')
	connectRetry = time.Second
)

// session is one caller's connection.
type session struct {
	server *Server
	net    net.Conn
	be     *pgproto3.Backend
	exec   Session
	pid    uint32
	secret []byte

	status byte
	// busy is set while a request runs or a transaction is open.
	busy atomic.Bool
}

func newSession(s *Server, nc net.Conn) *session {
	c := &session{server: s, status: statusIdle}
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
	var b Batch
	size := 0
	for {
		msg, err := c.be.Receive()
		if err != nil {
			c.end(err)
			return
		}
		c.begin()
		switch m := msg.(type) {
		case *pgproto3.Query:
			b = Batch{Query: m.String, Simple: true}
		case *pgproto3.Sync:
		case *pgproto3.Terminate:
			return
		case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
			if size += b.add(m); size > c.server.opts.MaxFrame {
				c.fatal(codes.New(codes.FrameTooLarge, codes.NotRun, 0, "pipelined messages"))
				return
			}
			continue
		default:
			c.fatal(codes.New(codes.Unsupported, codes.NotRun, 0, "message kind"))
			return
		}
		if !c.request(ctx, &b) {
			return
		}
		b = Batch{}
		size = 0
		if c.leave() {
			return
		}
	}
}

// request runs one batch and ends its answer; false means that the connection is over.
func (c *session) request(ctx context.Context, b *Batch) bool {
	a := NewAnswer(c.net)
	status, err := c.exec.Run(ctx, b, a)
	if err != nil {
		a.Drop()
		if a.Send(errorResponse(asCode(err), "ERROR")) != nil {
			return false
		}
	}
	a.Release()
	c.status = status
	if a.Send(&pgproto3.ReadyForQuery{TxStatus: status}) != nil {
		return false
	}
	return a.Flush() == nil
}

// leave reports whether the session ends because the proxy is shutting down.
// It marks the session idle first, so that a shutdown that begins now sees it.
func (c *session) leave() bool {
	if c.status != statusIdle {
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
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	var netErr net.Error
	switch {
	case errors.As(err, &tooLong):
		c.fatal(codes.New(codes.FrameTooLarge, codes.NotRun, 0, ""))
	case errors.As(err, &netErr) && netErr.Timeout() && c.server.draining.Load():
		c.fatal(codes.New(codes.ShuttingDown, codes.NotRun, connectRetry, ""))
	case errors.As(err, &netErr):
	default:
		c.fatal(codes.New(codes.MalformedFrame, codes.NotRun, 0, ""))
	}
}

// asCode returns the numbered error in err; any other is an unknown outcome.
func asCode(err error) *codes.Error {
	if e, ok := codes.From(err); ok {
		return e
	}
	return codes.New(codes.UpstreamLost, codes.Unknown, connectRetry, err.Error())
}
