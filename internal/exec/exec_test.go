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

// step is an Attempt that fails at the call named by fails and records its calls.
type step struct {
	fails   string
	refused statement.Reply
	reply   statement.Reply
	calls   []string
}

func (s *step) record(call string) error {
	s.calls = append(s.calls, call)
	if s.fails == call {
		return errTest
	}
	return nil
}

func (s *step) Upstream() tables.UpstreamID       { return "u" }
func (s *step) AcquireSlot(context.Context) error { return s.record("acquire") }
func (s *step) ReleaseSlot()                      { _ = s.record("release") }
func (s *step) Connect(context.Context) error     { return s.record("connect") }
func (s *step) ApplyState(context.Context) (statement.Reply, error) {
	return s.refused, s.record("apply")
}
func (s *step) Exchange(context.Context) (statement.Reply, error) {
	return s.reply, s.record("exchange")
}
func (s *step) Return(statement.Reply) { _ = s.record("return") }
func (s *step) Discard()               { _ = s.record("discard") }

func TestTryReleasesSlotAndConnection(t *testing.T) {
	bad := statement.Reply{Code: statement.Bad}
	for _, tc := range []struct {
		name  string
		step  step
		calls string
		stage retry.Stage
	}{
		{"no capacity", step{fails: "acquire"}, "acquire", retry.StageWaiting},
		{"no connection", step{fails: "connect"}, "acquire connect release", retry.StageWaiting},
		{"connection lost before the statement", step{fails: "apply"}, "acquire connect apply discard release", retry.StageWaiting},
		{"state refused", step{refused: bad}, "acquire connect apply discard release", retry.StageWaiting},
		{"connection lost during the statement", step{fails: "exchange"}, "acquire connect apply exchange discard release", retry.StageWritten},
		{"answered", step{}, "acquire connect apply exchange return release", retry.StageAnswered},
		{"answered with an error", step{reply: bad}, "acquire connect apply exchange return release", retry.StageAnswered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := Try(context.Background(), &tc.step)
			assert.Equal(t, strings.Join(tc.step.calls, " "), tc.calls)
			assert.Equal(t, o.Stage, tc.stage)
			assert.Equal(t, o.Err != nil, tc.step.fails != "")
			assert.Equal(t, o.Refused, tc.step.fails == "acquire")
			assert.Equal(t, o.Served(), tc.name == "answered")
		})
	}
}

func TestContinueKeepsConnectionForTransaction(t *testing.T) {
	for _, fails := range []string{"", "apply", "exchange"} {
		s := &step{fails: fails}
		Continue(context.Background(), s)
		for _, call := range s.calls {
			assert.Assert(t, call != "connect" && call != "return" && call != "discard", "%v", s.calls)
		}
		assert.Equal(t, s.calls[len(s.calls)-1], "release")
	}
}

// list is a Plan with a fixed list of attempts; it is done at the first result.
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

func TestServeMakesAttemptsUntilPlanIsDone(t *testing.T) {
	served := &step{reply: statement.Reply{Detail: "second"}}
	unused := &step{}
	r := Serve(context.Background(), &list{[]*step{{fails: "exchange"}, served, unused}})
	assert.Equal(t, r.Detail, "second")
	assert.Equal(t, len(unused.calls), 0)

	r = Serve(context.Background(), &list{[]*step{{fails: "connect"}}})
	assert.Equal(t, r.Reason, codes.NoSlot)
}
