package callers

import (
	"io"
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Response collects the messages of one response before they go to the caller.
// Messages after Hold are held back until Release, so that they can still be
// dropped and replaced by an error.
type Response struct {
	out io.Writer
	// buf holds the encoded messages that are not written yet.
	buf []byte
	// heldFrom is the offset in buf at which the held messages start, if held is
	// set.
	heldFrom int
	held     bool
	started  bool
}

// flushThresholdBytes is the size at which a response that is not held is
// written before its end.
const flushThresholdBytes = 32 << 10

// maxHeldBytes limits the messages that are held back until a write is
// acknowledged.
const maxHeldBytes = 16 << 20

// NewResponse returns a response that is written to out.
func NewResponse(out io.Writer) *Response { return &Response{out: out} }

const (
	// initialBufferBytes is the initial size of a pooled buffer. A buffer that
	// grew over maxPooledBufferBytes is not returned to the pool.
	initialBufferBytes   = 2 << 10
	maxPooledBufferBytes = 64 << 10
)

var responsePool = sync.Pool{New: func() any { return &Response{buf: make([]byte, 0, initialBufferBytes)} }}

// getResponse returns an empty response that is written to out; recycle ends
// its use.
func getResponse(out io.Writer) *Response {
	r := responsePool.Get().(*Response)
	*r = Response{out: out, buf: r.buf[:0]}
	return r
}

func (r *Response) recycle() {
	if cap(r.buf) > maxPooledBufferBytes {
		return
	}
	r.out = nil
	responsePool.Put(r)
}

// Send appends a message. A large response is written in parts unless it is
// held.
func (r *Response) Send(m pgproto3.BackendMessage) error {
	b, err := m.Encode(r.buf)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	r.buf = b
	switch {
	case !r.held && len(r.buf) >= flushThresholdBytes:
		return r.Flush()
	case r.held && len(r.buf)-r.heldFrom > maxHeldBytes:
		return codes.New(codes.FrameTooLarge, codes.Unknown, 0, "the answer after a write")
	}
	return nil
}

// Hold holds back all messages that follow.
func (r *Response) Hold() {
	if r.held {
		return
	}
	r.held = true
	r.heldFrom = len(r.buf)
}

// Release lets the held messages go out with the next Flush.
func (r *Response) Release() { r.held = false }

// Drop removes the held messages.
func (r *Response) Drop() {
	if r.held {
		r.buf = r.buf[:r.heldFrom]
		r.held = false
	}
}

// Size returns the number of bytes that are not written yet.
func (r *Response) Size() int { return len(r.buf) }

// Flush writes everything that is not held.
func (r *Response) Flush() error {
	n := len(r.buf)
	if r.held {
		n = r.heldFrom
	}
	if n == 0 {
		return nil
	}
	r.started = true
	_, err := r.out.Write(r.buf[:n])
	r.buf = append(r.buf[:0], r.buf[n:]...)
	r.heldFrom = 0
	return errors.Wrap(err, "write answer")
}

// Started reports whether a part of the response was written to the caller.
func (r *Response) Started() bool { return r.started }

// Reset drops everything that was not written, held messages included.
func (r *Response) Reset() {
	r.buf = r.buf[:0]
	r.heldFrom = 0
	r.held = false
}
