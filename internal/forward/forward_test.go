package forward

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/peer/peertest"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

func validRequest() Request {
	return Request{
		From: "vm1", Sequence: 7, Server: "s1", Group: "g", Team: "red", ID: "r1", Kind: statement.Execute, Name: "s",
		Arguments: "a b", Text: "some text", Values: map[string]string{"role": "x y"}, After: tables.Position{LogTerm: 2, Index: 5},
		LeftMicros: 1000, Priority: -2, MaxWaitMicros: 5, TargetMicros: 6,
	}
}

func encoded(t testing.TB, v any) []byte {
	t.Helper()
	b, err := encode(v)
	assert.NilError(t, err)
	return b
}

func TestMessagesAreTransferredUnchanged(t *testing.T) {
	q := validRequest()
	got, err := decodeRequest(encoded(t, &q))
	assert.NilError(t, err)
	assert.DeepEqual(t, *got, q)
	r := statement.Reply{
		Code: statement.RunFailed, Detail: "duplicate", Rows: []string{"", "a  b"}, Proof: "p", State: statement.Open,
		Position: tables.Position{LogTerm: 1, Index: 2},
	}
	a := replyResponse(r)
	back, err := decodeResponse(encoded(t, &a))
	assert.NilError(t, err)
	assert.DeepEqual(t, back.reply(), r)
}

// Guards against a request of a faulty proxy that writes, or that contains a second
// statement in a line to the server.
func TestRejectsRequestsThatAreNotOneRead(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"write":                 func(q *Request) { q.Kind = statement.Write },
		"commit":                func(q *Request) { q.Kind = statement.Commit },
		"no sender":             func(q *Request) { q.From = "" },
		"no server":             func(q *Request) { q.Server = "" },
		"own id":                func(q *Request) { q.ID = "-" },
		"id of two words":       func(q *Request) { q.ID = "a QUERY" },
		"line in arguments":     func(q *Request) { q.Arguments = "a\r\nQUERY x WRITE a 1" },
		"line in text":          func(q *Request) { q.Text = "a\nb" },
		"line in value":         func(q *Request) { q.Values = map[string]string{"a": "b\r\n"} },
		"words in name":         func(q *Request) { q.Values = map[string]string{"a b": "c"} },
		"words in read":         func(q *Request) { q.Kind, q.Name, q.Text = statement.Read, "", "" },
		"no time":               func(q *Request) { q.LeftMicros = 0 },
		"too much time":         func(q *Request) { q.LeftMicros = 1 << 60 },
		"larger than the limit": func(q *Request) { q.Text = strings.Repeat("x", maxRequestBytes) },
	} {
		q := validRequest()
		change(&q)
		_, err := decodeRequest(encoded(t, &q))
		assert.Assert(t, errors.Is(err, errMalformed), "%s: %v", name, err)
	}
	for name, a := range map[string]response{
		"result": {Result: resultCount}, "reason": {Reason: reasonCount}, "code": {Code: statement.Unsure + 1},
		"state": {State: statement.Failed + 1}, "row": {Rows: []string{"a\r\nDONE -"}}, "detail": {Detail: "a\nb"}, "why": {Why: "\r"},
	} {
		_, err := decodeResponse(encoded(t, &a))
		assert.Assert(t, errors.Is(err, errMalformed), "%s: %v", name, err)
	}
}

func FuzzDecodeRequest(f *testing.F) {
	q := validRequest()
	f.Add(encoded(f, &q))
	f.Add(encoded(f, &Request{From: "a", Running: true}))
	f.Fuzz(func(t *testing.T, b []byte) {
		q, err := decodeRequest(b)
		if err != nil || q.Running {
			return
		}
		assert.NilError(t, q.check())
		st := q.statement()
		assert.Assert(t, st.Kind == statement.Read || st.Kind == statement.Execute)
		assert.Assert(t, isLine(st.ID+st.Name+st.Arguments))
		q.session()
	})
}

