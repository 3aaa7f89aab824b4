// Package sockopt sets socket options with which the kernel closes a TCP
// connection whose peer is unreachable, and recognizes timeout errors.
package sockopt

import (
	"net"
	"time"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// userTimeout is the maximum time that sent bytes may stay unacknowledged.
	userTimeout = 10 * time.Second
)

// DetectDeadPeer makes the kernel close nc when its peer is unreachable. It
// enables keep-alive probes for idle connections and a timeout for sent bytes
// that are not acknowledged. It has no effect on connections other than TCP.
func DetectDeadPeer(nc net.Conn) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	setTimeouts(tc, net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}, userTimeout)
}

func setTimeouts(tc *net.TCPConn, keepAlive net.KeepAliveConfig, unacknowledged time.Duration) {
	_ = tc.SetKeepAliveConfig(keepAlive)
	setUserTimeout(tc, unacknowledged)
}

// ResetOnClose makes the close of nc reset the connection: bytes that the peer has not
// received yet are dropped. It has no effect on connections other than TCP.
func ResetOnClose(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}

// LimitUnacknowledged makes the kernel give nc up once sent bytes have not been
// acknowledged for d. It has no effect on connections other than TCP.
func LimitUnacknowledged(nc net.Conn, d time.Duration) {
	if tc, ok := nc.(*net.TCPConn); ok {
		setUserTimeout(tc, d)
	}
}
