package dbserver

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/engine"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Startup parameters and reported settings that the emulator supports.
const (
	// ParamTerm is the startup parameter for the term of the connection's writes.
	ParamTerm = "cranberrystage.term"
	// ParamPosition is the setting that reports the position of the last commit as
	// "term/index".
	ParamPosition = "cranberrystage.position"
)

// conn is one connection to the emulated server.
type conn struct {
	server *Server
	net    net.Conn
	be     *pgproto3.Backend
	pid    uint32
	secret uint32

	user string
	// dc is the data centre of the other side.
	dc string
	// term is the term of the connection's writes; 0 means the server's own.
	term tables.Term
	// counted is set if the connection counts against the limit.
	counted bool

	inTxn  bool
	failed bool
	// pending are the operations that are not committed yet.
	pending  []engine.Op
	settings map[string]string
	// localSettings are the values that SET LOCAL replaced, settingsBeforeTxn all
	// settings at the start of the transaction.
	localSettings     []savedSetting
	settingsBeforeTxn map[string]string
	prepared          map[string]engine.Statement
	portals           map[string]portal
	// skipping is set after an error in the extended protocol: messages are
	// ignored until the next Sync.
	skipping bool

	// cancel cancels the running statement; nil if it can't be cancelled.
	cancel atomic.Pointer[context.CancelFunc]
	// application is the application name; nil before the startup message.
	application atomic.Pointer[string]
}

type savedSetting struct{ name, value string }

type portal struct {
	stmt    engine.Statement
	params  []string
	formats []int16
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{
		server:   s,
		net:      nc,
		be:       pgproto3.NewBackend(nc, nc),
		pid:      s.nextPID.Add(1),
		secret:   rand.Uint32(),
		settings: make(map[string]string),
		prepared: make(map[string]engine.Statement),
		portals:  make(map[string]portal),
	}
}

func (c *conn) run(ctx context.Context) {
	defer c.close()
	if !c.startup() {
		return
	}
	for {
		msg, err := c.be.Receive()
		if err != nil {
			return
		}
		if !c.reachable(ctx) {
			return
		}
		if !c.handle(ctx, msg) {
			return
		}
	}
}

func (c *conn) close() {
	_ = c.net.Close()
	c.server.conns.Delete(c.pid)
	c.server.unlockAll(c.pid)
	if c.counted {
		c.server.open.Add(-1)
	}
}

// reachable reports whether the server responds on this connection. If a fault
// makes it silent, reachable discards all input until the other side closes the
// connection, and returns false.
func (c *conn) reachable(ctx context.Context) bool {
	f := c.server.currentFaults()
	silent := c.pid <= f.SilentBefore || f.isolated(c.dc)
	if !silent {
		return true
	}
	_, _ = io.Copy(io.Discard, c.net)
	return false
}

func (c *conn) startup() bool {
	for {
		msg, err := c.be.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.server.cancelQuery(m.ProcessID, m.SecretKey)
			return false
		case *pgproto3.StartupMessage:
			return c.start(m)
		}
	}
}

func (c *conn) start(m *pgproto3.StartupMessage) bool {
	c.user = m.Parameters["user"]
	application := m.Parameters["application_name"]
	c.application.Store(&application)
	c.dc = dataCentreOf(application)
	if !c.reachable(context.Background()) {
		return false
	}
	term, _ := strconv.ParseUint(m.Parameters[ParamTerm], 10, 64)
	c.term = tables.Term(term)
	if peerClosed(c.net) {
		return false
	}
	if c.user != replicationUser {
		if !c.server.admitConnection() {
			c.be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
			_ = c.be.Flush()
			return false
		}
		c.counted = true
	}
	time.Sleep(time.Duration(c.server.cfg.SetUpTime))
	c.be.Send(&pgproto3.AuthenticationOk{})
	c.be.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "15.0"})
	c.be.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	c.be.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	c.be.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: secretBytes(c.secret)})
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.be.Flush() == nil
}

func secretBytes(s uint32) []byte {
	return []byte{byte(s >> 24), byte(s >> 16), byte(s >> 8), byte(s)}
}

func (s *Server) cancelQuery(pid uint32, secret []byte) {
	v, ok := s.conns.Load(pid)
	if !ok {
		return
	}
	c := v.(*conn)
	if string(secretBytes(c.secret)) != string(secret) {
		return
	}
	s.cancelRunning(c)
}

