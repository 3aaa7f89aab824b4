package session

import (
	"strings"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawToken(t *rapid.T, label string) Token {
	var out Token
	for range rapid.IntRange(0, 5).Draw(t, label+" size") {
		g := rapid.SampledFrom([]tables.GroupID{"a", "b", "c", "stock-ledger-1"}).Draw(t, "group")
		out = out.With(g, tables.Position{
			LogTerm: tables.Term(rapid.Uint64().Draw(t, "term")),
			Index:   rapid.Uint64().Draw(t, "index"),
		})
	}
	return out
}

func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawToken(t, "in")
		out, err := Parse(in.String())
		assert.NilError(t, err)
		assert.Equal(t, out.String(), in.String())
	})
}

func TestMergeTakesTheHigherPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawToken(t, "a"), drawToken(t, "b")
		m := Merge(a, b)
		assert.Equal(t, m.String(), Merge(b, a).String())
		for _, g := range []tables.GroupID{"a", "b", "c", "stock-ledger-1"} {
			p := m.Position(g)
			assert.Assert(t, p.AtLeast(a.Position(g)) && p.AtLeast(b.Position(g)))
			assert.Assert(t, p == a.Position(g) || p == b.Position(g))
		}
	})
}

func TestParseRejectsInvalidTokens(t *testing.T) {
	for _, text := range []string{"x", "cs2.AAAA", "cs1.!!", "cs1.wQ", "cs1.3f____8", "cs1." + strings.Repeat("A", maxTokenBytes)} {
		_, err := Parse(text)
		e, ok := codes.From(err)
		assert.Assert(t, ok, text)
		assert.Equal(t, e.Code, codes.BadSessionToken)
	}
}

func TestFromTag(t *testing.T) {
	connection, err := FromTag("")
	assert.NilError(t, err)
	assert.Assert(t, connection.Complete)

	named, err := FromTag("shop-17")
	assert.NilError(t, err)
	assert.Assert(t, !named.Complete)
	assert.Equal(t, named.Name, "shop-17")

	p := tables.Position{LogTerm: 3, Index: 9}
	withToken, err := FromTag(connection.Wrote("g", p).Token.String())
	assert.NilError(t, err)
	assert.Assert(t, withToken.Complete)
	assert.Equal(t, withToken.Token.Position("g"), p)

	_, err = FromTag("cs1.broken!")
	assert.ErrorContains(t, err, "BadSessionToken")
}

func FuzzParse(f *testing.F) {
	f.Add(Token{}.With("g", tables.Position{LogTerm: 1, Index: 2}).String())
	f.Add("cs1.")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(token.String())
		if err != nil || again.String() != token.String() {
			t.Fatalf("%q does not survive a round trip: %v", text, err)
		}
	})
}
