package callers

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/scramverifier"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/testrun"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const (
	testUser     = "shop"
	testPassword = "secret"
)

// fakeExecutor responds to every query with the query's own text as command
// tag. "BEGIN" and "COMMIT" change the status, "fail" fails, and "wait" blocks
// until the test closes release.
type fakeExecutor struct {
	unconfigured bool
	user         config.User
	started      atomic.Int64
	finished     atomic.Int64
	closed       atomic.Int64
	release      chan struct{}
	cancel       chan struct{}
}

func newFakeExecutor(t testing.TB) *fakeExecutor {
	u, err := scramverifier.New(testUser, testPassword, []byte("0123456789abcdef"), scramverifier.MinIterations)
	assert.NilError(t, err)
	return &fakeExecutor{user: u, release: make(chan struct{}), cancel: make(chan struct{}, 1)}
}

func (e *fakeExecutor) Configured() bool { return !e.unconfigured }

func (e *fakeExecutor) User(name string) (config.User, bool) { return e.user, name == testUser }

func (e *fakeExecutor) Open(Startup) (Session, error) {
	return &fakeSession{e: e, status: statement.Idle}, nil
}

type fakeSession struct {
	e      *fakeExecutor
	status statement.State
}

func (s *fakeSession) Run(_ context.Context, b *Batch, resp *Response) (statement.State, error) {
	s.e.started.Add(1)
	defer s.e.finished.Add(1)
	switch {
	case b.Query == "BEGIN":
		s.status = statement.Open
	case b.Query == "COMMIT":
		s.status = statement.Idle
	case b.Query == "fail":
		return s.status, codes.New(codes.NoSlot, codes.NotRun, time.Second, "")
	case strings.HasPrefix(b.Query, "wait"):
		<-s.e.release
	}
	for range b.Messages {
		if err := resp.Send(&pgproto3.ParseComplete{}); err != nil {
			return s.status, err
		}
	}
	return s.status, resp.Send(&pgproto3.CommandComplete{CommandTag: []byte(b.Query)})
}

func (s *fakeSession) Cancel() { s.e.cancel <- struct{}{} }

func (s *fakeSession) Close() { s.e.closed.Add(1) }

func startServer(t testing.TB, e Executor, opts Options) *Server {
	if opts.MaxCallers == 0 {
		opts.MaxCallers = 1000
	}
	if opts.MaxFrame == 0 {
		opts.MaxFrame = 1 << 20
	}
	if opts.StartupTimeout == 0 {
		opts.StartupTimeout = 5 * time.Second
	}
	s, err := New("127.0.0.1:0", e, opts, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, err)
	testrun.Go(t, s.Run)
	return s
}

func connect(t testing.TB, s *Server) *pgconn.PgConn {
	t.Helper()
	c, err := pgconn.Connect(context.Background(), url(s, testUser, "disable"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Conn().Close() })
	return c
}

func url(s *Server, user, mode string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/db?sslmode=%s", user, testPassword, s.Addr(), mode)
}

func query(c *pgconn.PgConn, sql string) (string, error) {
	r := c.Exec(context.Background(), sql)
	var tag string
	for r.NextResult() {
		t, _ := r.ResultReader().Close()
		tag = t.String()
	}
	return tag, r.Close()
}

func sqlState(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return ""
}

// await polls until ok returns true, and fails the test after 10 seconds.
func await(t testing.TB, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10s")
		}
		time.Sleep(time.Millisecond)
	}
}

// readError reads raw messages up to an error and returns its SQLSTATE.
func readError(t testing.TB, nc net.Conn) string {
	t.Helper()
	assert.NilError(t, nc.SetReadDeadline(time.Now().Add(5*time.Second)))
	return receiveError(t, pgproto3.NewFrontend(nc, nc))
}

func receiveError(t testing.TB, fe *pgproto3.Frontend) string {
	t.Helper()
	for {
		msg, err := fe.Receive()
		assert.NilError(t, err)
		if e, ok := msg.(*pgproto3.ErrorResponse); ok {
			return e.Code
		}
	}
}

func TestUnknownUserAndWrongPasswordFailAlike(t *testing.T) {
	s := startServer(t, newFakeExecutor(t), Options{})
	_, err1 := pgconn.Connect(context.Background(), url(s, "nobody", "disable"))
	_, err2 := pgconn.Connect(context.Background(), strings.Replace(url(s, testUser, "disable"), testPassword, "wrong", 1))
	assert.Equal(t, sqlState(err1), "28P01")
	assert.Equal(t, sqlState(err2), "28P01")
}

