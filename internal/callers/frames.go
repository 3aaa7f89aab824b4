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
	readBuffer = 4 << 10
	lengthSize = 4
)

var readBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// frames reads a caller's messages. While it waits for the first byte of a
// message and nothing is buffered, it holds no buffer.
type frames struct {
	conn net.Conn
	max  int
	// timeout bounds the arrival of a large body.
	timeout time.Duration

	buf   *bufio.Reader
	first [1]byte
}

// buffer returns the read buffer, taking one if need be.
func (f *frames) buffer() *bufio.Reader {
	if f.buf == nil {
		f.buf = readBuffers.Get().(*bufio.Reader)
		f.buf.Reset(f.conn)
	}
	return f.buf
}

// rest gives the buffer back if it is empty.
func (f *frames) rest() {
	if f.buf == nil || f.buf.Buffered() > 0 {
		return
	}
	f.buf.Reset(nil)
	readBuffers.Put(f.buf)
	f.buf = nil
}

// next returns the next message, which the caller of next keeps. An error is a
// *codes.Error for a frame that can't be read, else one of the connection.
func (f *frames) next() (pgproto3.FrontendMessage, error) {
	kind, err := f.kind()
	if err != nil {
		return nil, err
	}
	size, err := f.size()
	if err != nil {
		return nil, err
	}
	m, ok := newMessage(kind)
	if !ok {
		return nil, malformed("message kind")
	}
	if size <= readBuffer {
		return m, f.decodeSmall(m, size)
	}
	return m, f.decodeLarge(m, size)
}

func (f *frames) kind() (byte, error) {
	if f.buf != nil {
		return f.buf.ReadByte()
	}
	_, err := io.ReadFull(f.conn, f.first[:])
	return f.first[0], err
}

func (f *frames) size() (int, error) {
	head, err := f.buffer().Peek(lengthSize)
	if err != nil {
		return 0, err
	}
	n := int64(binary.BigEndian.Uint32(head)) - lengthSize
	switch {
	case n < 0:
		return 0, malformed("length")
	case n > int64(f.max):
		return 0, codes.New(codes.FrameTooLarge, codes.NotRun, 0, "")
	}
	_, err = f.buf.Discard(lengthSize)
	return int(n), err
}

// decodeSmall decodes a body that fits into the buffer.
func (f *frames) decodeSmall(m pgproto3.FrontendMessage, size int) error {
	body, err := f.buf.Peek(size)
	if err != nil {
		return err
	}
	if err := decode(m, body); err != nil {
		return err
	}
	_, err = f.buf.Discard(size)
	return err
}

// decodeLarge reads a body as it arrives, so that an announced length alone
// takes no memory, and what arrived of it takes memory for a bounded time.
func (f *frames) decodeLarge(m pgproto3.FrontendMessage, size int) error {
	if err := f.conn.SetReadDeadline(time.Now().Add(f.timeout)); err != nil {
		return err
	}
	defer func() { _ = f.conn.SetReadDeadline(time.Time{}) }()
	var body bytes.Buffer
	if _, err := io.CopyN(&body, f.buf, int64(size)); err != nil {
		return err
	}
	return decode(m, body.Bytes())
}

// decode fills m from body without keeping any part of body.
func decode(m pgproto3.FrontendMessage, body []byte) error {
	if err := m.Decode(body); err != nil {
		return malformed("message body")
	}
	if b, ok := m.(*pgproto3.Bind); ok {
		own(b)
	}
	return nil
}

// own copies the parameters, which alias the body that b was decoded from.
func own(b *pgproto3.Bind) {
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

// byteReader hands out one byte at a time, so that the reader of the startup
// messages takes none that belongs to a later message.
type byteReader struct{ f *frames }

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
