// Package freshness determines the log position that a server must have reached
// to serve a read, from the positions that a group's primary reported and from
// evidence that it still led the group.
//
// # Points
//
// A freshness point is a moment and a log position that the primary reported to a
// statement sent no earlier than that moment. If the server was still the only
// one to acknowledge commits at that moment, every commit acknowledged before it
// is at or below the position. An upstream that has applied the position may serve
// a read that needs nothing newer.
//
// # Lease evidence
//
// A replacement of the primary is first announced in the platform's store. It is
// ordered no earlier than Lease after the announcement and after the last replica
// was held. Therefore a read of the store that started at t and found no
// announcement proves that no other server acknowledges commits before t + Lease.
// So does a commit that was sent at t and that a known replica shows to have received:
// the replica was not held then. That the primary acknowledged the commit proves nothing,
// because a server that nobody knows yet may have received it.
//
// # Covering points
//
// A commit is acknowledged once it is in the log of the primary and of a replica. So
// if every server of a group reports what it has received, the newest of these
// positions covers every commit acknowledged before, whoever leads. Such a point needs
// no lease evidence. It serves reads when evidence is missing, for instance of a group
// that was idle when the store was lost.
//
// A proven point of a primary that is being replaced is a covering point too: it says
// which commits had been acknowledged by a moment in the past.
//
// # Frozen groups
//
// From some moment of a replacement on, no server acknowledges commits and the newest
// position among the held replicas covers all acknowledged commits; see package replace.
// Every read of the store that finds the group still in this state yields another
// point, so that reads are served during a replacement.
//
// All times are from a clock that also counts the time in which the machine is
// suspended.
package freshness

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// Lease is the validity period of lease evidence. It prolongs the time without
	// writes in each failover, and it must exceed the interval between two reads of
	// the store under load.
	Lease = 400 * time.Millisecond
	// Horizon is the age beyond which points are dropped. Routes that accept older
	// data use the oldest point that is kept.
	Horizon = 10 * time.Second
	// maxPoints is the maximum number of points kept for one group.
	maxPoints = 200
	// spacing is the minimum time between two kept points.
	spacing = Horizon / maxPoints
)

// Point is a position that the primary reported to a statement sent no earlier than At.
type Point struct {
	At       tables.Time
	Position tables.Position
}

// Leadership is a proxy's cached state about a group's primary.
type Leadership struct {
	// Primary is the last known primary; empty while unknown or being replaced.
	Primary tables.UpstreamID
	// Record is the version of the store's record that names Primary.
	Record tables.Version
	// Frozen is the position that covers all acknowledged commits while the group is
	// frozen; zero otherwise.
	Frozen tables.Position
	// frozenOutdated means that commits beyond Frozen may have been acknowledged; see
	// EndFreeze.
	frozenOutdated bool
	// ProvenAt is the start of the newest read of the store or commit that gave
	// lease evidence.
	ProvenAt tables.Time
	// frozenProvenAt is the ProvenAt that was set for the points taken over from the
	// frozen group: they are proven, but there is no evidence yet that the new
	// primary leads.
	frozenProvenAt tables.Time
	// previous is the evidence for the primary of the record before.
	previous evidence
	// points are in ascending order of At.
	points []Point
	// covering are the newest covering points, in ascending order of At, at most
	// maxPoints.
	covering []Point
	// commits are the newest commits of the primary of the record that no known replica
	// has shown to have received, in ascending order.
	commits []Point
}

// evidence is lease evidence for the primary of a record.
type evidence struct {
	primary  tables.UpstreamID
	record   tables.Version
	provenAt tables.Time
}

// AddCovering adds a covering point: p.Position is the newest one that any server of
// the group had received, and every server was asked after p.At.
func (l *Leadership) AddCovering(p Point) {
	if n := len(l.covering); n > 0 && p.At <= l.covering[n-1].At {
		return
	}
	l.covering = append(l.covering, p)
	if drop := len(l.covering) - maxPoints; drop > 0 {
		l.covering = append(l.covering[:0], l.covering[drop:]...)
	}
}

// coverProven makes the proven points of the primary covering points, before its record
// is replaced.
func (l *Leadership) coverProven() {
	for _, p := range l.points {
		if l.proven(p) {
			l.AddCovering(p)
		}
	}
}