func (s *Server) cancelRunning(c *conn) {
	if cancel := c.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

func (c *conn) txStatus() byte {
	switch {
	case c.inTxn && c.failed:
		return 'E'
	case c.inTxn:
		return 'T'
	default:
		return 'I'
	}
}

// delay waits for one round trip if the other side is in another data centre.
func (c *conn) delay() {
	if c.dc != "" && c.dc != c.server.cfg.DataCentre && c.server.cfg.CrossLatency > 0 {
		time.Sleep(2 * time.Duration(c.server.cfg.CrossLatency))
	}
}

// handle processes one message and reports whether the connection stays open.
func (c *conn) handle(ctx context.Context, msg pgproto3.FrontendMessage) bool {
	if c.skipping {
		switch msg.(type) {
		case *pgproto3.Sync:
		case *pgproto3.Flush:
			return c.be.Flush() == nil
		default:
			return true
		}
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		c.delay()
		c.query(ctx, m.String)
		return c.ready()
	case *pgproto3.Parse:
		c.parse(m)
	case *pgproto3.Bind:
		c.bind(m)
	case *pgproto3.Describe:
		c.describe(m)
	case *pgproto3.Execute:
		c.execute(ctx, c.portals[m.Portal])
	case *pgproto3.Close:
		c.closeObject(m)
	case *pgproto3.Flush:
		return c.be.Flush() == nil
	case *pgproto3.Sync:
		c.delay()
		c.skipping = false
		c.finishImplicit()
		return c.ready()
	case *pgproto3.Terminate:
		return false
	default:
		c.fail("0A000", "the emulator does not support this message")
	}
	return true
}

func (c *conn) ready() bool {
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	return c.be.Flush() == nil
}

func (c *conn) fail(code, message string) {
	c.failed = true
	c.pending = nil
	c.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
}

// query runs the statements of a simple query in one implicit transaction.
func (c *conn) query(ctx context.Context, sql string) {
	parts := engine.Split(sql)
	if len(parts) == 0 {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, part := range parts {
		stmt, err := engine.Parse(part)
		if err != nil {
			c.fail("42601", err.Error())
			break
		}
		last := i == len(parts)-1
		if !c.runStatement(ctx, portal{stmt: stmt}, true, last) {
			break
		}
	}
	c.finishImplicit()
}

// finishImplicit commits the pending operations of an implicit transaction.
func (c *conn) finishImplicit() {
	if c.inTxn {
		return
	}
	if !c.failed {
		c.commitPending()
	}
	c.failed = false
	c.pending = nil
}

func (c *conn) parse(m *pgproto3.Parse) {
	stmt, err := engine.Parse(m.Query)
	if err != nil {
		c.extendedFail("42601", err.Error())
		return
	}
	c.prepared[m.Name] = stmt
	c.be.Send(&pgproto3.ParseComplete{})
}

// extendedFail reports an error in the extended protocol.
func (c *conn) extendedFail(code, message string) {
	c.fail(code, message)
	c.skipping = true
}

func (c *conn) bind(m *pgproto3.Bind) {
	stmt, ok := c.prepared[m.PreparedStatement]
	if !ok {
		c.extendedFail("26000", "prepared statement does not exist")
		return
	}
	params := make([]string, len(m.Parameters))
	for i, p := range m.Parameters {
		params[i] = string(p)
	}
	c.portals[m.DestinationPortal] = portal{stmt: stmt, params: params, formats: append([]int16(nil), m.ResultFormatCodes...)}
	c.be.Send(&pgproto3.BindComplete{})
}

func (c *conn) describe(m *pgproto3.Describe) {
	if m.ObjectType == 'P' {
		c.sendRowDescription(c.portals[m.Name].stmt)
		return
	}
	stmt, ok := c.prepared[m.Name]
	if !ok {
		c.extendedFail("26000", "prepared statement does not exist")
		return
	}
	oids := make([]uint32, stmt.Params())
	for i := range oids {
		oids[i] = oidText
	}
	c.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	c.sendRowDescription(stmt)
}

func (c *conn) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.prepared, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.be.Send(&pgproto3.CloseComplete{})
}

func (c *conn) execute(ctx context.Context, p portal) {
	if !c.runStatement(ctx, p, false, false) {
		c.skipping = true
	}
}
