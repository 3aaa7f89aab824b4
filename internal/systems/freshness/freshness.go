// Package freshness decides which log position a read must have seen, from
// answers of a group's primary and from evidence that it still led.
//
// # Points
//
// A point is a pair of a moment and a position that the primary reported to a
// statement sent no earlier than that moment. If the server was still the only
// one to acknowledge commits at the moment, every commit acknowledged before
// it lies at or below the position. An upstream that has applied the position
// may answer a read that needs nothing newer.
//
// # Evidence
//
// A replacement of the primary is announced in the platform's store first and
// ordered no earlier than Lease after the announcement and after the last
// replica was held. So a look at the store that began at t and found no
// announcement shows that nobody else acknowledges commits before t + Lease,
// and so does a commit sent at t that the primary acknowledged after a replica
// received it.
//
// # Frozen groups
//
// While all replicas are held and the new primary is not named yet, nobody
// acknowledges commits: the newest position that was received covers all that
// were. Every look at the store that finds the group still in this state is a
// point of its own, so that reads go on during a replacement.
//
// Times are of a clock that counts suspensions of the machine.
package freshness

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// Lease is how long evidence holds. It is a part of each failover's gap and
	// must exceed the time between two looks at the store under load.
	Lease = 400 * time.Millisecond
	// Horizon is the age beyond which points are dropped; routes that accept
	// older data get by with the oldest point kept.
	Horizon = 10 * time.Second
	// maxPoints bounds the points of one group.
	maxPoints = 200
	// spacing is the least time between two kept points.
	spacing = Horizon / maxPoints
)

// Point is a position that the primary reported to a statement sent no earlier than At.
type Point struct {
	At       tables.Time
	Position tables.Position
}

// Leadership is what a proxy knows of a group's primary.
type Leadership struct {
	// Primary leads, as far as is known; empty while unknown or being replaced.
	Primary tables.UpstreamID
	// Record is the version of the store's record that says so.
	Record uint64
	// Frozen is the position that covers all acknowledged commits while there is
	// no primary; zero otherwise.
	Frozen tables.Position
	// ProvenAt is the beginning of the newest look or commit that gave evidence.
	ProvenAt tables.Time
	// thawedAt is the ProvenAt that came with the points of a frozen group: they
	// are proven, but nothing shows yet that the new primary leads.
	thawedAt tables.Time
	// points are in ascending order of At.
	points []Point
}

// SetPrimary takes note of who leads by a record. Points of another primary or an
// older record say nothing of the new one.
func (l *Leadership) SetPrimary(primary tables.UpstreamID, record uint64) {
	if l.Primary == primary && l.Record == record {
		return
	}
	points := l.points
	thawed := l.Frozen != (tables.Position{})
	*l = Leadership{Primary: primary, Record: record}
	if thawed {
		// The new primary has received the frozen position, so that the points stay true.
		l.points = points
		if len(points) > 0 {
			l.ProvenAt = points[len(points)-1].At
			l.thawedAt = l.ProvenAt
		}
	}
}

// Freeze takes note that a record names no primary and that position covers
// all acknowledged commits.
func (l *Leadership) Freeze(record uint64, position tables.Position) {
	if l.Record == record && l.Frozen == position {
		return
	}
	*l = Leadership{Record: record, Frozen: position}
}

// AddEvidence takes note of evidence for the primary of a record, begun at at.
func (l *Leadership) AddEvidence(primary tables.UpstreamID, record uint64, at tables.Time) {
	if l.Primary != primary || l.Record != record || at <= l.ProvenAt {
		return
	}
	l.ProvenAt = at
	if l.Frozen != (tables.Position{}) {
		l.add(Point{At: at, Position: l.Frozen})
	}
}

// LedAt reports whether the primary surely was the only one to acknowledge
// commits at t.
func (l *Leadership) LedAt(t tables.Time) bool {
	return l.Primary != "" && l.ProvenAt > l.thawedAt && t < l.ProvenAt.Add(Lease)
}

// AddPoint takes note of a position that the primary of a record reported to a
// statement sent at at.
func (l *Leadership) AddPoint(primary tables.UpstreamID, record uint64, p Point) {
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

// RequiredPosition returns the position that a read must have seen which accepts to miss
// what was acknowledged after cut; ok is false if no proven point says so.
func (l *Leadership) RequiredPosition(cut tables.Time) (need tables.Position, ok bool) {
	for _, p := range l.points {
		if p.At >= cut {
			return p.Position, p.At <= l.ProvenAt || l.LedAt(p.At)
		}
	}
	return tables.Position{}, false
}

// NewestPoint returns when the newest point was taken; ok is false without one.
func (l *Leadership) NewestPoint() (at tables.Time, ok bool) {
	if len(l.points) == 0 {
		return 0, false
	}
	return l.points[len(l.points)-1].At, true
}

// Report is what a proxy can tell another of a group: its newest proven
// point and its evidence, as ages at the moment of telling.
type Report struct {
	// Primary and Record say whose point it is.
	Primary tables.UpstreamID `msgpack:"p"`
	Record  uint64            `msgpack:"r"`
	// Position is the point's, and PointAge its age.
	Position tables.Position `msgpack:"l"`
	PointAge time.Duration   `msgpack:"a"`
	// ProvenAge is the age of the evidence.
	ProvenAge time.Duration `msgpack:"e"`
}

// Report returns what l knows at now; ok is false without a proven point.
func (l *Leadership) Report(now tables.Time) (k Report, ok bool) {
	if l.Primary == "" || l.ProvenAt <= l.thawedAt {
		return Report{}, false
	}
	for i := len(l.points) - 1; i >= 0; i-- {
		if p := l.points[i]; l.LedAt(p.At) {
			return Report{
				Primary: l.Primary, Record: l.Record, Position: p.Position,
				PointAge: now.Sub(p.At), ProvenAge: now.Sub(l.ProvenAt),
			}, true
		}
	}
	return Report{}, false
}

// Receive takes another proxy's knowledge, asked for at asked: the ages were true
// no earlier than that.
func (l *Leadership) Receive(asked tables.Time, k Report) {
	if k.PointAge < 0 || k.ProvenAge < 0 {
		return
	}
	l.AddPoint(k.Primary, k.Record, Point{At: asked.Add(-k.PointAge), Position: k.Position})
	l.AddEvidence(k.Primary, k.Record, asked.Add(-k.ProvenAge))
}
