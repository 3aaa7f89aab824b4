package config

// maxSteps is the number of steps that a Log keeps.
const maxSteps = 32

// Step is the encoded delta between two versions.
type Step struct {
	// From is the version that the delta applies to.
	From uint64 `msgpack:"f"`
	// To is the version that it produces.
	To uint64 `msgpack:"t"`
	// Delta is an encoded Delta.
	Delta []byte `msgpack:"d"`
}

// Log holds the revision in force and the latest steps that led to it. Its version
// never decreases. The zero value holds no revision.
type Log struct {
	version uint64
	current Revision
	steps   []Step
}

// Version returns the version in force; 0 means none.
func (l *Log) Version() uint64 { return l.version }

// Current returns the revision in force.
func (l *Log) Current() Revision { return l.current }

// Put puts rev in force at version. It returns false and changes nothing unless
// version is higher than the one in force.
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

// Since returns the steps from a version to the one in force; ok is false if they
// are no longer kept or larger than the whole document.
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

// Follow applies steps to the revision in force and returns the result. Steps from
// versions below the one in force are skipped.
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
