// Package receipt decides which commits need proof that a known replica has received them
// before they are acknowledged.
//
// A primary confirms a commit as soon as any replica has received it. A server that has just
// joined counts too, and a replacement can't hold it before its entry shows. If the primary
// is cut off from its known replicas, it may be the only one that does. Three signs show
// that, and each commit needs proof until a known replica has caught up:
//
//   - a commit was late: it waited until such a server joined
//   - the primary was silent for a while: the cut may lie before this proxy as well
//   - no known replica has shown progress for unusually long. Replies to reads carry the
//     replicas' positions, so on a busy group this costs nothing.
package receipt

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// minSlack is the least time above the average up to which a commit is not late.
	minSlack = 10 * time.Millisecond
	// initialBound is the time above which the first commit is late.
	initialBound = 100 * time.Millisecond
	// silenceTimeout is the least time without a reply after which the primary was silent.
	silenceTimeout = 100 * time.Millisecond
	// minProgressTimeout and maxProgressTimeout limit the time after which progress of a
	// known replica proves nothing for the commits that follow. Evidence of the primary
	// holds no longer.
	minProgressTimeout = 50 * time.Millisecond
	maxProgressTimeout = freshness.Lease
	// outlierLimit limits the weight of a late commit in the average, in units of the
	// bound, so that a cut does not hide the next one.
	outlierLimit = 2
)

// Tracker follows the commits of one primary as one proxy sees them. The zero value is a
// primary without commits.
type Tracker struct {
	latency average
	// progress is the time between two moments at which a known replica showed progress.
	progress average
	// doubted is the newest commit with such a sign that no known replica has shown to have received.
	doubted tables.Position
	// shown is the newest position that a known replica has shown to have received, and
	// shownAt when it did.
	shown   tables.Position
	shownAt tables.Time
	// silent means that the primary was silent since the last commit that it confirmed.
	silent bool
}

// Bound returns the time above which a commit is late.
func (t *Tracker) Bound() time.Duration {
	if t.latency.mean == 0 {
		return initialBound
	}
	return t.latency.mean + max(t.latency.spread(), minSlack)
}

// progressTimeout returns how long after progress of a known replica commits need no proof.
func (t *Tracker) progressTimeout() time.Duration {
	if t.progress.mean == 0 {
		return maxProgressTimeout
	}
	return min(max(t.progress.mean+t.progress.spread(), minProgressTimeout), maxProgressTimeout)
}

// Failed records that a statement got no reply, or that no connection could be opened.
func (t *Tracker) Failed() { t.silent = true }

// Answered records a reply after the primary had not answered for silence.
func (t *Tracker) Answered(silence time.Duration) { t.silent = t.silent || Silent(silence) }

// Silent reports whether a time without a reply counts as silence.
func Silent(d time.Duration) bool { return d > silenceTimeout }

// Commit is a commit that the primary confirmed.
type Commit struct {
	Position tables.Position
	SentAt   tables.Time
	// ConfirmedAt is when its confirmation arrived, and OldestAt when the oldest commit was
	// sent that was under way then.
	ConfirmedAt, OldestAt tables.Time
}

// Confirmed records a commit that the primary confirmed.
func (t *Tracker) Confirmed(c Commit) {
	late := c.ConfirmedAt.Sub(min(c.SentAt, c.OldestAt)) > t.Bound()
	if t.silent || late || c.ConfirmedAt.Sub(t.shownAt) > t.progressTimeout() {
		t.doubted = newer(t.doubted, c.Position)
	}
	t.silent = false
	t.latency.add(min(c.ConfirmedAt.Sub(c.SentAt), outlierLimit*t.Bound()))
}

func newer(a, b tables.Position) tables.Position {
	if a.AtLeast(b) {
		return a
	}
	return b
}

// Received records that a known replica showed at now that it has received p.
func (t *Tracker) Received(now tables.Time, p tables.Position) {
	if Covers(p, t.doubted) {
		t.doubted = tables.Position{}
	}
	if t.shown.AtLeast(p) {
		return
	}
	if t.shownAt != 0 {
		t.progress.add(min(now.Sub(t.shownAt), maxProgressTimeout))
	}
	t.shown, t.shownAt = p, now
}

// Leads records that the primary leads a term. Its commits of earlier terms need no proof any
// more: a replacement has decided which of them stay.
func (t *Tracker) Leads(term tables.Term) {
	if t.doubted.LogTerm < term {
		t.doubted = tables.Position{}
	}
}

// Doubtful reports whether commits need proof that a known replica has received them.
func (t *Tracker) Doubtful() bool { return t.doubted != (tables.Position{}) }

// Doubted returns the newest commit with a sign of a cut that no known replica has shown to have received;
// zero if there is none.
func (t *Tracker) Doubted() tables.Position { return t.doubted }

// Covers reports whether a log that ends at received surely has the commit at p. The log of a
// later term may lack it.
func Covers(received, p tables.Position) bool {
	return received.LogTerm == p.LogTerm && received.AtLeast(p)
}
