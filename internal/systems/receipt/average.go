package receipt

import "time"

const (
	// meanSmoothing and deviationSmoothing are the divisors of the moving averages, and
	// deviations the number of deviations above the mean that are usual, as in RFC 6298.
	meanSmoothing      = 8
	deviationSmoothing = 4
	deviations         = 4
)

// average is a moving average of durations and of their deviation from it.
type average struct {
	mean, deviation time.Duration
}

func (a *average) add(d time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = d, d/2
		return
	}
	a.deviation += ((d - a.mean).Abs() - a.deviation) / deviationSmoothing
	a.mean += (d - a.mean) / meanSmoothing
}

// spread returns how far above the mean a duration is still usual.
func (a *average) spread() time.Duration { return deviations * a.deviation }
