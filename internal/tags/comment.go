package tags

import (
	"net/url"
	"strings"
)

const (
	commentOpen  = "/*"
	commentClose = "*/"
	whitespace   = " \t\r\n"
)

// FromComment reads the tags of a leading and a trailing SQL comment in the
// sqlcommenter format; the trailing one wins. Comments in another format and
// keys of other tools are ignored. It allocates nothing when there is no
// comment.
func FromComment(sql string) (Tags, error) {
	var t Tags
	leading := leadingComment(sql)
	if leading != "" {
		if err := t.addPairs(leading); err != nil {
			return Tags{}, err
		}
	}
	trailing := trailingComment(sql)
	if trailing != "" && trailing != leading {
		if err := t.addPairs(trailing); err != nil {
			return Tags{}, err
		}
	}
	return t, nil
}

func leadingComment(sql string) string {
	sql = strings.TrimLeft(sql, whitespace)
	if !strings.HasPrefix(sql, commentOpen) {
		return ""
	}
	body, _, closed := strings.Cut(sql[len(commentOpen):], commentClose)
	if !closed {
		return ""
	}
	return body
}

func trailingComment(sql string) string {
	sql = strings.TrimRight(sql, whitespace+";")
	if !strings.HasSuffix(sql, commentClose) {
		return ""
	}
	sql = sql[:len(sql)-len(commentClose)]
	open := strings.LastIndex(sql, commentOpen)
	if open < 0 {
		return ""
	}
	return sql[open+len(commentOpen):]
}

// pair is one key='value' of a comment, still URL-encoded.
type pair struct {
	key, value string
}

// addPairs sets every known key of body. A body that is not a list of pairs has
// no effect, so that prose in a comment declares nothing.
func (t *Tags) addPairs(body string) error {
	var out Tags
	for rest := body; ; {
		p, after, ok := nextPair(rest)
		if !ok {
			return malformedTagError(rest)
		}
		if Known(p.key) {
			if err := out.setEncoded(p); err != nil {
				return err
			}
		}
		if after == "" {
			*t = Merge(*t, out)
			return nil
		}
		rest = after
	}
}

// setEncoded decodes the value of p and sets the tag.
func (t *Tags) setEncoded(p pair) error {
	value, err := url.PathUnescape(strings.ReplaceAll(p.value, `\`, ""))
	if err != nil {
		return badTag(p.key, "the value is not URL-encoded")
	}
	return t.Set(p.key, value)
}

// nextPair parses key='value' at the start of s; rest is what follows the
// comma.
func nextPair(s string) (p pair, rest string, ok bool) {
	key, after, found := strings.Cut(s, "=")
	after = strings.TrimLeft(after, whitespace)
	if !found || !strings.HasPrefix(after, "'") {
		return pair{}, "", false
	}
	after = after[1:]
	end := closingQuote(after)
	if end < 0 {
		return pair{}, "", false
	}
	p = pair{key: strings.Trim(key, whitespace), value: after[:end]}
	rest = strings.Trim(after[end+1:], whitespace)
	if rest == "" {
		return p, "", true
	}
	next, comma := strings.CutPrefix(rest, ",")
	return p, next, comma && next != ""
}

// closingQuote returns the index of the first quote that is not escaped by a
// backslash, or -1.
func closingQuote(s string) int {
	for i := 0; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '\'':
			return i
		}
	}
	return -1
}

// malformedTagError returns an error if rest, which is not a list of key='value'
// pairs, starts with the name of a tag and "=". A comment in another format is no
// error.
func malformedTagError(rest string) error {
	key, _, found := strings.Cut(rest, "=")
	key = strings.Trim(key, whitespace)
	if found && Known(key) {
		return badTag(key, "expected key='value' pairs joined by commas")
	}
	return nil
}

// Assignment is a statement SET cranberrystage.name = 'value'.
type Assignment struct {
	// Name is the tag's name without Prefix.
	Name string
	// Value is the new value, with quotes removed; empty for DEFAULT.
	Value string
}

// ParseSet parses SET [SESSION] cranberrystage.name {=|TO} value. It reports
// false for every other statement.
func ParseSet(sql string) (Assignment, bool) {
	rest, ok := cutWord(strings.Trim(sql, whitespace+";"), "set")
	if !ok {
		return Assignment{}, false
	}
	if after, session := cutWord(rest, "session"); session {
		rest = after
	}
	if len(rest) < len(Prefix) || !strings.EqualFold(rest[:len(Prefix)], Prefix) {
		return Assignment{}, false
	}
	rest = rest[len(Prefix):]
	end := strings.IndexAny(rest, whitespace+"=")
	if end < 0 {
		return Assignment{}, false
	}
	name := strings.ToLower(rest[:end])
	value, ok := assignedValue(strings.TrimLeft(rest[end:], whitespace))
	return Assignment{Name: name, Value: value}, ok
}

// ParseReset parses RESET cranberrystage.name. It reports false for every other
// statement.
func ParseReset(sql string) (Assignment, bool) {
	rest, ok := cutWord(strings.Trim(sql, whitespace+";"), "reset")
	if !ok || len(rest) <= len(Prefix) || !strings.EqualFold(rest[:len(Prefix)], Prefix) {
		return Assignment{}, false
	}
	name := strings.ToLower(rest[len(Prefix):])
	return Assignment{Name: name}, !strings.ContainsAny(name, whitespace+";'=")
}

// assignedValue parses {=|TO} value at the end of a SET. The value is a literal
// in single quotes, a single word, or DEFAULT, for which it returns "".
func assignedValue(s string) (string, bool) {
	value, ok := strings.CutPrefix(s, "=")
	if !ok {
		if value, ok = cutWord(s, "to"); !ok {
			return "", false
		}
	}
	value = strings.Trim(value, whitespace)
	if strings.EqualFold(value, "default") {
		return "", true
	}
	if !strings.HasPrefix(value, "'") {
		return value, value != "" && !strings.ContainsAny(value, whitespace+"';")
	}
	if len(value) < 2 || !strings.HasSuffix(value, "'") {
		return "", false
	}
	inner := value[1 : len(value)-1]
	unquoted := strings.ReplaceAll(inner, "''", "")
	return strings.ReplaceAll(inner, "''", "'"), !strings.Contains(unquoted, "'")
}

// cutWord removes a leading word, in any case, and the white space after it.
func cutWord(s, word string) (string, bool) {
	if len(s) <= len(word) || !strings.EqualFold(s[:len(word)], word) {
		return s, false
	}
	if !strings.ContainsRune(whitespace, rune(s[len(word)])) {
		return s, false
	}
	return strings.TrimLeft(s[len(word):], whitespace), true
}
