package tcpbus

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// fuzzLimitBytes is the frame size limit under fuzzing, in bytes.
const fuzzLimitBytes = 1 << 16

func FuzzReadFrame(f *testing.F) {
	wire, err := frame{topic: "heartbeat", payload: []byte{0x81, 0xa1, 'f', 0xa1, 'v'}}.encode(fuzzLimitBytes)
	assert.NilError(f, err)
	f.Add(wire)
	f.Fuzz(func(t *testing.T, wire []byte) {
		got, err := readFrame(bytes.NewReader(wire), fuzzLimitBytes)
		if err != nil {
			return
		}
		_, _ = decode(got.topic, got.payload)
		again, err := got.encode(fuzzLimitBytes + prefixSize)
		assert.NilError(t, err)
		second, err := readFrame(bytes.NewReader(again), fuzzLimitBytes+prefixSize)
		assert.NilError(t, err)
		assert.Equal(t, second.topic, got.topic)
		assert.Equal(t, second.id, got.id)
		assert.Assert(t, bytes.Equal(second.payload, got.payload))
	})
}

func BenchmarkEncodeFrame(b *testing.B) {
	f := frame{topic: "heartbeat", payload: make([]byte, 64)}
	for b.Loop() {
		_, _ = f.encode(fuzzLimitBytes)
	}
}