// authMessages returns the types of the server's messages during a failed
// login, and the salt that the server sent.
func authMessages(t *testing.T, s *Server, user string) (kinds []string, salt string) {
	nc, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer nc.Close()
	fe := pgproto3.NewFrontend(nc, nc)
	fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": user}})
	for {
		assert.NilError(t, fe.Flush())
		msg, err := fe.Receive()
		assert.NilError(t, err)
		kinds = append(kinds, fmt.Sprintf("%T", msg))
		switch m := msg.(type) {
		case *pgproto3.AuthenticationSASL:
			fe.Send(&pgproto3.SASLInitialResponse{AuthMechanism: mechanism, Data: []byte("n,,n=,r=abc")})
		case *pgproto3.AuthenticationSASLContinue:
			_, salt, _ = strings.Cut(string(m.Data), ",s=")
			nonce, _, _ := strings.Cut(strings.TrimPrefix(string(m.Data), "r="), ",")
			fe.Send(&pgproto3.SASLResponse{Data: []byte("c=biws,r=" + nonce + ",p=AAAA")})
		default:
			return kinds, salt
		}
	}
}

func TestUnknownUserReceivesFullSASLExchange(t *testing.T) {
	s := startServer(t, newFakeExecutor(t), Options{})
	known, _ := authMessages(t, s, testUser)
	unknown, salt1 := authMessages(t, s, "nobody")
	_, salt2 := authMessages(t, s, "nobody")
	_, other := authMessages(t, s, "somebody")
	assert.DeepEqual(t, known, unknown)
	assert.Equal(t, len(unknown), 3)
	assert.Equal(t, salt1, salt2)
	assert.Assert(t, salt1 != other)
}

func TestReportedSettingsMatchStartupRequest(t *testing.T) {
	s := startServer(t, newFakeExecutor(t), Options{})
	cfg, err := pgconn.ParseConfig(url(s, testUser, "disable"))
	assert.NilError(t, err)
	cfg.RuntimeParams["client_encoding"] = "LATIN1"
	cfg.RuntimeParams["datestyle"] = "ISO"
	cfg.RuntimeParams["TimeZone"] = "Africa/Tunis"
	c, err := pgconn.ConnectConfig(context.Background(), cfg)
	assert.NilError(t, err)
	defer c.Conn().Close()
	assert.Equal(t, c.ParameterStatus("client_encoding"), "LATIN1")
	assert.Equal(t, c.ParameterStatus("DateStyle"), "ISO, MDY")
	assert.Equal(t, c.ParameterStatus("TimeZone"), "Africa/Tunis")
	assert.Equal(t, connect(t, s).ParameterStatus("client_encoding"), "UTF8")
}

// failingListener fails the first left calls of Accept.
type failingListener struct {
	net.Listener
	left atomic.Int64
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestServerSurvivesFileDescriptorExhaustion(t *testing.T) {
	e := newFakeExecutor(t)
	s, err := New("127.0.0.1:0", e, Options{MaxCallers: 1, MaxFrame: 1000, StartupTimeout: time.Second}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, err)
	l := &failingListener{Listener: s.listener}
	l.left.Store(2)
	s.listener = l
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx) }()
	_, err = query(connect(t, s), "q")
	assert.NilError(t, err)
	stop()
	assert.NilError(t, <-ended)
}

func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	s := startServer(t, newFakeExecutor(t), Options{TLS: &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
	}})
	cfg, err := pgconn.ParseConfig(url(s, testUser, "verify-full"))
	assert.NilError(t, err)
	cfg.TLSConfig.RootCAs = roots
	c, err := pgconn.ConnectConfig(context.Background(), cfg)
	assert.NilError(t, err)
	defer c.Conn().Close()
	_, isTLS := c.Conn().(*tls.Conn)
	assert.Assert(t, isTLS)
	for i := range 3 {
		sql := fmt.Sprintf("q%d%s", i, strings.Repeat("x", i*3000))
		tag, err := query(c, sql)
		assert.NilError(t, err)
		assert.Equal(t, tag, sql)
	}
}

func TestPlaintextBytesBeforeTLSHandshakeCloseConnection(t *testing.T) {
	s := startServer(t, newFakeExecutor(t), Options{TLS: &tls.Config{}})
	nc, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer nc.Close()
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	assert.NilError(t, err)
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "x"}}).Encode(request)
	assert.NilError(t, err)
	_, err = nc.Write(startup)
	assert.NilError(t, err)
	assert.NilError(t, nc.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, _ := io.ReadAll(nc)
	assert.Equal(t, len(got), 0)
}

