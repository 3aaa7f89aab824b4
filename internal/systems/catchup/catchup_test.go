package catchup

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// at returns the position that a log with 100 records per second reaches at t.
func at(t time.Duration) tables.Position {
	return tables.Position{LogTerm: 1, Index: 1000 + uint64(max(t, 0)*100/time.Second)}
}

// play reads from a replica with the given lag for 10 s, each 10 ms data of the given age,
// and returns how many reads were tried there, and how many of these the replica lacked
// data for, and how many that it could have answered were not tried.
func play(lag func(time.Duration) time.Duration, age time.Duration) (tried, lacked, missed int) {
	var r Replica
	for t := time.Duration(0); t < 10*time.Second; t += 10 * time.Millisecond {
		now, need, applied := tables.Time(t+time.Hour), at(t-age), at(t-lag(t))
		switch has := applied.AtLeast(need); {
		case r.Lacks(now, need):
			if has {
				missed++
			}
		case has:
			tried++
			r.Reported(now, applied)
		default:
			tried, lacked = tried+1, lacked+1
			r.Lacked(now, applied, need)
		}
	}
	return tried, lacked, missed
}

// A replica that is seconds behind was tried every 60 ms, by each of 27 proxies.
func TestTriesOfReplica(t *testing.T) {
	constant := func(d time.Duration) func(time.Duration) time.Duration {
		return func(time.Duration) time.Duration { return d }
	}
	for name, c := range map[string]struct {
		lag                  func(time.Duration) time.Duration
		age                  time.Duration
		minTried             int
		maxLacked, maxMissed int
	}{
		"up to date":       {constant(90 * time.Millisecond), 1500 * time.Millisecond, 1000, 0, 0},
		"10 s behind":      {constant(10 * time.Second), 1500 * time.Millisecond, 0, 30, 0},
		"just behind":      {constant(90 * time.Millisecond), 50 * time.Millisecond, 0, 170, 0},
		"receives nothing": {func(t time.Duration) time.Duration { return t + time.Second }, 100 * time.Millisecond, 0, 30, 0},
		"catches up after 5 s": {func(t time.Duration) time.Duration {
			return max(8*time.Second-2*max(t-5*time.Second, 0), 90*time.Millisecond)
		}, 1500 * time.Millisecond, 100, 30, 45},
		"own writes, every 10 ms": {constant(90 * time.Millisecond), 0, 0, 170, 0},
	} {
		tried, lacked, missed := play(c.lag, c.age)
		assert.Assert(t, tried >= c.minTried && lacked <= c.maxLacked && missed <= c.maxMissed,
			"%s: tried %d, of which %d lacked; missed %d", name, tried, lacked, missed)
	}
}

// An estimate that a promotion or a restart made wrong ends with the next reply.
func TestEstimateHeals(t *testing.T) {
	var r Replica
	now := tables.Time(time.Hour)
	r.Reported(now, tables.Position{LogTerm: 1, Index: 500})
	rolledBack := tables.Position{LogTerm: 1, Index: 400}
	need := tables.Position{LogTerm: 1, Index: 450}
	assert.Assert(t, !r.Lacks(now, need))
	r.Lacked(now, rolledBack, need)
	assert.Assert(t, r.Lacks(now, need))
	assert.Assert(t, !r.Lacks(now.Add(MinPause), need))
	// Another log: the old rate does not count.
	r.Reported(now.Add(time.Second), tables.Position{LogTerm: 2, Index: 3})
	r.Lacked(now.Add(time.Second), tables.Position{LogTerm: 2, Index: 3}, tables.Position{LogTerm: 2, Index: 900})
	assert.Assert(t, !r.Lacks(now.Add(time.Second+MinPause), tables.Position{LogTerm: 2, Index: 900}))
	for n := range uint64(2000) {
		at := now.Add(2*time.Second + time.Duration(n)*time.Millisecond)
		r.Lacked(at, tables.Position{LogTerm: 2, Index: 3 + n/1000}, tables.Position{LogTerm: 2, Index: 900})
		assert.Assert(t, !r.Lacks(at.Add(MaxPause), tables.Position{LogTerm: 2, Index: 900}))
	}
}

func BenchmarkLacks(b *testing.B) {
	var r Replica
	r.Lacked(1, at(0), at(time.Second))
	for b.Loop() {
		r.Lacks(2, at(time.Second))
	}
}
