// Package session implements read-your-writes consistency: it tracks, for each
// database group, the log position of a caller's last acknowledged write. An opaque
// text token carries these positions from one proxy to another.
package session

import (
	"bytes"
	"encoding/base64"
	"slices"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// tokenPrefix identifies version 1 of the format and distinguishes a token from a
	// session name.
	tokenPrefix = "cs1."
	// maxTokenBytes is the maximum length of a token's text.
	maxTokenBytes = 4096
	// maxEntries is the maximum number of groups in a token.
	maxEntries = 64
)

// entry is the position of one group.
type entry struct {
	Group    tables.GroupID  `msgpack:"g"`
	Position tables.Position `msgpack:"p"`
}

// Token holds the newest acknowledged position of each group that a session has
// written to. The zero value is the token of a session without writes. A Token is
// immutable.
type Token struct {
	entries []entry // in ascending order of Group
}

// Position returns the position that a server must have reached to serve a read of
// group.
func (t Token) Position(group tables.GroupID) tables.Position {
	if i, ok := t.find(group); ok {
		return t.entries[i].Position
	}
	return tables.Position{}
}

// Empty reports whether the session has no writes.
func (t Token) Empty() bool { return len(t.entries) == 0 }

// With returns t with the position of group set to p, unless it is already at or
// beyond p.
func (t Token) With(group tables.GroupID, p tables.Position) Token {
	i, ok := t.find(group)
	if ok && t.entries[i].Position.AtLeast(p) {
		return t
	}
	out := slices.Clone(t.entries)
	if ok {
		out[i].Position = p
	} else {
		out = slices.Insert(out, i, entry{Group: group, Position: p})
	}
	return Token{entries: out}
}

// Merge returns a token with the higher position of a and b for each group.
func Merge(a, b Token) Token {
	for _, e := range b.entries {
		a = a.With(e.Group, e.Position)
	}
	return a
}

func (t Token) find(group tables.GroupID) (int, bool) {
	return slices.BinarySearchFunc(t.entries, group, func(e entry, g tables.GroupID) int {
		return strings.Compare(string(e.Group), string(g))
	})
}

// String returns the text form; the empty token is the empty string.
func (t Token) String() string {
	if t.Empty() {
		return ""
	}
	// Encoding plain values into memory can't fail.
	b, _ := msgpack.Marshal(t.entries)
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// Parse reads a token written by String. The error is a *codes.Error with
// codes.BadSessionToken.
func Parse(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > maxTokenBytes {
		return Token{}, bad("the token is too long")
	}
	encoded, ok := strings.CutPrefix(text, tokenPrefix)
	if !ok {
		return Token{}, bad("the token's version is unknown")
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return Token{}, bad("the token is not base64url")
	}
	return decode(b)
}

// decode reads the entries one by one. It checks the array length given in the
// token first, because the codec would allocate memory for that length before
// reading.
func decode(b []byte) (Token, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(b))
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return Token{}, bad("the token's content can't be read")
	}
	if n > maxEntries {
		return Token{}, bad("the token names too many databases")
	}
	var t Token
	for range max(n, 0) {
		var e entry
		if err := dec.Decode(&e); err != nil {
			return Token{}, bad("the token's content can't be read")
		}
		t = t.With(e.Group, e.Position)
	}
	return t, nil
}

func bad(detail string) error {
	return codes.New(codes.BadSessionToken, codes.NotRun, 0, detail)
}

// Session identifies the writes that a connection must see.
type Session struct {
	// Token holds the known positions.
	Token Token
	// Name is set for a named session.
	Name string
	// Complete reports whether Token covers every write of the session. It is false
	// for a named session without a token, because its writes may have gone through
	// any proxy: each of its reads needs a position that was read from the primary
	// and confirmed after the read arrived.
	Complete bool
}

// New returns the session of a connection that declares no session.
func New() Session { return Session{Complete: true} }

// FromTag returns the session that a caller declared in a request tag: a token, a
// name, or an empty value for the session of the connection itself.
func FromTag(value string) (Session, error) {
	if value == "" {
		return New(), nil
	}
	if !strings.HasPrefix(value, tokenPrefix) {
		return Session{Name: value}, nil
	}
	token, err := Parse(value)
	return Session{Token: token, Complete: true}, err
}

// Wrote returns s updated by an acknowledged write at p.
func (s Session) Wrote(group tables.GroupID, p tables.Position) Session {
	s.Token = s.Token.With(group, p)
	return s
}
