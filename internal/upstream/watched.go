package upstream

import (
	"net"
	"sync/atomic"
	"time"
)

// processStart is the origin of the times that a watchedConn keeps.
var processStart = time.Now()

func sinceStart() int64 { return int64(time.Since(processStart)) }

// watchedConn records when bytes last passed and whether an answer is due.
type watchedConn struct {
	net.Conn
	// active is the time of the last read or write that moved bytes, heard that
	// of the last read.
	active, heard atomic.Int64
	// due is set from the first byte of a request until settle.
	due atomic.Bool
}

// Read implements net.Conn.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		now := sinceStart()
		w.active.Store(now)
		w.heard.Store(now)
	}
	return n, err
}

// Write implements net.Conn.
func (w *watchedConn) Write(b []byte) (int, error) {
	w.due.Store(true)
	n, err := w.Conn.Write(b)
	if n > 0 {
		w.active.Store(sinceStart())
	}
	return n, err
}

// settle records that the whole answer arrived.
func (w *watchedConn) settle() { w.due.Store(false) }

// silentFor returns how long an answer has been due without a byte of it; it
// is 0 when none is due.
func (w *watchedConn) silentFor() time.Duration {
	if !w.due.Load() {
		return 0
	}
	return time.Duration(sinceStart() - w.active.Load())
}
