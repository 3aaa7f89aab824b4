// Package slowlink simulates links of limited bandwidth in memory, for tests in
// virtual time.
package slowlink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// chunkBytes is the unit in which transfers share a link.
const chunkBytes = 16 << 10

// Link is one direction of a machine's link. Transfers at the same time share its
// bandwidth. It is safe for concurrent use.
type Link struct {
	bytesPerSecond int

	mu     sync.Mutex
	freeAt time.Time
	bytes  int
}

// New returns an idle link.
func New(bytesPerSecond int) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Transfer blocks until n bytes have passed the link.
func (l *Link) Transfer(n int) {
	for n > 0 {
		chunk := min(n, chunkBytes)
		time.Sleep(l.reserve(chunk))
		n -= chunk
	}
}

// reserve queues a chunk and returns how long it takes until it has passed.
func (l *Link) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	l.bytes += n
	return l.freeAt.Sub(now)
}

// Bytes returns how many bytes have been transferred or queued.
func (l *Link) Bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Listener accepts connections in memory. What its side writes passes the link of
// the dialler.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*Listener)(nil)

// Listen returns an open listener.
func Listen() *Listener { return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})} }

// Dial connects a client whose inbound link is l.
func (s *Listener) Dial(ctx context.Context, l *Link) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case s.conns <- linkedConn{Conn: server, link: l}:
		return client, nil
	case <-s.closed:
		return nil, errors.New("slowlink: connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (s *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *Listener) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Addr implements net.Listener.
func (s *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// linkedConn is the server's end of a connection.
type linkedConn struct {
	net.Conn
	link *Link
}

// Write implements net.Conn.
func (c linkedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+chunkBytes, len(p))]
		c.link.Transfer(len(chunk))
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
