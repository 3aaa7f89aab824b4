//go:build review3

package main

import (
	"io"
	"net"
	"sync"
)

// link is a loopback proxy before a server, which can hold up all bytes.
type link struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cut  bool
	open *sync.Cond
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target}
	k.open = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) close() {
	_ = k.listener.Close()
	k.setCut(false)
}

func (k *link) setCut(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = on
	k.open.Broadcast()
}

// wait waits until the link is not cut.
func (k *link) wait() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut {
		k.open.Wait()
	}
}

func (k *link) accept() {
	for {
		nc, err := k.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			k.wait()
			server, err := net.Dial("tcp", k.target)
			if err != nil {
				return
			}
			defer server.Close()
			go k.pipe(server, nc)
			k.pipe(nc, server)
		}()
	}
}

// pipe copies what arrives from one end to the other, and closes both when one has ended.
func (k *link) pipe(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		k.wait()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
