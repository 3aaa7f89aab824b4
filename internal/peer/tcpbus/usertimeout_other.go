//go:build !linux

package tcpbus

import (
	"net"
	"time"
)

// setUserTimeout does nothing: only Linux has the option.
func setUserTimeout(net.Conn, time.Duration) error { return nil }
