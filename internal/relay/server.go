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
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/sockopt"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/pkg/errors"
)

// startupTimeout bounds the arrival of a caller's first message, and of the rest
// of each message that has begun.
const startupTimeout = 3 * time.Second

// Caller is the codec's end of a caller's connection.
type Caller interface {
	// Startup reads which database the caller asks for.
	Startup() (database string, err error)
	// Welcome says that the session stands.
	Welcome() error
	// Reject answers a startup that is not accepted.
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

// Server serves callers' connections.
type Server struct {
	fleet   *fleet.Fleet
	wrap    func(net.Conn) Caller
	log     *slog.Logger
	lines   *journal
	metrics *metrics.Metrics

	mu       sync.Mutex
	sessions map[*served]struct{}
	wg       sync.WaitGroup
	// closing says that resting sessions are closed.
	closing atomic.Bool
	// cutting says that open transactions are ended too.
	cutting atomic.Bool
	// moving says that sessions which rest at this moment are closed.
	moving atomic.Bool
}

// served is one connection.
type served struct {
	caller Caller
	// resting says that it waits for a statement.
	resting atomic.Bool
	open    atomic.Bool
}

// NewServer returns a server whose connections wrap makes.
func NewServer(f *fleet.Fleet, wrap func(net.Conn) Caller, m *metrics.Metrics, log *slog.Logger) *Server {
	return &Server{
		fleet:    f,
		wrap:     wrap,
		log:      logging.For(log, "relay"),
		lines:    newJournal(log, m),
		metrics:  m,
		sessions: make(map[*served]struct{}),
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.log.Warn("A connection was not accepted.", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		sv := &served{caller: s.wrap(nc)}
		s.mu.Lock()
		s.sessions[sv] = struct{}{}
		s.mu.Unlock()
		s.metrics.AddCallers(1)
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serve(ctx, sv)
			_ = sv.caller.Close() // the session has ended
			s.mu.Lock()
			delete(s.sessions, sv)
			s.mu.Unlock()
			s.metrics.AddCallers(-1)
		}()
	}
}

// acceptPause is the pause after a failure to accept, such as too few descriptors.
const acceptPause = 50 * time.Millisecond

func (s *Server) serve(ctx context.Context, sv *served) {
	c := sv.caller
	if c.SetReadDeadline(time.Now().Add(startupTimeout)) != nil {
		return
	}
	database, err := c.Startup()
	if err != nil {
		s.ended(err)
		return
	}
	sess := &session{fleet: s.fleet, log: s.lines, database: database}
	if r := s.admit(ctx, sess); r.Code != statement.OK {
		s.lines.rejected(database, r)
		_ = c.Reject(r) // the caller is closed next
		return
	}
	defer sess.close()
	if c.Welcome() != nil {
		return
	}
	for s.step(ctx, sv, sess) {
	}
}

// readyPatience bounds a caller's wait for a proxy that has just started. The
// largest configurations of the users take it up to 0.25 s to read, over a link
// of 10 Mbit/s; a caller gives up after 2 s.
const readyPatience = 400 * time.Millisecond

// admit decides whether a session begins. That no route has a database's name
// is final for a caller, so a proxy that knows no routes yet does not say it.
func (s *Server) admit(ctx context.Context, sess *session) statement.Reply {
	if !s.fleet.AwaitReady(ctx, readyPatience) {
		r := statement.Refuse(statement.Busy, codes.NotReady, statement.Idle, "the proxy has no configuration yet")
		r.RetryAfter = comeBack + rand.N(comeBack)
		return r
	}
	if _, ok := sess.route(); !ok {
		return statement.Refuse(statement.NoDatabase, codes.UnknownService, statement.Idle, sess.database)
	}
	return statement.Reply{}
}

// step serves one statement; false ends the session.
func (s *Server) step(ctx context.Context, sv *served, sess *session) bool {
	if !s.await(sv, sess) {
		return false
	}
	if sv.caller.SetReadDeadline(time.Now().Add(startupTimeout)) != nil {
		return false
	}
	st, ok, err := sv.caller.Next()
	if err != nil {
		s.ended(err)
		return false
	}
	return ok && sv.caller.Reply(sess.handle(ctx, st)) == nil
}

// ended takes note of a connection that ended in the middle. A caller that
// just went away is nothing to tell.
func (s *Server) ended(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) {
		return
	}
	s.lines.malformed(err)
}

// await waits until a statement arrives; false means that the session ends.
func (s *Server) await(sv *served, sess *session) bool {
	for {
		open := sess.status != statement.Idle
		if !open && s.closing.Load() {
			return false
		}
		if sess.status == statement.Open && s.cutting.Load() {
			sess.expire("the proxy shuts down")
		}
		if sv.caller.SetReadDeadline(s.patience(sess)) != nil {
			return false
		}
		sv.open.Store(open)
		sv.resting.Store(true)
		if s.closing.Load() && !open {
			return false
		}
		err := sv.caller.Await()
		sv.resting.Store(false)
		switch {
		case err == nil:
			return true
		case !sockopt.TimedOut(err):
			return false
		case s.moving.Load() && !open:
			return false
		case !s.closing.Load() && !s.cutting.Load():
			sess.expire("the transaction rested for too long")
		}
	}
}

// patience returns until when the session may rest; zero is forever.
func (s *Server) patience(sess *session) time.Time {
	routing := s.fleet.Routing()
	if sess.status != statement.Open || routing == nil || routing.IdleTransactionTimeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(routing.IdleTransactionTimeout)
}

// CloseResting closes the sessions that rest, now and from now on. Open
// transactions go on; with transactions set they are ended too.
func (s *Server) CloseResting(transactions bool) {
	s.closing.Store(true)
	if transactions {
		s.cutting.Store(true)
	}
	s.wakeResting(transactions)
}

// moveTime is how long sessions take to notice that they are to move.
const moveTime = 200 * time.Millisecond

// MoveResting closes the sessions that rest now, so that their callers come
// back where they are served. Sessions that come later stay.
func (s *Server) MoveResting() {
	s.moving.Store(true)
	s.wakeResting(false)
	time.AfterFunc(moveTime, func() { s.moving.Store(false) })
}

// wakeResting ends the waits of sessions without an open transaction, or of all.
func (s *Server) wakeResting(transactions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sv := range s.sessions {
		if sv.resting.Load() && (transactions || !sv.open.Load()) {
			// Its wait ends with a timeout, unless a statement has just arrived.
			_ = sv.caller.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Wait waits until all sessions have ended or ctx ends; it returns how many remain.
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
