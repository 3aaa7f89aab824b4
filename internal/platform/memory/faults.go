package memory

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// FaultKind is the kind of fault that affects a call.
type FaultKind uint8

const (
	// FaultNone has no effect.
	FaultNone FaultKind = iota
	// FaultDown makes the call fail without any effect.
	FaultDown
	// FaultSlow delays the call. The call takes effect even if its context ends
	// during the delay.
	FaultSlow
	// FaultLoseAnswer lets the call take effect and drops its response.
	FaultLoseAnswer
)

var faultNames = []string{"none", "down", "slow", "lose-answer"}

// String returns "none", "down", "slow" or "lose-answer".
func (k FaultKind) String() string { return faultNames[k] }

// MarshalText implements encoding.TextMarshaler.
func (k FaultKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *FaultKind) UnmarshalText(b []byte) error {
	i := slices.Index(faultNames, string(b))
	if i < 0 {
		return errors.Errorf("not a fault: %q", b)
	}
	*k = FaultKind(i)
	return nil
}

// Fault describes a fault that affects the next calls.
type Fault struct {
	// Kind is the kind of fault.
	Kind FaultKind `json:"kind"`
	// Delay is the delay of FaultSlow, in nanoseconds in JSON.
	Delay time.Duration `json:"delay,omitempty"`
	// Calls is the number of calls affected; 0 means all until the fault is cleared.
	Calls int `json:"calls,omitempty"`
}

// Faults holds the fault in effect. The zero value has none. It is safe for
// concurrent use.
type Faults struct {
	mu      sync.Mutex
	current Fault
}

// Inject replaces the fault in effect with f.
func (fs *Faults) Inject(f Fault) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.current = f
}

// Clear removes the fault in effect.
func (fs *Faults) Clear() { fs.Inject(Fault{}) }

// Take returns the fault that affects the next call and counts the call.
func (fs *Faults) Take() Fault {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	f := fs.current
	if f.Calls == 1 {
		fs.current = Fault{}
	}
	if f.Calls > 1 {
		fs.current.Calls--
	}
	return f
}

// MarshalJSON returns the fault in effect.
func (fs *Faults) MarshalJSON() ([]byte, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return json.Marshal(fs.current)
}
