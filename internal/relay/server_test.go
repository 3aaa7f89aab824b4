package relay

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/platform/wire"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// pipeListener is an in-memory listener.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case nc := <-l.conns:
		return nc, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testCaller is a caller that speaks the platform's protocol.
type testCaller struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
	n  int
}

// serveFirstProxy serves callers of the cluster's first proxy.
func serveFirstProxy(t *testing.T, tc *testCluster) (*Server, *pipeListener) {
	t.Helper()
	return serveProxy(t, tc.proxies[0])
}

func serveProxy(t *testing.T, p *proxyUnderTest) (*Server, *pipeListener) {
	t.Helper()
	tc := p.tc
	s := NewServer(p.fleet, Unlimited{}, func(nc net.Conn) Caller { return wire.NewCaller(nc) },
		metrics.New(prometheus.NewRegistry()), slog.New(slog.NewTextHandler(tc.logTo(), nil)))
	l := newPipeListener()
	go func() { _ = s.Serve(tc.ctx, l) }()
	t.Cleanup(func() { _ = l.Close() })
	return s, l
}

func (l *pipeListener) connect(t *testing.T, database string) *testCaller {
	t.Helper()
	return l.connectWith(t, database+" me")
}

// connectWith connects a caller that sends the given words in its startup message.
func (l *pipeListener) connectWith(t *testing.T, words string) *testCaller {
	t.Helper()
	c := l.connectRaw(t)
	c.send("START " + words)
	return c
}

// connectRaw connects a caller that has sent nothing.
func (l *pipeListener) connectRaw(t *testing.T) *testCaller {
	t.Helper()
	near, far := net.Pipe()
	l.conns <- far
	t.Cleanup(func() { _ = near.Close() })
	return &testCaller{t: t, nc: near, in: bufio.NewReader(near)}
}

// connectAccepted connects a caller and expects that its session is accepted.
func (l *pipeListener) connectAccepted(t *testing.T, database string) *testCaller {
	t.Helper()
	c := l.connect(t, database)
	assert.Equal(t, c.readLine(), "READY I -")
	return c
}

func (c *testCaller) send(line string) {
	c.t.Helper()
	_, err := c.nc.Write([]byte(line + "\r\n"))
	assert.NilError(c.t, err)
}

// readLine returns the next line, or "closed".
func (c *testCaller) readLine() string {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "closed"
	}
	return strings.TrimSpace(line)
}

// query runs a statement and returns its answer without the READY line, and the
// transaction state of that line.
func (c *testCaller) query(text string) (answer, state string) {
	c.t.Helper()
	c.n++
	c.send(fmt.Sprintf("QUERY id%d %s", c.n, text))
	var lines []string
	for {
		line := c.readLine()
		if line == "closed" {
			return strings.Join(append(lines, line), "|"), ""
		}
		if strings.HasPrefix(line, "READY ") {
			return strings.Join(lines, "|"), strings.Fields(line)[1]
		}
		lines = append(lines, line)
	}
}

func (c *testCaller) expect(text, answer, state string) {
	c.t.Helper()
	gotAnswer, gotState := c.query(text)
	assert.Equal(c.t, gotAnswer, answer, text)
	assert.Equal(c.t, gotState, state, text)
}

func TestSessionOverTheWire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		_, l := serveFirstProxy(t, tc)
		c := l.connectAccepted(t, own)
		c.expect("WRITE jars 12", "DONE s1", "I")
		c.expect("BEGIN", "DONE -", "T")
		c.expect("WRITE jars 13", "DONE s1", "T")
		c.expect("ROLLBACK", "DONE -", "I")
		c.expect("BEGIN", "DONE -", "T")
		c.expect("PREPARE p WRITE q", "DONE -", "T")
		c.expect("EXEC p jars 14", "DONE s1", "T")
		c.expect("COMMIT", "DONE s1", "I")
		answer, _ := c.query("READ jars")
		assert.Assert(t, strings.HasPrefix(answer, "ROW 14|DONE s"), answer)
		c.expect("EXEC unknown jars", "ERR NOSTMT 107 unknown", "I")
		c.expect("COMMIT", "ERR BAD 107 no transaction is open", "I")
		c.expect("DROP TABLE jars", "ERR BAD 105 statement is not understood", "I")
		c.send("BYE")
		assert.Equal(t, c.readLine(), "closed")
	})
}

func TestUnknownDatabaseIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		_, l := serveFirstProxy(t, tc)
		c := l.connect(t, "nowhere")
		assert.Equal(t, c.readLine(), "ERR NODB 102 nowhere")
		assert.Equal(t, c.readLine(), "closed")
	})
}

