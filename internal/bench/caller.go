package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

const (
	paramSession  = tags.Prefix + tags.NameSession
	paramServedBy = tags.Prefix + "served_by"

	connectTimeout = 3 * time.Second
	closeTimeout   = time.Second
)

// caller is one session. It keeps its data and its token while it roams from
// proxy to proxy.
type caller struct {
	opts     *Options
	board    *board
	index    int
	name     string
	database string
	rnd      *rand.Rand

	conn  *pgx.Conn
	proxy int
	token string

	registers int
	register  string
	version   uint64
	items     int
	item      string
}

// board is where callers publish the registers that others may read.
type board struct {
	registers []atomic.Pointer[string] // by caller
}

func newCaller(opts *Options, b *board, index int) *caller {
	c := &caller{
		opts:     opts,
		board:    b,
		index:    index,
		name:     fmt.Sprintf("%s-%d", opts.RunID, index),
		database: opts.Databases[index%len(opts.Databases)],
		rnd:      rand.New(rand.NewPCG(opts.Seed, uint64(index)+1)),
	}
	c.proxy = c.rnd.IntN(len(opts.Proxies))
	c.nextRegister()
	return c
}

func (c *caller) nextRegister() {
	c.registers++
	c.register = fmt.Sprintf("%s-r%d", c.name, c.registers)
	c.version = 0
}

// perform runs one operation and returns its record.
func (c *caller) perform(ctx context.Context, k class) history.Op {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	if c.rnd.Float64() < c.opts.Roam {
		c.leave()
		c.proxy = c.rnd.IntN(len(c.opts.Proxies))
	}
	switch k {
	case classAged:
		if key, ok := c.othersRegister(); ok {
			return c.read(ctx, key)
		}
	case classOwn:
		if op, ok := c.readOwn(ctx); ok {
			return op
		}
	}
	if c.rnd.Float64() < c.opts.Workload.InsertShare {
		return c.insert(ctx)
	}
	return c.put(ctx)
}

// othersRegister returns a register of a caller of the same database.
func (c *caller) othersRegister() (string, bool) {
	step := len(c.opts.Databases)
	peers := (len(c.board.registers) - c.index%step + step - 1) / step
	key := c.board.registers[c.index%step+step*c.rnd.IntN(peers)].Load()
	if key == nil {
		return "", false
	}
	return *key, true
}

func (c *caller) readOwn(ctx context.Context) (history.Op, bool) {
	switch {
	case c.version > 0 && (c.item == "" || c.rnd.IntN(2) == 0):
		return c.read(ctx, c.register), true
	case c.item != "":
		return c.count(ctx, c.item), true
	default:
		return history.Op{}, false
	}
}

func (c *caller) read(ctx context.Context, key string) history.Op {
	op := c.begin(history.KindRead, key)
	op.MaxAge = c.opts.maxAge()
	sql := fmt.Sprintf("SELECT v FROM %s WHERE k = $1 %s", c.opts.Workload.Registers, c.ageComment())
	err := c.queryValue(ctx, &op.Saw, sql, key)
	return c.end(op, err)
}

func (c *caller) count(ctx context.Context, item string) history.Op {
	op := c.begin(history.KindCount, item)
	op.MaxAge = c.opts.maxAge()
	sql := fmt.Sprintf("SELECT count(*) FROM %s WHERE v = $1 %s", c.opts.Workload.Items, c.ageComment())
	err := c.queryValue(ctx, &op.Count, sql, item)
	return c.end(op, err)
}

func (c *caller) ageComment() string {
	if c.opts.Undeclared {
		return ""
	}
	return fmt.Sprintf("/*max_age='%s',idempotent='true'*/", c.opts.Workload.MaxAge)
}

// queryValue reads at most one row with one column.
func (c *caller) queryValue(ctx context.Context, dst any, sql string, arg string) error {
	if err := c.connect(ctx); err != nil {
		return err
	}
	err := c.conn.QueryRow(ctx, sql, arg).Scan(dst)
	if errors.Is(err, pgx.ErrNoRows) {
		return nil
	}
	return err
}

