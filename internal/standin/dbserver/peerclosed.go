package dbserver

import (
	"net"
	"syscall"
)

// peerClosed reports whether the other side has already closed the connection.
// This happens when the server process was stopped for longer than the other
// side's connect timeout.
func peerClosed(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
		return true
	})
	return closed || err != nil
}
