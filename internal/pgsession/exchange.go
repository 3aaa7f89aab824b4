package pgsession

import (
	"bytes"

	"github.com/cranberrystage/cranberrystage/internal/callers"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/upstream"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// sqlStateReadOnly is what a server answers that does not lead at the
// connection's term: it did not run the statement.
const sqlStateReadOnly = "25006"

// exchangeResult is what one exchange with an upstream gave.
type exchangeResult struct {
	// status is the transaction status of the ReadyForQuery.
	status byte
	// position is the commit's position; valid when committed.
	position  tables.Position
	committed bool
	// rolledBack says that a command ended a transaction without its effects.
	rolledBack bool
	// failure is the SQLSTATE of an error response, or empty.
	failure string
	// stage is how far the exchange came; it matters when an error is returned.
	stage retry.Stage
}

// exchange sends messages on c and copies the answer into a, without its
// ReadyForQuery. From the first completed command that may be a commit on, the
// answer is held. When the first result arrives, onResult is asked whether it
// may still be used; its error ends the exchange.
func exchange(c *upstream.Conn, out outgoing, a *callers.Answer, onResult func() error) (exchangeResult, error) {
	r := exchangeResult{stage: retry.StageWritten}
	for _, m := range out.messages {
		c.Frontend.Send(m)
	}
	if err := c.Frontend.Flush(); err != nil {
		return r, errors.Wrap(err, "send to upstream")
	}
	x := exchanger{conn: c, out: out, answer: a, onResult: onResult, due: len(out.messages) - 1}
	for {
		msg, err := c.Frontend.Receive()
		if err != nil {
			return x.result(r), errors.Wrap(err, "receive from upstream")
		}
		if ready, ok := msg.(*pgproto3.ReadyForQuery); ok {
			r.status = ready.TxStatus
			r.stage = retry.StageAnswered
			c.Settle()
			x.remember()
			return x.result(r), nil
		}
		if err := x.take(msg); err != nil {
			return x.result(r), err
		}
		if out.partial && x.answered(msg) {
			c.Settle()
			x.remember()
			return x.result(r), nil
		}
	}
}

type exchanger struct {
	conn      *upstream.Conn
	out       outgoing
	answer    *callers.Answer
	position  tables.Position
	committed bool
	failure   string
	rolled    bool
	onResult  func() error
	// ran says that a command of the batch completed.
	ran bool
	// due counts the messages of a partial batch whose answer is due.
	due int
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

func (x *exchanger) result(r exchangeResult) exchangeResult {
	r.position = x.position
	r.committed = x.committed
	r.failure = x.failure
	r.rolledBack = x.rolled
	return r
}

// remember records which statements the connection holds now.
func (x *exchanger) remember() {
	for _, n := range x.out.adds {
		if x.failure == "" {
			x.conn.Prepared.Add(n)
		} else {
			x.conn.Prepared.Remove(n)
		}
	}
	if x.failure != "" {
		// A statement that was to be closed may still stand.
		for _, n := range x.out.closes {
			x.conn.Prepared.Add(n)
		}
	}
}

// take handles one message of the answer.
func (x *exchanger) take(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
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
		x.failure = m.Code
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		return x.refuseCopy()
	}
	return x.answer.Send(msg)
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
	x.position = p
	x.committed = true
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
