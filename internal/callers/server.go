// Package callers serves the PostgreSQL v3 protocol to callers: listening, TLS,
// authentication, framing and cancel requests. The Executor interface decides
// how and where a request runs.
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
	// Run writes the response to b into resp, without ReadyForQuery, and returns
	// the transaction status to report in it. After a partial batch a
	// transaction may be open whatever the status is. If Run returns an error,
	// it has added no error response to resp; a *codes.Error is reported under its
	// number.
	Run(ctx context.Context, b *Batch, resp *Response) (state statement.State, err error)
	// Cancel requests the cancellation of the request that runs now, if any.
	Cancel()
	// Close ends the session and rolls back an open transaction.
	Close()
}

// Executor opens sessions.
type Executor interface {
	// Configured reports whether the executor has a configuration of services
	// and users.
	Configured() bool
	// Open returns a session, or a *codes.Error.
	Open(s Startup) (Session, error)
	// User returns a user's verifier.
	User(name string) (config.User, bool)
}

// Options holds the limits and settings of a Server.
type Options struct {
	// MaxCallers is the maximum number of concurrent connections.
	MaxCallers int
	// MaxFrame is the maximum size of a message body in bytes.
	MaxFrame int
	// StartupTimeout limits the time until a caller is authenticated.
	StartupTimeout time.Duration
	// IdleInTransaction limits how long an open transaction may wait for the
	// caller's next request; 0 means DefaultIdleInTransaction.
	IdleInTransaction time.Duration
	// WriteTimeout limits how long a caller may take to accept a part of a
	// response; 0 means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// FrameTimeout limits the arrival of a message that exceeds the read
	// buffer; 0 means DefaultFrameTimeout.
	FrameTimeout time.Duration
	// TLS is offered when not nil.
	TLS *tls.Config
	// OnFatal receives the code of each connection that is refused or ended; it
	// may be nil.
	OnFatal func(codes.Code)
}

// Defaults of Options. The time in a transaction is short because an open
// transaction holds one of a server's few slots.
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
	// mockSaltKey derives the salts of unknown users.
	mockSaltKey []byte

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
		return nil, errors.Wrap(err, "generate the key of mock salts")
	}
	return &Server{opts: opts.withDefaults(), executor: ex, log: log, listener: l, mockSaltKey: key}, nil
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
			// The process lacks a resource, for example file descriptors.
			s.log.Warn("Could not accept a caller.", "error", err)
			_ = sleep.For(ctx, acceptRetryDelay)
			continue
		}
		s.done.Add(1)
		go s.serve(ctx, nc)
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

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

// Drain refuses new callers and ends each session as soon as it has no request
// or transaction in progress. With on set to false, new callers are accepted
// again.
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

// Shutdown stops accepting, lets requests and transactions in progress finish,
// notifies idle callers and waits until all connections are closed or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closed.Store(true)
	_ = s.listener.Close()
	s.Drain(true)
	finished := make(chan struct{})
	go func() {
		s.done.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for callers to disconnect")
	}
}

// Close stops listening.
func (s *Server) Close() { _ = s.listener.Close() }

// cancel serves a cancel request. One with an unknown process id or a wrong
// secret has no effect.
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

// errorResponse encodes a result code: the message carries the number, its name
// and whether the request ran, the hint says when to retry.
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
