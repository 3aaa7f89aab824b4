// Package sockopt bounds how long a TCP connection may stay without a sign of
// life from its other end.
package sockopt

import (
	"net"
	"time"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// userTimeout is how long written bytes may stay unacknowledged.
	userTimeout = 10 * time.Second
)

// DetectDeadPeer makes the kernel close nc when its other end is gone: idle connections
// are probed, and written bytes must be acknowledged in time. A connection that
// is not TCP is left alone.
func DetectDeadPeer(nc net.Conn) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	bound(tc, net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}, userTimeout)
}

func bound(tc *net.TCPConn, probing net.KeepAliveConfig, silence time.Duration) {
	_ = tc.SetKeepAliveConfig(probing)
	setUserTimeout(tc, silence)
}
