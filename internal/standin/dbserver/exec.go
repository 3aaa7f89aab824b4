package dbserver

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/standin/engine"
	"github.com/cranberrystage/cranberrystage/internal/standin/replog"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Type OIDs of result columns.
const (
	oidInt8 = 20
	oidInt4 = 23
	oidText = 25
)

// sqlState maps an engine or log error to its SQLSTATE.
func sqlState(err error) string {
	switch {
	case errors.Is(err, engine.ErrDuplicateKey):
		return "23505"
	case errors.Is(err, replog.ErrNotPrimary):
		return "25006"
	case errors.Is(err, group.ErrFenced):
		return group.SQLStateFenced
	case errors.Is(err, context.Canceled):
		return "57014"
	default:
		return "XX000"
	}
}

// column returns the name and type of a statement's result column, and whether
// it has one.
func column(s engine.Statement) (name string, oid uint32, ok bool) {
	switch s.Kind {
	case engine.KindSelectKey:
		return "v", oidText, true
	case engine.KindCountValue:
		return "count", oidInt8, true
	case engine.KindSelectOne:
		return "?column?", oidInt4, true
	case engine.KindSleep:
		return "pg_sleep", oidText, true
	case engine.KindTryLocks:
		return "case", oidInt4, true
	case engine.KindShow, engine.KindFunction:
		return s.Name, oidText, true
	default:
		return "", 0, false
	}
}

func (c *conn) sendRowDescription(s engine.Statement) {
	name, oid, ok := column(s)
	if !ok {
		c.be.Send(&pgproto3.NoData{})
		return
	}
	f := pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1}
	c.be.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{f}})
}

