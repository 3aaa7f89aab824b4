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

// pipeListener is a listener in memory.
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

// client is a caller that speaks the platform's protocol.
type client struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
	n  int
}

// serveWorld starts a server before a world's first proxy.
func serveWorld(t *testing.T, w *world) (*Server, *pipeListener) {
	t.Helper()
	return serveProxy(t, w.proxies[0])
}

func serveProxy(t *testing.T, p *proxyUnderTest) (*Server, *pipeListener) {
	t.Helper()
	w := p.w
	s := NewServer(p.fleet, func(nc net.Conn) Caller { return wire.NewCaller(nc) },
		metrics.New(prometheus.NewRegistry()), slog.New(slog.NewTextHandler(w.logTo(), nil)))
	l := newPipeListener()
	go func() { _ = s.Serve(w.ctx, l) }()
	t.Cleanup(func() { _ = l.Close() })
	return s, l
}

func (l *pipeListener) connect(t *testing.T, database string) *client {
	t.Helper()
	near, far := net.Pipe()
	l.conns <- far
	c := &client{t: t, nc: near, in: bufio.NewReader(near)}
	t.Cleanup(func() { _ = near.Close() })
	c.send("START " + database + " me")
	return c
}

// welcomed connects a client whose session the proxy takes.
func (l *pipeListener) welcomed(t *testing.T, database string) *client {
	t.Helper()
	c := l.connect(t, database)
	assert.Equal(t, c.line(), "READY I -")
	return c
}

func (c *client) send(line string) {
	c.t.Helper()
	_, err := c.nc.Write([]byte(line + "\r\n"))
	assert.NilError(c.t, err)
}

// line returns the next line, or "closed".
func (c *client) line() string {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "closed"
	}
	return strings.TrimSpace(line)
}

// ask runs a statement and returns its answer without the state, and the state.
func (c *client) ask(text string) (answer, state string) {
	c.t.Helper()
	c.n++
	c.send(fmt.Sprintf("QUERY id%d %s", c.n, text))
	var lines []string
	for {
		line := c.line()
		if line == "closed" {
			return strings.Join(append(lines, line), "|"), ""
		}
		if strings.HasPrefix(line, "READY ") {
			return strings.Join(lines, "|"), strings.Fields(line)[1]
		}
		lines = append(lines, line)
	}
}

func (c *client) expect(text, answer, state string) {
	c.t.Helper()
	gotAnswer, gotState := c.ask(text)
	assert.Equal(c.t, gotAnswer, answer, text)
	assert.Equal(c.t, gotState, state, text)
}

func TestSessionOverTheWire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		_, l := serveWorld(t, w)
		c := l.welcomed(t, own)
		c.expect("WRITE jars 12", "DONE s1", "I")
		c.expect("BEGIN", "DONE -", "T")
		c.expect("WRITE jars 13", "DONE s1", "T")
		c.expect("ROLLBACK", "DONE -", "I")
		c.expect("BEGIN", "DONE -", "T")
		c.expect("PREPARE p WRITE q", "DONE -", "T")
		c.expect("EXEC p jars 14", "DONE s1", "T")
		c.expect("COMMIT", "DONE s1", "I")
		answer, _ := c.ask("READ jars")
		assert.Assert(t, strings.HasPrefix(answer, "ROW 14|DONE s"), answer)
		c.expect("EXEC unknown jars", "ERR NOSTMT 107 unknown", "I")
		c.expect("COMMIT", "ERR BAD 107 no transaction is open", "I")
		c.expect("DROP TABLE jars", "ERR BAD 105 statement is not understood", "I")
		c.send("BYE")
		assert.Equal(t, c.line(), "closed")
	})
}

func TestUnknownDatabaseIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		_, l := serveWorld(t, w)
		c := l.connect(t, "nowhere")
		assert.Equal(t, c.line(), "ERR NODB 102 nowhere")
		assert.Equal(t, c.line(), "closed")
	})
}

// A proxy that was started where it doesn't reach the store knows no routes. It
// must not say that a database is unknown: callers take that for final.
func TestProxyWithoutConfigurationSendsCallersElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.startCut = true
		_, l := serveProxy(t, w.startProxy(1))
		at := time.Now()
		c := l.connect(t, own)
		answer := c.line()
		assert.Assert(t, strings.HasPrefix(answer, "ERR BUSY 402 the proxy has no configuration yet, retry after "), answer)
		assert.Equal(t, c.line(), "closed")
		assert.Assert(t, time.Since(at) <= readyPatience, "refused after %s", time.Since(at))
	})
}

