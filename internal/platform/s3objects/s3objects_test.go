package s3objects_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/platform/platformtest"
	"github.com/cranberrystage/cranberrystage/internal/platform/s3objects"
	"github.com/cranberrystage/cranberrystage/internal/standin/platformd"
	"gotest.tools/v3/assert"
)

func start(t *testing.T) (*s3objects.Client, *platformd.Server) {
	t.Helper()
	emulator := platformd.New()
	server := httptest.NewServer(emulator)
	t.Cleanup(server.Close)
	client, err := s3objects.New(s3objects.Options{
		BaseURL:   server.URL,
		Bucket:    "objects",
		AccessKey: "test",
		SecretKey: "test-secret",
		Timeout:   time.Minute,
	})
	assert.NilError(t, err)
	return client, emulator
}

func TestContract(t *testing.T) {
	platformtest.Run(t, func(t *testing.T) platformtest.Client {
		client, _ := start(t)
		return platformtest.Client{Objects: client}
	})
}

func TestFaults(t *testing.T) {
	client, emulator := start(t)
	emulator.Faults().Inject(memory.Fault{Kind: memory.FaultDown})
	assert.ErrorIs(t, client.Put(t.Context(), "config/a", []byte("a")), platform.ErrUnavailable)
	_, err := client.Get(t.Context(), "config/a")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	emulator.Faults().Inject(memory.Fault{Kind: memory.FaultLoseAnswer})
	assert.ErrorIs(t, client.Put(t.Context(), "config/a", []byte("a")), platform.ErrUnknown)
	emulator.Faults().Clear()
	assert.NilError(t, client.Put(t.Context(), "config/a", []byte("a")))
	body, err := client.Get(t.Context(), "config/a")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "a")
}