// proven reports whether the primary is known to have led when the point was taken.
func (l *Leadership) proven(p Point) bool { return p.At <= l.ProvenAt || l.LedAt(p.At) }

// SetPrimary sets the primary that a record names. Points of another primary or record
// say nothing about the new primary; the proven ones still cover reads that accept the
// data of their moment.
func (l *Leadership) SetPrimary(primary tables.UpstreamID, record tables.Version) {
	if l.Primary == primary && l.Record == record {
		return
	}
	points := l.points
	wasFrozen := l.Frozen != (tables.Position{})
	if !wasFrozen {
		l.coverProven()
	}
	*l = Leadership{Primary: primary, Record: record, covering: l.covering, previous: l.lastEvidence()}
	if wasFrozen {
		// The new primary has received the frozen position, so the points remain valid.
		l.points = points
		if len(points) > 0 {
			l.ProvenAt = points[len(points)-1].At
			l.frozenProvenAt = l.ProvenAt
		}
	}
}

// Freeze sets the group's state to frozen: a record names no primary, and position
// covers all acknowledged commits.
func (l *Leadership) Freeze(record tables.Version, position tables.Position) {
	if l.Record == record && l.Frozen == position {
		return
	}
	l.coverProven()
	*l = Leadership{Record: record, Frozen: position, covering: l.covering, previous: l.lastEvidence()}
}

// EndFreeze ends the guarantee that no commit beyond Frozen is acknowledged, after the
// store came back from an older copy: a proxy that starts then knows of no replacement.
func (l *Leadership) EndFreeze() { l.frozenOutdated = true }

// lastEvidence returns the evidence for the newest primary that had any.
func (l *Leadership) lastEvidence() evidence {
	if l.Primary == "" || l.ProvenAt <= l.frozenProvenAt {
		return l.previous
	}
	return evidence{primary: l.Primary, record: l.Record, provenAt: l.ProvenAt}
}

// NotOrderedAt reports whether it is proven that no promotion that replaces the
// primary of a record had been ordered at t. An announcement in the meantime
// invalidates no evidence: the order follows it by Lease.
func (l *Leadership) NotOrderedAt(primary tables.UpstreamID, record tables.Version, t tables.Time) bool {
	e := l.lastEvidence()
	return e.primary == primary && e.record == record && t < e.provenAt.Add(Lease)
}

// AddEvidence adds lease evidence for the primary of a record; at is the start of
// the read of the store or commit that gave it.
func (l *Leadership) AddEvidence(primary tables.UpstreamID, record tables.Version, at tables.Time) {
	if l.Primary != primary || l.Record != record || at <= l.ProvenAt {
		return
	}
	l.ProvenAt = at
	if l.Frozen != (tables.Position{}) {
		l.add(Point{At: at, Position: l.Frozen})
	}
}

// maxCommits is the maximum number of commits kept for one group.
const maxCommits = 16

// AddCommit adds a commit that the primary of a record acknowledged: it was sent at p.At,
// and p.Position is the primary's position after it.
func (l *Leadership) AddCommit(primary tables.UpstreamID, record tables.Version, p Point) {
	n := len(l.commits)
	if l.Primary == "" || l.Primary != primary || l.Record != record || p.At <= l.ProvenAt || n > 0 && p.At <= l.commits[n-1].At {
		return
	}
	l.commits = append(l.commits, p)
	if drop := len(l.commits) - maxCommits; drop > 0 {
		l.commits = append(l.commits[:0], l.commits[drop:]...)
	}
}

// AwaitsReplica reports whether it matters that a replica has reached a position.
func (l *Leadership) AwaitsReplica(reached tables.Position) bool {
	return len(l.commits) > 0 && reached.AtLeast(l.commits[0].Position)
}

// AddReached adds that a known replica, which has kept its hold if it ever had one, has
// reached a position. It was not held when it received the commits up to there.
func (l *Leadership) AddReached(reached tables.Position) {
	var at tables.Time
	for len(l.commits) > 0 && reached.AtLeast(l.commits[0].Position) {
		at = max(at, l.commits[0].At)
		l.commits = l.commits[1:]
	}
	l.AddEvidence(l.Primary, l.Record, at)
}

// LedAt reports whether it is proven that the primary was the only server to
// acknowledge commits at t.
func (l *Leadership) LedAt(t tables.Time) bool {
	return l.Primary != "" && l.ProvenAt > l.frozenProvenAt && t < l.ProvenAt.Add(Lease)
}

