package tables

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	older, newer := Version{Era: 1, Counter: 900}, Version{Era: 2, Counter: 3}
	assert.Equal(t, older.Compare(newer), -1)
	assert.Equal(t, newer.Compare(older), 1)
	assert.Equal(t, newer.Compare(newer), 0)
	assert.Equal(t, Version{Counter: 3}.Compare(Version{Counter: 4}), -1)
}

func TestFencingTokenGrowsOverEras(t *testing.T) {
	assert.Equal(t, Version{Counter: 7}.FencingToken(), uint64(7))
	assert.Assert(t, Version{Era: 1, Counter: 1}.FencingToken() > Version{Counter: 1<<40 - 1}.FencingToken())
	assert.Assert(t, Version{Era: 1, Counter: 2}.FencingToken() > Version{Era: 1, Counter: 1}.FencingToken())
}

func TestVersionText(t *testing.T) {
	assert.Equal(t, Version{Counter: 12}.String(), "12")
	assert.Equal(t, Version{Era: 3, Counter: 12}.String(), "3:12")
	assert.Assert(t, Version{}.IsZero())
	assert.Assert(t, !Version{Era: 1}.IsZero())
}
