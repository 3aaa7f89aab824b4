package rpc

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer/peertest"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// respondLate sends one request to a peer that responds with size bytes once the
// request has timed out, and returns the requester's log.
func respondLate(t *testing.T, size int) string {
	t.Helper()
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New()
		newEndpoint := func(address string) *Endpoint[int, []byte] {
			return New[int, []byte](Options{
				Address: address, RequestTopic: "request", ResponseTopic: "response", Bus: n.Bus(address),
				Log: slog.New(slog.NewTextHandler(&out, nil)),
			})
		}
		a, b := newEndpoint("a"), newEndpoint("b")
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute) // until the endpoints have stopped
		defer cancel()
		go func() { _ = a.Run(ctx, func(int, func([]byte)) {}) }()
		go func() {
			_ = b.Run(ctx, func(_ int, reply func([]byte)) {
				time.AfterFunc(2*time.Second, func() { reply(make([]byte, size)) })
			})
		}()
		synctest.Wait()
		_, err := a.Call(ctx, time.Second, 1, "b")
		assert.Assert(t, errors.Is(err, ErrTimeout), "%v", err)
		time.Sleep(2 * time.Second)
	})
	return out.String()
}

func TestLargeLateResponseIsLogged(t *testing.T) {
	assert.Assert(t, bytes.Contains([]byte(respondLate(t, largeResponseBytes)), []byte("late response")))
	assert.Equal(t, respondLate(t, 10), "")
}
