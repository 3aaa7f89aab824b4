package callers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/base64"
	"net"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

const (
	mechanism   = "SCRAM-SHA-256"
	secretBytes = 4
	// fatalErrorTimeout limits the sending of the error that ends a connection.
	fatalErrorTimeout = time.Second
)

// startup handles the connection until the caller is authenticated and has
// received ReadyForQuery; it returns false when the connection has ended.
func (c *session) startup(overLimit bool) bool {
	for {
		msg, err := c.be.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if !c.answerTLS() {
				return false
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.server.cancel(m.ProcessID, m.SecretKey)
			return false
		case *pgproto3.StartupMessage:
			if c.server.draining.Load() {
				return c.fatal(codes.New(codes.ShuttingDown, codes.NotRun, reconnectRetryAfter, ""))
			}
			if !c.server.executor.Configured() {
				return c.fatal(codes.New(codes.NotReady, codes.NotRun, reconnectRetryAfter, ""))
			}
			if overLimit {
				return c.fatal(codes.New(codes.TooManyCallers, codes.NotRun, reconnectRetryAfter, ""))
			}
			return c.openSession(m)
		}
	}
}

func (c *session) answerTLS() bool {
	if c.server.opts.TLS == nil {
		_, err := c.net.Write([]byte{'N'})
		return err == nil
	}
	if c.in.buffer().Buffered() > 0 {
		// Bytes that arrived before the handshake were not encrypted.
		return false
	}
	if _, err := c.net.Write([]byte{'S'}); err != nil {
		return false
	}
	tc := tls.Server(c.net, c.server.opts.TLS)
	if err := tc.Handshake(); err != nil {
		return false
	}
	c.setConn(tc)
	return true
}

// setConn makes the session read from and write to nc.
func (c *session) setConn(nc net.Conn) {
	c.net = nc
	c.in = messageReader{conn: nc, max: c.server.opts.MaxFrame, timeout: c.server.opts.FrameTimeout}
	c.be = pgproto3.NewBackend(byteReader{&c.in}, nc)
	c.be.SetMaxBodyLen(maxStartupMessageBytes)
}

// maxStartupMessageBytes limits the messages of startup and authentication.
const maxStartupMessageBytes = 10 << 10

func (c *session) openSession(m *pgproto3.StartupMessage) bool {
	user := m.Parameters["user"]
	if err := c.authenticate(user); err != nil {
		c.server.log.Warn("Caller was not admitted.", "user", user, "error", err)
		return c.fatal(codes.New(codes.AuthFailed, codes.NotRun, 0, ""))
	}
	st := Startup{User: user, Database: m.Parameters["database"], Parameters: m.Parameters}
	if st.Database == "" {
		st.Database = user
	}
	ex, err := c.server.executor.Open(st)
	if err != nil {
		return c.fatal(asCode(err))
	}
	c.exec = ex
	if !c.completeStartup(m.Parameters) {
		ex.Close()
		return false
	}
	return true
}

// reportedSettings are the settings that a caller receives when it connects. A
// value that the caller requested in its startup message is reported as
// requested.
var reportedSettings = []struct{ name, value string }{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", ""},
	{"TimeZone", ""},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// reportedValue returns the value to report for a setting; empty means that it
// is not reported.
func reportedValue(name, value string, params map[string]string) string {
	for n, v := range params {
		if strings.EqualFold(n, name) && v != "" && !strings.HasPrefix(value, strings.ToUpper(v)) {
			return v
		}
	}
	return value
}

func (c *session) completeStartup(params map[string]string) bool {
	c.pid = c.server.nextPID.Add(1)
	c.secret = make([]byte, secretBytes)
	if _, err := rand.Read(c.secret); err != nil {
		return false
	}
	c.be.Send(&pgproto3.AuthenticationOk{})
	for _, r := range reportedSettings {
		if v := reportedValue(r.name, r.value, params); v != "" {
			c.be.Send(&pgproto3.ParameterStatus{Name: r.name, Value: v})
		}
	}
	c.be.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: txStatus[statement.Idle]})
	err := c.be.Flush()
	c.be = nil
	return err == nil
}

// fatal sends the caller the error that ends the connection; it returns false.
func (c *session) fatal(e *codes.Error) bool {
	if c.server.opts.OnFatal != nil {
		c.server.opts.OnFatal(e.Code)
	}
	b, err := errorResponse(e, "FATAL").Encode(nil)
	if err == nil {
		_ = c.net.SetWriteDeadline(time.Now().Add(fatalErrorTimeout))
		_, _ = c.net.Write(b)
	}
	return false
}

// authenticate runs a SCRAM-SHA-256 exchange against the user's verifier. An
// unknown user goes through the same exchange with mock credentials and fails
// at its end.
func (c *session) authenticate(user string) error {
	conv, err := c.conversation(user)
	if err != nil {
		return err
	}
	c.be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := c.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	answer, err := conv.Step(first)
	if err != nil {
		return errors.Wrap(err, "SCRAM client's first message")
	}
	c.be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	final, err := c.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	answer, err = conv.Step(final)
	if err != nil {
		return errors.Wrap(err, "SCRAM client's final message")
	}
	if !conv.Valid() {
		return errors.New("SCRAM proof does not match")
	}
	c.be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return nil
}

func (c *session) conversation(user string) (*scram.ServerConversation, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		u, ok := c.server.executor.User(user)
		if !ok {
			return c.server.mockCredentials(user), nil
		}
		return credentials(u)
	})
	if err != nil {
		return nil, errors.Wrap(err, "create SCRAM server")
	}
	return server.NewConversation(), nil
}

// mockIterations is the iteration count that unknown users receive.
const mockIterations = 4096

// mockCredentials returns a verifier that no password matches. A user always
// receives the same salt, so that an unknown user can't be distinguished from a
// known one by its salt.
func (s *Server) mockCredentials(user string) scram.StoredCredentials {
	mac := hmac.New(sha256.New, s.mockSaltKey)
	mac.Write([]byte(user))
	salt := mac.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt[:mockSaltBytes]), Iters: mockIterations},
		StoredKey:  make([]byte, sha256.Size),
		ServerKey:  make([]byte, sha256.Size),
	}
}

const mockSaltBytes = 16

func credentials(u config.User) (scram.StoredCredentials, error) {
	var sc scram.StoredCredentials
	salt, err1 := base64.StdEncoding.DecodeString(u.Salt)
	stored, err2 := base64.StdEncoding.DecodeString(u.StoredKey)
	key, err3 := base64.StdEncoding.DecodeString(u.ServerKey)
	if err1 != nil || err2 != nil || err3 != nil {
		return sc, errors.Errorf("verifier of user %s is not base64", u.Name)
	}
	sc.Salt = string(salt)
	sc.Iters = u.Iterations
	sc.StoredKey = stored
	sc.ServerKey = key
	return sc, nil
}

func (c *session) receiveSASL(kind uint32) (string, error) {
	if err := c.be.Flush(); err != nil {
		return "", err
	}
	if err := c.be.SetAuthType(kind); err != nil {
		return "", err
	}
	msg, err := c.be.Receive()
	if err != nil {
		return "", err
	}
	switch m := msg.(type) {
	case *pgproto3.SASLInitialResponse:
		if m.AuthMechanism != mechanism {
			return "", errors.Errorf("SASL mechanism %q is not supported", m.AuthMechanism)
		}
		return string(m.Data), nil
	case *pgproto3.SASLResponse:
		return string(m.Data), nil
	default:
		return "", errors.New("unexpected message during authentication")
	}
}
