// Package engine parses a small subset of SQL and holds the key-value state of
// an emulated database server. A table is created on first use and has the text
// columns k and v. Several rows without k may hold the same value.
package engine

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of a statement.
type Kind uint8

// The kinds of statements that the emulator runs.
const (
	KindSelectOne Kind = iota
	KindSelectKey
	KindCountValue
	KindInsertKey
	KindInsertKeyless
	KindUpdateKey
	KindDeleteKey
	KindBegin
	KindCommit
	KindRollback
	KindSleep
	KindSet
	KindShow
	KindReset
	KindFunction
	KindEmpty
	KindListen
	KindTryLocks
	KindSetLocal
	KindResetOne
)

// Statement is one parsed statement. Arguments may be literals or "$n".
type Statement struct {
	// Kind is the kind of the statement.
	Kind Kind
	// Table is the table's name.
	Table string
	// Args are the literals or parameters in order of appearance, except that the
	// key always precedes the value.
	Args []Arg
	// Name is the function's or setting's name.
	Name string
}

// Arg is a literal, or a parameter when Param is at least 1.
type Arg struct {
	// Text is the literal.
	Text string
	// Param is the parameter's number, from 1; 0 for a literal.
	Param int
}

// Value returns the literal, or the parameter's text from params.
func (a Arg) Value(params []string) (string, error) {
	if a.Param == 0 {
		return a.Text, nil
	}
	if a.Param > len(params) {
		return "", errors.Errorf("there is no parameter $%d", a.Param)
	}
	return params[a.Param-1], nil
}

const argPattern = `('(?:[^']|'')*'|\$\d+|-?\d+(?:\.\d+)?)`

type rule struct {
	pattern *regexp.Regexp
	kind    Kind
}

// compile returns the rule for a statement. In pattern a space stands for white
// space, "~" for optional white space and "ARG" for a literal or parameter.
func compile(kind Kind, pattern string) rule {
	full := `(?is)^\s*` + strings.ReplaceAll(pattern, " ", `\s+`) + `\s*$`
	full = strings.ReplaceAll(full, "ARG", argPattern)
	full = strings.ReplaceAll(full, "~", `\s*`)
	return rule{pattern: regexp.MustCompile(full), kind: kind}
}

// rules are tried in order; the first one that matches wins.
var rules = []rule{
	compile(KindSelectKey, `select v from (\w+) where k~=~ARG`),
	compile(KindCountValue, `select count\(\*\) from (\w+) where v~=~ARG`),
	compile(KindInsertKey, `insert into (\w+)~\(~k~,~v~\)~values~\(~ARG~,~ARG~\)`),
	compile(KindInsertKeyless, `insert into (\w+)~\(~v~\)~values~\(~ARG~\)`),
	compile(KindUpdateKey, `update (\w+) set v~=~ARG where k~=~ARG`),
	compile(KindDeleteKey, `delete from (\w+) where k~=~ARG`),
	compile(KindBegin, `(?:begin|start transaction)(?: .*)?`),
	compile(KindCommit, `(?:commit|end)`),
	compile(KindRollback, `(?:rollback|abort)`),
	compile(KindSleep, `select pg_sleep\(~ARG~\)`),
	compile(KindTryLocks, `select case((?: when (?:pg_catalog\.)?pg_try_advisory_lock\(\d+\) then \d+)+) else -1 end`),
	compile(KindFunction, `select (?:pg_catalog\.)?(\w+)\(~(?:ARG~)?(?:,~ARG~)?(?:,~ARG~)?(?:,~ARG~)?\)`),
	compile(KindSelectOne, `select ARG`),
	compile(KindSetLocal, `set local ([\w.]+)(?:~=~| to )(.+)`),
	compile(KindSet, `set (?:session )?([\w.]+)(?:~=~| to )(.+)`),
	compile(KindShow, `show ([\w.]+)`),
	compile(KindReset, `(discard all|reset all|deallocate all|unlisten \*|close all)`),
	compile(KindResetOne, `reset ([\w.]+)`),
	compile(KindListen, `listen (\w+)`),
}

var commentPattern = regexp.MustCompile(`(?s)/\*.*?\*/`)

