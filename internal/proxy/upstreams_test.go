package proxy

import (
	"context"
	"syscall"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestCauseOfControlCallError(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name string
		ctx  context.Context
		err  error
		want tables.Cause
	}{
		{"no error", context.Background(), nil, tables.CauseNone},
		{"too many connections", context.Background(), errors.Wrap(&pgconn.PgError{Code: "53300"}, "connect"), tables.CauseBusy},
		{"refused", context.Background(), errors.Wrap(syscall.ECONNREFUSED, "connect"), tables.CauseRefused},
		{"reset", context.Background(), errors.Wrap(syscall.ECONNRESET, "read"), tables.CauseReset},
		{"timeout", ended, errors.Wrap(context.Canceled, "control function"), tables.CauseSilent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, causeOf(c.ctx, c.err), c.want)
		})
	}
}
