package upstream

import (
	"net"
	"sync/atomic"
	"time"
)

// processStart is the origin of the times in a watchedConn.
var processStart = time.Now()

func sinceStart() int64 { return int64(time.Since(processStart)) }

// watchedConn records when bytes last passed and whether a response is
// outstanding.
type watchedConn struct {
	net.Conn
	// lastActive is the time of the last read or write that moved bytes,
	// lastRead that of the last read; both by sinceStart.
	lastActive, lastRead atomic.Int64
	// awaitingResponse is set from the first byte of a request until
	// markResponseComplete.
	awaitingResponse atomic.Bool
}

// Read implements net.Conn.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		now := sinceStart()
		w.lastActive.Store(now)
		w.lastRead.Store(now)
	}
	return n, err
}

// Write implements net.Conn.
func (w *watchedConn) Write(b []byte) (int, error) {
	w.awaitingResponse.Store(true)
	n, err := w.Conn.Write(b)
	if n > 0 {
		w.lastActive.Store(sinceStart())
	}
	return n, err
}

// markResponseComplete records that the whole response arrived.
func (w *watchedConn) markResponseComplete() { w.awaitingResponse.Store(false) }

// unansweredFor returns how long no byte has passed while a response is
// outstanding; it is 0 when none is.
func (w *watchedConn) unansweredFor() time.Duration {
	if !w.awaitingResponse.Load() {
		return 0
	}
	return time.Duration(sinceStart() - w.lastActive.Load())
}
