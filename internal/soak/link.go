package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// direction is the direction of bytes through a link.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// link is a loopback TCP relay to one address, which can inject faults into its
// connections.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pipes map[*pipe]struct{}
	delay time.Duration
	// cut stops the bytes of a direction; they are delivered once the cut ends, unless
	// their sender has reset the connection.
	cut [2]bool
	// onSend is called once when the next bytes to the target arrive, if set.
	onSend func()
	// closed makes the link close new connections at once.
	closed bool
}

// pipe is one connection through a link.
type pipe struct {
	near, far net.Conn
	// silent permanently blocks all bytes of the connection.
	silent bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	k := &link{listener: l, target: target, pipes: make(map[*pipe]struct{})}
	go k.accept()
	return k, nil
}

// address returns the address on which the link listens.
func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.relay(near)
	}
}

func (k *link) relay(near net.Conn) {
	defer near.Close()
	k.mu.Lock()
	closed := k.closed
	k.mu.Unlock()
	if closed {
		return
	}
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer far.Close()
	p := &pipe{near: near, far: far}
	k.mu.Lock()
	k.pipes[p] = struct{}{}
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.pipes, p)
	}()
	done := make(chan struct{}, 2)
	go func() {
		k.copy(p, far, near, toTarget)
		done <- struct{}{}
	}()
	go func() {
		k.copy(p, near, far, fromTarget)
		done <- struct{}{}
	}()
	<-done
}

const (
	bufferSize = 16 << 10
	// readAhead is how many reads of a direction may wait to be delivered.
	readAhead = 64
	// cutPollInterval is how often a blocked direction is checked again.
	cutPollInterval = 5 * time.Millisecond
)

func (k *link) copy(p *pipe, to io.Writer, from io.Reader, d direction) {
	var reset atomic.Bool
	for data := range k.read(from, d, &reset) {
		for k.blocked(p, d) && !reset.Load() {
			time.Sleep(cutPollInterval)
		}
		if reset.Load() {
			return
		}
		k.mu.Lock()
		delay := k.delay
		k.mu.Unlock()
		time.Sleep(delay)
		if _, err := to.Write(data); err != nil {
			return
		}
	}
}

// read returns the data that from sends until it closes or resets the connection. It
// reads on while the direction is blocked, and sets reset when the sender resets.
func (k *link) read(from io.Reader, d direction, reset *atomic.Bool) <-chan []byte {
	out := make(chan []byte, readAhead)
	go func() {
		defer close(out)
		for {
			buf := make([]byte, bufferSize)
			n, err := from.Read(buf)
			if n > 0 && d == toTarget {
				k.reportSend()
			}
			if errors.Is(err, syscall.ECONNRESET) {
				reset.Store(true)
			}
			if err != nil {
				return
			}
			out <- buf[:n]
		}
	}()
	return out
}

func (k *link) reportSend() {
	k.mu.Lock()
	f := k.onSend
	k.onSend = nil
	k.mu.Unlock()
	if f != nil {
		f()
	}
}

// callOnSend calls f when the next bytes to the target arrive, before they are
// delivered.
func (k *link) callOnSend(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onSend = f
}

// blocked reports whether the bytes of a direction are blocked at the moment. On
// a connection that was closed meanwhile nothing is blocked.
func (k *link) blocked(p *pipe, d direction) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, open := k.pipes[p]
	return open && (p.silent || k.cut[d])
}

func (k *link) setDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

func (k *link) setCut(d direction, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[d] = on
}

// reset breaks all connections.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		if tc, ok := p.near.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // without it the close still breaks the connection
		}
		_ = p.near.Close()
		_ = p.far.Close()
	}
}

// silence permanently blocks the bytes of all open connections; new ones work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		p.silent = true
	}
}

// refuse closes open connections and, until it is switched off, new ones.
func (k *link) refuse(on bool) {
	k.mu.Lock()
	k.closed = on
	k.mu.Unlock()
	if on {
		k.reset()
	}
}

func (k *link) close() {
	_ = k.listener.Close() // errors do not matter at the end of the run
	k.reset()
}
