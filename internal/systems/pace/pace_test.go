package pace

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

const target = 400 * time.Millisecond

// answerEach20ms records n answers with the same latency, one each 20 ms, and
// returns the time of the last one.
func answerEach20ms(l *Limit, from tables.Time, n int, took time.Duration) tables.Time {
	for range n {
		from = from.Add(20 * time.Millisecond)
		l.Answered(from, took, target)
	}
	return from
}

func TestLimitFollowsServerLatency(t *testing.T) {
	l := New(5)
	now := answerEach20ms(&l, 1, 100, 24*time.Millisecond)
	assert.Equal(t, l.Slots(), 5, "an idle server")
	now = answerEach20ms(&l, now, 100, 200*time.Millisecond)
	assert.Equal(t, l.Slots(), 1, "a server with a long queue")
	now = answerEach20ms(&l, now, 200, 120*time.Millisecond)
	assert.Equal(t, l.Slots(), 1, "a queue between the thresholds")
	answerEach20ms(&l, now, 500, 24*time.Millisecond)
	assert.Equal(t, l.Slots(), 5, "an idle server again")
}

func TestSingleSlowAnswerKeepsLimit(t *testing.T) {
	l := New(5)
	now := answerEach20ms(&l, 1, 100, 24*time.Millisecond)
	l.Answered(now, target, target)
	assert.Equal(t, l.Slots(), 5)
}

func TestRefusalsLowerLimitOncePerInterval(t *testing.T) {
	l := New(5)
	for range 10 {
		l.Refused(1)
	}
	assert.Equal(t, l.Slots(), 3)
	for i := range 10 {
		l.Refused(1 + tables.Time(time.Duration(i)*decreaseInterval))
	}
	assert.Equal(t, l.Slots(), 1)
}

func TestAnswersWithoutTargetAreIgnored(t *testing.T) {
	l := New(5)
	l.Answered(1, time.Hour, 0)
	assert.Equal(t, l.Slots(), 5)
}

func TestFewerSlotsLowerLimit(t *testing.T) {
	l := New(5)
	l.SetSlots(2)
	assert.Equal(t, l.Slots(), 2)
	l.SetSlots(0)
	assert.Equal(t, l.Slots(), 1)
}
