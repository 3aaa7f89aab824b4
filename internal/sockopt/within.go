package sockopt

import (
	"net"
	"time"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which the
// kernel closes a connection.
const keepAliveProbes = 2

// DetectDeadPeerWithin is DetectDeadPeer with a timeout: the kernel closes nc
// when nothing was received from its peer for about d. Keep-alive times are at
// least 1 s, the smallest value that the kernel supports.
func DetectDeadPeerWithin(nc net.Conn, d time.Duration) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	step := max(d/(keepAliveProbes+1), time.Second)
	setTimeouts(tc, net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: keepAliveProbes}, d)
}
