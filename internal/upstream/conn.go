// Package upstream holds the pooled connections from this proxy to one database
// server. A connection carries the term under which it writes. A connection
// with a response outstanding is closed and never reused.
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

// Target is the server to connect to and the login to use.
type Target struct {
	// Upstream names the server.
	Upstream tables.UpstreamID
	// Address is its IP:port.
	Address string
	// Database is the database's name at the server.
	Database string
	// User is the user that pooled connections log in as.
	User string
	// Password is sent if the server requests a clear-text password.
	Password string
	// Application is sent as the application name: "vm@data-centre".
	Application string
}

// Conn is one connection to an upstream. It is used by one request at a time.
type Conn struct {
	// Frontend sends and receives messages.
	Frontend *pgproto3.Frontend
	// Term is the term under which the connection was opened; 0 for reads.
	Term tables.Term
	// Prepared are the statements that the server holds for this connection.
	Prepared *Statements

	net    *watchedConn
	target Target
	// pid and secret identify the connection in cancel requests.
	pid    uint32
	secret []byte
	// slot is the number of the slot that the connection holds, or noSlot.
	slot int
	// firstSlotTried is the slot with which the last attempt to take one began;
	// each attempt begins with the next slot.
	firstSlotTried int
	slotTakenAt    time.Time
	lastUsed       time.Time
	// slotReleaseStarted is when the pool began to release the slot of the idle
	// connection; zero while it does not. It is guarded by the pool's lock.
	slotReleaseStarted time.Time
	// settings is the SQL text that made the connection's settings; it is not
	// valid while settingsUnknown is set.
	settings        string
	settingsUnknown bool
	// cancelled is set once a cancel request may be in transit. The request
	// could cancel a later statement, so the connection is not reused.
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
	c.MarkResponseComplete()
	return c, nil
}

// MarkResponseComplete records that the whole response to the last request
// arrived.
func (c *Conn) MarkResponseComplete() { c.net.markResponseComplete() }

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

// ServerError is an error response of the upstream.
type ServerError struct {
	// Code is the SQLSTATE.
	Code string
	// Message is the server's text.
	Message string
}

// Error implements error.
func (e *ServerError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// SetDeadline limits all reads and writes; the zero time removes the limit.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Upstream returns the server's name.
func (c *Conn) Upstream() tables.UpstreamID { return c.target.Upstream }

// MarkSettingsUnknown records that a statement may have changed the
// connection's settings. They are reset before the next use.
func (c *Conn) MarkSettingsUnknown() { c.settingsUnknown = true }

// ApplySettings replaces the connection's settings by those of text, SET
// statements separated by semicolons. It returns nil only after the server
// confirmed that the earlier settings are reset and these are in force.
func (c *Conn) ApplySettings(ctx context.Context, text string) error {
	if !c.settingsUnknown && c.settings == text {
		return nil
	}
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	c.settingsUnknown = true
	if _, err := c.queryValue("RESET ALL;" + text); err != nil {
		return errors.Wrap(err, "set up the session's settings")
	}
	c.settings = text
	c.settingsUnknown = false
	return nil
}

// Cancel sends a cancel request for the running statement over a new connection
// and waits until the server has accepted it. The connection itself still
// receives its response; the pool closes it afterwards.
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

// queryValue runs a statement that returns at most one row of one text column.
func (c *Conn) queryValue(sql string) (string, error) {
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
			c.MarkResponseComplete()
			return value, failed
		}
	}
}

// close closes the connection without notifying the server.
func (c *Conn) close() { _ = c.net.Close() }

// terminate notifies the server and closes a connection that has no response
// outstanding.
func (c *Conn) terminate() {
	c.SetDeadline(time.Now().Add(terminateTimeout))
	c.Frontend.Send(&pgproto3.Terminate{})
	_ = c.Frontend.Flush()
	c.close()
}

// terminateTimeout limits the sending of Terminate.
const terminateTimeout = 5 * time.Millisecond

// ParsePosition parses the value of ParamPosition.
func ParsePosition(text string) (tables.Position, error) {
	t, i, ok := strings.Cut(text, "/")
	term, err1 := strconv.ParseUint(t, 10, 64)
	index, err2 := strconv.ParseUint(i, 10, 64)
	if !ok || err1 != nil || err2 != nil {
		return tables.Position{}, errors.Errorf("bad position %q", text)
	}
	return tables.Position{LogTerm: tables.Term(term), Index: index}, nil
}

// CauseOf returns how reaching the upstream failed. ok is false for errors that
// say nothing about the upstream's reachability, such as an error response.
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
