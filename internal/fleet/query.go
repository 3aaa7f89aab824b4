package fleet

import (
	"context"
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// runControlOn runs a control statement (status, hold, resume or demote) on a
// connection, returns the connection to the pool, and returns the server's
// status.
func (u *Upstream) runControlOn(ctx context.Context, c *links.Conn, st statement.Statement) (statement.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	r, err := u.Exchange(c, deadline, false, st)
	if err != nil {
		u.Discard(c)
		return statement.ServerStatus{}, err
	}
	u.Release(c)
	return statusOf(r, st)
}

// statusOf returns the server status in a reply.
func statusOf(r statement.Reply, st statement.Statement) (statement.ServerStatus, error) {
	if r.Status == nil {
		return statement.ServerStatus{}, errors.Errorf("fleet: no server status in the reply to %s: %s %s", st.Kind, r.Code, r.Detail)
	}
	status := *r.Status
	status.Applied = r.Position
	return status, nil
}

// serversWhere returns the matching servers of a group, those of this data
// centre first. The lock must be held.
func (f *Fleet) serversWhere(id tables.GroupID, match func(*Upstream) bool) []*Upstream {
	var near, far []*Upstream
	for _, u := range f.upstreams {
		switch {
		case u.entry.Group != id || !match(u):
		case u.local:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	return append(near, far...)
}

// queryStatus runs a statement on the proxy's own behalf and returns the
// server's status.
func (u *Upstream) queryStatus(ctx context.Context, st statement.Statement) (statement.ServerStatus, error) {
	r, err := u.runOwn(ctx, st, u.pooled)
	if err != nil {
		return statement.ServerStatus{}, err
	}
	return statusOf(r, st)
}

// runControlWithRetry runs a control statement for a replacement and returns
// the server's status. Without a primary, callers load the remaining servers
// heavily, so it retries until it gets a connection and a slot, within
// queryTimeout. It also retries after any other refusal, as control statements may run
// twice.
func (u *Upstream) runControlWithRetry(ctx context.Context, st statement.Statement) (statement.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	for {
		r, err := u.runOwn(ctx, st, u.pool.GetBeyondLimit)
		if err == nil {
			return statusOf(r, st)
		}
		if r.Code == statement.OK || sleep.For(ctx, busyRetryDelay) != nil {
			return statement.ServerStatus{}, err
		}
	}
}

// controlResult is the outcome of a control statement on one server.
type controlResult struct {
	status statement.ServerStatus
	err    error
}

// runControlOnAll runs a control statement on several servers at the same time. The
// results are in the order of the servers.
func runControlOnAll(ctx context.Context, servers []*Upstream, st statement.Statement) []controlResult {
	results := make([]controlResult, len(servers))
	var wg sync.WaitGroup
	for i, u := range servers {
		wg.Go(func() { results[i].status, results[i].err = u.runControlWithRetry(ctx, st) })
	}
	wg.Wait()
	return results
}

// runOwn runs a statement on the proxy's own behalf, on a connection from
// source.
func (u *Upstream) runOwn(ctx context.Context, st statement.Statement, source connSource) (statement.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	c, err := u.connectFrom(ctx, source)
	if err != nil {
		return statement.Reply{}, err
	}
	deadline, _ := ctx.Deadline()
	r, err := u.Exchange(c, deadline, false, st)
	if err != nil {
		u.Discard(c)
		return statement.Reply{}, err
	}
	u.Release(c)
	if r.Code != statement.OK {
		return r, errors.Errorf("fleet: %s refused: %s %s", st.Kind, r.Code, r.Detail)
	}
	return r, nil
}

// queryPosition queries the server's log position, which takes no slot there.
func (u *Upstream) queryPosition(ctx context.Context) (statement.Reply, error) {
	return u.runOwn(ctx, statement.Statement{Kind: statement.Reset}, u.pooled)
}

// queryPoint queries the primary's log position and records it as a freshness
// point.
func (f *Fleet) queryPoint(ctx context.Context, l Leader) error {
	at := f.Now()
	r, err := l.Upstream.queryPosition(ctx)
	if err != nil {
		return err
	}
	f.Observe(l, at, r.Position)
	return nil
}
