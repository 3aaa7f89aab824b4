package quota

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// joinTime is how long a proxy that is new in the directory has no share if no other
	// proxy reports as many. The others read the directory every 30 s.
	joinTime = 45 * time.Second
	// spreadTime is the same if another one does: proxies tell each other the largest
	// number with each message, so that it reaches all that are in touch within two
	// exchanges between data centres and two renewals of leases. The overshoot covers
	// the few that are not in touch.
	spreadTime = 3 * time.Second
	// countMemory is how long a larger number of proxies is remembered: after a loss of
	// rows, the directory shows too few for some seconds.
	countMemory = 60 * time.Second
)

// Directory is what this proxy knows of the directory of proxies.
type Directory struct {
	// Proxies is the number of proxies in it; 0 if it was not read.
	Proxies int
	// Near is the number of proxies of this data centre.
	Near int
	// Listed means that it contains this proxy.
	Listed bool
}

// membership decides whether this proxy owns a share, and how large one is. The sum of
// all shares is at most one if no proxy believes in fewer proxies than others do. A
// proxy that is new in the directory therefore waits until the others know it, also when
// all proxies of a deployment are new.
type membership struct {
	directory Directory
	// restarted means that the first reading of the directory contained this proxy, so
	// that the others have counted it already.
	restarted bool
	// expected means that others still counted this proxy when it came back after it had
	// left the directory.
	expected bool
	listedAt tables.Time
	// listed is the number of proxies in the directory, heard the number that other
	// proxies have reported.
	listed, heard count
	owner         bool
}

// count is the largest number that was learnt within countMemory.
type count struct {
	n  int
	at tables.Time
}

func (c *count) learn(n int, now tables.Time) {
	if n >= c.n || now.Sub(c.at) > countMemory {
		c.n, c.at = n, now
	}
}

// hear takes the number of proxies that another one has counted.
func (m *membership) hear(n int, now tables.Time) {
	m.heard.learn(n, now)
	if m.directory.Proxies > 0 && m.listedAt == 0 && n > m.directory.Proxies {
		m.expected = true
	}
}

// setDirectory takes a reading of the directory.
func (m *membership) setDirectory(d Directory, now tables.Time) {
	first := m.directory.Proxies == 0
	if d.Proxies == 0 {
		return
	}
	m.directory = d
	if first {
		m.restarted = d.Listed
	}
	if d.Listed && m.listedAt == 0 {
		m.listedAt = now
	}
	m.listed.learn(d.Proxies, now)
}

// proxies returns the number of proxies. It does not decrease within countMemory.
func (m *membership) proxies() int { return max(m.listed.n, m.heard.n) }

// shareSize returns the reciprocal of this proxy's fraction of the limits; 0 if it owns
// no share. A proxy whose row is older than the process owns its share as soon as any
// other one reports as many proxies, and one that left shortly before as soon as any
// other one reports more than the directory has.
func (m *membership) shareSize(now tables.Time) int {
	m.owner = m.owner || m.expected
	if !m.owner && m.listedAt != 0 {
		confirmed := m.heard.n >= m.directory.Proxies || m.directory.Proxies == 1
		listedFor := now.Sub(m.listedAt)
		m.owner = confirmed && (m.restarted || listedFor >= spreadTime) || listedFor >= joinTime
	}
	if !m.owner {
		return 0
	}
	return m.proxies()
}
