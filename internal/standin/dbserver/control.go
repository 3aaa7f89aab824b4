package dbserver

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// function runs a function for replication control, statistics, sessions or
// advisory locks.
func (c *conn) function(ctx context.Context, name string, args []string) (string, error) {
	db := c.server.db
	switch {
	case name == "cs_status" && len(args) == 0:
		return encodeStatus(db.status(), nil)
	case name == "cs_fence" && len(args) == 1:
		return encodeStatus(db.fence(termArg(args[0])))
	case name == "cs_promote" && len(args) == 1:
		return encodeStatus(db.promote(termArg(args[0])))
	case name == "cs_follow" && len(args) == 3:
		return encodeStatus(db.follow(tables.UpstreamID(args[0]), args[1], termArg(args[2])))
	case name == "cs_pull" && len(args) == 2:
		index, _ := strconv.ParseUint(args[1], 10, 64)
		return c.server.pull(ctx, termArg(args[0]), index)
	case name == "cs_stats" && len(args) == 0:
		b, err := json.Marshal(c.server.Stats())
		return string(b), err
	case name == "cs_sessions" && len(args) == 0:
		b, err := json.Marshal(c.server.sessions())
		return string(b), err
	case name == "pg_try_advisory_lock" && len(args) == 1:
		return boolText(c.server.tryLock(args[0], c.pid)), nil
	case name == "pg_advisory_unlock" && len(args) == 1:
		return boolText(c.server.unlock(args[0], c.pid)), nil
	case name == "pg_terminate_backend" && len(args) == 1:
		return boolText(c.server.terminate(args[0])), nil
	default:
		return "", errors.Errorf("function %s does not exist", strings.ToLower(name))
	}
}

// tryLocks takes the first free lock and returns its result, or -1 if none is
// free. args alternate lock names and results.
func (c *conn) tryLocks(args []string) string {
	for i := 0; i+1 < len(args); i += 2 {
		if c.server.tryLock(args[i], c.pid) {
			return args[i+1]
		}
	}
	return "-1"
}

func (s *Server) terminate(pid string) bool {
	n, _ := strconv.ParseUint(pid, 10, 32)
	v, ok := s.conns.Load(uint32(n))
	if ok {
		_ = v.(*conn).net.Close()
		s.cancelRunning(v.(*conn))
	}
	return ok
}

// sessions lists the open connections, sorted by process id.
func (s *Server) sessions() []group.Session {
	var list []group.Session
	s.conns.Range(func(_, v any) bool {
		c := v.(*conn)
		if name := c.application.Load(); name != nil {
			list = append(list, group.Session{PID: c.pid, Application: *name})
		}
		return true
	})
	slices.SortFunc(list, func(a, b group.Session) int { return cmp.Compare(a.PID, b.PID) })
	return list
}

// boolText returns PostgreSQL's text form of a boolean.
func boolText(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

func termArg(s string) tables.Term {
	n, _ := strconv.ParseUint(s, 10, 64)
	return tables.Term(n)
}

func encodeStatus(st tables.Status, err error) (string, error) {
	if err != nil {
		return "", err
	}
	return group.EncodeStatus(st), nil
}
