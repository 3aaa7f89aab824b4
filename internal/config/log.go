package config

// maxSteps bounds the steps that a Log keeps.
const maxSteps = 32

// Step is the encoded delta between two versions.
type Step struct {
	// From is the version that the delta applies to.
	From uint64 `msgpack:"f"`
	// To is the version that it leads to.
	To uint64 `msgpack:"t"`
	// Delta is an encoded Delta.
	Delta []byte `msgpack:"d"`
}

// Log is the revision in force with the latest steps that led to it. Its
// version only grows. The zero value holds no revision.
type Log struct {
	version uint64
	current Revision
	steps   []Step
}

// Version returns the version in force, or 0.
func (l *Log) Version() uint64 { return l.version }

// Current returns the revision in force.
func (l *Log) Current() Revision { return l.current }

// Put brings rev in force under a higher version. It reports false, and changes
// nothing, if version is not higher.
func (l *Log) Put(version uint64, rev Revision) bool {
	if version <= l.version {
		return false
	}
	if l.version > 0 {
		l.addStep(version, Diff(l.current, rev))
	}
	l.version, l.current = version, rev
	return true
}

func (l *Log) addStep(version uint64, d Delta) {
	body, err := d.Encode()
	if err != nil {
		l.steps = nil
		return
	}
	l.steps = append(l.steps, Step{From: l.version, To: version, Delta: body})
	l.steps = l.steps[max(0, len(l.steps)-maxSteps):]
}

// Since returns the steps that lead from a version to the one in force; ok is
// false if they are not known or larger than the whole document.
func (l *Log) Since(version uint64) (steps []Step, ok bool) {
	size := 0
	for i := len(l.steps) - 1; i >= 0; i-- {
		size += len(l.steps[i].Delta)
		if size >= len(l.current.Body) {
			return nil, false
		}
		if l.steps[i].From == version {
			return l.steps[i:], true
		}
	}
	return nil, false
}

// Follow returns the revision that steps lead to from the one in force. Steps
// that lie behind it are passed over.
func (l *Log) Follow(steps []Step) (Revision, error) {
	var deltas []Delta
	for _, s := range steps {
		if s.From < l.version {
			continue
		}
		d, err := DecodeDelta(s.Delta)
		if err != nil {
			return Revision{}, err
		}
		deltas = append(deltas, d)
	}
	if len(deltas) == 0 {
		return Revision{}, ErrBase
	}
	return ApplyAll(l.current, deltas)
}
