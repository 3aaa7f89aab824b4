package history

import (
	"fmt"
	"slices"
	"time"
)

// Promise is a guarantee of the proxy that Check verifies.
type Promise string

const (
	// LostWrite means that an acknowledged write is missing at the end.
	LostWrite Promise = "lost acknowledged write"
	// DoubledWrite means that a write took effect more than once.
	DoubledWrite Promise = "doubled write"
	// NotRunButRan means that a write reported as not run took effect.
	NotRunButRan Promise = "not run but ran"
	// OwnWriteUnseen means that a read did not see an earlier write of its session.
	OwnWriteUnseen Promise = "own write not seen"
	// Stale means that a read did not see a write that was acknowledged longer ago
	// than the read's declared maximum age.
	Stale Promise = "stale beyond the stated age"
	// WrongAnswer means that a read returned a value that was never written under
	// its key.
	WrongAnswer Promise = "wrong answer"
)

// Promises lists all promises in the order used by reports.
var Promises = []Promise{LostWrite, DoubledWrite, NotRunButRan, OwnWriteUnseen, Stale, WrongAnswer}

// Violation is one broken promise.
type Violation struct {
	// Promise is the promise that was broken.
	Promise Promise `json:"promise"`
	// Op is the operation that shows the violation.
	Op Op `json:"op"`
	// Detail describes the difference from the expected result.
	Detail string `json:"detail"`
}

// Report is the result of Check.
type Report struct {
	// Violations are the broken promises, in the order of the operations.
	Violations []Violation `json:"violations"`
	// Acknowledged counts acknowledged writes.
	Acknowledged int `json:"acknowledged"`
	// UnknownWrites counts writes with an unknown outcome.
	UnknownWrites int `json:"unknownWrites"`
	// NotRunWrites counts writes with the outcome NotRun.
	NotRunWrites int `json:"notRunWrites"`
	// Found counts acknowledged writes that the final reads confirmed.
	Found int `json:"found"`
	// Unverified counts acknowledged writes that no final read covered.
	Unverified int `json:"unverified"`
	// Reads counts the successful reads that were checked.
	Reads int `json:"reads"`
}

// Count returns how many violations break p.
func (r *Report) Count(p Promise) int {
	n := 0
	for _, v := range r.Violations {
		if v.Promise == p {
			n++
		}
	}
	return n
}

// Check checks ops against all promises.
func Check(ops []Op) Report {
	c := newChecker(ops)
	for i := range ops {
		c.check(&ops[i])
	}
	return c.report
}

// objectKey identifies a register or item of one database.
type objectKey struct {
	database, key string
}

// acknowledged is the highest version that was acknowledged up to the time end.
type acknowledged struct {
	end     time.Duration
	version uint64
}

// record holds the writes to one register or item and its final state.
type record struct {
	writes []Op
	// all are the acknowledged writes in ascending order of end and version, and
	// bySession those of each session.
	all       []acknowledged
	bySession map[string][]acknowledged
	// finalCount and finalVersion are the results of the final read, if finalKnown.
	finalCount   int
	finalVersion uint64
	finalKnown   bool
}

type checker struct {
	records map[objectKey]*record
	report  Report
}

func newChecker(ops []Op) *checker {
	c := &checker{records: make(map[objectKey]*record)}
	for i := range ops {
		c.index(&ops[i])
	}
	for _, r := range c.records {
		r.sort()
	}
	return c
}

func (c *checker) record(op *Op) *record {
	k := objectKey{database: op.Database, key: op.Key}
	if c.records[k] == nil {
		c.records[k] = &record{bySession: make(map[string][]acknowledged)}
	}
	return c.records[k]
}

func (c *checker) index(op *Op) {
	r := c.record(op)
	switch op.Kind {
	case KindPut, KindInsert:
		r.addWrite(op)
	case KindFinalRead, KindFinalCount:
		if op.Outcome != Acknowledged {
			return
		}
		r.finalKnown = true
		r.finalCount = op.Count
		_, r.finalVersion, _ = parseValue(op.Saw)
	}
}

func (r *record) addWrite(op *Op) {
	r.writes = append(r.writes, *op)
	if op.Outcome != Acknowledged {
		return
	}
	a := acknowledged{end: op.End, version: max(op.Version, 1)}
	r.all = append(r.all, a)
	r.bySession[op.Session] = append(r.bySession[op.Session], a)
}

func (r *record) sort() {
	sortAcknowledged(r.all)
	for _, list := range r.bySession {
		sortAcknowledged(list)
	}
}

