// Package sqltext finds statements and keywords in SQL text. It recognizes
// literals, quoted names and comments, but no other grammar.
package sqltext

import "strings"

// Split cuts sql at the semicolons that stand outside literals, quoted names
// and comments. Statements without a keyword are left out.
func Split(sql string) []string {
	if !strings.Contains(sql, ";") {
		if FirstWord(sql) == "" {
			return nil
		}
		return []string{sql}
	}
	var parts []string
	start := 0
	for i := 0; i <= len(sql); {
		if i == len(sql) || sql[i] == ';' {
			if part := sql[start:i]; FirstWord(part) != "" {
				parts = append(parts, part)
			}
			i++
			start = i
			continue
		}
		i = skip(sql, i)
	}
	return parts
}

// skip returns the index after the literal, comment, name or single byte at i.
func skip(sql string, i int) int {
	switch c := sql[i]; {
	case c == '\'':
		return skipQuoted(sql, i+1, '\'', isEscapeLiteral(sql, i))
	case c == '"':
		return skipQuoted(sql, i+1, '"', false)
	case c == '$':
		return skipDollar(sql, i)
	case strings.HasPrefix(sql[i:], "--"):
		return skipLine(sql, i)
	case strings.HasPrefix(sql[i:], "/*"):
		return skipBlock(sql, i)
	case isWord(c):
		for i < len(sql) && (isWord(sql[i]) || sql[i] == '$') {
			i++
		}
		return i
	default:
		return i + 1
	}
}

// isEscapeLiteral reports whether the literal at i starts with E, in which a
// backslash is an escape.
func isEscapeLiteral(sql string, i int) bool {
	if i == 0 || sql[i-1] != 'e' && sql[i-1] != 'E' {
		return false
	}
	return i == 1 || !isWord(sql[i-2])
}

// skipQuoted returns the index after the next quote at or after i. Two quotes in
// a row, which stand for one, are skipped as two adjacent literals.
func skipQuoted(sql string, i int, quote byte, escapes bool) int {
	for ; i < len(sql); i++ {
		switch {
		case escapes && sql[i] == '\\':
			i++
		case sql[i] == quote:
			return i + 1
		}
	}
	return len(sql)
}

// skipDollar skips a dollar-quoted literal, or a lone dollar sign.
func skipDollar(sql string, i int) int {
	end := i + 1
	for end < len(sql) && isWord(sql[end]) {
		end++
	}
	if end == len(sql) || sql[end] != '$' || end > i+1 && isDigit(sql[i+1]) {
		return i + 1
	}
	tag := sql[i : end+1]
	length := strings.Index(sql[end+1:], tag)
	if length < 0 {
		return len(sql)
	}
	return end + 1 + length + len(tag)
}

func skipLine(sql string, i int) int {
	n := strings.IndexByte(sql[i:], '\n')
	if n < 0 {
		return len(sql)
	}
	return i + n + 1
}

// skipBlock skips a block comment and the comments nested in it.
func skipBlock(sql string, i int) int {
	depth := 0
	for i < len(sql) {
		switch {
		case strings.HasPrefix(sql[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(sql[i:], "*/"):
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return i
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isWord reports whether c may be part of a keyword or an unquoted name. Every
// byte of a non-ASCII character may.
func isWord(c byte) bool {
	return c == '_' || isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'z' || c >= 0x80
}

// Words returns the first n unquoted words of a statement in lower case.
func Words(sql string, n int) []string {
	words := make([]string, 0, n)
	for i := 0; i < len(sql) && len(words) < n; {
		next := skip(sql, i)
		if isWord(sql[i]) {
			words = append(words, strings.ToLower(sql[i:next]))
		}
		i = next
	}
	return words
}

// commonWords are first words that are returned in lower case without an
// allocation.
var commonWords = []string{
	"select", "insert", "update", "delete", "begin", "commit", "rollback",
	"with", "set", "start", "end", "show", "fetch", "call",
}

func lowerWord(word string) string {
	for _, w := range commonWords {
		if len(w) == len(word) && strings.EqualFold(w, word) {
			return w
		}
	}
	return strings.ToLower(word)
}

// FirstWord returns the first unquoted word of a statement in lower case.
func FirstWord(sql string) string {
	for i := 0; i < len(sql); {
		next := skip(sql, i)
		if isWord(sql[i]) {
			return lowerWord(sql[i:next])
		}
		i = next
	}
	return ""
}

// HasWord reports whether fits accepts one of the unquoted words of sql, which
// it receives in their original case.
func HasWord(sql string, fits func(word string) bool) bool {
	for i := 0; i < len(sql); {
		next := skip(sql, i)
		if isWord(sql[i]) && fits(sql[i:next]) {
			return true
		}
		i = next
	}
	return false
}
