package sockopt

import (
	"net"
	"time"
)

// probes is how many keep-alive probes go unanswered before a connection is closed.
const probes = 2

// DetectDeadPeerWithin is Bound with a limit of the caller's: the kernel closes nc when
// its other end has given no sign of life for about d.
func DetectDeadPeerWithin(nc net.Conn, d time.Duration) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	step := max(d/(probes+1), time.Second)
	bound(tc, net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: probes}, d)
}