// sortAcknowledged orders list by end and carries the highest version forward.
func sortAcknowledged(list []acknowledged) {
	slices.SortStableFunc(list, func(a, b acknowledged) int { return int(a.end - b.end) })
	for i := 1; i < len(list); i++ {
		list[i].version = max(list[i].version, list[i-1].version)
	}
}

// versionAt returns the highest version acknowledged at or before t.
func versionAt(list []acknowledged, t time.Duration) uint64 {
	i, _ := slices.BinarySearchFunc(list, t+1, func(a acknowledged, t time.Duration) int { return int(a.end - t) })
	if i == 0 {
		return 0
	}
	return list[i-1].version
}

func (c *checker) fail(p Promise, op *Op, format string, args ...any) {
	c.report.Violations = append(c.report.Violations, Violation{Promise: p, Op: *op, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) check(op *Op) {
	switch op.Kind {
	case KindPut, KindInsert:
		c.countWrite(op)
		c.checkWrite(op)
	case KindRead, KindCount:
		if op.Outcome == Acknowledged {
			c.report.Reads++
			c.checkRead(op)
		}
	case KindFinalRead:
		if op.Outcome == Acknowledged {
			c.checkValue(op)
		}
	}
}

func (c *checker) countWrite(op *Op) {
	switch op.Outcome {
	case Acknowledged:
		c.report.Acknowledged++
	case NotRun:
		c.report.NotRunWrites++
	default:
		c.report.UnknownWrites++
	}
}

// checkWrite checks a write against the final reads.
func (c *checker) checkWrite(op *Op) {
	if op.DuplicateKey {
		c.fail(DoubledWrite, op, "the key of a new register already existed")
	}
	r := c.record(op)
	if !r.finalKnown {
		if op.Outcome == Acknowledged {
			c.report.Unverified++
		}
		return
	}
	if op.Kind == KindPut {
		c.checkFinalVersion(op, r)
		return
	}
	c.checkFinalCount(op, r)
}

func (c *checker) checkFinalVersion(op *Op, r *record) {
	switch {
	case op.Outcome == Acknowledged && r.finalVersion < op.Version:
		c.fail(LostWrite, op, "version %d at the end", r.finalVersion)
	case op.Outcome == Acknowledged:
		c.report.Found++
	case op.Outcome == NotRun && r.finalVersion == op.Version:
		c.fail(NotRunButRan, op, "version %d at the end", r.finalVersion)
	}
}

func (c *checker) checkFinalCount(op *Op, r *record) {
	switch {
	case r.finalCount > 1:
		c.fail(DoubledWrite, op, "%d items at the end", r.finalCount)
	case op.Outcome == Acknowledged && r.finalCount == 0:
		c.fail(LostWrite, op, "no item at the end")
	case op.Outcome == NotRun && r.finalCount == 1:
		c.fail(NotRunButRan, op, "one item at the end")
	}
	if op.Outcome == Acknowledged && r.finalCount > 0 {
		c.report.Found++
	}
}

// checkRead checks a successful read against the writes acknowledged before it.
func (c *checker) checkRead(op *Op) {
	saw := uint64(op.Count)
	if op.Kind == KindRead {
		var ok bool
		if saw, ok = c.checkValue(op); !ok {
			return
		}
	}
	if op.Kind == KindCount && op.Count > 1 {
		c.fail(DoubledWrite, op, "%d items", op.Count)
	}
	r := c.record(op)
	if own := versionAt(r.bySession[op.Session], op.Start); saw < own {
		c.fail(OwnWriteUnseen, op, "version %d seen, %d written", saw, own)
		return
	}
	if due := versionAt(r.all, op.Start-op.MaxAge); saw < due {
		c.fail(Stale, op, "version %d seen, %d required at age %s", saw, due, op.MaxAge)
	}
}

// checkValue checks that the value that a read returned was written under its
// key, and returns the value's version.
func (c *checker) checkValue(op *Op) (version uint64, ok bool) {
	if op.Saw == "" {
		return 0, true
	}
	key, version, ok := parseValue(op.Saw)
	if !ok || key != op.Key {
		c.fail(WrongAnswer, op, "not a value of this key")
		return 0, false
	}
	for _, w := range c.record(op).writes {
		if w.Version != version {
			continue
		}
		if w.Outcome == NotRun {
			c.fail(NotRunButRan, op, "version %d was reported as not run", version)
		}
		return version, true
	}
	c.fail(WrongAnswer, op, "version %d was never written", version)
	return 0, false
}
