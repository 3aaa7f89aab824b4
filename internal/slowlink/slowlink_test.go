package slowlink

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestTransfersShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(1 << 20)
		start := time.Now()
		ended := make(chan time.Duration)
		for range 2 {
			go func() {
				l.Transfer(1 << 20)
				ended <- time.Since(start)
			}()
		}
		first, second := <-ended, <-ended
		assert.Assert(t, first > 1900*time.Millisecond, "%s", first)
		assert.Equal(t, second, 2*time.Second)
		assert.Equal(t, l.Bytes(), 2<<20)
	})
}

func TestConnectionDeliversAtTheSpeedOfTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := Listen()
		defer s.Close()
		go func() {
			c, err := s.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write(make([]byte, 100_000))
			_ = c.Close()
		}()
		start := time.Now()
		c, err := s.Dial(t.Context(), New(50_000))
		assert.NilError(t, err)
		data, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Equal(t, len(data), 100_000)
		assert.Equal(t, time.Since(start).Round(time.Millisecond), 2*time.Second)
	})
}
