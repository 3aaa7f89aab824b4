package pgsession

import (
	"regexp"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/sqltext"
	"github.com/cranberrystage/cranberrystage/internal/tags"
)

// changeKind is the effect of a statement on the settings of its connection.
type changeKind uint8

const (
	changeNone changeKind = iota
	// changeSet sets one setting for the session.
	changeSet
	// changeReset returns one setting to its startup value.
	changeReset
	// changeResetAll returns all settings to their startup values.
	changeResetAll
	// changeHidden may change settings in a way that the text does not show.
	changeHidden
)

// change is how one statement changes the settings of its connection.
type change struct {
	kind changeKind
	name string
	// sql is the statement, for changeSet.
	sql string
}

// isTransactionScoped reports whether a SET followed by word affects only the
// open transaction.
func isTransactionScoped(word string) bool {
	return word == "local" || word == "transaction" || word == "constraints"
}

func refuseState(what string) error {
	return codes.New(codes.SessionState, codes.NotRun, 0, what)
}

// inspect returns how a statement changes its connection's settings, or a
// refusal if it would leave other state on the connection.
func inspect(sql string, inTransaction bool) (change, error) {
	switch word := sqltext.FirstWord(sql); word {
	case "set":
		return inspectSet(sql)
	case "reset":
		return inspectReset(sql)
	case "listen", "prepare", "execute", "load", "discard", "deallocate":
		return change{}, refuseState(word)
	case "declare":
		if hasWord(sql, "hold") && !hasWord(sql, "without") {
			return change{}, refuseState("a cursor WITH HOLD")
		}
	case "create":
		if createsTemporary(sql) && !(inTransaction && hasWord(sql, "drop")) {
			return change{}, refuseState("a temporary object")
		}
	case "do", "call":
		return change{kind: changeHidden}, inspectFunctions(sql)
	case "select", "with":
		if hasWord(sql, "into") && (hasWord(sql, "temp") || hasWord(sql, "temporary")) {
			return change{}, refuseState("a temporary table")
		}
	}
	if err := inspectFunctions(sql); err != nil {
		return change{}, err
	}
	if strings.IndexByte(sql, '_') >= 0 && hasWord(sql, "set_config") {
		return change{kind: changeHidden}, nil
	}
	return change{}, nil
}

func hasWord(sql, word string) bool {
	return sqltext.HasWord(sql, func(w string) bool { return strings.EqualFold(w, word) })
}

func createsTemporary(sql string) bool {
	words := sqltext.Words(sql, 4)
	for _, w := range words[1:] {
		if w == "temp" || w == "temporary" {
			return true
		}
	}
	return false
}

// inspectFunctions refuses advisory locks that outlive their transaction,
// because the proxy's slots are such locks.
func inspectFunctions(sql string) error {
	if strings.IndexByte(sql, '_') < 0 {
		return nil
	}
	if sqltext.HasWord(sql, isSessionLock) {
		return refuseState("an advisory lock of the session")
	}
	return nil
}

func isSessionLock(word string) bool {
	if len(word) < 3 || !strings.EqualFold(word[:3], "pg_") {
		return false
	}
	word = strings.ToLower(word)
	return strings.HasPrefix(word, "pg_") && strings.Contains(word, "advisory_") && !strings.Contains(word, "_xact_")
}

// setPattern matches an ordinary SET and its name. The other forms are in
// setForms.
var setPattern = regexp.MustCompile(`(?is)^\s*set\s+(?:session\s+)?([a-z_][\w.]*)\s*(?:=|\sto\s)`)

// setForms are the forms of SET whose name is not followed by = or TO: their
// first words and the setting that they change.
var setForms = []struct{ words, name string }{
	{"time zone", "timezone"},
	{"names", "client_encoding"},
	{"session characteristics", "session characteristics"},
	{"xml option", "xmloption"},
}

func inspectSet(sql string) (change, error) {
	text := withoutComments(sql)
	words := sqltext.Words(text, 4)
	if len(words) < 2 || isTransactionScoped(words[1]) {
		return change{}, nil
	}
	rest := strings.Join(words[1:], " ")
	for _, f := range setForms {
		if strings.HasPrefix(rest, f.words) || strings.HasPrefix(rest, "session "+f.words) {
			return change{kind: changeSet, name: f.name, sql: text}, nil
		}
	}
	m := setPattern.FindStringSubmatch(text)
	if m == nil {
		return change{}, refuseState("this form of SET")
	}
	name := strings.ToLower(m[1])
	switch {
	case strings.HasPrefix(name, tags.Prefix):
		return change{}, codes.New(codes.BadTag, codes.NotRun, 0, "the value can't be read, or SET does not stand alone")
	case name == "role", name == "session_authorization", name == "standard_conforming_strings":
		return change{}, refuseState("SET " + name)
	}
	return change{kind: changeSet, name: name, sql: text}, nil
}

