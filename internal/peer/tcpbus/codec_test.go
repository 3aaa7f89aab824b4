package tcpbus

import (
	"runtime"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"gotest.tools/v3/assert"
)

// TestClaimedLengthIsNotAllocated hands over a message of a few bytes that
// claims two thousand million members, or as many bytes.
func TestClaimedLengthIsNotAllocated(t *testing.T) {
	const limit = 64 << 20
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
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := decode(c.topic, c.payload)
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < limit, "%d", after.TotalAlloc-before.TotalAlloc)
		})
	}
}
