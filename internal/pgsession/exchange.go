package pgsession

import (
	"bytes"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// sqlStateReadOnly is what a server answers that does not lead at the
// connection's term: it did not run the statement.
const sqlStateReadOnly = "25006"

// exchange sends messages on c and copies the answer into a, without its
// ReadyForQuery. From the first completed command that may be a commit on, the
// answer is held. When the first result arrives, onResult is asked whether it
// may still be used; its error ends the exchange. The reply's position is set
// if a command committed; rolledBack says that one ended a transaction without
// its effects.
func exchange(c *upstream.Conn, out outgoing, a *callers.Answer, onResult func() error) (r statement.Reply, rolledBack bool, err error) {
	for _, m := range out.messages {
		c.Frontend.Send(m)
	}
	if err := c.Frontend.Flush(); err != nil {
		return r, false, errors.Wrap(err, "send to upstream")
	}
	x := exchanger{conn: c, out: out, answer: a, onResult: onResult, due: len(out.messages) - 1}
	err = x.receive()
	return x.reply, x.rolled, err
}

type exchanger struct {
	conn     *upstream.Conn
	out      outgoing
	answer   *callers.Answer
	reply    statement.Reply
	rolled   bool
	onResult func() error
	// ran says that a command of the batch completed.
	ran bool
	// due counts the messages of a partial batch whose answer is due.
	due int
}

// receive takes the messages of the answer until it is whole. A partial batch
// leaves its transaction open.
func (x *exchanger) receive() error {
	x.reply.State = statement.Open
	for {
		msg, err := x.conn.Frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive from upstream")
		}
		if err := x.take(msg); err != nil {
			return err
		}
		_, ready := msg.(*pgproto3.ReadyForQuery)
		if ready || x.out.partial && x.answered(msg) {
			x.conn.Settle()
			x.remember()
			return nil
		}
	}
}

// answered reports whether msg ends the answer to a partial batch: each of its
// messages was answered, or one failed and the rest is skipped.
func (x *exchanger) answered(msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ErrorResponse:
		return true
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.RowDescription, *pgproto3.NoData,
		*pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.due--
	}
	return x.due == 0
}

// remember records which statements the connection holds now.
func (x *exchanger) remember() {
	for _, n := range x.out.adds {
		if x.reply.Code == statement.OK {
			x.conn.Prepared.Add(n)
		} else {
			x.conn.Prepared.Remove(n)
		}
	}
	if x.reply.Code != statement.OK {
		// A statement that was to be closed may still stand.
		for _, n := range x.out.closes {
			x.conn.Prepared.Add(n)
		}
	}
}

// take handles one message of the answer.
func (x *exchanger) take(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.ReadyForQuery:
		x.reply.State = callers.StateOf(m.TxStatus)
		return nil
	case *pgproto3.ParameterStatus:
		return x.parameter(m)
	case *pgproto3.ParseComplete, *pgproto3.CloseComplete:
		if x.swallow() {
			return nil
		}
	case *pgproto3.DataRow, *pgproto3.CopyOutResponse:
		if err := x.firstResult(); err != nil {
			return err
		}
	case *pgproto3.CommandComplete:
		if err := x.firstResult(); err != nil {
			return err
		}
		x.ran = true
		x.rolled = x.rolled || string(m.CommandTag) == "ROLLBACK"
		if x.out.confirmed || mayCommit(m.CommandTag) {
			x.answer.Hold()
		}
	case *pgproto3.ErrorResponse:
		x.fail(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		return x.refuseCopy()
	}
	return x.answer.Send(msg)
}

// fail records that the server answered with an error.
func (x *exchanger) fail(m *pgproto3.ErrorResponse) {
	x.reply.Code = statement.RunFailed
	if m.Code == sqlStateReadOnly {
		x.reply.Code = statement.ReadOnly
	}
	x.reply.Detail = m.Message
}

func (x *exchanger) firstResult() error {
	check := x.onResult
	x.onResult = nil
	if check == nil {
		return nil
	}
	return check()
}

func (x *exchanger) parameter(m *pgproto3.ParameterStatus) error {
	if m.Name != upstream.ParamPosition {
		return x.answer.Send(m)
	}
	p, err := upstream.ParsePosition(m.Value)
	if err != nil {
		return err
	}
	x.reply.Position = p
	x.answer.Hold()
	return nil
}

// swallow reports whether the next ParseComplete or CloseComplete is not the caller's.
func (x *exchanger) swallow() bool {
	if len(x.out.injected) == 0 {
		return false
	}
	first := x.out.injected[0]
	x.out.injected = x.out.injected[1:]
	return first
}

// refuseCopy ends a copy into the database, which the proxy does not carry. The
// server drops the statement, so it did not run; what came before it in the
// same batch may have.
func (x *exchanger) refuseCopy() error {
	x.conn.Frontend.Send(&pgproto3.CopyFail{Message: "refused"})
	if err := x.conn.Frontend.Flush(); err != nil {
		return errors.Wrap(err, "refuse copy")
	}
	ran := codes.NotRun
	if x.ran {
		ran = codes.Unknown
	}
	return codes.New(codes.Unsupported, ran, 0, "COPY FROM STDIN")
}

// mayCommit reports whether a command with this tag may have written: the
// caller must not see it before the write is confirmed.
func mayCommit(tag []byte) bool {
	for _, harmless := range [][]byte{[]byte("SELECT"), []byte("BEGIN"), []byte("SHOW"), []byte("SET"), []byte("FETCH")} {
		if bytes.HasPrefix(tag, harmless) {
			return false
		}
	}
	return true
}
