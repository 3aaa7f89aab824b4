package tcpbus

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// loopback listens on a free port of the loopback interface.
const loopback = "127.0.0.1:0"

func open(t *testing.T, address string, opts Options) *Bus {
	t.Helper()
	b, err := New(address, opts)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, b.Close()) })
	return b
}

// receive runs b and returns the messages that it receives.
func receive(t *testing.T, b *Bus) <-chan any {
	t.Helper()
	out := make(chan any)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- b.Run(ctx, func(msg any) {
			select {
			case out <- msg:
			case <-ctx.Done():
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return out
}

func TestMessagesOfEveryTopicAreDelivered(t *testing.T) {
	a, b := open(t, loopback, Options{}), open(t, loopback, Options{})
	in := receive(t, b)
	messages := []struct {
		topic string
		msg   any
	}{
		{peer.TopicHeartbeat, peer.Heartbeat{From: "vm-1", DataCentre: "ub-east", ConfigVersion: 7, Leaving: true}},
		{peer.TopicMembers, peer.Members{Members: []peer.Member{{VM: "vm-2", LastSeenMillis: -1, Unresponsive: true}}}},
		{peer.TopicObservation, peer.Observation{From: "vm-1", Upstream: "u", Cause: tables.CauseSilent, FailingMillis: 9}},
		{peer.TopicGroup, peer.GroupState{Group: "g", Term: 3, Primary: "u"}},
		{peer.TopicConfig, peer.Config{Version: 4, Document: make([]byte, 1<<16)}},
	}
	for _, m := range messages {
		a.Send(b.Addr(), m.topic, m.msg)
		assert.DeepEqual(t, <-in, m.msg)
	}
	assert.Equal(t, a.Stats().FramesSent, uint64(5))
	assert.Equal(t, a.Stats().BytesSent, b.Stats().BytesReceived)
	assert.Equal(t, a.Stats().Dropped, uint64(0))
}

func TestRegister(t *testing.T) {
	b := open(t, loopback, Options{})
	b.stats.dropped.Add(3)
	registry := prometheus.NewRegistry()
	assert.NilError(t, b.Register(registry))
	assert.ErrorContains(t, b.Register(registry), "register")
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Equal(t, len(families), len(metrics))
	assert.Equal(t, families[0].GetName(), "cranberrystage_peer_dropped_messages_total")
	assert.Equal(t, families[0].GetMetric()[0].GetCounter().GetValue(), 3.0)
}

func TestReconnectAfterRestart(t *testing.T) {
	a := open(t, loopback, Options{MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond})
	b := open(t, loopback, Options{})
	address := b.Addr()
	in := receive(t, b)
	a.Send(address, peer.TopicGroup, peer.GroupState{Term: 1})
	assert.DeepEqual(t, <-in, peer.GroupState{Term: 1})
	assert.NilError(t, b.Close())
	in = receive(t, open(t, address, Options{}))
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case msg := <-in:
			assert.DeepEqual(t, msg, peer.GroupState{Term: 2})
			return
		case <-ticker.C:
			a.Send(address, peer.TopicGroup, peer.GroupState{Term: 2})
		}
	}
}

func TestSendDropsOldestForUnreachablePeer(t *testing.T) {
	listener, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	a := open(t, loopback, Options{QueueCount: 4, MinBackoff: time.Hour, MaxBackoff: time.Hour})
	const sent = 100
	for range sent {
		a.Send(address, peer.TopicGroup, peer.GroupState{})
	}
	dropped := a.Stats().Dropped
	assert.Assert(t, dropped >= sent-5 && dropped < sent, "dropped %d", dropped)
}

func TestWatermillPublishSubscribe(t *testing.T) {
	a, b := open(t, loopback, Options{}), open(t, loopback, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	in, err := b.Subscribe(ctx, "topic")
	assert.NilError(t, err)
	sent := message.NewMessage(uuid.NewString(), []byte("payload"))
	sent.Metadata.Set(AddressKey, b.Addr())
	assert.NilError(t, a.Publish("topic", sent))
	first := <-in
	first.Nack()
	second := <-in
	assert.Equal(t, second.UUID, sent.UUID)
	assert.Equal(t, string(second.Payload), "payload")
	second.Ack()
	cancel()
	_, open := <-in
	assert.Assert(t, !open)
	assert.ErrorContains(t, a.Publish("topic", message.NewMessage(uuid.NewString(), nil)), "without address")
}

// sendRaw writes wire to b and waits until b closes the connection.
func sendRaw(t *testing.T, b *Bus, wire []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", b.Addr())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(wire)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, conn)
}

func TestBadFrameClosesConnection(t *testing.T) {
	b := open(t, loopback, Options{MaxFrame: 100})
	receive(t, b)
	sendRaw(t, b, binary.BigEndian.AppendUint32(nil, 101))
	sendRaw(t, b, []byte{0, 0, 0, 2, 0x91, 9})
	assert.Equal(t, b.Stats().FrameErrors, uint64(2))
}

func TestBadMessageIsCounted(t *testing.T) {
	a, b := open(t, loopback, Options{}), open(t, loopback, Options{})
	in := receive(t, b)
	a.Send(b.Addr(), peer.TopicObservation, peer.Observation{From: "vm-1", Cause: 99})
	a.Send(b.Addr(), peer.TopicHeartbeat, "no heartbeat")
	a.Send(b.Addr(), peer.TopicGroup, peer.GroupState{Term: 1})
	assert.DeepEqual(t, <-in, peer.GroupState{Term: 1})
	assert.Equal(t, b.Stats().MessageErrors, uint64(2))
}

func TestFrameErrors(t *testing.T) {
	_, err := frame{payload: make([]byte, 200)}.encode(100)
	checkCode(t, err, codes.PeerFrameTooLarge)
	newer, err := msgpack.Marshal([]any{2, "topic"})
	assert.NilError(t, err)
	_, err = decodeFrame(newer)
	checkCode(t, err, codes.PeerVersion)
	_, err = decodeFrame([]byte{0x90})
	assert.ErrorContains(t, err, "without version")
}

func checkCode(t *testing.T, err error, want codes.Code) {
	t.Helper()
	got, ok := codes.From(err)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, got.Code, want)
}

func TestQueueBounds(t *testing.T) {
	q := newQueue(3, 10)
	assert.Equal(t, q.push([]byte("aaaa")), 0)
	assert.Equal(t, q.push([]byte("bbbb")), 0)
	assert.Equal(t, q.push([]byte("cccc")), 1)
	assert.Equal(t, q.pushFront([]byte("dddd")), false)
	assert.Equal(t, q.push(make([]byte, 20)), 2)
	wire, ok := q.pop()
	assert.Assert(t, ok)
	assert.Equal(t, len(wire), 20)
	assert.Assert(t, q.pushFront([]byte("e")))
	assert.Assert(t, !q.empty())
}

func TestLargeFrameToSlowPeerIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size = 4 << 20
			// step is what the peer reads in pause, which gives 1.25 MB/s.
			step  = 12_500
			pause = 10 * time.Millisecond
		)
		conn, remote := net.Pipe()
		defer remote.Close()
		o := &outbound{bus: &Bus{opts: Options{WriteTimeout: time.Second}}, conn: conn}
		sent := make(chan error, 1)
		go func() {
			sent <- o.send(t.Context(), make([]byte, size))
			_ = conn.Close()
		}()
		received, buffer := 0, make([]byte, step)
		for {
			n, err := remote.Read(buffer)
			received += n
			if err != nil {
				break
			}
			time.Sleep(pause)
		}
		assert.NilError(t, <-sent)
		assert.Equal(t, received, size)
	})
}
