package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	// File is the path of the file as it was given.
	File string `json:"file"`
	// Line counts from 1; 0 means that the problem concerns the whole file.
	Line int `json:"line"`
	// Column counts bytes from 1; 0 means that the problem concerns the whole file.
	Column int `json:"column"`
	// Field is the path of the value, such as "groups[0].upstreams[2].slots"; it may be empty.
	Field string `json:"field"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// String returns "file:line:column: field: message".
func (p Problem) String() string { return p.Place() + ": " + p.Message }

// Place returns "file:line:column: field".
func (p Problem) Place() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	if p.Field != "" {
		b.WriteString(": " + p.Field)
	}
	return b.String()
}

// Problems are the errors of one or more files. A non-empty value is an error.
type Problems []Problem

// Error implements error with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if there are no problems.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// And returns ps and those problems of more that concern other fields, sorted. A
// problem of more about a field of ps is left out: a value that could not be
// decoded kept its previous content, so a check of that content means nothing.
func (ps Problems) And(more Problems) Problems {
	out := slices.Clone(ps)
	for _, p := range more {
		same := func(q Problem) bool { return q.File == p.File && q.Field == p.Field }
		if !slices.ContainsFunc(ps, same) {
			out = append(out, p)
		}
	}
	out.Sort()
	return out
}

// Sort sorts the problems by file, line and column; the sort is stable.
func (ps Problems) Sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}
