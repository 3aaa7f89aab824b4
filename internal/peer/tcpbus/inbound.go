package tcpbus

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/pkg/errors"
)

// readBufferBytes is the size of an inbound connection's read buffer, in bytes.
const readBufferBytes = 4 << 10

// accept accepts connections until the listener is closed.
func (b *Bus) accept() {
	for {
		conn, err := b.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Warn("Could not accept a connection from a peer.", "error", err)
			b.wait(b.opts.MinBackoff)
			continue
		}
		if !b.admit(conn) {
			_ = conn.Close()
			b.stats.refused.Add(1)
			continue
		}
		b.wg.Go(func() { b.serve(conn) })
	}
}

// serve reads frames from conn until it fails.
func (b *Bus) serve(conn net.Conn) {
	defer b.release(conn)
	r := bufio.NewReaderSize(&countingReader{r: conn, stats: &b.stats}, readBufferBytes)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(2 * b.opts.IdleTimeout)); err != nil {
			return
		}
		f, err := readFrame(r, b.opts.MaxFrame)
		if err == io.EOF {
			return
		}
		if err != nil {
			if b.ctx.Err() == nil {
				b.stats.frameErrors.Add(1)
				b.log.Warn("Closed a connection from a peer after a read error.", "address", conn.RemoteAddr(), "error", err)
			}
			return
		}
		b.stats.framesReceived.Add(1)
		b.deliver(f)
	}
}

// admit registers an inbound connection; it returns false if there are too many
// or the bus is closed.
func (b *Bus) admit(conn net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil || len(b.inbound) >= b.opts.MaxInbound {
		return false
	}
	b.inbound[conn] = struct{}{}
	return true
}

func (b *Bus) release(conn net.Conn) {
	_ = conn.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inbound, conn)
}

// deliver passes f to the subscriptions of its topic and waits until each has
// acknowledged it.
func (b *Bus) deliver(f frame) {
	b.mu.Lock()
	subs := b.subscriptions[f.topic]
	b.mu.Unlock()
	if len(subs) == 0 {
		b.stats.unsubscribed.Add(1)
	}
	for _, s := range subs {
		s.deliver(f)
	}
}

// subscription is one output channel for a topic.
type subscription struct {
	ctx context.Context
	out chan *message.Message
	// senders holds one element for each delivery in progress.
	senders chan struct{}
}

// deliver sends f until it is acknowledged or the subscription ends.
func (s *subscription) deliver(f frame) {
	select {
	case s.senders <- struct{}{}:
	case <-s.ctx.Done():
		return
	}
	defer func() { <-s.senders }()
	for {
		if s.deliverOnce(f) {
			return
		}
	}
}

// drain waits for the deliveries in progress, which end because the context has
// ended. Afterwards it holds every slot of senders, so no new delivery can start.
func (s *subscription) drain() {
	for range cap(s.senders) {
		s.senders <- struct{}{}
	}
}

// deliverOnce returns false if the message was rejected (Nack) and must be
// delivered again.
func (s *subscription) deliverOnce(f frame) bool {
	msg := message.NewMessage(f.id.String(), f.payload)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	msg.SetContext(ctx)
	select {
	case s.out <- msg:
	case <-s.ctx.Done():
		return true
	}
	select {
	case <-msg.Acked():
		return true
	case <-msg.Nacked():
		return false
	case <-s.ctx.Done():
		return true
	}
}

// countingReader counts the bytes received.
type countingReader struct {
	r     io.Reader
	stats *counters
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.stats.bytesReceived.Add(uint64(n))
	return n, err
}