func TestIncompleteStartupTimesOut(t *testing.T) {
	s := startServer(t, newFakeExecutor(t), Options{StartupTimeout: 20 * time.Millisecond})
	nc, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer nc.Close()
	_, err = nc.Write([]byte{0, 0})
	assert.NilError(t, err)
	assert.NilError(t, nc.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(nc)
	var netErr net.Error
	assert.Assert(t, !errors.As(err, &netErr) || !netErr.Timeout())
}

func TestInvalidFramesReturnErrorAndCloseConnection(t *testing.T) {
	oversize := binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<30)
	short := binary.BigEndian.AppendUint32([]byte{'Q'}, 2)
	body := append(binary.BigEndian.AppendUint32([]byte{'B'}, 6), 'x', 'y')
	cases := []struct {
		name  string
		frame []byte
		state string
	}{
		{"unknown kind", []byte{'?', 0, 0, 0, 4}, "08P01"},
		{"oversize", oversize, "54000"},
		{"length below its own size", short, "08P01"},
		{"body", body, "08P01"},
		{"copy data", []byte{'d', 0, 0, 0, 4}, "0A000"},
		{"query inside a batch", []byte{'C', 0, 0, 0, 6, 'S', 0, 'Q', 0, 0, 0, 5, 0}, "08P01"},
	}
	e := newFakeExecutor(t)
	s := startServer(t, e, Options{})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nc := connect(t, s).Conn()
			_, err := nc.Write(c.frame)
			assert.NilError(t, err)
			assert.Equal(t, readError(t, nc), c.state)
			_, err = nc.Read(make([]byte, 1))
			assert.Assert(t, err != nil)
		})
	}
	assert.Equal(t, e.started.Load(), int64(0))
	await(t, func() bool { return s.Open() == 0 })
}

func TestPipelinedBatchSizeIsLimited(t *testing.T) {
	s := startServer(t, newFakeExecutor(t), Options{MaxFrame: 10_000})
	nc := connect(t, s).Conn()
	parse, err := (&pgproto3.Parse{Query: strings.Repeat("x", 900)}).Encode(nil)
	assert.NilError(t, err)
	go func() {
		for range 20 {
			if _, err := nc.Write(parse); err != nil {
				return
			}
		}
	}()
	assert.Equal(t, readError(t, nc), "54000")
}

func TestIncompleteLargeFrameTimesOut(t *testing.T) {
	s := startServer(t, newFakeExecutor(t), Options{FrameTimeout: 20 * time.Millisecond})
	c := connect(t, s)
	large := strings.Repeat("x", 100_000)
	tag, err := query(c, large)
	assert.NilError(t, err)
	assert.Equal(t, len(tag), len(large))
	part, err := (&pgproto3.Query{String: large}).Encode(nil)
	assert.NilError(t, err)
	_, err = c.Conn().Write(part[:len(part)/2])
	assert.NilError(t, err)
	assert.Equal(t, readError(t, c.Conn()), "57014")
}

// TestCallerThatDoesNotReadTimesOut fills the socket buffers with responses
// that the caller never reads.
func TestCallerThatDoesNotReadTimesOut(t *testing.T) {
	e := newFakeExecutor(t)
	s := startServer(t, e, Options{MaxFrame: 1 << 24, WriteTimeout: 50 * time.Millisecond})
	nc := connect(t, s).Conn()
	frame, err := (&pgproto3.Query{String: strings.Repeat("x", 1<<23)}).Encode(nil)
	assert.NilError(t, err)
	go func() {
		for range 4 {
			if _, err := nc.Write(frame); err != nil {
				return
			}
		}
	}()
	await(t, func() bool { return e.closed.Load() == 1 })
}

