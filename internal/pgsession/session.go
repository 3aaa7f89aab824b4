package pgsession

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/gate"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/session"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/jackc/pgx/v5/pgproto3"
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
	service  tables.ServiceID
	database string
	tags     tags.Tags
	// firstTags are those that the caller's startup parameters gave.
	firstTags tags.Tags
	session   session.Session
	prepared  prepared
	settings  settingsList
	// pending are the changes of settings in the open transaction.
	pending  []change
	status   statement.State
	servedBy metrics.ServedBy

	// pinned is the connection of the open transaction.
	pinned   *upstream.Conn
	pinnedBy *upstream.Pool
	// pass is the right to use the pinned connection's upstream.
	pass gate.Slot
	// skipping says that messages are ignored up to the next Sync, because one
	// of a partial batch failed.
	skipping bool
	// lost says that the open transaction's connection is gone; the caller has
	// to roll back.
	lost bool

	mu        sync.Mutex
	running   *upstream.Conn
	waiting   *requestContext
	cancelled bool
}

var _ callers.Session = (*callerSession)(nil)

// Run implements callers.Session.
func (s *callerSession) Run(ctx context.Context, b *callers.Batch, a *callers.Answer) (statement.State, error) {
	if s.skipping {
		if b.Partial {
			return s.status, nil
		}
		s.skipping = false
		b = &callers.Batch{}
	}
	err := s.serve(ctx, b, a)
	if err != nil {
		s.fail()
	}
	if b.Partial && err != nil {
		s.skipping = true
	}
	return s.status, err
}

func (s *callerSession) serve(ctx context.Context, b *callers.Batch, a *callers.Answer) error {
	if err := s.prepared.admits(b.Messages); err != nil {
		return err
	}
	if done, err := s.local(b, a); done {
		return err
	}
	r, err := s.newRequest(b, a)
	if err != nil {
		return err
	}
	r.ctx.parent = ctx
	r.ctx.deadline = time.Now().Add(r.tags.Deadline)
	defer r.ctx.release()
	s.setWaiting(&r.ctx)
	defer s.setWaiting(nil)
	err = r.run(&r.ctx)
	r.observe(err)
	return err
}

// fail ends an open transaction or batch after a request that failed in the
// proxy. The caller must roll the transaction back.
func (s *callerSession) fail() {
	s.unpin(false)
	s.pending = nil
	if s.status == statement.Idle {
		return
	}
	s.lost = true
	s.status = statement.Failed
}

// advance records the status after a batch that was answered.
func (s *callerSession) advance(b *callers.Batch, r statement.Reply) {
	if !b.Partial {
		s.status = r.State
		return
	}
	s.skipping = r.Code != statement.OK
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

// Cancel implements callers.Session. A request that waits ends at once, one
// that runs is cancelled at its server.
func (s *callerSession) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		if s.waiting != nil {
			s.cancelled = true
			s.waiting.stop()
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = s.running.Cancel(ctx)
}

const cancelTimeout = time.Second

// errCancelled means that the caller cancelled its request before it was sent.
var errCancelled = codes.New(codes.DeadlinePassed, codes.NotRun, 0, "cancelled by the caller")

// setRunning says which connection runs the request. It reports false if the
// caller cancelled the request before.
func (s *callerSession) setRunning(c *upstream.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != nil && s.cancelled {
		return false
	}
	s.running = c
	return true
}

// setWaiting says how to end the wait of the request that begins now.
func (s *callerSession) setWaiting(ctx *requestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = ctx
	s.cancelled = false
}

// Close implements callers.Session.
func (s *callerSession) Close() {
	s.unpin(false)
	s.exec.tally.caller(s.service, -1)
}

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
	s.pass.Release()
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

// settle records what an answered batch did to the settings of c and of the session.
func (s *callerSession) settle(c *upstream.Conn, seen inspection, r statement.Reply, rolledBack bool) {
	if seen.touches() {
		c.SettingsUnknown()
	}
	switch {
	case r.Code == statement.OK:
		s.pending = append(s.pending, seen.changes...)
	case s.status == statement.Idle:
		s.pending = nil // an implicit transaction failed
	}
	if r.State != statement.Idle || len(s.pending) == 0 {
		return
	}
	if !rolledBack && r.Code == statement.OK {
		s.applySettings(s.pending)
	}
	s.pending = nil
}

// applySettings records changes that took effect. RESET ALL concerns tags too.
func (s *callerSession) applySettings(changes []change) {
	s.settings.apply(changes)
	for _, c := range changes {
		if c.kind == changeResetAll {
			s.tags = s.firstTags
		}
	}
}
