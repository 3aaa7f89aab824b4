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

// sqlStateReadOnly is the SQLSTATE of a server that is not the primary of the
// connection's term. It did not run the statement.
const sqlStateReadOnly = "25006"

// exchange sends the batch on c and copies the response, without its
// ReadyForQuery, into resp. It holds back the response from the first completed
// command that may be a commit. onResult is called when the first result
// arrives and returns an error if the result is no longer usable; the error
// ends the exchange. The reply's position is set if a command committed.
// rolledBack reports that a command ended a transaction without committing it.
func exchange(c *upstream.Conn, out outgoing, resp *callers.Response, onResult func() error) (r statement.Reply, rolledBack bool, err error) {
	for _, m := range out.messages {
		c.Frontend.Send(m)
	}
	if err := c.Frontend.Flush(); err != nil {
		return r, false, errors.Wrap(err, "send to upstream")
	}
	x := exchanger{conn: c, out: out, response: resp, onResult: onResult, pending: len(out.messages) - 1}
	err = x.receive()
	undoAll(x.out.awaited)
	return x.reply, x.rolledBack, err
}

type exchanger struct {
	conn       *upstream.Conn
	out        outgoing
	response   *callers.Response
	reply      statement.Reply
	rolledBack bool
	onResult   func() error
	// ran is set once a command of the batch completed.
	ran bool
	// pending counts the messages of a partial batch that have no response yet.
	pending int
}

// receive reads messages until the response is complete. A partial batch leaves
// its transaction open.
func (x *exchanger) receive() error {
	x.reply.State = statement.Open
	for {
		msg, err := x.conn.Frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive from upstream")
		}
		if err := x.handle(msg); err != nil {
			return err
		}
		_, ready := msg.(*pgproto3.ReadyForQuery)
		if ready || x.out.partial && x.endsPartial(msg) {
			x.conn.MarkResponseComplete()
			return nil
		}
	}
}

// endsPartial reports whether msg ends the response to a partial batch: each of
// its messages has a response, or one failed and the rest is skipped.
func (x *exchanger) endsPartial(msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ErrorResponse:
		return true
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.RowDescription, *pgproto3.NoData,
		*pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.pending--
	}
	return x.pending == 0
}

// handle processes one message of the response.
func (x *exchanger) handle(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.ReadyForQuery:
		x.reply.State = callers.StateOf(m.TxStatus)
		return nil
	case *pgproto3.ParameterStatus:
		return x.parameter(m)
	case *pgproto3.ParseComplete, *pgproto3.CloseComplete:
		if x.complete() {
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
		x.rolledBack = x.rolledBack || string(m.CommandTag) == "ROLLBACK"
		if x.out.holdCompletions || mayCommit(m.CommandTag) {
			x.response.Hold()
		}
	case *pgproto3.ErrorResponse:
		x.recordError(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		return x.refuseCopy()
	}
	return x.response.Send(msg)
}

// recordError records an error response of the server.
func (x *exchanger) recordError(m *pgproto3.ErrorResponse) {
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
		return x.response.Send(m)
	}
	p, err := upstream.ParsePosition(m.Value)
	if err != nil {
		return err
	}
	x.reply.Position = p
	x.response.Hold()
	return nil
}

// complete records a ParseComplete or CloseComplete. It reports whether it responds to a
// message that the proxy added; the caller does not receive it.
func (x *exchanger) complete() (injected bool) {
	if len(x.out.awaited) == 0 {
		return false
	}
	first := x.out.awaited[0]
	x.out.awaited = x.out.awaited[1:]
	first.apply(x.conn.Prepared)
	return first.injected
}

// refuseCopy ends a COPY FROM STDIN, which the proxy does not support. The
// server aborts the statement, so it did not run; earlier statements of the
// same batch may have run.
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

// mayCommit reports whether a command with this tag may have written. The
// caller must not receive its completion before the write is confirmed.
func mayCommit(tag []byte) bool {
	for _, readOnly := range [][]byte{[]byte("SELECT"), []byte("BEGIN"), []byte("SHOW"), []byte("SET"), []byte("FETCH")} {
		if bytes.HasPrefix(tag, readOnly) {
			return false
		}
	}
	return true
}
