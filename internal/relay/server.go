package relay

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/forward"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/sockopt"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// startupTimeout bounds the wait for a caller's first message, and for the rest of
// each message that has begun to arrive.
const startupTimeout = 3 * time.Second

// Caller is the codec's end of a caller's connection.
type Caller interface {
	// Startup reads the startup message and returns the requested database and the
	// caller's key.
	Startup() (database, key string, err error)
	// Welcome reports to the caller that the session is established.
	Welcome() error
	// Reject refuses a startup.
	Reject(r statement.Reply) error
	// Await returns once the next statement begins to arrive.
	Await() error
	// Next returns the next statement; ok is false when the caller ends the session.
	Next() (st statement.Statement, ok bool, err error)
	// Reply answers the last statement.
	Reply(r statement.Reply) error
	// SetReadDeadline bounds the reads that follow.
	SetReadDeadline(t time.Time) error
	// Close closes the connection.
	Close() error
}

// Limiter enforces the teams' limits of operations over all proxies.
type Limiter interface {
	// Admit counts an operation of a team. If ok is false, the team has reached its
	// limit, and retryAfter says when it is worth trying again.
	Admit(ctx context.Context, team tables.TeamID) (retryAfter time.Duration, ok bool)
}

// Unlimited is a Limiter that admits everything.
type Unlimited struct{}

// Admit implements Limiter.
func (Unlimited) Admit(context.Context, tables.TeamID) (time.Duration, bool) { return 0, true }

// Server serves callers' connections.
type Server struct {
	fleet      *fleet.Fleet
	limiter    Limiter
	forwarder  *forward.Forwarder
	wrap       func(net.Conn) Caller
	log        *slog.Logger
	requestLog *requestLog
	metrics    *metrics.Metrics

	mu       sync.Mutex
	sessions map[*callerConn]struct{}
	wg       sync.WaitGroup
	// closeIdle is true once idle sessions are to be closed.
	closeIdle atomic.Bool
	// endTransactions is true once open transactions are to be ended too.
	endTransactions atomic.Bool
	// moveIdle is true while sessions that were idle when MoveIdle was called are
	// to be closed.
	moveIdle atomic.Bool
}

// callerConn is one caller's connection.
type callerConn struct {
	caller        Caller
	inTransaction atomic.Bool
	// checkKey is true if the caller's key may have been removed.
	checkKey atomic.Bool

	// mu orders the deadlines that end a wait and those of messages that arrive.
	mu sync.Mutex
	// idle is true while the connection waits for a statement.
	idle bool
}

// setIdle marks the begin or end of a wait for a statement. Once a wait has ended,
// wake no longer changes the read deadline.
func (c *callerConn) setIdle(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = on
}

// wake ends a wait for a statement, unless one has just arrived.
func (c *callerConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.caller.SetReadDeadline(time.Unix(1, 0)) // the read times out at once
	}
}

// NewServer returns a server that wraps accepted connections by wrap.
func NewServer(f *fleet.Fleet, limiter Limiter, wrap func(net.Conn) Caller, m *metrics.Metrics, log *slog.Logger) *Server {
	return &Server{
		fleet:      f,
		limiter:    limiter,
		wrap:       wrap,
		log:        logging.For(log, "relay"),
		requestLog: newRequestLog(log, m),
		metrics:    m,
		sessions:   make(map[*callerConn]struct{}),
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	go s.closeRevoked(ctx)
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.log.Warn("Failed to accept a connection.", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		conn := &callerConn{caller: s.wrap(nc)}
		s.mu.Lock()
		s.sessions[conn] = struct{}{}
		s.mu.Unlock()
		s.metrics.AddCallers(1)
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serve(ctx, conn)
			_ = conn.caller.Close() // the session has ended
			s.mu.Lock()
			delete(s.sessions, conn)
			s.mu.Unlock()
			s.metrics.AddCallers(-1)
		}()
	}
}

// acceptRetryDelay is the delay after a failure to accept a connection, such as a lack
// of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

func (s *Server) serve(ctx context.Context, conn *callerConn) {
	c := conn.caller
	if c.SetReadDeadline(time.Now().Add(startupTimeout)) != nil {
		return
	}
	database, key, err := c.Startup()
	if err != nil {
		s.logReadError(err)
		return
	}
	sess := &session{fleet: s.fleet, requestLog: s.requestLog, limiter: s.limiter, forwarder: s.forwarder, database: database, key: key}
	if r := s.admit(ctx, sess); r.Code != statement.OK {
		s.requestLog.sessionRejected(database, r)
		_ = c.Reject(r) // the connection is closed next
		return
	}
	defer sess.close()
	if c.Welcome() != nil {
		return
	}
	for s.serveStatement(ctx, conn, sess) {
	}
}

// readyTimeout bounds a caller's wait for a proxy that has just started. Reading the
// users' largest configurations takes up to 0.25 s over a link of 10 Mbit/s; a
// caller gives up after 2 s.
const readyTimeout = 400 * time.Millisecond

