package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestMessagesHaveThePrefixOfTheirPart(t *testing.T) {
	var b bytes.Buffer
	log := For(New(&b, slog.LevelInfo), "failover").With("group", "g1")
	log.Info("Promoted a new primary.", "term", 7)
	assert.Assert(t, strings.Contains(b.String(), `msg="failover: Promoted a new primary." group=g1 term=7`), b.String())
}

func TestErrorsAreLoggedWithoutStackTrace(t *testing.T) {
	var b bytes.Buffer
	New(&b, slog.LevelInfo).Info("Failed.", "error", errors.Wrap(errors.New("inner"), "outer"))
	assert.Assert(t, strings.Contains(b.String(), `error="outer: inner"`), b.String())
}
