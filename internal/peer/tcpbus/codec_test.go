package tcpbus

import (
	"runtime"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"gotest.tools/v3/assert"
)

// allocated returns the number of bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

const allocationLimitBytes = 64 << 20

func TestForgedFieldLengthInFrameIsNotAllocated(t *testing.T) {
	body := []byte{0x94, frameVersion, 0xa1, 't', 0xc6, 0x7f, 0xff, 0xff, 0xff, 0x00}
	got := allocated(func() {
		_, err := decodeFrame(body)
		assert.Assert(t, err != nil)
	})
	assert.Assert(t, got < allocationLimitBytes, "%d", got)
}

// TestForgedLengthInMessageIsNotAllocated decodes messages of a few bytes whose
// length fields state about two thousand million members or bytes.
func TestForgedLengthInMessageIsNotAllocated(t *testing.T) {
	cases := []struct {
		name, topic string
		payload     []byte
	}{
		{"array", peer.TopicMembers, []byte{0x81, 0xa1, 'm', 0xdd, 0x7f, 0xff, 0xff, 0xff, 0x80}},
		{"bytes", peer.TopicConfig, []byte{0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff, 0x00}},
		{"text", peer.TopicHeartbeat, []byte{0x81, 0xa1, 'f', 0xdb, 0x7f, 0xff, 0xff, 0xff, 'a'}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := allocated(func() {
				_, err := decode(c.topic, c.payload)
				assert.Assert(t, err != nil)
			})
			assert.Assert(t, got < allocationLimitBytes, "%d", got)
		})
	}
}