// admit decides whether a session is accepted. A caller doesn't retry after "no
// database", so a proxy without a configuration answers "busy" instead.
func (s *Server) admit(ctx context.Context, sess *session) statement.Reply {
	if !s.fleet.AwaitReady(ctx, readyTimeout) {
		r := statement.Refuse(statement.Busy, codes.NotReady, statement.Idle, "the proxy has no configuration yet")
		r.RetryAfter = minRetryAfter + rand.N(minRetryAfter)
		return r
	}
	if _, ok := sess.route(); !ok {
		return statement.Refuse(statement.NoDatabase, codes.UnknownService, statement.Idle, sess.database)
	}
	return sess.authorize()
}

// serveStatement serves one statement. It returns false when the session ends.
func (s *Server) serveStatement(ctx context.Context, conn *callerConn, sess *session) bool {
	if !s.awaitStatement(conn, sess) {
		return false
	}
	if conn.caller.SetReadDeadline(time.Now().Add(startupTimeout)) != nil {
		return false
	}
	st, ok, err := conn.caller.Next()
	if err != nil {
		s.logReadError(err)
		return false
	}
	if !ok {
		return false
	}
	r := sess.handle(ctx, st)
	return conn.caller.Reply(r) == nil && r.Code != statement.NoAuth
}

// logReadError logs a failure to read a message, unless the caller closed the
// connection.
func (s *Server) logReadError(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) {
		return
	}
	s.requestLog.readFailed(err)
}

// awaitStatement waits until a statement arrives. It returns false when the session
// ends.
func (s *Server) awaitStatement(conn *callerConn, sess *session) bool {
	for {
		open := sess.status != statement.Idle
		if !open && s.closeIdle.Load() {
			return false
		}
		if sess.status == statement.Open && s.endTransactions.Load() {
			sess.expireTransaction("the proxy shuts down")
		}
		if conn.caller.SetReadDeadline(s.idleDeadline(sess)) != nil {
			return false
		}
		conn.inTransaction.Store(open)
		conn.setIdle(true)
		if s.closeIdle.Load() && !open {
			return false
		}
		if conn.checkKey.Load() && conn.caller.SetReadDeadline(time.Now().Add(revocationInterval)) != nil {
			return false
		}
		err := conn.caller.Await()
		conn.setIdle(false)
		switch {
		case err == nil:
			return true
		case !sockopt.TimedOut(err):
			return false
		case conn.checkKey.Swap(false):
			if r := sess.authorize(); r.Code != statement.OK {
				s.requestLog.sessionRejected(sess.database, r)
				return false
			}
		case s.moveIdle.Load() && !open:
			return false
		case !s.closeIdle.Load() && !s.endTransactions.Load():
			sess.expireTransaction("the transaction rested for too long")
		}
	}
}

// idleDeadline returns the time until which the session may be idle; zero means no
// limit.
func (s *Server) idleDeadline(sess *session) time.Time {
	routing := s.fleet.Routing()
	if sess.status != statement.Open || routing == nil || routing.IdleTransactionTimeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(routing.IdleTransactionTimeout)
}

// CloseIdle closes all idle sessions and, from now on, each session that becomes
// idle. Open transactions continue, unless transactions is true.
func (s *Server) CloseIdle(transactions bool) {
	s.closeIdle.Store(true)
	if transactions {
		s.endTransactions.Store(true)
	}
	s.wakeIdle(transactions)
}

// revocationInterval is how often open sessions are compared with a changed
// configuration.
const revocationInterval = 200 * time.Millisecond

// closeRevoked closes sessions whose keys a new configuration removed, until ctx ends.
// A session that runs a statement ends revocationInterval after it, or refuses the next
// statement if that arrives before.
func (s *Server) closeRevoked(ctx context.Context) {
	last := s.fleet.Routing()
	for sleep.For(ctx, revocationInterval) == nil {
		routing := s.fleet.Routing()
		if routing == last {
			continue
		}
		if last != nil && routing.RemovesKeys(last) {
			s.log.Info("Closing sessions whose keys were removed.", "config", routing.Version)
			s.checkKeys()
		}
		last = routing
	}
}

// checkKeys makes all sessions look up their keys again, and wakes the idle ones for
// that.
func (s *Server) checkKeys() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.sessions {
		conn.checkKey.Store(true)
		conn.wake()
	}
}

// moveIdleDuration is how long moveIdle stays set; idle sessions notice it within this time.
const moveIdleDuration = 200 * time.Millisecond

// MoveIdle closes the sessions that are idle now, so that their callers reconnect
// through another proxy. Later sessions aren't affected.
func (s *Server) MoveIdle() {
	s.moveIdle.Store(true)
	s.wakeIdle(false)
	time.AfterFunc(moveIdleDuration, func() { s.moveIdle.Store(false) })
}

// wakeIdle ends the wait of idle sessions. Sessions with an open transaction are
// included if transactions is true.
func (s *Server) wakeIdle(transactions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.sessions {
		if transactions || !conn.inTransaction.Load() {
			conn.wake()
		}
	}
}

// Wait waits until all sessions have ended or ctx ends. It returns the number of
// remaining sessions.
func (s *Server) Wait(ctx context.Context) int {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.sessions)
	}
}
