//go:build !linux

package sockopt

import (
	"net"
	"time"
)

// setUserTimeout has no effect on systems other than Linux. The keep-alive probes
// still apply.
func setUserTimeout(*net.TCPConn, time.Duration) {}
