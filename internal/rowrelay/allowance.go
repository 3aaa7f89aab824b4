package rowrelay

import "time"

// maxAllowance bounds the measured part of a timeout: evidence from the store expires
// after freshness.Lease, so it is no use to wait longer for it.
const maxAllowance = 400 * time.Millisecond

// allowance calculates how long a response may take from the times that earlier
// responses took, like the retransmission timer of TCP. The zero value has no
// measurement and allows no time.
type allowance struct {
	mean, deviation time.Duration
	// doublings counts responses in a row that were late: a late response has no
	// measured time.
	doublings int
}

// add adds the time that a response took.
func (a *allowance) add(took time.Duration) {
	a.doublings = 0
	if a.mean == 0 {
		a.mean, a.deviation = took, took/4
		return
	}
	a.deviation += ((took - a.mean).Abs() - a.deviation) / 4
	a.mean += (took - a.mean) / 8
}

// late records that a response did not arrive in time.
func (a *allowance) late() { a.doublings = min(a.doublings+1, maxBackoffDoublings) }

// value returns the time that a response may take.
func (a *allowance) value() time.Duration {
	return min((a.mean+2*a.deviation)<<a.doublings, maxAllowance)
}