func TestFlushRespondsWithoutSync(t *testing.T) {
	s := startServer(t, newFakeExecutor(t), Options{})
	c := connect(t, s)
	fe := c.Frontend()
	fe.Send(&pgproto3.Parse{Query: "q"})
	fe.Send(&pgproto3.Flush{})
	assert.NilError(t, fe.Flush())
	msg, err := fe.Receive()
	assert.NilError(t, err)
	assert.Assert(t, isParseComplete(msg))
	fe.Send(&pgproto3.Sync{})
	assert.NilError(t, fe.Flush())
	for {
		msg, err := fe.Receive()
		assert.NilError(t, err)
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}

func isParseComplete(m pgproto3.BackendMessage) bool {
	_, ok := m.(*pgproto3.ParseComplete)
	return ok
}

func TestIdleInTransactionTimesOut(t *testing.T) {
	e := newFakeExecutor(t)
	s := startServer(t, e, Options{IdleInTransaction: 20 * time.Millisecond})
	idle, open := connect(t, s), connect(t, s)
	_, err := query(open, "BEGIN")
	assert.NilError(t, err)
	assert.Equal(t, readError(t, open.Conn()), "57014")
	await(t, func() bool { return e.closed.Load() == 1 })
	_, err = query(idle, "still here")
	assert.NilError(t, err)
}

func TestDisconnectInTransactionClosesSession(t *testing.T) {
	e := newFakeExecutor(t)
	s := startServer(t, e, Options{})
	c := connect(t, s)
	_, err := query(c, "BEGIN")
	assert.NilError(t, err)
	assert.NilError(t, c.Conn().Close())
	await(t, func() bool { return e.closed.Load() == 1 })
}

func TestCancelReachesRunningRequest(t *testing.T) {
	e := newFakeExecutor(t)
	s := startServer(t, e, Options{})
	c := connect(t, s)
	answered := make(chan error)
	go func() {
		_, err := query(c, "wait")
		answered <- err
	}()
	await(t, func() bool { return e.started.Load() == 1 })
	assert.NilError(t, c.CancelRequest(context.Background()))
	<-e.cancel
	close(e.release)
	assert.NilError(t, <-answered)
}

func TestCallersBeforeConfigurationAreRefused(t *testing.T) {
	e := newFakeExecutor(t)
	e.unconfigured = true
	fatal := make(chan codes.Code, 1)
	s := startServer(t, e, Options{OnFatal: func(c codes.Code) { fatal <- c }})
	_, err := pgconn.Connect(context.Background(), url(s, testUser, "disable"))
	assert.Equal(t, <-fatal, codes.NotReady)
	assert.Equal(t, sqlState(err), "57P03")
	assert.ErrorContains(t, err, "code 402 NotReady (not run)")
}

func TestTooManyCallers(t *testing.T) {
	s := startServer(t, newFakeExecutor(t), Options{MaxCallers: 1})
	connect(t, s)
	_, err := pgconn.Connect(context.Background(), url(s, testUser, "disable"))
	assert.Equal(t, sqlState(err), "53300")
}

func TestShutdownFinishesRequestsAndTransactions(t *testing.T) {
	e := newFakeExecutor(t)
	s := startServer(t, e, Options{})
	const each = 20
	var idle, running, open []*pgconn.PgConn
	for range each {
		idle, running, open = append(idle, connect(t, s)), append(running, connect(t, s)), append(open, connect(t, s))
	}
	for _, c := range open {
		_, err := query(c, "BEGIN")
		assert.NilError(t, err)
	}
	var wg sync.WaitGroup
	failures := make(chan error, each)
	for _, c := range running {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if tag, err := query(c, "wait"); err != nil || tag != "wait" {
				failures <- errors.Errorf("cut: %q %v", tag, err)
			}
		}()
	}
	await(t, func() bool { return e.started.Load() == 2*each })
	ended := make(chan error)
	go func() { ended <- s.Shutdown(context.Background()) }()
	for _, c := range idle {
		assert.Equal(t, readError(t, c.Conn()), "57P01")
	}
	close(e.release)
	wg.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	for _, c := range open {
		tag, err := query(c, "in transaction")
		assert.NilError(t, err)
		assert.Equal(t, tag, "in transaction")
		_, err = query(c, "COMMIT")
		assert.NilError(t, err)
		assert.Equal(t, receiveError(t, c.Frontend()), "57P01")
	}
	assert.NilError(t, <-ended)
	assert.Equal(t, e.started.Load(), e.finished.Load())
	assert.Equal(t, e.closed.Load(), int64(3*each))
}

// TestShutdownUnderLoad checks that each request during a shutdown is either
// answered completely or refused as not run.
func TestShutdownUnderLoad(t *testing.T) {
	e := newFakeExecutor(t)
	s := startServer(t, e, Options{})
	const callers = 30
	var answered atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		c := connect(t, s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				_, err := query(c, "q")
				if err == nil {
					answered.Add(1)
					continue
				}
				if sqlState(err) != "57P01" {
					t.Errorf("got %v", err)
				}
				return
			}
		}()
	}
	await(t, func() bool { return answered.Load() > 500 })
	assert.NilError(t, s.Shutdown(context.Background()))
	wg.Wait()
	assert.Equal(t, e.finished.Load(), answered.Load(), "a request ran whose caller received no response")
}
