package codes

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestCodesAreUniqueAndAscending(t *testing.T) {
	for i := 1; i < len(All); i++ {
		assert.Assert(t, All[i].Code > All[i-1].Code, All[i].Name)
	}
	assert.Equal(t, len(byCode), len(All))
}

func TestFromFindsWrappedError(t *testing.T) {
	e := New(NoPrimary, NotRun, 0, "x")
	got, ok := From(errors.Wrap(e, "outer"))
	assert.Assert(t, ok)
	assert.Equal(t, got, e)
}
