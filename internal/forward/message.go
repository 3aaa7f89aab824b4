package forward

import (
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxRequestBytes is the largest request that is forwarded; larger statements go
	// direct.
	maxRequestBytes = 16 << 10
	// maxResponseBytes is the largest response. On a link of 10 Mbit/s it takes 52 ms, and
	// messages of other kinds wait behind it.
	maxResponseBytes = 64 << 10
	// maxTimeLeft bounds the time that a statement may run at the holder.
	maxTimeLeft = time.Minute
)

// errMalformed means that a message between proxies can't be used.
var errMalformed = errors.New("malformed message")

// Request is a read for the holder to run, or a query whether one is still running.
type Request struct {
	// From and Sequence identify the request: the VM that sent it, and its number there.
	From     tables.VMID `msgpack:"f"`
	Sequence uint64      `msgpack:"q"`
	// Running queries whether the request Sequence of From is still running; the fields that
	// follow are then empty.
	Running bool              `msgpack:"z,omitempty"`
	Server  tables.UpstreamID `msgpack:"u,omitempty"`
	Group   tables.GroupID    `msgpack:"g,omitempty"`
	Team    tables.TeamID     `msgpack:"t,omitempty"`
	// ID, Kind, Name and Arguments are those of the statement.
	ID        string         `msgpack:"i,omitempty"`
	Kind      statement.Kind `msgpack:"k,omitempty"`
	Name      string         `msgpack:"n,omitempty"`
	Arguments string         `msgpack:"a,omitempty"`
	// Text is the text of the prepared statement that an Execute runs.
	Text string `msgpack:"x,omitempty"`
	// Values are the session's values.
	Values map[string]string `msgpack:"v,omitempty"`
	// After is the log position that the server must have reached.
	After tables.Position `msgpack:"o"`
	// LeftMicros is the time left for the statement, in microseconds.
	LeftMicros int64 `msgpack:"l,omitempty"`
	// Priority and MaxWaitMicros are those of the admission; TargetMicros is the time
	// within which the caller wants the reply.
	Priority      int   `msgpack:"p,omitempty"`
	MaxWaitMicros int64 `msgpack:"w,omitempty"`
	TargetMicros  int64 `msgpack:"y,omitempty"`
}

func (q *Request) left() time.Duration { return time.Duration(q.LeftMicros) * time.Microsecond }

// statement returns the statement to run.
func (q *Request) statement() statement.Statement {
	return statement.Statement{ID: q.ID, Kind: q.Kind, Name: q.Name, Arguments: q.Arguments, After: q.After}
}

// session returns the session state that the statement needs.
func (q *Request) session() (preparation.Session, bool) {
	return preparation.Restore(q.Values, q.Name, preparation.Definition{Text: q.Text})
}

// result is how a forwarded read ended at the holder.
type result uint8

const (
	// resultReply means that Reply is the server's.
	resultReply result = iota
	// resultNotRun means that the holder refused the statement before anything ran.
	resultNotRun
	// resultLost means that the holder has no reply, though the statement may have run.
	resultLost
	// resultRunning and resultNotRunning are the responses to a query whether a request runs.
	resultRunning
	resultNotRunning
	resultCount
)

// Reason is why the holder has no reply to a statement.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	// ServerUnknown, ServerLeaving and TeamUnknown mean that the holder's configuration or
	// entries differ from the sender's.
	ServerUnknown
	ServerLeaving
	TeamUnknown
	// Stopping means that the holder shuts down.
	Stopping
	// TooMany means that the holder runs as many statements of other proxies as it may.
	TooMany
	// NoSlot and NoConnection mean that the holder got no room at the server.
	NoSlot
	NoConnection
	// ServerLost means that the server's reply did not arrive.
	ServerLost
	// TooLarge means that the reply is too large to be sent between proxies.
	TooLarge
	reasonCount
)

var reasonNames = [...]string{"none", "server unknown", "server leaving", "team unknown", "stopping", "too many",
	"no slot", "no connection", "server lost", "reply too large"}

