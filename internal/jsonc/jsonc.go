// Package jsonc strictly decodes JSON with comments into structs. It reports all
// problems of a file together, each with its line, column and field path.
package jsonc

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the maximum size of a file.
	MaxBytes = 4 << 20
	// maxBrackets is the maximum number of opening brackets in a file. It limits the
	// recursion depth of the parser.
	maxBrackets = 100_000
)

// Source records the positions of the values of a decoded file.
type Source struct {
	file string
	// offsets are the byte offsets of values by field path.
	offsets map[string]int
	// lineStarts are the byte offsets at which lines start; it is nil unless the file
	// was parsed.
	lineStarts []int
}

// Problem returns a problem with the position of field, or of its nearest parent
// that is in the file.
func (s *Source) Problem(field, message string) Problem {
	p := Problem{File: s.file, Field: field, Message: message}
	for at := field; ; at = parent(at) {
		if off, ok := s.offsets[at]; ok {
			p.Line, p.Column = s.lineColumn(off)
			return p
		}
		if at == "" {
			return p
		}
	}
}

// Parsed reports whether the file was read and has valid syntax, so that its
// values can be checked further.
func (s *Source) Parsed() bool { return s.lineStarts != nil }

// ReadFile decodes the file at path into dst, which must be a pointer to a struct.
func ReadFile(path string, dst any) (*Source, Problems) {
	info, err := os.Stat(path)
	if err != nil {
		return &Source{file: path}, Problems{{File: path, Message: err.Error()}}
	}
	if info.Size() > MaxBytes {
		return &Source{file: path}, Problems{tooLarge(path)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return &Source{file: path}, Problems{{File: path, Message: err.Error()}}
	}
	return Decode(path, text, dst)
}

// Decode decodes text into dst, which must be a pointer to a struct. Problems
// carry file as the file name. Fields without a value in the text keep the value
// that they had in dst.
func Decode(file string, text []byte, dst any) (*Source, Problems) {
	src := &Source{file: file, offsets: make(map[string]int)}
	if len(text) > MaxBytes {
		return src, Problems{tooLarge(file)}
	}
	if countBrackets(text) > maxBrackets {
		return src, Problems{{File: file, Message: fmt.Sprintf("more than %d objects and arrays", maxBrackets)}}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return src, Problems{syntaxProblem(file, err)}
	}
	src.lineStarts = findLineStarts(text)
	d := decoder{src: src}
	d.decodeRoot(root, dst)
	d.problems.Sort()
	return src, d.problems
}

func tooLarge(file string) Problem {
	return Problem{File: file, Message: fmt.Sprintf("larger than %d bytes", MaxBytes)}
}

func countBrackets(text []byte) int {
	return bytes.Count(text, []byte("{")) + bytes.Count(text, []byte("["))
}

var syntaxPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxProblem extracts line and column from the error text of the parser.
func syntaxProblem(file string, err error) Problem {
	m := syntaxPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return Problem{File: file, Message: "syntax: " + err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Problem{File: file, Line: line, Column: column, Message: "syntax: " + m[3]}
}

func findLineStarts(text []byte) []int {
	starts := []int{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// lineColumn returns the line and column of the byte at offset, both counted from 1.
func (s *Source) lineColumn(offset int) (line, column int) {
	line, found := slices.BinarySearch(s.lineStarts, offset)
	if found {
		return line + 1, 1
	}
	return line, offset - s.lineStarts[line-1] + 1
}

// parent returns a field path without its last member or index.
func parent(field string) string {
	for i := len(field) - 1; i >= 0; i-- {
		if field[i] == '.' || field[i] == '[' {
			return field[:i]
		}
	}
	return ""
}
