//go:build review

package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link forwards TCP connections to an address. While it is cut, it holds up the bytes
// of both directions and delivers them afterwards, unless their sender has reset the
// connection: then they are lost.
type link struct {
	listener net.Listener
	target   string
	// onSend, if not nil, is called before bytes of the client are passed on.
	onSend func()

	mu     sync.Mutex
	healed chan struct{}
}

func newLink(ip, target string) (*link, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, healed: make(chan struct{})}
	close(k.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c.(*net.TCPConn))
		}
	}()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// cut holds up all bytes for the time d.
func (k *link) cut(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	healed := make(chan struct{})
	k.healed = healed
	time.AfterFunc(d, func() { close(healed) })
}

// wait returns once the link isn't cut.
func (k *link) wait() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

func (k *link) forward(c *net.TCPConn) {
	defer c.Close()
	k.wait()
	s, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	server := s.(*net.TCPConn)
	defer server.Close()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		k.copy(server, c, k.onSend)
	}()
	go func() {
		defer wg.Done()
		k.copy(c, server, nil)
	}()
	wg.Wait()
}

// copy passes on what from sends. It reads on while the link is cut, so that it sees
// whether the sender resets the connection.
func (k *link) copy(to, from *net.TCPConn, onSend func()) {
	type piece struct {
		data []byte
		end  error
	}
	pieces := make(chan piece, 64)
	var reset sync.Once
	wasReset := make(chan struct{})
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 && onSend != nil {
				onSend()
			}
			if errors.Is(err, syscall.ECONNRESET) {
				reset.Do(func() { close(wasReset) })
			}
			pieces <- piece{b[:n], err}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		k.wait()
		select {
		case <-wasReset:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		default:
		}
		if len(p.data) > 0 {
			if _, err := to.Write(p.data); err != nil {
				return
			}
		}
		if p.end != nil {
			if p.end == io.EOF {
				_ = to.CloseWrite()
			}
			return
		}
	}
}
