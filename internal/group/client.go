package group

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
)

// SQLStateFenced is the SQLSTATE of a call below the server's fenced term.
const SQLStateFenced = "55F01"

// EncodeStatus returns the text that the control functions answer with:
// "role fenced log-term index following".
func EncodeStatus(st tables.Status) string {
	return fmt.Sprintf("%d %d %d %d %s", st.Role, st.Fenced, st.Last.LogTerm, st.Last.Index, st.Following)
}

// DecodeStatus reads the text written by EncodeStatus.
func DecodeStatus(text string) (tables.Status, error) {
	f := strings.Split(text, " ")
	if len(f) != 5 {
		return tables.Status{}, errors.Errorf("bad status %q", text)
	}
	var n [4]uint64
	for i := range n {
		v, err := strconv.ParseUint(f[i], 10, 64)
		if err != nil {
			return tables.Status{}, errors.Errorf("bad status %q", text)
		}
		n[i] = v
	}
	return tables.Status{
		Role:      tables.Role(n[0]),
		Fenced:    tables.Term(n[1]),
		Last:      tables.Position{LogTerm: tables.Term(n[2]), Index: n[3]},
		Following: tables.UpstreamID(f[4]),
	}, nil
}

// Client is a Server over the PostgreSQL protocol. It keeps one connection,
// opened on first use and again after an error. Calls are serialized.
type Client struct {
	address     string
	user        string
	password    string
	application string

	turn chan struct{} // holds one token while nobody calls
	conn *pgconn.PgConn
}

var _ Server = (*Client)(nil)

// NewClient returns a client for the server at address; application is sent as
// the application name, "vm@data-centre".
func NewClient(address, user, password, application string) *Client {
	c := &Client{address: address, user: user, password: password, application: application, turn: make(chan struct{}, 1)}
	c.turn <- struct{}{}
	return c
}

// Close closes the connection, if one is open.
func (c *Client) Close() {
	<-c.turn
	defer c.pass()
	c.drop()
}

// pass lets the next call begin.
func (c *Client) pass() { c.turn <- struct{}{} }

func (c *Client) drop() {
	if c.conn == nil {
		return
	}
	old := c.conn
	c.conn = nil
	closeNow(old)
}

// closeNow closes a connection without waiting for its other side.
func closeNow(pc *pgconn.PgConn) {
	_ = pc.Conn().SetDeadline(time.Unix(1, 0))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = pc.Close(ctx)
}

func (c *Client) connect(ctx context.Context) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(c.address)
	if err != nil {
		return nil, errors.Wrap(err, "upstream address")
	}
	url := fmt.Sprintf("postgres://%s:%s@%s/control?sslmode=disable&application_name=%s",
		c.user, c.password, net.JoinHostPort(host, port), c.application)
	return pgconn.Connect(ctx, url)
}

func (c *Client) call(ctx context.Context, sql string) (tables.Status, error) {
	text, err := c.value(ctx, sql)
	if err != nil {
		return tables.Status{}, err
	}
	return DecodeStatus(text)
}

// value runs a statement that answers with one text.
func (c *Client) value(ctx context.Context, sql string) (string, error) {
	select {
	case <-c.turn:
	case <-ctx.Done():
		return "", errors.Wrap(ctx.Err(), "control function")
	}
	defer c.pass()
	if c.conn == nil {
		pc, err := c.connect(ctx)
		if err != nil {
			return "", err
		}
		c.conn = pc
	}
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return "", c.classify(err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		c.drop()
		return "", errors.New("unexpected answer to a control function")
	}
	return string(results[0].Rows[0][0]), nil
}

func (c *Client) classify(err error) error {
	var pe *pgconn.PgError
	if errors.As(err, &pe) && pe.Code == SQLStateFenced {
		return errors.Wrap(ErrFenced, pe.Message)
	}
	c.drop()
	return errors.Wrap(err, "control function")
}

// Status implements Server.
func (c *Client) Status(ctx context.Context) (tables.Status, error) {
	return c.call(ctx, "SELECT cs_status()")
}

// Fence implements Server.
func (c *Client) Fence(ctx context.Context, term tables.Term) (tables.Status, error) {
	return c.call(ctx, fmt.Sprintf("SELECT cs_fence(%d)", term))
}

// Promote implements Server.
func (c *Client) Promote(ctx context.Context, term tables.Term) (tables.Status, error) {
	return c.call(ctx, fmt.Sprintf("SELECT cs_promote(%d)", term))
}

// Follow implements Server.
func (c *Client) Follow(ctx context.Context, primary tables.UpstreamID, address string, term tables.Term) (tables.Status, error) {
	return c.call(ctx, fmt.Sprintf("SELECT cs_follow('%s', '%s', %d)", primary, address, term))
}
