// Package upstream holds the pooled connections from this proxy to one
// database server. A connection carries the term under which it writes; one
// with an answer outstanding is closed and never reused.
package upstream

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sockopt"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Startup parameters and reported settings between the proxy and an upstream.
const (
	// ParamTerm declares the term under which a connection writes.
	ParamTerm = "cranberrystage.term"
	// ParamPosition reports the position of the last commit as "term/index".
	ParamPosition = "cranberrystage.position"
)

// Target says where and as whom to connect.
type Target struct {
	// Upstream names the server.
	Upstream tables.UpstreamID
	// Address is its IP:port.
	Address string
	// Database is the database's name at the server.
	Database string
	// User is the user that pooled connections log in as.
	User string
	// Password is used if the server asks for a clear-text password.
	Password string
	// Application is sent as the application name: "vm@data-centre".
	Application string
}

// Conn is one connection to an upstream. It is used by one request at a time.
type Conn struct {
	// Frontend sends and receives messages.
	Frontend *pgproto3.Frontend
	// Term is the term the connection was opened under; 0 for reads.
	Term tables.Term
	// Prepared are the statements that the server holds for this connection.
	Prepared *Statements

	net       *watchedConn
	target    Target
	pid       uint32
	secret    []byte
	slot      int
	slotFirst int
	slotAt    time.Time
	lastUsed  time.Time
	// returning is when the pool began to give the slot of the idle connection
	// back; zero while it does not. It belongs to the pool's lock.
	returning time.Time
	// settings is the text that made the connection's settings; it is not valid
	// while settingsUnknown.
	settings        string
	settingsUnknown bool
	// cancelled is set once a cancel request may be on its way: it could hit a
	// later statement, so the connection is not reused.
	cancelled atomic.Bool
}

// dial opens a connection and logs in.
func dial(ctx context.Context, t Target, term tables.Term) (*Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to upstream %s", t.Upstream)
	}
	sockopt.DetectDeadPeer(nc)
	wc := &watchedConn{Conn: nc}
	c := &Conn{
		Frontend: pgproto3.NewFrontend(wc, wc),
		Term:     term,
		Prepared: newStatements(),
		net:      wc,
		target:   t,
		slot:     noSlot,
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	err = c.login()
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		c.close()
		return nil, errors.Wrapf(err, "log in to upstream %s", t.Upstream)
	}
	c.Settle()
	return c, nil
}

// Settle records that the whole answer to the last request arrived.
func (c *Conn) Settle() { c.net.settle() }

func (c *Conn) login() error {
	params := map[string]string{
		"user":             c.target.User,
		"database":         c.target.Database,
		"application_name": c.target.Application,
	}
	if c.Term != 0 {
		params[ParamTerm] = strconv.FormatUint(uint64(c.Term), 10)
	}
	c.Frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params})
	if err := c.Frontend.Flush(); err != nil {
		return err
	}
	for {
		msg, err := c.Frontend.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.Frontend.Send(&pgproto3.PasswordMessage{Password: c.target.Password})
			if err := c.Frontend.Flush(); err != nil {
				return err
			}
		case *pgproto3.BackendKeyData:
			c.pid = m.ProcessID
			c.secret = append([]byte(nil), m.SecretKey...)
		case *pgproto3.ErrorResponse:
			return &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// ServerError is an error that the upstream answered with.
type ServerError struct {
	// Code is the SQLSTATE.
	Code string
	// Message is the server's text.
	Message string
}

// Error implements error.
func (e *ServerError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// SetDeadline bounds all reads and writes; the zero time removes the bound.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Upstream returns the server's name.
func (c *Conn) Upstream() tables.UpstreamID { return c.target.Upstream }

// SettingsUnknown records that a statement may have changed the connection's
// settings. They are reset before the next use.
func (c *Conn) SettingsUnknown() { c.settingsUnknown = true }

// Adopt makes the connection's settings those that text makes, SET statements
// separated by semicolons. It returns nil only after the server answered that
// the settings of earlier use are gone and these are in force.
func (c *Conn) Adopt(ctx context.Context, text string) error {
	if !c.settingsUnknown && c.settings == text {
		return nil
	}
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	if _, err := c.simple("RESET ALL;" + text); err != nil {
		return errors.Wrap(err, "set up the session's settings")
	}
	c.settings = text
	c.settingsUnknown = false
	return nil
}

// Cancel asks the server to cancel what the connection runs, over a new
// connection, and waits until the server has taken the request. The connection
// itself still gets its answer; the pool closes it afterwards.
func (c *Conn) Cancel(ctx context.Context) error {
	c.cancelled.Store(true)
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.target.Address)
	if err != nil {
		return errors.Wrap(err, "connect to cancel")
	}
	defer nc.Close()
	msg := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	b, err := msg.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel request")
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err = nc.Write(b); err != nil {
		return errors.Wrap(err, "send cancel request")
	}
	_, err = io.Copy(io.Discard, nc)
	return errors.Wrap(err, "await the end of the cancel request")
}

// simple runs a statement that gives at most one row of one text column.
func (c *Conn) simple(sql string) (string, error) {
	c.Frontend.Send(&pgproto3.Query{String: sql})
	if err := c.Frontend.Flush(); err != nil {
		return "", err
	}
	var value string
	var failed error
	for {
		msg, err := c.Frontend.Receive()
		if err != nil {
			return "", err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) > 0 {
				value = string(m.Values[0])
			}
		case *pgproto3.ErrorResponse:
			failed = &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			c.Settle()
			return value, failed
		}
	}
}

// close ends the connection without a word to the server.
func (c *Conn) close() { _ = c.net.Close() }

// terminate ends a connection that has no answer outstanding.
func (c *Conn) terminate() {
	c.SetDeadline(time.Now().Add(terminateTimeout))
	c.Frontend.Send(&pgproto3.Terminate{})
	_ = c.Frontend.Flush()
	c.close()
}

// terminateTimeout bounds the farewell to a server.
const terminateTimeout = 5 * time.Millisecond

// ParsePosition reads the value of ParamPosition.
func ParsePosition(text string) (tables.Position, error) {
	t, i, ok := strings.Cut(text, "/")
	term, err1 := strconv.ParseUint(t, 10, 64)
	index, err2 := strconv.ParseUint(i, 10, 64)
	if !ok || err1 != nil || err2 != nil {
		return tables.Position{}, errors.Errorf("bad position %q", text)
	}
	return tables.Position{LogTerm: tables.Term(term), Index: index}, nil
}

// CauseOf tells how reaching the upstream failed; ok is false for errors that
// say nothing about the upstream, such as an answer that it gave.
func CauseOf(err error) (cause tables.Cause, ok bool) {
	var answered *ServerError
	switch {
	case err == nil || errors.As(err, &answered):
		return tables.CauseNone, false
	case errors.Is(err, syscall.ECONNREFUSED):
		return tables.CauseRefused, true
	case sockopt.TimedOut(err):
		return tables.CauseSilent, true
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return tables.CauseReset, true
	default:
		return tables.CauseNone, false
	}
}