// runStatement runs one statement, sends its result and reports whether it
// succeeded. If describe is set, it sends a row description first; if commitNow
// is set, it commits an implicit transaction before the command tag.
func (c *conn) runStatement(ctx context.Context, p portal, describe, commitNow bool) bool {
	if p.stmt.Kind == engine.KindEmpty {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
		return true
	}
	if c.failed && p.stmt.Kind != engine.KindRollback && p.stmt.Kind != engine.KindCommit {
		c.fail("25P02", "current transaction is aborted")
		return false
	}
	values, tag, err := c.evaluate(ctx, p)
	if err == nil && commitNow && !c.inTxn {
		err = c.commitOps()
	}
	if err != nil {
		c.fail(sqlState(err), err.Error())
		return false
	}
	if _, _, ok := column(p.stmt); ok {
		c.sendRows(p, values, describe)
	}
	c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

func (c *conn) sendRows(p portal, values []string, describe bool) {
	if describe {
		c.sendRowDescription(p.stmt)
	}
	_, oid, _ := column(p.stmt)
	for _, v := range values {
		c.be.Send(&pgproto3.DataRow{Values: [][]byte{encodeValue(v, oid, p.formats)}})
	}
}

func encodeValue(v string, oid uint32, formats []int16) []byte {
	if len(formats) == 0 || formats[0] == 0 {
		return []byte(v)
	}
	n, err := strconv.ParseInt(v, 10, 64)
	switch {
	case err == nil && oid == oidInt8:
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case err == nil && oid == oidInt4:
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	default:
		return []byte(v)
	}
}

// evaluate runs a statement and returns its rows and command tag.
func (c *conn) evaluate(ctx context.Context, p portal) (rows []string, tag string, err error) {
	args := make([]string, len(p.stmt.Args))
	for i, a := range p.stmt.Args {
		if args[i], err = a.Value(p.params); err != nil {
			return nil, "", err
		}
	}
	if p.stmt.Kind == engine.KindTryLocks {
		return []string{c.tryLocks(args)}, "SELECT 1", nil
	}
	if p.stmt.Kind == engine.KindFunction {
		v, err := c.function(ctx, p.stmt.Name, args)
		return []string{v}, "SELECT 1", err
	}
	c.server.startStatement()
	defer c.server.endStatement()
	if d := time.Duration(c.server.cfg.StatementTime) + c.server.currentFaults().StatementDelay; d > 0 {
		time.Sleep(d)
	}
	switch p.stmt.Kind {
	case engine.KindInsertKey, engine.KindInsertKeyless, engine.KindUpdateKey, engine.KindDeleteKey:
		return c.write(p.stmt, args)
	case engine.KindBegin, engine.KindCommit, engine.KindRollback:
		tag, err := c.transaction(p.stmt.Kind)
		return nil, tag, err
	case engine.KindSet, engine.KindSetLocal, engine.KindShow, engine.KindReset, engine.KindResetOne, engine.KindListen:
		return c.setting(p.stmt, args)
	default:
		return c.read(ctx, p.stmt, args)
	}
}

func (c *conn) read(ctx context.Context, s engine.Statement, args []string) ([]string, string, error) {
	switch s.Kind {
	case engine.KindSelectKey:
		v, ok := c.server.db.get(s.Table, args[0], c.pending)
		if !ok {
			return nil, "SELECT 0", nil
		}
		return []string{v}, "SELECT 1", nil
	case engine.KindCountValue:
		n := c.server.db.count(s.Table, args[0], c.pending)
		return []string{strconv.Itoa(n)}, "SELECT 1", nil
	case engine.KindSleep:
		return []string{""}, "SELECT 1", c.sleep(ctx, args[0])
	default:
		return []string{args[0]}, "SELECT 1", nil
	}
}

func (c *conn) sleep(ctx context.Context, seconds string) error {
	d, err := engine.SleepTime(seconds)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.cancel.Store(&cancel)
	defer c.cancel.Store(nil)
	waitForChange(ctx, nil, d)
	return errors.Wrap(ctx.Err(), "canceling statement due to user request")
}

func (c *conn) write(s engine.Statement, args []string) ([]string, string, error) {
	if c.server.db.readOnly() {
		return nil, "", errors.Wrap(replog.ErrNotPrimary, "cannot write in a read-only transaction")
	}
	op := engine.Op{Table: s.Table}
	tag := "INSERT 0 1"
	switch s.Kind {
	case engine.KindInsertKey:
		op.Kind, op.Key, op.Value = engine.OpInsert, args[0], args[1]
	case engine.KindInsertKeyless:
		op.Kind, op.Value = engine.OpInsertKeyless, args[0]
	case engine.KindUpdateKey:
		op.Kind, op.Key, op.Value = engine.OpUpdate, args[0], args[1]
		tag = "UPDATE " + c.matched(s.Table, args[0])
	case engine.KindDeleteKey:
		op.Kind, op.Key = engine.OpDelete, args[0]
		tag = "DELETE " + c.matched(s.Table, args[0])
	}
	ops := append(c.pending[:len(c.pending):len(c.pending)], op)
	if err := c.server.db.check(ops); err != nil {
		return nil, "", err
	}
	c.pending = ops
	return nil, tag, nil
}

// matched returns the number of rows with the key, 0 or 1, for a command tag.
func (c *conn) matched(table, key string) string {
	if _, ok := c.server.db.get(table, key, c.pending); ok {
		return "1"
	}
	return "0"
}

func (c *conn) transaction(kind engine.Kind) (string, error) {
	switch kind {
	case engine.KindBegin:
		c.inTxn = true
		c.settingsBeforeTxn = maps.Clone(c.settings)
		return "BEGIN", nil
	case engine.KindCommit:
		failed := c.failed
		c.inTxn, c.failed = false, false
		c.endSettings(!failed)
		if failed {
			c.pending = nil
			return "ROLLBACK", nil
		}
		return "COMMIT", c.commitOps()
	default:
		c.inTxn, c.failed = false, false
		c.endSettings(false)
		c.pending = nil
		return "ROLLBACK", nil
	}
}

// commitOps commits the pending operations and reports their position.
func (c *conn) commitOps() error {
	if len(c.pending) == 0 {
		return nil
	}
	ops := c.pending
	c.pending = nil
	pos, err := c.server.db.commit(c.term, ops)
	if err != nil {
		return err
	}
	c.be.Send(&pgproto3.ParameterStatus{Name: ParamPosition, Value: fmt.Sprintf("%d/%d", pos.LogTerm, pos.Index)})
	return nil
}

func (c *conn) commitPending() {
	if err := c.commitOps(); err != nil {
		c.fail(sqlState(err), err.Error())
	}
}

func (c *conn) setting(s engine.Statement, args []string) ([]string, string, error) {
	switch s.Kind {
	case engine.KindSet:
		c.settings[s.Name] = args[0]
		return nil, "SET", nil
	case engine.KindShow:
		return []string{c.settings[s.Name]}, "SHOW", nil
	case engine.KindListen:
		c.settings["listen."+s.Name] = "on"
		return nil, "LISTEN", nil
	case engine.KindSetLocal:
		if c.inTxn {
			c.localSettings = append(c.localSettings, savedSetting{s.Name, c.settings[s.Name]})
			c.settings[s.Name] = args[0]
		}
		return nil, "SET", nil
	case engine.KindResetOne:
		delete(c.settings, s.Name)
		return nil, "RESET", nil
	default:
		return nil, c.reset(s.Name), nil
	}
}

// reset runs a statement that resets session state, and returns its command tag.
func (c *conn) reset(what string) string {
	if what == "reset all" || what == "discard all" {
		clear(c.settings)
	}
	if what == "deallocate all" || what == "discard all" {
		clear(c.prepared)
	}
	if what == "discard all" {
		c.server.unlockAll(c.pid)
		return "DISCARD ALL"
	}
	if what == "reset all" {
		return "RESET"
	}
	return strings.ToUpper(what)
}

// endSettings undoes SET LOCAL at the end of a transaction, and also SET if the
// transaction did not commit.
func (c *conn) endSettings(committed bool) {
	for i := len(c.localSettings) - 1; i >= 0; i-- {
		c.settings[c.localSettings[i].name] = c.localSettings[i].value
	}
	c.localSettings = nil
	if !committed && c.settingsBeforeTxn != nil {
		c.settings = c.settingsBeforeTxn
	}
	c.settingsBeforeTxn = nil
}
