package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestForWaitsUntilDurationOrContextEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.NilError(t, For(context.Background(), time.Minute))
		assert.Equal(t, time.Since(start), time.Minute)
		assert.NilError(t, For(context.Background(), -time.Minute))

		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.ErrorIs(t, For(ctx, time.Hour), context.DeadlineExceeded)
		assert.ErrorIs(t, For(ctx, 0), context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), time.Minute+time.Second)
	})
}
