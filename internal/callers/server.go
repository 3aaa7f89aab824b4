// Package callers serves the PostgreSQL v3 protocol to callers: listening,
// TLS, authentication, framing and cancel requests. What a request needs and
// where it runs is decided behind the Executor interface.
package callers

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/sockopt"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Startup is what a caller declares when it connects.
type Startup struct {
	// User is the authenticated user's name.
	User string
	// Database is "service/database" or "service".
	Database string
	// Parameters are the startup parameters by name.
	Parameters map[string]string
}

// Session runs one caller's requests, one at a time.
type Session interface {
	// Run puts the answer to b into a, ReadyForQuery left out, and returns the
	// transaction status that belongs there. After a partial batch a transaction
	// may be open whatever the status says. On an error a has received no
	// error response yet; a *codes.Error keeps its number.
	Run(ctx context.Context, b *Batch, a *Answer) (state statement.State, err error)
	// Cancel asks for the cancellation of the request that runs now, if any.
	Cancel()
	// Close ends the session and rolls back an open transaction.
	Close()
}

// Executor opens sessions.
type Executor interface {
	// Configured says that services and users are known.
	Configured() bool
	// Open returns a session, or a *codes.Error.
	Open(s Startup) (Session, error)
	// User returns a user's verifier.
	User(name string) (config.User, bool)
}

// Options bounds a Server.
type Options struct {
	// MaxCallers is the most connections at once.
	MaxCallers int
	// MaxFrame is the largest message body in bytes.
	MaxFrame int
	// StartupTimeout bounds the time until a caller is authenticated.
	StartupTimeout time.Duration
	// IdleInTransaction bounds how long a caller may keep an open transaction
	// waiting for its next request; 0 means DefaultIdleInTransaction.
	IdleInTransaction time.Duration
	// WriteTimeout bounds how long a caller may take to accept a part of an
	// answer; 0 means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// FrameTimeout bounds the arrival of a message that does not fit into the
	// read buffer; 0 means DefaultFrameTimeout.
	FrameTimeout time.Duration
	// TLS is offered when not nil.
	TLS *tls.Config
	// OnFatal learns the code of each connection that is refused or ended; it may be nil.
	OnFatal func(codes.Code)
}

// Bounds that hold where Options sets none. An open transaction holds one of a
// server's few slots.
const (
	DefaultIdleInTransaction = 10 * time.Second
	DefaultWriteTimeout      = 30 * time.Second
	DefaultFrameTimeout      = 30 * time.Second
)

func (o Options) withDefaults() Options {
	if o.IdleInTransaction == 0 {
		o.IdleInTransaction = DefaultIdleInTransaction
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.FrameTimeout == 0 {
		o.FrameTimeout = DefaultFrameTimeout
	}
	return o
}

// Server accepts callers.
type Server struct {
	opts     Options
	executor Executor
	log      *slog.Logger
	listener net.Listener
	// decoyKey derives the salts of unknown users.
	decoyKey []byte

	nextPID  atomic.Uint32
	open     atomic.Int64
	draining atomic.Bool
	closed   atomic.Bool
	sessions sync.Map // uint32 process id to *session
	done     sync.WaitGroup
}

// New binds address.
func New(address string, ex Executor, opts Options, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	key := make([]byte, sha256.Size)
	if _, err := rand.Read(key); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "make a key")
	}
	return &Server{opts: opts.withDefaults(), executor: ex, log: log, listener: l, decoyKey: key}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Open returns the number of callers connected now.
func (s *Server) Open() int64 { return s.open.Load() }

// Run accepts callers until ctx ends or Shutdown is called.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || s.closed.Load() {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "accept caller")
			}
			// The process is short of something, such as open files.
			s.log.Warn("Could not accept a caller.", "error", err)
			_ = sleep.For(ctx, acceptPause)
			continue
		}
		s.done.Add(1)
		go s.serve(ctx, nc)
	}
}

// acceptPause is the pause after a caller could not be accepted.
const acceptPause = 50 * time.Millisecond

func (s *Server) serve(ctx context.Context, nc net.Conn) {
	defer s.done.Done()
	defer func() { _ = nc.Close() }()
	n := s.open.Add(1)
	defer s.open.Add(-1)
	sockopt.DetectDeadPeer(nc)
	c := newSession(s, nc)
	_ = nc.SetDeadline(time.Now().Add(s.opts.StartupTimeout))
	if !c.startup(n > int64(s.opts.MaxCallers)) {
		return
	}
	_ = nc.SetDeadline(time.Time{})
	s.sessions.Store(c.pid, c)
	if s.draining.Load() {
		c.interruptIdle()
	}
	defer s.sessions.Delete(c.pid)
	defer c.exec.Close()
	c.loop(ctx)
}

// Drain refuses new callers and ends sessions as soon as they have no request
// and no transaction under way; with on false, callers are welcome again.
func (s *Server) Drain(on bool) {
	s.draining.Store(on)
	if !on {
		return
	}
	s.sessions.Range(func(_, v any) bool {
		v.(*session).interruptIdle()
		return true
	})
}

// Shutdown stops accepting, lets requests and transactions under way finish,
// tells idle callers and waits until all are gone or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closed.Store(true)
	_ = s.listener.Close()
	s.Drain(true)
	gone := make(chan struct{})
	go func() {
		s.done.Wait()
		close(gone)
	}()
	select {
	case <-gone:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "callers remain")
	}
}

// Close stops listening.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) cancel(pid uint32, secret []byte) {
	v, ok := s.sessions.Load(pid)
	if !ok {
		return
	}
	c := v.(*session)
	if string(c.secret) == string(secret) {
		c.exec.Cancel()
	}
}

// errorResponse puts a numbered result on the wire: the message carries number,
// name and whether the request ran, the hint says when to come back.
func errorResponse(e *codes.Error, severity string) *pgproto3.ErrorResponse {
	in, _ := codes.Lookup(e.Code)
	r := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                in.SQLState,
		Message:             e.Error(),
		Detail:              in.Text,
	}
	if e.RetryAfter > 0 {
		r.Hint = "retry after " + e.RetryAfter.Round(time.Millisecond).String()
	}
	return r
}
