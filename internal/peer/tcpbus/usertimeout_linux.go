package tcpbus

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of tcp(7), in milliseconds.
const tcpUserTimeout = 18

// setUserTimeout makes the kernel close conn when sent bytes remain
// unacknowledged for d.
func setUserTimeout(conn net.Conn, d time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "raw connection")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "raw connection")
	}
	return errors.Wrap(optErr, "set TCP_USER_TIMEOUT")
}
