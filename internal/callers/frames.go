package callers

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

const (
	readBufferBytes  = 4 << 10
	lengthFieldBytes = 4
)

var readBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// messageReader reads a caller's messages. While it waits for the first byte of
// a message and has no buffered bytes, it holds no buffer.
type messageReader struct {
	conn net.Conn
	// max is the maximum size of a body in bytes.
	max int
	// timeout limits the arrival of a body that exceeds the read buffer.
	timeout time.Duration

	buf   *bufio.Reader
	first [1]byte
}

// buffer returns the read buffer, getting one from the pool if necessary.
func (r *messageReader) buffer() *bufio.Reader {
	if r.buf == nil {
		r.buf = readBuffers.Get().(*bufio.Reader)
		r.buf.Reset(r.conn)
	}
	return r.buf
}

// releaseBuffer returns the buffer to the pool if it is empty.
func (r *messageReader) releaseBuffer() {
	if r.buf == nil || r.buf.Buffered() > 0 {
		return
	}
	r.buf.Reset(nil)
	readBuffers.Put(r.buf)
	r.buf = nil
}

// next returns the next message, which shares no memory with the reader. An
// error is a *codes.Error for an invalid frame, else an error of the
// connection.
func (r *messageReader) next() (pgproto3.FrontendMessage, error) {
	kind, err := r.kind()
	if err != nil {
		return nil, err
	}
	size, err := r.size()
	if err != nil {
		return nil, err
	}
	m, ok := newMessage(kind)
	if !ok {
		return nil, malformed("message kind")
	}
	if size <= readBufferBytes {
		return m, r.decodeSmall(m, size)
	}
	return m, r.decodeLarge(m, size)
}

func (r *messageReader) kind() (byte, error) {
	if r.buf != nil {
		return r.buf.ReadByte()
	}
	_, err := io.ReadFull(r.conn, r.first[:])
	return r.first[0], err
}

func (r *messageReader) size() (int, error) {
	head, err := r.buffer().Peek(lengthFieldBytes)
	if err != nil {
		return 0, err
	}
	n := int64(binary.BigEndian.Uint32(head)) - lengthFieldBytes
	switch {
	case n < 0:
		return 0, malformed("length")
	case n > int64(r.max):
		return 0, codes.New(codes.FrameTooLarge, codes.NotRun, 0, "")
	}
	_, err = r.buf.Discard(lengthFieldBytes)
	return int(n), err
}

// decodeSmall decodes a body that fits into the buffer.
func (r *messageReader) decodeSmall(m pgproto3.FrontendMessage, size int) error {
	body, err := r.buf.Peek(size)
	if err != nil {
		return err
	}
	if err := decode(m, body); err != nil {
		return err
	}
	_, err = r.buf.Discard(size)
	return err
}

// decodeLarge reads a body as it arrives, so that an announced length alone
// allocates no memory. The timeout limits how long a partial body holds memory.
func (r *messageReader) decodeLarge(m pgproto3.FrontendMessage, size int) error {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return err
	}
	defer func() { _ = r.conn.SetReadDeadline(time.Time{}) }()
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r.buf, int64(size)); err != nil {
		return err
	}
	return decode(m, body.Bytes())
}

// decode fills m from body without retaining any part of body.
func decode(m pgproto3.FrontendMessage, body []byte) error {
	if err := m.Decode(body); err != nil {
		return malformed("message body")
	}
	if b, ok := m.(*pgproto3.Bind); ok {
		copyParameters(b)
	}
	return nil
}

// copyParameters copies the parameters of b, which alias the body that b was
// decoded from.
func copyParameters(b *pgproto3.Bind) {
	size := 0
	for _, p := range b.Parameters {
		size += len(p)
	}
	all := make([]byte, 0, size)
	for i, p := range b.Parameters {
		if p == nil {
			continue
		}
		start := len(all)
		all = append(all, p...)
		b.Parameters[i] = all[start:len(all):len(all)]
	}
}

func malformed(what string) error {
	return codes.New(codes.MalformedFrame, codes.NotRun, 0, what)
}

// newMessage returns an empty message of a kind that callers send after startup.
func newMessage(kind byte) (pgproto3.FrontendMessage, bool) {
	switch kind {
	case 'Q':
		return &pgproto3.Query{}, true
	case 'P':
		return &pgproto3.Parse{}, true
	case 'B':
		return &pgproto3.Bind{}, true
	case 'D':
		return &pgproto3.Describe{}, true
	case 'E':
		return &pgproto3.Execute{}, true
	case 'C':
		return &pgproto3.Close{}, true
	case 'H':
		return &pgproto3.Flush{}, true
	case 'S':
		return &pgproto3.Sync{}, true
	case 'X':
		return &pgproto3.Terminate{}, true
	case 'F':
		return &pgproto3.FunctionCall{}, true
	case 'd':
		return &pgproto3.CopyData{}, true
	case 'c':
		return &pgproto3.CopyDone{}, true
	case 'f':
		return &pgproto3.CopyFail{}, true
	default:
		return nil, false
	}
}

// byteReader returns one byte at a time, so that the reader of the startup
// messages consumes no bytes of a later message.
type byteReader struct{ f *messageReader }

// Read implements io.Reader.
func (r byteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	b, err := r.f.buffer().ReadByte()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	p[0] = b
	return 1, nil
}
