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
	// startupTags are the tags that the caller's startup parameters declare.
	startupTags tags.Tags
	session     session.Session
	prepared    preparedStatements
	settings    settingsList
	// pending are the changes of settings in the open transaction.
	pending  []change
	status   statement.State
	servedBy metrics.ServedBy

	// pinned is the connection of the open transaction.
	pinned     *upstream.Conn
	pinnedPool *upstream.Pool
	// slot is the slot of the proxy's gate for the pinned connection's upstream.
	slot gate.Slot
	// skipToSync is set when a message of a partial batch failed: messages are
	// ignored until the next Sync.
	skipToSync bool
	// transactionLost is set when the open transaction lost its connection; the
	// caller has to roll back.
	transactionLost bool

	// mu guards the fields below, which Cancel uses from another goroutine.
	mu sync.Mutex
	// running is the connection that runs the request; nil while none does.
	running *upstream.Conn
	// waiting is the context of the request in progress.
	waiting *requestContext
	// cancelled is set when the caller cancelled the request before it was sent.
	cancelled bool
}

var _ callers.Session = (*callerSession)(nil)

// Run implements callers.Session.
func (s *callerSession) Run(ctx context.Context, b *callers.Batch, resp *callers.Response) (statement.State, error) {
	if s.skipToSync {
		if b.Partial {
			return s.status, nil
		}
		s.skipToSync = false
		b = &callers.Batch{}
	}
	err := s.serve(ctx, b, resp)
	if err != nil {
		s.abortTransaction()
	}
	if b.Partial && err != nil {
		s.skipToSync = true
	}
	return s.status, err
}

func (s *callerSession) serve(ctx context.Context, b *callers.Batch, resp *callers.Response) error {
	if err := s.prepared.checkLimits(b.Messages); err != nil {
		return err
	}
	if done, err := s.local(b, resp); done {
		return err
	}
	r, err := s.newRequest(b, resp)
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

// abortTransaction ends an open transaction or batch after a request that
// failed in the proxy. The caller must roll the transaction back.
func (s *callerSession) abortTransaction() {
	s.unpin(false)
	s.pending = nil
	if s.status == statement.Idle {
		return
	}
	s.transactionLost = true
	s.status = statement.Failed
}

// recordStatus records the transaction status after a batch that the server
// answered.
func (s *callerSession) recordStatus(b *callers.Batch, r statement.Reply) {
	if !b.Partial {
		s.status = r.State
		return
	}
	s.skipToSync = r.Code != statement.OK
}

// setTag applies SET cranberrystage.name = value to the session.
func (s *callerSession) setTag(set tags.Assignment) error {
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

// Cancel implements callers.Session. It ends a waiting request at once and
// cancels a running one at its server.
func (s *callerSession) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		if s.waiting != nil {
			s.cancelled = true
			s.waiting.cancelByCaller()
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

// setRunning records the connection that runs the request. It returns false if
// the caller has already cancelled the request.
func (s *callerSession) setRunning(c *upstream.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != nil && s.cancelled {
		return false
	}
	s.running = c
	return true
}

// setWaiting records the context with which Cancel ends a waiting request.
func (s *callerSession) setWaiting(ctx *requestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = ctx
	s.cancelled = false
}

// Close implements callers.Session.
func (s *callerSession) Close() {
	s.unpin(false)
	s.exec.tally.addCallers(s.service, -1)
}

// pin keeps a connection for the open transaction.
func (s *callerSession) pin(p *upstream.Pool, c *upstream.Conn) {
	s.pinned, s.pinnedPool = c, p
}

// unpin releases the transaction's connection. reuse is set if the connection
// has no response outstanding and no open transaction; else it is closed.
func (s *callerSession) unpin(reuse bool) {
	if s.pinned == nil {
		return
	}
	if reuse {
		s.pinnedPool.Release(s.pinned)
	} else {
		s.pinnedPool.Discard(s.pinned)
	}
	s.pinned, s.pinnedPool = nil, nil
	s.slot.Release()
}

// reportServedBy reports to the caller which role served the request, when it
// changes.
func (s *callerSession) reportServedBy(resp *callers.Response, by metrics.ServedBy) error {
	if s.servedBy == by {
		return nil
	}
	s.servedBy = by
	return resp.Send(&pgproto3.ParameterStatus{Name: ParamServedBy, Value: string(by)})
}

// recordWrite adds an acknowledged write to the session's token and sends the
// token to the caller.
func (s *callerSession) recordWrite(resp *callers.Response, g tables.GroupID, p tables.Position) error {
	s.session = s.session.Wrote(g, p)
	return resp.Send(&pgproto3.ParameterStatus{Name: ParamSession, Value: s.session.Token.String()})
}

// recordSettings records how a batch changed the settings of c and of the
// session.
func (s *callerSession) recordSettings(c *upstream.Conn, seen inspection, r statement.Reply, rolledBack bool) {
	if seen.changesSettings() {
		c.MarkSettingsUnknown()
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

// applySettings records changes that took effect. RESET ALL also resets the
// tags.
func (s *callerSession) applySettings(changes []change) {
	s.settings.apply(changes)
	for _, c := range changes {
		if c.kind == changeResetAll {
			s.tags = s.startupTags
		}
	}
}
