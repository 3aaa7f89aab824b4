// Package logread parses the logs of many VMs and selects lines in order of time:
// those about one request, and those about changes in the state that processes
// observed, such as the primary of a group.
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

// maxLineBytes is the length of the longest line that can be read, in bytes.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	// Time is the wall-clock time of the VM that wrote the line; clocks of VMs may
	// differ.
	Time time.Time
	// Source is the name of the log, followed by the text before the first attribute
	// of the line, if any.
	Source string
	// Level is the log level, such as "INFO" or "WARN".
	Level string
	// Part is the part of the program that wrote the line, such as "fleet".
	Part string
	// Message is the message without the prefix of the part.
	Message string
	// Fields holds the other attributes in their order in the line.
	Fields []Field
}

// Field is one attribute of a line.
type Field struct{ Name, Value string }

// Value returns the value of the attribute called name, or "".
func (l *Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Read returns the lines of a log. Text before the first attribute of a line, such
// as a VM's name, is appended to the source. Lines without a time are skipped.
func Read(source string, r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
	if prefix := strings.TrimSpace(text[:start]); prefix != "" {
		l.Source += " " + prefix
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

// fields parses name=value pairs; values may be quoted.
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

// value parses the value at the start of text and returns the text after it.
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

// stateParts are the parts whose lines report starts, stops and changes in the
// state that a process observes.
var stateParts = map[string]bool{"fleet": true, "entry": true, "rowrelay": true, "logging": true}

// Timeline returns the lines about starts, stops and changes of observed state, in
// order of time. If group is not empty, it returns only lines of that group and
// lines of no group.
func Timeline(lines []Line, group string) []Line {
	var out []Line
	for _, l := range lines {
		if g := l.Value("group"); stateParts[l.Part] && (group == "" || g == "" || g == group) {
			out = append(out, l)
		}
	}
	sortByTime(out)
	return out
}

// RelatedWindow is how long before a request's last line a change of observed state is
// regarded as related to the request.
const RelatedWindow = 5 * time.Second

// RequestLines returns the lines of a request, together with the state changes of
// its group up to RelatedWindow before the last of them. It returns nil if the
// request has no lines.
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
		if !l.Time.After(last.Time) && last.Time.Sub(l.Time) <= RelatedWindow && (group != "" || l.Value("group") == "") {
			out = append(out, l)
		}
	}
	sortByTime(out)
	return out
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}