// AddPoint adds a point that the primary of a record reported.
func (l *Leadership) AddPoint(primary tables.UpstreamID, record tables.Version, p Point) {
	if l.Primary == "" || l.Primary != primary || l.Record != record || p.Position == (tables.Position{}) {
		return
	}
	l.add(p)
}

func (l *Leadership) add(p Point) {
	n := len(l.points)
	if n > 0 && (p.At <= l.points[n-1].At || !p.Position.AtLeast(l.points[n-1].Position)) {
		return
	}
	if n > 1 && p.At.Sub(l.points[n-2].At) < spacing {
		l.points[n-1] = p
		return
	}
	l.points = append(l.points, p)
	l.trim(p.At)
}

func (l *Leadership) trim(now tables.Time) {
	drop := max(0, len(l.points)-maxPoints)
	for drop < len(l.points) && now.Sub(l.points[drop].At) > Horizon {
		drop++
	}
	if drop > 0 {
		l.points = append(l.points[:0], l.points[drop:]...)
	}
}

// RequiredPosition returns the position that a server must have applied to serve a
// read that may miss commits acknowledged after notBefore. ok is false if no
// proven point determines it.
func (l *Leadership) RequiredPosition(notBefore tables.Time) (required tables.Position, ok bool) {
	for _, p := range l.points {
		if p.At >= notBefore {
			if l.proven(p) {
				return p.Position, true
			}
			break
		}
	}
	for _, p := range l.covering {
		if p.At >= notBefore {
			return l.limitToFrozen(p.Position), true
		}
	}
	return tables.Position{}, false
}

// limitToFrozen returns the part of a covering position that can be acknowledged. The
// log of a primary that is being replaced may go beyond the frozen position of its
// term with commits that no replica has.
func (l *Leadership) limitToFrozen(p tables.Position) tables.Position {
	if p.LogTerm == l.Frozen.LogTerm && l.Frozen != (tables.Position{}) && !l.frozenOutdated && p.AtLeast(l.Frozen) {
		return l.Frozen
	}
	return p
}

// NewestPoint returns when the newest point was taken; ok is false without one.
func (l *Leadership) NewestPoint() (at tables.Time, ok bool) {
	if len(l.points) == 0 {
		return 0, false
	}
	return l.points[len(l.points)-1].At, true
}

// Report is a proxy's message to another one about a group: its newest proven
// point and its lease evidence, given as ages when the message was built.
type Report struct {
	// Primary, RecordEra and Record identify the primary that reported the point.
	// A proxy that knows no eras sends none, which matches no record of a later era.
	Primary   tables.UpstreamID `msgpack:"p"`
	RecordEra uint64            `msgpack:"v,omitempty"`
	Record    uint64            `msgpack:"r"`
	// Position is the position of the point, and PointAge its age.
	Position tables.Position `msgpack:"l"`
	PointAge time.Duration   `msgpack:"a"`
	// ProvenAge is the age of the lease evidence.
	ProvenAge time.Duration `msgpack:"e"`
}

// Report returns the message that describes l at now; ok is false without a proven
// point.
func (l *Leadership) Report(now tables.Time) (r Report, ok bool) {
	if l.Primary == "" || l.ProvenAt <= l.frozenProvenAt {
		return Report{}, false
	}
	for i := len(l.points) - 1; i >= 0; i-- {
		if p := l.points[i]; l.LedAt(p.At) {
			return Report{
				Primary: l.Primary, RecordEra: l.Record.Era, Record: l.Record.Counter, Position: p.Position,
				PointAge: now.Sub(p.At), ProvenAge: now.Sub(l.ProvenAt),
			}, true
		}
	}
	return Report{}, false
}

// Receive adds the point and the evidence of another proxy's report, which was
// requested at requestedAt. The report was built no earlier than that, so ages are
// subtracted from requestedAt.
func (l *Leadership) Receive(requestedAt tables.Time, r Report) {
	if r.PointAge < 0 || r.ProvenAge < 0 {
		return
	}
	record := tables.Version{Era: r.RecordEra, Counter: r.Record}
	l.AddPoint(r.Primary, record, Point{At: requestedAt.Add(-r.PointAge), Position: r.Position})
	l.AddEvidence(r.Primary, record, requestedAt.Add(-r.ProvenAge))
}