// put writes the next version of the session's register. After any end but
// success a new register is begun, so that no write follows one that may still
// be on its way.
func (c *caller) put(ctx context.Context) history.Op {
	op := c.begin(history.KindPut, c.register)
	op.Version = c.version + 1
	sql := "UPDATE %s SET v = $2 WHERE k = $1 %s"
	if op.Version == 1 {
		sql = "INSERT INTO %s (k, v) VALUES ($1, $2) %s"
	}
	sql = fmt.Sprintf(sql, c.opts.Workload.Registers, requestComment(op.Key, op.Version))
	op = c.end(op, c.exec(ctx, sql, op.Key, history.Value(op.Key, op.Version)))
	if op.Outcome != history.Acknowledged {
		c.nextRegister()
		return op
	}
	c.version = op.Version
	c.board.registers[c.index].Store(&op.Key)
	return op
}

func (c *caller) insert(ctx context.Context) history.Op {
	c.items++
	op := c.begin(history.KindInsert, fmt.Sprintf("%s-i%d", c.name, c.items))
	sql := fmt.Sprintf("INSERT INTO %s (v) VALUES ($1) %s", c.opts.Workload.Items, requestComment(op.Key, 1))
	op = c.end(op, c.exec(ctx, sql, op.Key))
	if op.Outcome == history.Acknowledged {
		c.item = op.Key
	}
	return op
}

// probe writes an item without leaving the proxy that it is at.
func (c *caller) probe(ctx context.Context) history.Op {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	return c.insert(ctx)
}

func requestComment(key string, version uint64) string {
	return fmt.Sprintf("/*request_id='%s.%d'*/", key, version)
}

// exec sends a statement that is not prepared, since its comment is its own.
func (c *caller) exec(ctx context.Context, sql string, args ...any) error {
	if err := c.connect(ctx); err != nil {
		return err
	}
	_, err := c.conn.Exec(ctx, sql, append([]any{pgx.QueryExecModeExec}, args...)...)
	return err
}

func (c *caller) begin(kind history.Kind, key string) history.Op {
	return history.Op{Kind: kind, Session: c.name, Database: c.database, Key: key, Start: c.opts.clock()}
}

// end completes the record and takes over what the proxy reported.
func (c *caller) end(op history.Op, err error) history.Op {
	op.End = c.opts.clock()
	e := classify(err)
	op.Outcome, op.Code, op.DuplicateKey = e.outcome, e.code, e.duplicate
	if c.conn == nil {
		return op
	}
	op.ServedBy = c.conn.PgConn().ParameterStatus(paramServedBy)
	if token := c.conn.PgConn().ParameterStatus(paramSession); token != "" {
		c.token = token
	}
	if c.conn.IsClosed() {
		c.conn = nil
	}
	return op
}

// connect opens a connection if there is none, trying each proxy once.
func (c *caller) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	var last error
	for range c.opts.Proxies {
		conn, err := c.opts.open(ctx, c.opts.Proxies[c.proxy], c.database, c.sessionParam())
		if err == nil {
			c.conn = conn
			return nil
		}
		last = err
		c.proxy = (c.proxy + 1) % len(c.opts.Proxies)
	}
	return &connectError{cause: last}
}

// sessionParam is what the caller hands over to the next proxy.
func (c *caller) sessionParam() string {
	switch c.opts.Handover {
	case HandoverName:
		return c.name
	case HandoverNothing:
		return ""
	default:
		return c.token
	}
}

func (c *caller) leave() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// connectError says that no proxy took the connection, so nothing was sent.
type connectError struct{ cause error }

func (e *connectError) Error() string     { return "connect: " + e.cause.Error() }
func (e *connectError) Unwrap() error     { return e.cause }
func (e *connectError) SafeToRetry() bool { return true }