func FuzzDecodeResponse(f *testing.F) {
	a := replyResponse(statement.Reply{Rows: []string{"a"}, Proof: "p"})
	f.Add(encoded(f, &a))
	f.Add(encoded(f, &response{Result: resultLost, Reason: ServerLost, Why: "why"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := decodeResponse(b)
		if err != nil {
			return
		}
		_ = a.Reason.String() + a.reply().Code.String()
		assert.Assert(t, isLine(strings.Join(a.Rows, "")))
	})
}

// testForwarder returns a forwarder at an address; its fleet knows no server.
func testForwarder(t *testing.T, n *peertest.Network, address string, out *bytes.Buffer) *Forwarder {
	t.Helper()
	began := time.Now()
	now := func() tables.Time { return tables.Time(time.Since(began)) + 1 }
	log, m := slog.New(slog.NewTextHandler(out, nil)), metrics.New(prometheus.NewRegistry())
	fl := fleet.New(fleet.Options{VM: tables.VMID(address), Now: now, Log: log, Metrics: m, Proxies: func() int { return 2 }})
	f := New(Options{
		VM: tables.VMID(address), Address: address, Bus: n.Bus(address), Fleet: func() *fleet.Fleet { return fl },
		Now: now, Metrics: m, Log: log,
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute)
	})
	return f
}

// A malformed message is counted and logged, and nothing else happens.
func TestMalformedMessagesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		n := peertest.New()
		a, b := testForwarder(t, n, "a", &out), testForwarder(t, n, "b", &out)
		synctest.Wait()
		for range 100 {
			_, err := a.exchange.Call(t.Context(), time.Millisecond, []byte("nonsense"), "b")
			assert.Assert(t, err != nil)
		}
		synctest.Wait() // until the last line is written
		lines := strings.Count(out.String(), "Ignored a malformed request")
		assert.Assert(t, lines > 0 && lines <= maxLineBurst+maxLinesPerSecond, "%d lines", lines)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		q := validRequest()
		_, err := a.Run(ctx, Holder{VM: "b", address: "b"}, q)
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Reason, ServerUnknown)
		assert.Assert(t, !refusal.Ran && refusal.HolderOnly())
		synctest.Wait() // until the holder has ended the request
		assert.Equal(t, len(b.held.running), 0)
	})
}

// Guards against a holder that is flooded by the other proxies, and against a request
// that arrives twice and runs twice.
func TestHolderBoundsRequests(t *testing.T) {
	h := held{running: make(map[heldKey]struct{})}
	for i := range maxHeld {
		_, ok := h.take(heldKey{"a", uint64(i)})
		assert.Assert(t, ok)
	}
	reason, ok := h.take(heldKey{"a", 0})
	assert.Assert(t, !ok && reason == ReasonNone, "taken twice")
	reason, ok = h.take(heldKey{"b", 0})
	assert.Assert(t, !ok && reason == TooMany)
	h.end(heldKey{"a", 0})
	_, ok = h.take(heldKey{"b", 0})
	assert.Assert(t, ok)
	h.end(heldKey{"b", 0})
	h.stopping = true
	reason, ok = h.take(heldKey{"b", 1})
	assert.Assert(t, !ok && reason == Stopping)
}

// A request that does not fit into a message, or that the holder would ignore, is not
// sent.
func TestUnsuitableRequestsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New()
		f := testForwarder(t, n, "a", &bytes.Buffer{})
		for _, arguments := range []string{strings.Repeat("x", maxRequestBytes), "a\rb"} {
			q := validRequest()
			q.Arguments = arguments
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := f.Run(ctx, Holder{VM: "b", address: "b"}, q)
			cancel()
			var refusal *Refusal
			assert.Assert(t, errors.As(err, &refusal) && refusal.HolderOnly() && !refusal.Ran)
		}
		assert.Equal(t, n.Sent(), 0)
	})
}

func BenchmarkMessages(b *testing.B) {
	q := validRequest()
	a := replyResponse(statement.Reply{Rows: []string{strings.Repeat("x", 100)}, Proof: strings.Repeat("p", 32)})
	b.ReportAllocs()
	for b.Loop() {
		_, err := decodeRequest(encoded(b, &q))
		assert.NilError(b, err)
		_, err = decodeResponse(encoded(b, &a))
		assert.NilError(b, err)
	}
}
