// Package peertest provides an in-memory network between proxies for tests.
package peertest

import (
	"context"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cranberrystage/cranberrystage/internal/slowlink"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"
)

// connectionIdle is how long the sender of a connection with links waits for a
// further message.
const connectionIdle = 10 * time.Second

// Network carries messages between the proxies of a test.
type Network struct {
	mu   sync.Mutex
	subs map[string]chan *message.Message
	// isolated holds the addresses whose messages are dropped.
	isolated map[string]bool
	sent     int
	largest  int
	// links holds the links of proxies by address; a proxy without one has
	// unlimited bandwidth.
	links map[string]Links
	// connections holds the queues of messages by sender and receiver. Messages of
	// one connection pass the links one after the other.
	connections map[[2]string]chan delivery
	// route returns the path of messages between two proxies; nil is a path without
	// limits.
	route func(from, to string) Route
}

// Route is the path of messages from one proxy to another.
type Route struct {
	// Link limits the bandwidth unless nil. Several routes may share it.
	Link    *slowlink.Link
	Latency time.Duration
	// Down drops all messages.
	Down bool
}

// SetRoutes sets the paths of messages.
func (n *Network) SetRoutes(route func(from, to string) Route) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.route = route
}

// Rejoin ends the effect of Isolate.
func (n *Network) Rejoin(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, address)
}

// deliverOver passes the message to its receiver over a route.
func (d delivery) deliverOver(r Route) {
	if r.Down {
		return
	}
	if r.Link != nil {
		r.Link.Transfer(len(d.message.Payload))
	}
	time.Sleep(r.Latency)
	d.deliver()
}

// Links are the two directions of a proxy's link.
type Links struct {
	Out, In *slowlink.Link
}

// delivery is a message on its way to a receiver.
type delivery struct {
	message *message.Message
	in      chan<- *message.Message
}

// New returns a network without proxies.
func New() *Network {
	return &Network{
		subs: make(map[string]chan *message.Message), isolated: make(map[string]bool),
		links: make(map[string]Links), connections: make(map[[2]string]chan delivery),
	}
}

// SetLinks limits the bandwidth of the proxy at an address.
func (n *Network) SetLinks(address string, l Links) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[address] = l
}

// Isolate drops all further messages to and from the proxy at an address.
func (n *Network) Isolate(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = true
}

// Sent returns the number of messages sent, including dropped ones.
func (n *Network) Sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// LargestMessage returns the size of the largest message sent, in bytes.
func (n *Network) LargestMessage() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.largest
}

// Bus connects one proxy to the network. It implements rpc.Bus.
type Bus struct {
	network *Network
	address string
}

// Bus returns the bus of the proxy at an address.
func (n *Network) Bus(address string) *Bus { return &Bus{network: n, address: address} }

// Send implements rpc.Bus. It panics if msg can't be encoded.
func (b *Bus) Send(address, topic string, msg any) {
	payload, err := msgpack.Marshal(msg)
	if err != nil {
		panic(err)
	}
	n := b.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	n.largest = max(n.largest, len(payload))
	in, ok := n.subs[address+topic]
	if !ok || n.isolated[address] || n.isolated[b.address] {
		return
	}
	d := delivery{message: message.NewMessage(uuid.NewString(), payload), in: in}
	if n.route != nil {
		go d.deliverOver(n.route(b.address, address))
		return
	}
	if len(n.links) == 0 {
		go d.deliver()
		return
	}
	n.queue(b.address, address, d)
}

// deliver passes the message to its receiver.
func (d delivery) deliver() {
	select {
	case d.in <- d.message:
	case <-time.After(time.Second): // the receiver has stopped
	}
}

// queue sends a message over the connection between two proxies. The lock must be
// held.
func (n *Network) queue(from, to string, d delivery) {
	key := [2]string{from, to}
	c, ok := n.connections[key]
	if !ok {
		c = make(chan delivery, 256)
		n.connections[key] = c
		go n.runConnection(key, c)
	}
	select {
	case c <- d:
	default: // the queue is full
	}
}

// runConnection sends queued messages until none has been queued for
// connectionIdle.
func (n *Network) runConnection(key [2]string, c chan delivery) {
	n.mu.Lock()
	out, in := n.links[key[0]].Out, n.links[key[1]].In
	n.mu.Unlock()
	for {
		select {
		case d := <-c:
			transfer(out, in, len(d.message.Payload))
			go d.deliver()
		case <-time.After(connectionIdle):
			n.mu.Lock()
			idle := len(c) == 0
			if idle {
				delete(n.connections, key)
			}
			n.mu.Unlock()
			if idle {
				return
			}
		}
	}
}

// transfer blocks until size bytes have passed both links; nil is unlimited. The
// links work at the same time.
func transfer(out, in *slowlink.Link, size int) {
	done := make(chan struct{})
	go func() {
		if out != nil {
			out.Transfer(size)
		}
		close(done)
	}()
	if in != nil {
		in.Transfer(size)
	}
	<-done
}

// Subscribe implements rpc.Bus.
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
