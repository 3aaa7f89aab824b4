package jsonc

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type inner struct {
	Count int            `json:"count"`
	Share float64        `json:"share"`
	Names []string       `json:"names"`
	ByKey map[string]int `json:"byKey"`
}

type sample struct {
	Title string    `json:"title"`
	On    bool      `json:"on"`
	Size  uint64    `json:"size"`
	At    time.Time `json:"at"`
	Inner inner     `json:"inner"`
	Maybe *int      `json:"maybe"`
}

func TestDecodeReadsEveryKind(t *testing.T) {
	text := `// comment
{"title": "a", "on": true, "size": 3, "at": "2026-01-02T03:04:05Z", /* c */ "maybe": 0,
 "inner": {"count": -1, "share": 0.5, "names": ["x", "y"], "byKey": {"k": 7},},}`
	var got sample
	_, problems := Decode("f", []byte(text), &got)
	assert.NilError(t, problems.Err())
	zero := 0
	want := sample{Title: "a", On: true, Size: 3, At: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), Maybe: &zero}
	want.Inner = inner{Count: -1, Share: 0.5, Names: []string{"x", "y"}, ByKey: map[string]int{"k": 7}}
	assert.DeepEqual(t, got, want)
}

func TestDecodeReportsEveryProblem(t *testing.T) {
	text := `{
  "title": 5,
  "on": "yes",
  "size": -1,
  "at": "noon",
  "titel": "x",
  "inner": {"count": 1.5, "names": ["a", 2], "byKey": {"k": null}, "count": 2},
  "maybe": {},
}`
	_, problems := Decode("f", []byte(text), &sample{})
	var lines []string
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	assert.DeepEqual(t, lines, []string{
		`f:2:12: title: want a string, have the number 5`,
		`f:3:9: on: want true or false, have a string`,
		`f:4:11: size: want a whole number from 0, have the number -1`,
		`f:5:9: at: parsing time "noon" as "2006-01-02T15:04:05Z07:00": cannot parse "noon" as "2006"`,
		`f:6:3: titel: unknown field`,
		`f:7:22: inner.count: want a whole number, have the number 1.5`,
		`f:7:42: inner.names[1]: want a string, have the number 2`,
		`f:7:61: inner.byKey.k: want a whole number, have null`,
		`f:7:68: inner.count: duplicate field`,
		`f:8:12: maybe: want a whole number, have an object`,
	})
}

func TestDecodeReportsPositionOfSyntaxError(t *testing.T) {
	_, problems := Decode("f", []byte("{\n  \"title\" \"x\"}"), &sample{})
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Line, 2)
	assert.Equal(t, problems[0].Column, 11)
	assert.Assert(t, strings.HasPrefix(problems[0].Message, "syntax: "))
}

func TestDecodeRejectsLargeAndDeepText(t *testing.T) {
	_, problems := Decode("f", make([]byte, MaxBytes+1), &sample{})
	assert.ErrorContains(t, problems.Err(), "larger than")
	_, problems = Decode("f", []byte(strings.Repeat("[", maxBrackets+1)), &sample{})
	assert.ErrorContains(t, problems.Err(), "objects and arrays")
	_, problems = Decode("f", []byte(strings.Repeat("[", maxBrackets)), &sample{})
	assert.ErrorContains(t, problems.Err(), "syntax")
}

func TestProblemFallsBackToNearestParent(t *testing.T) {
	src, problems := Decode("f", []byte("{\n \"inner\": {\n  \"names\": [\"a\"]}}"), &sample{})
	assert.NilError(t, problems.Err())
	assert.Equal(t, src.Problem("inner.names[0]", "m").String(), "f:3:13: inner.names[0]: m")
	assert.Equal(t, src.Problem("inner.share", "m").String(), "f:2:11: inner.share: m")
	assert.Equal(t, src.Problem("title", "m").String(), "f:1:1: title: m")
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"title": "a", "inner": {"names": ["x"]}}`)
	f.Add("{\n// c\n\"titel\": 1,}")
	f.Fuzz(func(t *testing.T, text string) {
		var dst sample
		src, problems := Decode("f", []byte(text), &dst)
		for _, p := range append(problems, src.Problem("inner.names[3]", "m")) {
			assert.Assert(t, p.Line <= strings.Count(text, "\n")+1)
			assert.Assert(t, p.Column <= len(text)+1)
		}
	})
}
