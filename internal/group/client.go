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

// SQLStateFenced is the SQLSTATE of a call with a term below the server's fenced
// term.
const SQLStateFenced = "55F01"

// EncodeStatus returns the text that control functions return, with the fields
// "role fenced log-term index following".
func EncodeStatus(st tables.Status) string {
	return fmt.Sprintf("%d %d %d %d %s", st.Role, st.Fenced, st.Last.LogTerm, st.Last.Index, st.Following)
}

// DecodeStatus decodes text encoded by EncodeStatus.
func DecodeStatus(text string) (tables.Status, error) {
	f := strings.Split(text, " ")
	if len(f) != 5 {
		return tables.Status{}, errors.Errorf("malformed server status %q", text)
	}
	var n [4]uint64
	for i := range n {
		v, err := strconv.ParseUint(f[i], 10, 64)
		if err != nil {
			return tables.Status{}, errors.Errorf("malformed server status %q", text)
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

// Client implements Server over the PostgreSQL protocol. It keeps one connection
// open, which it opens on first use and again after an error. Calls are serialized.
type Client struct {
	address     string
	user        string
	password    string
	application string

	// lock is a mutex that can be awaited with a context. It holds one element while
	// unlocked.
	lock chan struct{}
	conn *pgconn.PgConn
}

var _ Server = (*Client)(nil)

// NewClient returns a client for the server at address. The application name,
// "vm@data-centre", is sent when connecting.
func NewClient(address, user, password, application string) *Client {
	c := &Client{address: address, user: user, password: password, application: application, lock: make(chan struct{}, 1)}
	c.lock <- struct{}{}
	return c
}

// Close closes the connection, if one is open.
func (c *Client) Close() {
	<-c.lock
	defer c.unlock()
	c.disconnect()
}

func (c *Client) unlock() { c.lock <- struct{}{} }

func (c *Client) disconnect() {
	if c.conn == nil {
		return
	}
	old := c.conn
	c.conn = nil
	closeNow(old)
}

// closeNow closes a connection without waiting for the server.
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
	text, err := c.queryText(ctx, sql)
	if err != nil {
		return tables.Status{}, err
	}
	return DecodeStatus(text)
}

// queryText runs a statement that returns a single text value.
func (c *Client) queryText(ctx context.Context, sql string) (string, error) {
	select {
	case <-c.lock:
	case <-ctx.Done():
		return "", errors.Wrap(ctx.Err(), "control function")
	}
	defer c.unlock()
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
		c.disconnect()
		return "", errors.New("control function did not return exactly one row")
	}
	return string(results[0].Rows[0][0]), nil
}

func (c *Client) classify(err error) error {
	var pe *pgconn.PgError
	if errors.As(err, &pe) && pe.Code == SQLStateFenced {
		return errors.Wrap(ErrFenced, pe.Message)
	}
	c.disconnect()
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
