// Package jsonc decodes JSON with comments strictly into structs. Every problem
// of a file is reported at once, each with its line, column and field path.
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
	// MaxBytes bounds the size of one file.
	MaxBytes = 4 << 20
	// maxBrackets bounds the opening brackets of one file, and so the parser's recursion.
	maxBrackets = 100_000
)

// Source remembers where the values of a decoded file stand.
type Source struct {
	file    string
	offsets map[string]int
	// lines are the offsets at which lines start.
	lines []int
}

// Problem returns a problem at field, or at its nearest parent that the file has.
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

// Parsed says that the file was read and its syntax is right, so that its
// values can be checked further.
func (s *Source) Parsed() bool { return s.lines != nil }

// ReadFile decodes the file at path into dst, which points to a struct.
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

// Decode decodes text into dst, which points to a struct; file names the text
// in problems. Fields without a value in the text keep what dst held before.
func Decode(file string, text []byte, dst any) (*Source, Problems) {
	src := &Source{file: file, offsets: make(map[string]int)}
	if len(text) > MaxBytes {
		return src, Problems{tooLarge(file)}
	}
	if brackets(text) > maxBrackets {
		return src, Problems{{File: file, Message: fmt.Sprintf("more than %d objects and arrays", maxBrackets)}}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return src, Problems{syntaxProblem(file, err)}
	}
	src.lines = lineStarts(text)
	d := decoder{src: src}
	d.decodeRoot(root, dst)
	d.problems.Sort()
	return src, d.problems
}

func tooLarge(file string) Problem {
	return Problem{File: file, Message: fmt.Sprintf("larger than %d bytes", MaxBytes)}
}

func brackets(text []byte) int {
	return bytes.Count(text, []byte("{")) + bytes.Count(text, []byte("["))
}

var syntaxPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxProblem takes the place out of the parser's error text.
func syntaxProblem(file string, err error) Problem {
	m := syntaxPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return Problem{File: file, Message: "syntax: " + err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Problem{File: file, Line: line, Column: column, Message: "syntax: " + m[3]}
}

func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// lineColumn returns the place of the byte at offset, both counted from 1.
func (s *Source) lineColumn(offset int) (line, column int) {
	line, found := slices.BinarySearch(s.lines, offset)
	if found {
		return line + 1, 1
	}
	return line, offset - s.lines[line-1] + 1
}

// parent cuts the last member or index off a field path.
func parent(field string) string {
	for i := len(field) - 1; i >= 0; i-- {
		if field[i] == '.' || field[i] == '[' {
			return field[:i]
		}
	}
	return ""
}
