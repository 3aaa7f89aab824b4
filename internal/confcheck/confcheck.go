// Package confcheck holds the result of checking a configuration before it is put in
// force: its findings, and what differs from another version.
package confcheck

import (
	"fmt"
	"io"
	"slices"
)

// Level is how serious a finding is.
type Level string

// Values of Level.
const (
	// Error means that a part of the configuration has no effect, or another one than
	// it states.
	Error Level = "error"
	// Notice means that an entry has no use but does no harm.
	Notice Level = "notice"
)

// Finding is something wrong with an entry.
type Finding struct {
	// Level is how serious it is.
	Level Level `json:"level"`
	// Place is the position or the field, such as "routes[3].backend".
	Place string `json:"place"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
}

// Change is what differs in one entry.
type Change struct {
	// Entry names the entry, such as "route r-1".
	Entry string `json:"entry"`
	// Text says what differs.
	Text string `json:"text"`
	// Callers says which callers it affects and how; empty if it takes nothing from any.
	Callers string `json:"callers,omitempty"`
}

// Report is the result of a check. It never contains a key of a caller.
type Report struct {
	// Findings are in the order of the configuration.
	Findings []Finding `json:"findings"`
	// Changes are the differences from the other version; nil without one.
	Changes []Change `json:"changes,omitempty"`
}

// Add adds a finding.
func (r *Report) Add(level Level, place, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Level: level, Place: place, Reason: fmt.Sprintf(format, args...)})
}

// HasErrors reports whether any finding is an error.
func (r *Report) HasErrors() bool {
	return slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Level == Error })
}

// Write writes one line for each finding and each change.
func (r *Report) Write(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s: %s: %s\n", f.Level, f.Place, f.Reason)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(w, "change: %s: %s", c.Entry, c.Text)
		if c.Callers != "" {
			fmt.Fprintf(w, "; callers: %s", c.Callers)
		}
		fmt.Fprintln(w)
	}
	if len(r.Findings) == 0 && len(r.Changes) == 0 {
		fmt.Fprintln(w, "nothing found")
	}
}