// A proxy that can't reach the store after its start has no routes. It must not
// report the database as unknown, because callers don't retry after that.
func TestProxyWithoutConfigurationRefusesCallersAsBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		tc.startWithoutStore = true
		_, l := serveProxy(t, tc.startProxy(1))
		at := time.Now()
		c := l.connect(t, own)
		answer := c.readLine()
		assert.Assert(t, strings.HasPrefix(answer, "ERR BUSY 402 the proxy has no configuration yet, retry after "), answer)
		assert.Equal(t, c.readLine(), "closed")
		assert.Assert(t, time.Since(at) <= readyTimeout, "refused after %s", time.Since(at))
	})
}

// After a power failure, callers reconnect while the proxy still reads a large
// configuration over its link.
func TestCallerWaitsForStartingProxy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		const reading = 200 * time.Millisecond
		tc.startReadTime = reading
		_, l := serveProxy(t, tc.startProxy(1))
		at := time.Now()
		c := l.connectAccepted(t, own)
		assert.Assert(t, time.Since(at) < reading+50*time.Millisecond, "accepted after %s", time.Since(at))
		c.expect("WRITE jars 12", "DONE s1", "I")
	})
}

func TestMalformedMessageEndsSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		_, l := serveFirstProxy(t, tc)
		c := l.connectAccepted(t, own)
		c.send("GET / HTTP/1.1")
		assert.Equal(t, c.readLine(), "closed")
	})
}

// An idle transaction occupies a connection to a server, so it is ended after the
// configured time. A caller that stalls within a message is disconnected.
func TestIdleTransactionIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		tc.setIdleTransactionTimeout(2 * time.Second)
		_, l := serveFirstProxy(t, tc)
		c := l.connectAccepted(t, own)
		c.expect("BEGIN", "DONE -", "T")
		c.expect("WRITE jars 1", "DONE s1", "T")
		time.Sleep(3 * time.Second)
		c.expect("WRITE jars 2", "ERR BAD 107 the transaction failed", "E")
		c.expect("COMMIT", "ERR ABORTED 107 the transaction rested for too long", "I")
		answer, _ := c.query("READ jars")
		assert.Assert(t, strings.HasPrefix(answer, "ROW -|"), answer)
		_, err := c.nc.Write([]byte("QUERY id9 RE"))
		assert.NilError(t, err)
		time.Sleep(startupTimeout + time.Second)
		assert.Equal(t, c.readLine(), "closed")
	})
}

// A shutdown closes idle sessions, but completes running statements and waits for
// open transactions.
func TestShutdownCompletesStatementsAndTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		s, l := serveFirstProxy(t, tc)
		tc.group.Change("s1", func(s *dbgroup.Server) { s.SetStatementTime(300 * time.Millisecond) })
		idle, open, busy := l.connect(t, own), l.connect(t, own), l.connect(t, newest)
		for _, c := range []*testCaller{idle, open, busy} {
			assert.Equal(t, c.readLine(), "READY I -")
		}
		open.expect("BEGIN", "DONE -", "T")
		open.expect("WRITE jars 1", "DONE s1", "T")
		answered := make(chan string)
		go func() {
			answer, _ := busy.query("WRITE jars 2")
			answered <- answer
		}()
		time.Sleep(10 * time.Millisecond)
		s.CloseIdle(false)
		assert.Equal(t, idle.readLine(), "closed")
		assert.Equal(t, <-answered, "DONE s1")
		assert.Equal(t, busy.readLine(), "closed")
		open.expect("COMMIT", "DONE s1", "I")
		assert.Equal(t, open.readLine(), "closed")
		synctest.Wait()
		assert.Equal(t, s.Wait(t.Context()), 0)
	})
}

func TestShutdownEndsOpenTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		s, l := serveFirstProxy(t, tc)
		c := l.connectAccepted(t, own)
		c.expect("BEGIN", "DONE -", "T")
		c.expect("WRITE jars 1", "DONE s1", "T")
		s.CloseIdle(false)
		time.Sleep(time.Second)
		c.expect("WRITE jars 2", "DONE s1", "T")
		s.CloseIdle(true)
		time.Sleep(time.Second)
		c.expect("COMMIT", "ERR ABORTED 107 the proxy shuts down", "I")
		assert.Equal(t, c.readLine(), "closed")
	})
}

// MoveIdle closes the sessions that are idle now; later sessions aren't closed.
func TestMoveIdleClosesOnlyCurrentSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		s, l := serveFirstProxy(t, tc)
		c := l.connectAccepted(t, own)
		synctest.Wait()
		s.MoveIdle()
		assert.Equal(t, c.readLine(), "closed")
		time.Sleep(time.Second)
		c = l.connect(t, own)
		assert.Equal(t, c.readLine(), "READY I -")
		time.Sleep(time.Minute)
		c.expect("WRITE jars 1", "DONE s1", "I")
	})
}
