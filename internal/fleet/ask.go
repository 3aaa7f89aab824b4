package fleet

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// askOn puts a question about the server's account on a connection and gives
// the connection back.
func (u *Upstream) askOn(ctx context.Context, c *links.Conn, st statement.Statement) (statement.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	r, err := u.Exchange(c, deadline, false, st)
	if err != nil {
		u.Discard(c)
		return statement.ServerStatus{}, err
	}
	u.Release(c)
	return accountOf(r, st)
}

// accountOf returns the account in an answer.
func accountOf(r statement.Reply, st statement.Statement) (statement.ServerStatus, error) {
	if r.Status == nil {
		return statement.ServerStatus{}, errors.Errorf("fleet: no account in the answer to %s: %s %s", st.Kind, r.Code, r.Detail)
	}
	account := *r.Status
	account.Applied = r.Position
	return account, nil
}

// members returns the servers of a group that fit, those of this data centre
// first. The lock must be held.
func (f *Fleet) members(id tables.GroupID, fits func(*Upstream) bool) []*Upstream {
	var near, far []*Upstream
	for _, u := range f.upstreams {
		switch {
		case u.entry.Group != id || !fits(u):
		case u.local:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	return append(near, far...)
}

// ask puts a question of the proxy's own about the server's account.
func (u *Upstream) ask(ctx context.Context, st statement.Statement) (statement.ServerStatus, error) {
	r, err := u.own(ctx, st, u.pooled)
	if err != nil {
		return statement.ServerStatus{}, err
	}
	return accountOf(r, st)
}

// insist is ask for the steps of a replacement. Without a primary callers press
// the servers that are left, so it asks again until it gets a connection and a
// slot.
func (u *Upstream) insist(ctx context.Context, st statement.Statement) (statement.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for {
		r, err := u.own(ctx, st, u.pool.Insist)
		if err == nil {
			return accountOf(r, st)
		}
		if r.Code != statement.Busy || sleep.For(ctx, askPause) != nil {
			return statement.ServerStatus{}, err
		}
	}
}

// own runs a statement of the proxy's own on a connection that get returns.
func (u *Upstream) own(ctx context.Context, st statement.Statement, get getConn) (statement.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, err := u.connect(ctx, get)
	if err != nil {
		return statement.Reply{}, err
	}
	deadline, _ := ctx.Deadline()
	r, err := u.Exchange(c, deadline, false, st)
	if err != nil {
		u.Discard(c)
		return statement.Reply{}, err
	}
	if st.Kind == statement.Reset {
		c.State = preparation.Connection{}
	}
	u.Release(c)
	if r.Code != statement.OK {
		return r, errors.Errorf("fleet: %s refused: %s %s", st.Kind, r.Code, r.Detail)
	}
	return r, nil
}

// reset asks the server for its position, which costs it no slot.
func (u *Upstream) reset(ctx context.Context) (statement.Reply, error) {
	return u.own(ctx, statement.Statement{Kind: statement.Reset}, u.pooled)
}

// refreshPoint asks the primary for its position.
func (f *Fleet) refreshPoint(ctx context.Context, l Leader) error {
	at := f.Now()
	r, err := l.Upstream.reset(ctx)
	if err != nil {
		return err
	}
	f.Observe(l, at, r.Position)
	return nil
}
