package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// direction of bytes through a link.
type direction int

const (
	forth direction = iota
	back
)

// link is a loopback relay before one address. Its faults act on what passes.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*pipe]struct{}
	delay time.Duration
	// cut stops the bytes of a direction; they pass later.
	cut [2]bool
	// closed makes new connections end at once.
	closed bool
}

// pipe is one connection through a link.
type pipe struct {
	near, far net.Conn
	// silent keeps all bytes of the connection for good.
	silent bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	k := &link{listener: l, target: target, conns: make(map[*pipe]struct{})}
	go k.accept()
	return k, nil
}

// address is where the link is connected to.
func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.carry(near)
	}
}

func (k *link) carry(near net.Conn) {
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
	k.conns[p] = struct{}{}
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, p)
	}()
	done := make(chan struct{}, 2)
	go func() {
		k.copy(p, far, near, forth)
		done <- struct{}{}
	}()
	go func() {
		k.copy(p, near, far, back)
		done <- struct{}{}
	}()
	<-done
}

const (
	chunk = 16 << 10
	// lookAgain is how often a cut direction is looked at.
	lookAgain = 5 * time.Millisecond
)

func (k *link) copy(p *pipe, to io.Writer, from io.Reader, d direction) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for k.held(p, d) {
			time.Sleep(lookAgain)
		}
		k.mu.Lock()
		delay := k.delay
		k.mu.Unlock()
		time.Sleep(delay)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// held reports whether bytes of a direction do not pass now. A connection that
// was closed meanwhile holds nothing.
func (k *link) held(p *pipe, d direction) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, open := k.conns[p]
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
	for p := range k.conns {
		if tc, ok := p.near.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // it is a reset either way
		}
		_ = p.near.Close()
		_ = p.far.Close()
	}
}

// silence keeps the bytes of all present connections; new ones work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		p.silent = true
	}
}

// refuse ends present connections and, until it is taken back, new ones.
func (k *link) refuse(on bool) {
	k.mu.Lock()
	k.closed = on
	k.mu.Unlock()
	if on {
		k.reset()
	}
}

func (k *link) close() {
	_ = k.listener.Close() // it ends with the soak
	k.reset()
}
