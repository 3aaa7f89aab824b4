package tcpbus

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/pkg/errors"
)

// writeBytes is the size of one write. Each has a deadline of its own, so that a
// frame which takes long on a slow link is not sent again from its beginning.
const writeBytes = 64 << 10

// outbound sends the frames queued for one peer over a single reused connection.
type outbound struct {
	bus     *Bus
	address string
	queue   *queue
	conn    net.Conn
	backoff time.Duration
}

// run sends queued frames until ctx ends or nothing was queued for the idle timeout.
func (o *outbound) run(ctx context.Context) {
	defer o.disconnect()
	idle := time.NewTimer(o.bus.opts.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.queue.ready:
			o.flush(ctx)
			idle.Reset(o.bus.opts.IdleTimeout)
		case <-idle.C:
			if o.bus.removeIdle(o) {
				return
			}
			idle.Reset(o.bus.opts.IdleTimeout)
		}
	}
}

// flush sends all queued frames and waits for the backoff after each failure.
func (o *outbound) flush(ctx context.Context) {
	for ctx.Err() == nil {
		wire, ok := o.queue.pop()
		if !ok {
			return
		}
		if err := o.send(ctx, wire); err != nil {
			o.bus.log.Debug("Could not send to a peer.", "address", o.address, "error", err)
			o.disconnect()
			if !o.queue.pushFront(wire) {
				o.bus.stats.dropped.Add(1)
			}
			o.waitBackoff(ctx)
			continue
		}
		o.backoff = 0
	}
}

func (o *outbound) send(ctx context.Context, wire []byte) error {
	if err := o.connect(ctx); err != nil {
		return err
	}
	for len(wire) > 0 {
		if err := o.conn.SetWriteDeadline(time.Now().Add(o.bus.opts.WriteTimeout)); err != nil {
			return errors.Wrap(err, "write deadline")
		}
		n, err := o.conn.Write(wire[:min(len(wire), writeBytes)])
		o.bus.stats.bytesSent.Add(uint64(n))
		if err != nil {
			return errors.Wrap(err, "write")
		}
		wire = wire[n:]
	}
	o.bus.stats.framesSent.Add(1)
	return nil
}

// connect opens the connection unless one is open.
func (o *outbound) connect(ctx context.Context) error {
	if o.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: o.bus.opts.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", o.address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	if err := setUserTimeout(conn, o.bus.opts.WriteTimeout); err != nil {
		_ = conn.Close()
		return err
	}
	if conn, err = o.startTLS(ctx, conn); err != nil {
		return err
	}
	o.conn = conn
	o.bus.wg.Go(func() { closeOnEOF(conn) })
	return nil
}

// startTLS runs the TLS handshake if the bus uses TLS. It closes conn on an error.
func (o *outbound) startTLS(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if o.bus.opts.TLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.bus.opts.DialTimeout)
	defer cancel()
	tlsConn := tls.Client(conn, o.bus.opts.TLS)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "tls handshake")
	}
	return tlsConn, nil
}

// closeOnEOF closes conn once the peer has closed it. The peer never sends data
// on it, so reading only detects the end.
func closeOnEOF(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

func (o *outbound) disconnect() {
	if o.conn != nil {
		_ = o.conn.Close()
		o.conn = nil
	}
}

// waitBackoff waits for the backoff, which doubles with each failure. The delay
// is a random duration between half the backoff and the full backoff.
func (o *outbound) waitBackoff(ctx context.Context) {
	o.backoff = min(max(2*o.backoff, o.bus.opts.MinBackoff), o.bus.opts.MaxBackoff)
	_ = sleep.For(ctx, o.backoff/2+rand.N(o.backoff/2+1))
}
