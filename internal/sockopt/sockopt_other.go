//go:build !linux

package sockopt

import (
	"net"
	"time"
)

// setUserTimeout has no counterpart on this system; keep-alive probes remain.
func setUserTimeout(*net.TCPConn, time.Duration) {}
