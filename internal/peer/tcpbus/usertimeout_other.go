//go:build !linux

package tcpbus

import (
	"net"
	"time"
)

// setUserTimeout does nothing where the system has no such option.
func setUserTimeout(net.Conn, time.Duration) error { return nil }
