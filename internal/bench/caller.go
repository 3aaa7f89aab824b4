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

// caller is one session with at most one connection. It keeps its data and its
// session token when it moves to another proxy.
type caller struct {
	opts               *Options
	publishedRegisters *publishedRegisters
	index              int
	name               string
	database           string
	rnd                *rand.Rand

	conn *pgx.Conn
	// proxy is the index of the proxy that conn is, or will be, connected to.
	proxy int
	token string

	// registers and items count the registers and items that the session has used.
	// register is the current register and version its last acknowledged version;
	// item is the last acknowledged item, empty if there is none.
	registers int
	register  string
	version   uint64
	items     int
	item      string
}

// publishedRegisters holds the registers that callers have written, for reads by
// other callers.
type publishedRegisters struct {
	registers []atomic.Pointer[string] // keys, by index of the caller
}

func newCaller(opts *Options, published *publishedRegisters, index int) *caller {
	c := &caller{
		opts:               opts,
		publishedRegisters: published,
		index:              index,
		name:               fmt.Sprintf("%s-%d", opts.RunID, index),
		database:           opts.Databases[index%len(opts.Databases)],
		rnd:                rand.New(rand.NewPCG(opts.Seed, uint64(index)+1)),
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

// perform runs one operation of a class and returns its record. It writes
// instead if there is nothing to read yet.
func (c *caller) perform(ctx context.Context, k class) history.Op {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	if c.rnd.Float64() < c.opts.Roam {
		c.disconnect()
		c.proxy = c.rnd.IntN(len(c.opts.Proxies))
	}
	switch k {
	case classAged:
		if key, ok := c.randomRegister(); ok {
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

// randomRegister returns the register of a random caller of the same database,
// and false if that caller has not written one.
func (c *caller) randomRegister() (string, bool) {
	step := len(c.opts.Databases)
	peers := (len(c.publishedRegisters.registers) - c.index%step + step - 1) / step
	key := c.publishedRegisters.registers[c.index%step+step*c.rnd.IntN(peers)].Load()
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

// put writes the next version of the session's register. After a write that was
// not acknowledged the session uses a new register, because the old write may
// still be executed later.
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
	c.publishedRegisters.registers[c.index].Store(&op.Key)
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

// probe inserts an item without a change of proxy.
func (c *caller) probe(ctx context.Context) history.Op {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	return c.insert(ctx)
}

func requestComment(key string, version uint64) string {
	return fmt.Sprintf("/*request_id='%s.%d'*/", key, version)
}

// exec runs a statement without preparing it, because its comment is unique to
// the request.
func (c *caller) exec(ctx context.Context, sql string, args ...any) error {
	if err := c.connect(ctx); err != nil {
		return err
	}
	_, err := c.conn.Exec(ctx, sql, append([]any{pgx.QueryExecModeExec}, args...)...)
	return err
}

func (c *caller) begin(kind history.Kind, key string) history.Op {
	return history.Op{Kind: kind, Session: c.name, Database: c.database, Key: key, Start: c.opts.elapsed()}
}

// end completes the record and stores the session token that the proxy reported.
func (c *caller) end(op history.Op, err error) history.Op {
	op.End = c.opts.elapsed()
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

// sessionParam returns the session parameter for the next connection, according
// to the handover option; empty for none.
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

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// connectError means that no proxy accepted the connection, so that no statement
// was sent.
type connectError struct{ cause error }

func (e *connectError) Error() string     { return "connect: " + e.cause.Error() }
func (e *connectError) Unwrap() error     { return e.cause }
func (e *connectError) SafeToRetry() bool { return true }
