// Package logread reads the log lines of many VMs back: one request's story, and
// the changes of what the processes believed, in the order of time.
package logread

import (
	"bufio"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// lineLimit is the longest line that is read, in bytes.
const lineLimit = 1 << 20

// Line is one log line.
type Line struct {
	// Time is the writer's time of day; clocks of VMs may differ.
	Time time.Time
	// Source is the file, and what stood before the line in it.
	Source string
	// Level is "INFO", "WARN" and the like.
	Level string
	// Part is the prefix of the part that wrote it, such as "fleet".
	Part string
	// Message is what it says.
	Message string
	// Fields are the attributes in the order in which they were written.
	Fields []Field
}

// Field is one attribute of a line.
type Field struct{ Name, Value string }

// Value returns the attribute called name, or "".
func (l *Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Read returns the lines of a log. What stands before the first attribute of a
// line, such as a VM's name, is added to the source; lines without a time are
// left out.
func Read(source string, r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		if l, ok := parse(source, scanner.Text()); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(scanner.Err(), "read %s", source)
}

func parse(source, text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source}
	if before := strings.TrimSpace(text[:start]); before != "" {
		l.Source += " " + before
	}
	for _, f := range fields(text[start:]) {
		switch f.Name {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, f.Value)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "level":
			l.Level = f.Value
		case "msg":
			l.Part, l.Message, _ = strings.Cut(f.Value, ": ")
			if l.Message == "" {
				l.Part, l.Message = "", f.Value
			}
		default:
			l.Fields = append(l.Fields, f)
		}
	}
	return l, true
}

// fields splits name=value pairs; values may be quoted.
func fields(text string) []Field {
	var out []Field
	for text = strings.TrimLeft(text, " "); text != ""; text = strings.TrimLeft(text, " ") {
		name, rest, ok := strings.Cut(text, "=")
		if !ok {
			break
		}
		value, rest := value(rest)
		out = append(out, Field{Name: name, Value: value})
		text = rest
	}
	return out
}

func value(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return text, ""
	}
	value, err = strconv.Unquote(quoted)
	if err != nil {
		return quoted, text[len(quoted):]
	}
	return value, text[len(quoted):]
}

// beliefs are the parts whose lines tell what a process believes.
var beliefs = map[string]bool{"fleet": true, "entry": true, "rowrelay": true, "logging": true}

// Timeline returns the lines that tell of a start, a stop or a change of
// belief, in the order of time; group keeps those of one group and those of none.
func Timeline(lines []Line, group string) []Line {
	var out []Line
	for _, l := range lines {
		if g := l.Value("group"); beliefs[l.Part] && (group == "" || g == "" || g == group) {
			out = append(out, l)
		}
	}
	sortByTime(out)
	return out
}

// Around is how long before a request's end changes of belief belong to its story.
const Around = 5 * time.Second

// RequestLines returns the lines of a request and, before them, what changed the
// belief about its group shortly before.
func RequestLines(lines []Line, request string) []Line {
	var own []Line
	for _, l := range lines {
		if l.Value("request") == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	out := own
	last := own[len(own)-1]
	group := last.Value("group")
	for _, l := range Timeline(lines, group) {
		if !l.Time.After(last.Time) && last.Time.Sub(l.Time) <= Around && (group != "" || l.Value("group") == "") {
			out = append(out, l)
		}
	}
	sortByTime(out)
	return out
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}
