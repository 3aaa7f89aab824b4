package freshness

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func at(ms int) tables.Time { return tables.Time(time.Duration(ms) * time.Millisecond) }

func pos(index uint64) tables.Position { return tables.Position{LogTerm: 1, Index: index} }

// lead returns a leadership of p by record 1, proven at 1000 ms.
func lead() *Leadership {
	var l Leadership
	l.SetPrimary("p", 1)
	l.AddEvidence("p", 1, at(1000))
	return &l
}

func TestEvidenceEndsWithTheLease(t *testing.T) {
	l := lead()
	end := at(1000).Add(Lease)
	assert.Assert(t, l.LedAt(end-1))
	assert.Assert(t, !l.LedAt(end))
}

func TestEvidenceOfAnotherPrimaryOrRecordSaysNothing(t *testing.T) {
	l := lead()
	l.AddEvidence("q", 1, at(5000))
	l.AddEvidence("p", 2, at(5000))
	assert.Assert(t, !l.LedAt(at(5000)))
}

func TestNeedTakesTheOldestPointThatIsYoungEnough(t *testing.T) {
	l := lead()
	for i := range 10 {
		l.AddPoint("p", 1, Point{At: at(1000 + 100*i), Position: pos(uint64(i + 1))})
	}
	l.AddEvidence("p", 1, at(2000))
	need, ok := l.RequiredPosition(at(1350))
	assert.Assert(t, ok)
	assert.Equal(t, need, pos(5))
	_, ok = l.RequiredPosition(at(1901))
	assert.Assert(t, !ok)
}

func TestPointWithoutEvidenceIsNotUsed(t *testing.T) {
	l := lead()
	l.AddPoint("p", 1, Point{At: at(1500), Position: pos(9)})
	_, ok := l.RequiredPosition(at(1200))
	assert.Assert(t, !ok)
	// Evidence that begins later covers it too.
	l.AddEvidence("p", 1, at(1600))
	need, ok := l.RequiredPosition(at(1200))
	assert.Assert(t, ok)
	assert.Equal(t, need, pos(9))
}

func TestNewPrimaryMakesPointsVoid(t *testing.T) {
	l := lead()
	l.AddPoint("p", 1, Point{At: at(1000), Position: pos(74)})
	l.SetPrimary("q", 2)
	_, ok := l.RequiredPosition(at(0))
	assert.Assert(t, !ok)
	assert.Assert(t, !l.LedAt(at(1000)))
}

func TestFrozenGroupGivesAPointWithEachLook(t *testing.T) {
	l := lead()
	l.Freeze(2, pos(50))
	_, ok := l.RequiredPosition(at(0))
	assert.Assert(t, !ok)
	l.AddEvidence("", 2, at(3000))
	need, ok := l.RequiredPosition(at(2900))
	assert.Assert(t, ok)
	assert.Equal(t, need, pos(50))
	_, ok = l.RequiredPosition(at(3001))
	assert.Assert(t, !ok)
	assert.Assert(t, !l.LedAt(at(3000)), "nobody leads a frozen group")
}

func TestFrozenPointsOutliveTheNewPrimary(t *testing.T) {
	l := lead()
	l.Freeze(2, pos(50))
	l.AddEvidence("", 2, at(3000))
	l.SetPrimary("q", 3)
	need, ok := l.RequiredPosition(at(2900))
	assert.Assert(t, ok)
	assert.Equal(t, need, pos(50))
	assert.Assert(t, !l.LedAt(at(3000)), "nothing shows yet that q leads")
	l.AddEvidence("q", 3, at(3100))
	assert.Assert(t, l.LedAt(at(3100)))
}

func TestPointsAreBounded(t *testing.T) {
	l := lead()
	for i := range 100_000 {
		l.AddPoint("p", 1, Point{At: at(1000 + i), Position: pos(uint64(i + 1))})
	}
	assert.Assert(t, len(l.points) <= maxPoints+1, "%d", len(l.points))
	assert.Assert(t, l.points[len(l.points)-1].At.Sub(l.points[0].At) <= Horizon)
}

func TestPositionThatGoesBackIsNoPoint(t *testing.T) {
	l := lead()
	l.AddPoint("p", 1, Point{At: at(1000), Position: pos(9)})
	l.AddPoint("p", 1, Point{At: at(1100), Position: pos(8)})
	l.AddPoint("p", 1, Point{At: at(1200)})
	assert.Equal(t, len(l.points), 1)
}

// A proxy that hears from another knows no more than that one did: its reads
// need at least the same position, and its evidence ends no later.
func TestHearsayIsNeverFresherThanTheTruth(t *testing.T) {
	teller := lead()
	teller.AddPoint("p", 1, Point{At: at(1100), Position: pos(7)})
	k, ok := teller.Report(at(1250))
	assert.Assert(t, ok)
	var l Leadership
	l.SetPrimary("p", 1)
	l.Receive(at(1200), k) // asked 50 ms before the word was given
	need, ok := l.RequiredPosition(at(1050))
	assert.Assert(t, ok)
	assert.Equal(t, need, pos(7))
	_, ok = l.RequiredPosition(at(1051))
	assert.Assert(t, !ok, "the point is as old as its age before the question")
	assert.Assert(t, !l.LedAt(at(950).Add(Lease)))
}

func TestHearsayOfAnotherPrimaryOrRecordSaysNothing(t *testing.T) {
	teller := lead()
	teller.AddPoint("p", 1, Point{At: at(1100), Position: pos(7)})
	k, ok := teller.Report(at(1250))
	assert.Assert(t, ok)
	for _, of := range []struct {
		primary tables.UpstreamID
		record  uint64
	}{{"q", 1}, {"p", 2}} {
		var l Leadership
		l.SetPrimary(of.primary, of.record)
		l.Receive(at(1250), k)
		_, ok := l.RequiredPosition(at(0))
		assert.Assert(t, !ok)
		assert.Assert(t, !l.LedAt(at(1000)))
	}
}

func TestNothingIsToldWithoutEvidence(t *testing.T) {
	var l Leadership
	l.SetPrimary("p", 1)
	l.AddPoint("p", 1, Point{At: at(1000), Position: pos(7)})
	_, ok := l.Report(at(1100))
	assert.Assert(t, !ok, "no evidence")
	l.AddEvidence("p", 1, at(500))
	_, ok = l.Report(at(1100))
	assert.Assert(t, !ok, "the evidence ended before the point")
	l.Freeze(2, pos(9))
	_, ok = l.Report(at(1100))
	assert.Assert(t, !ok, "no primary")
}