// Parse parses one statement, without its semicolon; comments are ignored.
func Parse(sql string) (Statement, error) {
	text := sql
	if strings.Contains(text, "/*") {
		text = commentPattern.ReplaceAllString(text, " ")
	}
	text = strings.TrimSpace(text)
	if text == "" {
		return Statement{Kind: KindEmpty}, nil
	}
	for _, r := range rules {
		m := r.pattern.FindStringSubmatch(text)
		if m != nil {
			return build(r.kind, m[1:])
		}
	}
	return Statement{}, errors.Errorf("syntax error at or near %q", excerpt(text))
}

func excerpt(text string) string {
	return text[:min(len(text), 40)]
}

func build(kind Kind, groups []string) (Statement, error) {
	s := Statement{Kind: kind}
	switch kind {
	case KindSelectKey, KindCountValue, KindInsertKey, KindInsertKeyless, KindDeleteKey:
		s.Table = strings.ToLower(groups[0])
		groups = groups[1:]
	case KindUpdateKey:
		s.Table = strings.ToLower(groups[0])
		groups = []string{groups[2], groups[1]}
	case KindFunction, KindShow, KindListen, KindResetOne:
		s.Name = strings.ToLower(groups[0])
		groups = groups[1:]
	case KindSet, KindSetLocal:
		s.Name = strings.ToLower(groups[0])
		s.Args = []Arg{{Text: strings.Trim(strings.TrimSpace(groups[1]), `'"`)}}
		return s, nil
	case KindTryLocks:
		s.Args = lockArgs(groups[0])
		return s, nil
	case KindReset:
		s.Name = strings.ToLower(groups[0])
		return s, nil
	case KindBegin, KindCommit, KindRollback:
		return s, nil
	}
	for _, g := range groups {
		if g == "" {
			continue
		}
		a, err := parseArg(g)
		if err != nil {
			return Statement{}, err
		}
		s.Args = append(s.Args, a)
	}
	return s, nil
}

var numberPattern = regexp.MustCompile(`\d+`)

// lockArgs returns the lock names and results of a KindTryLocks, alternating.
func lockArgs(branches string) []Arg {
	var args []Arg
	for _, n := range numberPattern.FindAllString(branches, -1) {
		args = append(args, Arg{Text: n})
	}
	return args
}

func parseArg(text string) (Arg, error) {
	if strings.HasPrefix(text, "$") {
		n, err := strconv.Atoi(text[1:])
		if err != nil || n < 1 {
			return Arg{}, errors.Errorf("bad parameter %q", text)
		}
		return Arg{Param: n}, nil
	}
	if strings.HasPrefix(text, "'") {
		return Arg{Text: strings.ReplaceAll(text[1:len(text)-1], "''", "'")}, nil
	}
	return Arg{Text: text}, nil
}

// Split splits a simple query at the semicolons outside literals and comments.
func Split(sql string) []string {
	var parts []string
	start := 0
	for i := 0; i < len(sql); i++ {
		switch {
		case sql[i] == '\'':
			i = skipTo(sql, i+1, "'")
		case strings.HasPrefix(sql[i:], "/*"):
			i = skipTo(sql, i+2, "*/")
		case sql[i] == ';':
			parts = append(parts, sql[start:i])
			start = i + 1
		}
	}
	if strings.TrimSpace(sql[start:]) != "" {
		parts = append(parts, sql[start:])
	}
	return parts
}

// skipTo returns the index of the last byte of the next end at or after from, or
// len(sql) if there is none.
func skipTo(sql string, from int, end string) int {
	if from > len(sql) {
		return len(sql)
	}
	i := strings.Index(sql[from:], end)
	if i < 0 {
		return len(sql)
	}
	return from + i + len(end) - 1
}

// Params returns the highest parameter number that the statement uses.
func (s Statement) Params() int {
	n := 0
	for _, a := range s.Args {
		n = max(n, a.Param)
	}
	return n
}

// SleepTime returns the duration of a pg_sleep argument in seconds.
func SleepTime(text string) (time.Duration, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Errorf("bad number %q", text)
	}
	return time.Duration(f * float64(time.Second)), nil
}