// withoutComments removes comments from both ends of a statement that is
// recorded.
func withoutComments(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n;")
		if !strings.HasPrefix(sql, "/*") {
			break
		}
		_, rest, ok := strings.Cut(sql, "*/")
		if !ok {
			return ""
		}
		sql = rest
	}
	sql = strings.TrimRight(sql, " \t\r\n;")
	if open := strings.LastIndex(sql, "/*"); open > 0 && strings.HasSuffix(sql, "*/") {
		sql = strings.TrimRight(sql[:open], " \t\r\n")
	}
	return sql
}

func inspectReset(sql string) (change, error) {
	text := withoutComments(sql)
	name := strings.ToLower(strings.TrimSpace(text[len("reset"):]))
	switch name {
	case "all":
		return change{kind: changeResetAll}, nil
	case "time zone":
		name = "timezone"
	}
	return change{kind: changeReset, name: name}, nil
}

// Limits of the settings that one session records.
const (
	maxSettings      = 64
	maxSettingsBytes = 16 << 10
)

type setting struct{ name, sql string }

// settingsList holds the settings of one caller's session, in the order in
// which they were last set. The zero value is empty.
type settingsList struct {
	list []setting
	// startup are the settings of the caller's startup parameters.
	startup []setting
	// text is the SQL that applies all settings to a connection without
	// settings.
	text string
}

// setStartup makes s the settings to which RESET returns.
func (l *settingsList) setStartup(s []setting) {
	l.startup = s
	l.list = append([]setting(nil), s...)
	l.render()
}

// apply records changes that took effect.
func (l *settingsList) apply(changes []change) {
	for _, c := range changes {
		switch c.kind {
		case changeSet:
			l.remove(c.name)
			l.list = append(l.list, setting{name: c.name, sql: c.sql})
		case changeReset:
			l.reset(c.name)
		case changeResetAll:
			l.list = append([]setting(nil), l.startup...)
		}
	}
	l.render()
}

func (l *settingsList) remove(name string) {
	kept := l.list[:0]
	for _, s := range l.list {
		if s.name != name {
			kept = append(kept, s)
		}
	}
	l.list = kept
}

func (l *settingsList) reset(name string) {
	l.remove(name)
	for _, s := range l.startup {
		if s.name == name {
			l.list = append(l.list, s)
		}
	}
}

func (l *settingsList) render() {
	var b strings.Builder
	for _, s := range l.list {
		b.WriteString(s.sql)
		b.WriteString("\n;")
	}
	l.text = b.String()
}

// checkLimits refuses changes that would exceed the session's limits.
func (l *settingsList) checkLimits(changes []change) error {
	n, size := len(l.list), len(l.text)
	for _, c := range changes {
		if c.kind == changeSet {
			n++
			size += len(c.sql)
		}
	}
	if n > maxSettings || size > maxSettingsBytes {
		return refuseState("too many settings in one session")
	}
	return nil
}

// inspection is how a batch changes its connection.
type inspection struct {
	changes []change
	// hidden is set if settings may change in a way that the text does not
	// show.
	hidden bool
	// opens is set if the batch opens a transaction.
	opens bool
}

// changesSettings reports whether the connection may have other settings afterwards.
func (i *inspection) changesSettings() bool { return i.hidden || len(i.changes) > 0 }

// inspectAll inspects the statements of a batch.
func inspectAll(statements []string, inTransaction, pending bool) (inspection, error) {
	var out inspection
	rollsBack := false
	for i, sql := range statements {
		c, err := inspect(sql, inTransaction || out.opens)
		if err != nil {
			return inspection{}, err
		}
		word := sqltext.FirstWord(sql)
		if i == 0 && opensTransaction(word) {
			out.opens = true
		}
		if word == "rollback" || word == "abort" {
			rollsBack = true
			if hasWord(sql, "to") && (pending || len(out.changes) > 0) {
				return inspection{}, refuseState("ROLLBACK TO after SET")
			}
		}
		switch c.kind {
		case changeNone:
		case changeHidden:
			out.hidden = true
		default:
			out.changes = append(out.changes, c)
		}
	}
	if rollsBack && len(out.changes) > 0 && len(statements) > 1 {
		return inspection{}, refuseState("SET beside ROLLBACK")
	}
	return out, nil
}

func opensTransaction(word string) bool { return word == "begin" || word == "start" }
