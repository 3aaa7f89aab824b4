package sockopt

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBoundSetsKeepAliveAndUserTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer nc.Close()
	DetectDeadPeer(nc)
	raw, err := nc.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var timeout, keepAlive int
	var err1, err2 error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		timeout, err1 = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		keepAlive, err2 = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
	}))
	assert.NilError(t, err1)
	assert.NilError(t, err2)
	assert.Equal(t, timeout, int(userTimeout.Milliseconds()))
	assert.Equal(t, keepAlive, 1)
}
