package exec

import (
	"context"
	"strings"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/retry"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

var errTest = errors.New("broken")

// step is an attempt that fails where it is told and writes down its calls.
type step struct {
	fails   string
	refused statement.Reply
	reply   statement.Reply
	calls   []string
}

func (s *step) did(call string) error {
	s.calls = append(s.calls, call)
	if s.fails == call {
		return errTest
	}
	return nil
}

func (s *step) Upstream() tables.UpstreamID       { return "u" }
func (s *step) AcquireSlot(context.Context) error { return s.did("enter") }
func (s *step) ReleaseSlot()                      { _ = s.did("leave") }
func (s *step) Connect(context.Context) error     { return s.did("connect") }
func (s *step) ApplyState(context.Context) (statement.Reply, error) {
	return s.refused, s.did("adopt")
}
func (s *step) Exchange(context.Context) (statement.Reply, error) {
	return s.reply, s.did("exchange")
}
func (s *step) Return(statement.Reply) { _ = s.did("return") }
func (s *step) Discard()               { _ = s.did("discard") }

func TestTryGivesBackWhatItTook(t *testing.T) {
	bad := statement.Reply{Code: statement.Bad}
	for _, tc := range []struct {
		name  string
		step  step
		calls string
		stage retry.Stage
	}{
		{"no room", step{fails: "enter"}, "enter", retry.StageWaiting},
		{"no connection", step{fails: "connect"}, "enter connect leave", retry.StageWaiting},
		{"broken before the statement", step{fails: "adopt"}, "enter connect adopt discard leave", retry.StageWaiting},
		{"state refused", step{refused: bad}, "enter connect adopt discard leave", retry.StageWaiting},
		{"broken during the statement", step{fails: "exchange"}, "enter connect adopt exchange discard leave", retry.StageWritten},
		{"answered", step{}, "enter connect adopt exchange return leave", retry.StageAnswered},
		{"answered without a result", step{reply: bad}, "enter connect adopt exchange return leave", retry.StageAnswered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := Try(context.Background(), &tc.step)
			assert.Equal(t, strings.Join(tc.step.calls, " "), tc.calls)
			assert.Equal(t, o.Stage, tc.stage)
			assert.Equal(t, o.Err != nil, tc.step.fails != "")
			assert.Equal(t, o.Refused, tc.step.fails == "enter")
			assert.Equal(t, o.Served(), tc.name == "answered")
		})
	}
}

func TestContinueLeavesTheConnectionWithTheTransaction(t *testing.T) {
	for _, fails := range []string{"", "adopt", "exchange"} {
		s := &step{fails: fails}
		Continue(context.Background(), s)
		for _, call := range s.calls {
			assert.Assert(t, call != "connect" && call != "return" && call != "discard", "%v", s.calls)
		}
		assert.Equal(t, s.calls[len(s.calls)-1], "leave")
	}
}

// list is a plan of given attempts; it stops at the first result.
type list struct{ steps []*step }

func (l *list) Choose(context.Context) (Attempt, statement.Reply) {
	if len(l.steps) == 0 {
		return nil, statement.Refuse(statement.Busy, codes.NoSlot, statement.Idle, "none left")
	}
	s := l.steps[0]
	l.steps = l.steps[1:]
	return s, statement.Reply{}
}

func (l *list) Judge(_ context.Context, _ Attempt, o Outcome) (statement.Reply, bool) {
	return o.Reply, o.Served()
}

func TestServeTriesUntilThePlanIsDone(t *testing.T) {
	served := &step{reply: statement.Reply{Detail: "second"}}
	unused := &step{}
	r := Serve(context.Background(), &list{[]*step{{fails: "exchange"}, served, unused}})
	assert.Equal(t, r.Detail, "second")
	assert.Equal(t, len(unused.calls), 0)

	r = Serve(context.Background(), &list{[]*step{{fails: "connect"}}})
	assert.Equal(t, r.Reason, codes.NoSlot)
}
