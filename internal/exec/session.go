package exec

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/systems/session"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Transaction statuses of a ReadyForQuery.
const (
	statusIdle   = byte('I')
	statusOpen   = byte('T')
	statusFailed = byte('E')
)

// Settings that the proxy reports to callers.
const (
	// ParamSession reports the session token after each acknowledged write.
	ParamSession = tags.Prefix + tags.NameSession
	// ParamServedBy reports "primary" or "replica" when it changes.
	ParamServedBy = tags.Prefix + "served_by"
)

// callerSession is one caller's session.
type callerSession struct {
	exec     *Executor
	database string
	tags     tags.Tags
	session  session.Session
	prepared prepared
	status   byte
	servedBy metrics.ServedBy

	// pinned is the connection of the open transaction.
	pinned   *upstream.Conn
	pinnedBy *upstream.Pool
	// lost says that the open transaction's connection is gone; the caller has
	// to roll back.
	lost bool

	mu      sync.Mutex
	running *upstream.Conn
}

var _ callers.Session = (*callerSession)(nil)

// Run implements callers.Session.
func (s *callerSession) Run(ctx context.Context, b *callers.Batch, a *callers.Answer) (byte, error) {
	if done, err := s.local(b, a); done {
		return s.status, err
	}
	r, err := s.newRequest(b, a)
	if err != nil {
		return s.fail(), err
	}
	ctx, cancel := context.WithTimeout(ctx, r.tags.Deadline)
	defer cancel()
	err = r.run(ctx)
	r.observe(err)
	if err != nil {
		return s.fail(), err
	}
	return s.status, nil
}

// fail returns the status after a request that failed in the proxy: an open
// transaction is over and must be rolled back by the caller.
func (s *callerSession) fail() byte {
	if s.status == statusIdle {
		return s.status
	}
	s.unpin(false)
	s.lost = true
	s.status = statusFailed
	return s.status
}

// local answers what needs no upstream.
func (s *callerSession) local(b *callers.Batch, a *callers.Answer) (done bool, err error) {
	if s.lost {
		return true, s.runLost(b, a)
	}
	if !b.Simple {
		if s.pinned == nil && closesOnly(b.Messages) {
			return true, s.closeStatements(b, a)
		}
		return false, nil
	}
	set, ok := tags.ParseSet(b.Query)
	if !ok {
		return false, nil
	}
	if err := s.declare(set); err != nil {
		return true, err
	}
	return true, a.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
}

// declare applies SET cranberrystage.name = value to the connection.
func (s *callerSession) declare(set tags.Assignment) error {
	t := s.tags
	if err := t.Set(set.Name, set.Value); err != nil {
		return err
	}
	if set.Name == tags.NameSession {
		sess, err := session.FromTag(set.Value)
		if err != nil {
			return err
		}
		sess.Token = session.Merge(sess.Token, s.session.Token)
		s.session = sess
	}
	s.tags = t
	return nil
}

// runLost answers while the open transaction's connection is gone.
func (s *callerSession) runLost(b *callers.Batch, a *callers.Answer) error {
	word := firstWord(s.sql(b))
	if word != "rollback" && word != "commit" && word != "end" && word != "abort" {
		return codes.New(codes.UpstreamLost, codes.NotRun, 0, "the transaction is over; roll back")
	}
	s.lost = false
	s.status = statusIdle
	return a.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
}

func (s *callerSession) closeStatements(b *callers.Batch, a *callers.Answer) error {
	for _, m := range b.Messages {
		delete(s.prepared, m.(*pgproto3.Close).Name)
		if err := a.Send(&pgproto3.CloseComplete{}); err != nil {
			return err
		}
	}
	return nil
}

func (s *callerSession) sql(b *callers.Batch) string {
	if b.Simple {
		return b.Query
	}
	return s.prepared.text(b.Messages)
}

// Cancel implements callers.Session.
func (s *callerSession) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = s.running.Cancel(ctx)
}

const cancelTimeout = time.Second

func (s *callerSession) setRunning(c *upstream.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = c
}

// Close implements callers.Session.
func (s *callerSession) Close() { s.unpin(false) }

// pin keeps a connection for the open transaction.
func (s *callerSession) pin(p *upstream.Pool, c *upstream.Conn) {
	s.pinned, s.pinnedBy = c, p
}

// unpin ends the hold on the transaction's connection; reuse says that it has
// no answer outstanding and no open transaction.
func (s *callerSession) unpin(reuse bool) {
	if s.pinned == nil {
		return
	}
	if reuse {
		s.pinnedBy.Release(s.pinned)
	} else {
		s.pinnedBy.Discard(s.pinned)
	}
	s.pinned, s.pinnedBy = nil, nil
}

// reportServedBy tells the caller which role answers, when it changes.
func (s *callerSession) reportServedBy(a *callers.Answer, by metrics.ServedBy) error {
	if s.servedBy == by {
		return nil
	}
	s.servedBy = by
	return a.Send(&pgproto3.ParameterStatus{Name: ParamServedBy, Value: string(by)})
}

// wrote moves the session forward after an acknowledged write.
func (s *callerSession) wrote(a *callers.Answer, g tables.GroupID, p tables.Position) error {
	s.session = s.session.Wrote(g, p)
	return a.Send(&pgproto3.ParameterStatus{Name: ParamSession, Value: s.session.Token.String()})
}