// String returns the label used in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// response is the holder's response.
type response struct {
	// ID is the id of the statement.
	ID     string `msgpack:"i,omitempty"`
	Result result `msgpack:"r,omitempty"`
	Reason Reason `msgpack:"e,omitempty"`
	// Why explains Reason.
	Why string `msgpack:"m,omitempty"`
	// TookMicros is how long the holder had the request, in microseconds.
	TookMicros int64 `msgpack:"l,omitempty"`
	// The fields that follow are those of the server's reply.
	Code     statement.Code  `msgpack:"c,omitempty"`
	Detail   string          `msgpack:"d,omitempty"`
	Rows     []string        `msgpack:"w,omitempty"`
	Proof    string          `msgpack:"f,omitempty"`
	State    statement.State `msgpack:"s,omitempty"`
	Position tables.Position `msgpack:"o"`
}

func replyResponse(r statement.Reply) response {
	return response{Code: r.Code, Detail: r.Detail, Rows: r.Rows, Proof: r.Proof, State: r.State, Position: r.Position}
}

// reply returns the server's reply.
func (a *response) reply() statement.Reply {
	return statement.Reply{Code: a.Code, Detail: a.Detail, Rows: a.Rows, Proof: a.Proof, State: a.State, Position: a.Position}
}

// decodeRequest decodes and checks a request. Everything that becomes part of a line to
// the server is checked, so that a request can't contain a second statement.
func decodeRequest(b []byte) (*Request, error) {
	if len(b) > maxRequestBytes {
		return nil, errors.Wrap(errMalformed, "request too large")
	}
	q := &Request{}
	if err := msgpack.Unmarshal(b, q); err != nil {
		return nil, errors.Wrap(errMalformed, err.Error())
	}
	if q.From == "" {
		return nil, errors.Wrap(errMalformed, "no sender")
	}
	if q.Running {
		return q, nil
	}
	return q, q.check()
}

func (q *Request) check() error {
	switch {
	case q.Kind != statement.Read && q.Kind != statement.Execute:
		return errors.Wrap(errMalformed, "neither a read nor a prepared one")
	case q.Server == "" || q.Group == "":
		return errors.Wrap(errMalformed, "no server")
	case !isWord(q.ID) || q.ID == "-":
		return errors.Wrap(errMalformed, "statement id")
	case q.Kind == statement.Read && (q.Name != "" || q.Text != "" || !isWord(q.Arguments)):
		return errors.Wrap(errMalformed, "read")
	case q.Kind == statement.Execute && (!isWord(q.Name) || q.Text == "" || !isLine(q.Text) || !isLine(q.Arguments)):
		return errors.Wrap(errMalformed, "prepared statement")
	case q.LeftMicros <= 0 || q.LeftMicros > maxTimeLeft.Microseconds():
		return errors.Wrap(errMalformed, "time left")
	}
	for name, value := range q.Values {
		if !isWord(name) || !isLine(value) {
			return errors.Wrap(errMalformed, "session value")
		}
	}
	return nil
}

// isLine reports whether s contains no line break.
func isLine(s string) bool { return !strings.ContainsAny(s, "\r\n") }

// isWord reports whether s is one word of a line.
func isWord(s string) bool { return s != "" && !strings.ContainsAny(s, " \r\n") }

// decodeResponse decodes and checks a response.
func decodeResponse(b []byte) (*response, error) {
	a := &response{}
	if err := msgpack.Unmarshal(b, a); err != nil {
		return nil, errors.Wrap(errMalformed, err.Error())
	}
	switch {
	case a.Result >= resultCount || a.Reason >= reasonCount:
		return nil, errors.Wrap(errMalformed, "result")
	case a.Code > statement.Unsure || a.State > statement.Failed:
		return nil, errors.Wrap(errMalformed, "code or state")
	case !isLine(a.Detail) || !isLine(a.Proof) || !isLine(a.Why):
		return nil, errors.Wrap(errMalformed, "reply")
	}
	for _, row := range a.Rows {
		if !isLine(row) {
			return nil, errors.Wrap(errMalformed, "row")
		}
	}
	return a, nil
}

// encode encodes a message of this package.
func encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	return b, errors.Wrap(err, "encode a message to a proxy")
}
