package callers

import (
	"io"
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Answer collects the messages of one answer before they go to the caller.
// What follows a Hold stays back until Release, so that it can still be
// dropped and replaced by an error.
type Answer struct {
	out     io.Writer
	buf     []byte
	mark    int
	held    bool
	started bool
}

// streamBytes is the size at which an answer that is not held goes out early.
const streamBytes = 32 << 10

// maxHeldBytes bounds what is held back until a write is safe.
const maxHeldBytes = 16 << 20

// NewAnswer returns an answer that is written to out.
func NewAnswer(out io.Writer) *Answer { return &Answer{out: out} }

const (
	// answerBytes is the size of a buffer at its first use; one that grew over
	// maxPooledBytes is not kept.
	answerBytes    = 2 << 10
	maxPooledBytes = 64 << 10
)

var answers = sync.Pool{New: func() any { return &Answer{buf: make([]byte, 0, answerBytes)} }}

// borrowAnswer returns an empty answer that is written to out; giveBack ends
// its use.
func borrowAnswer(out io.Writer) *Answer {
	a := answers.Get().(*Answer)
	*a = Answer{out: out, buf: a.buf[:0]}
	return a
}

func (a *Answer) giveBack() {
	if cap(a.buf) > maxPooledBytes {
		return
	}
	a.out = nil
	answers.Put(a)
}

// Send appends a message. Large answers go out in parts unless they are held.
func (a *Answer) Send(m pgproto3.BackendMessage) error {
	b, err := m.Encode(a.buf)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	a.buf = b
	switch {
	case !a.held && len(a.buf) >= streamBytes:
		return a.Flush()
	case a.held && len(a.buf)-a.mark > maxHeldBytes:
		return codes.New(codes.FrameTooLarge, codes.Unknown, 0, "the answer after a write")
	}
	return nil
}

// Hold keeps back all messages from here on.
func (a *Answer) Hold() {
	if a.held {
		return
	}
	a.held = true
	a.mark = len(a.buf)
}

// Release lets the held messages go out with the next Flush.
func (a *Answer) Release() { a.held = false }

// Drop removes the held messages.
func (a *Answer) Drop() {
	if a.held {
		a.buf = a.buf[:a.mark]
		a.held = false
	}
}

// Size returns the bytes that were not written yet.
func (a *Answer) Size() int { return len(a.buf) }

// Flush writes everything that is not held.
func (a *Answer) Flush() error {
	n := len(a.buf)
	if a.held {
		n = a.mark
	}
	if n == 0 {
		return nil
	}
	a.started = true
	_, err := a.out.Write(a.buf[:n])
	a.buf = append(a.buf[:0], a.buf[n:]...)
	a.mark = 0
	return errors.Wrap(err, "write answer")
}

// Started reports whether a part of the answer was written to the caller.
func (a *Answer) Started() bool { return a.started }

// Reset forgets everything that was not written, held messages included.
func (a *Answer) Reset() {
	a.buf = a.buf[:0]
	a.mark = 0
	a.held = false
}