// Callers come back at once after a loss of power, while the proxy still reads
// a large configuration over its link.
func TestCallerWaitsForAProxyThatHasJustStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		const reading = 200 * time.Millisecond
		w.startSlow = reading
		_, l := serveProxy(t, w.startProxy(1))
		at := time.Now()
		c := l.welcomed(t, own)
		assert.Assert(t, time.Since(at) < reading+50*time.Millisecond, "welcomed after %s", time.Since(at))
		c.expect("WRITE jars 12", "DONE s1", "I")
	})
}

func TestBrokenMessagesEndTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		_, l := serveWorld(t, w)
		c := l.welcomed(t, own)
		c.send("GET / HTTP/1.1")
		assert.Equal(t, c.line(), "closed")
	})
}

// A caller that rests in a transaction holds a connection; it is ended after
// the configured time, and a caller that stalls in a message is not waited for.
func TestRestingTransactionIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.idleTransaction(2 * time.Second)
		_, l := serveWorld(t, w)
		c := l.welcomed(t, own)
		c.expect("BEGIN", "DONE -", "T")
		c.expect("WRITE jars 1", "DONE s1", "T")
		time.Sleep(3 * time.Second)
		c.expect("WRITE jars 2", "ERR BAD 107 the transaction failed", "E")
		c.expect("COMMIT", "ERR ABORTED 107 the transaction rested for too long", "I")
		answer, _ := c.ask("READ jars")
		assert.Assert(t, strings.HasPrefix(answer, "ROW -|"), answer)
		_, err := c.nc.Write([]byte("QUERY id9 RE"))
		assert.NilError(t, err)
		time.Sleep(startupTimeout + time.Second)
		assert.Equal(t, c.line(), "closed")
	})
}

// A shutdown closes resting sessions, lets an open transaction end, and cuts
// no statement that was taken.
func TestShutdownCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		s, l := serveWorld(t, w)
		w.group.Change("s1", func(s *dbgroup.Server) { s.SetWork(300 * time.Millisecond) })
		resting, open, busy := l.connect(t, own), l.connect(t, own), l.connect(t, newest)
		for _, c := range []*client{resting, open, busy} {
			assert.Equal(t, c.line(), "READY I -")
		}
		open.expect("BEGIN", "DONE -", "T")
		open.expect("WRITE jars 1", "DONE s1", "T")
		answered := make(chan string)
		go func() {
			answer, _ := busy.ask("WRITE jars 2")
			answered <- answer
		}()
		time.Sleep(10 * time.Millisecond)
		s.CloseResting(false)
		assert.Equal(t, resting.line(), "closed")
		assert.Equal(t, <-answered, "DONE s1")
		assert.Equal(t, busy.line(), "closed")
		open.expect("COMMIT", "DONE s1", "I")
		assert.Equal(t, open.line(), "closed")
		synctest.Wait()
		assert.Equal(t, s.Wait(t.Context()), 0)
	})
}

func TestShutdownEndsTransactionsThatStayOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		s, l := serveWorld(t, w)
		c := l.welcomed(t, own)
		c.expect("BEGIN", "DONE -", "T")
		c.expect("WRITE jars 1", "DONE s1", "T")
		s.CloseResting(false)
		time.Sleep(time.Second)
		c.expect("WRITE jars 2", "DONE s1", "T")
		s.CloseResting(true)
		time.Sleep(time.Second)
		c.expect("COMMIT", "ERR ABORTED 107 the proxy shuts down", "I")
		assert.Equal(t, c.line(), "closed")
	})
}

// A proxy that is cut off closes sessions that rest, so that their callers come
// back elsewhere; sessions that come later stay.
func TestMovedSessionsComeBackElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		s, l := serveWorld(t, w)
		c := l.welcomed(t, own)
		synctest.Wait()
		s.MoveResting()
		assert.Equal(t, c.line(), "closed")
		time.Sleep(time.Second)
		c = l.connect(t, own)
		assert.Equal(t, c.line(), "READY I -")
		time.Sleep(time.Minute)
		c.expect("WRITE jars 1", "DONE s1", "I")
	})
}
