// Package peertest is a network of proxies in memory for tests.
package peertest

import (
	"context"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"
)

// Network carries messages between the proxies of a test.
type Network struct {
	mu   sync.Mutex
	subs map[string]chan *message.Message
	cut  map[string]bool
	sent int
}

// New returns a network without proxies.
func New() *Network {
	return &Network{subs: make(map[string]chan *message.Message), cut: make(map[string]bool)}
}

// Isolate makes the proxy at an address hear and say nothing.
func (n *Network) Isolate(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = true
}

// Sent returns how many messages were sent.
func (n *Network) Sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// Bus is one proxy's end of the network. It implements inquiry.Bus.
type Bus struct {
	network *Network
	address string
}

// Bus returns the end of the proxy at an address.
func (n *Network) Bus(address string) *Bus { return &Bus{network: n, address: address} }

// Send implements inquiry.Bus. It panics on a message that can't be encoded.
func (b *Bus) Send(address, topic string, msg any) {
	payload, err := msgpack.Marshal(msg)
	if err != nil {
		panic(err)
	}
	n := b.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	in, ok := n.subs[address+topic]
	if !ok || n.cut[address] || n.cut[b.address] {
		return
	}
	m := message.NewMessage(uuid.NewString(), payload)
	go func() {
		select {
		case in <- m:
		case <-time.After(time.Second): // the proxy has ended
		}
	}()
}

// Subscribe implements inquiry.Bus.
func (b *Bus) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	in, out := make(chan *message.Message), make(chan *message.Message)
	b.network.mu.Lock()
	b.network.subs[b.address+topic] = in
	b.network.mu.Unlock()
	go func() {
		defer close(out)
		for {
			select {
			case m := <-in:
				out <- m
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}
