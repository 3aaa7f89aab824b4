package pointrelay

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// network carries messages between the relays of a test.
type network struct {
	mu   sync.Mutex
	subs map[string]chan *message.Message
}

// bus is one relay's end of the network.
type bus struct {
	n       *network
	address string
}

func (b *bus) Send(address, topic string, msg any) {
	payload, err := msgpack.Marshal(msg)
	if err != nil {
		panic(err)
	}
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	if in, ok := b.n.subs[address+topic]; ok {
		m := message.NewMessage(uuid.NewString(), payload)
		go func() {
			select {
			case in <- m:
			case <-time.After(time.Second): // the relay has ended
			}
		}()
	}
}

func (b *bus) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	in := make(chan *message.Message)
	out := make(chan *message.Message)
	b.n.mu.Lock()
	b.n.subs[b.address+topic] = in
	b.n.mu.Unlock()
	go func() {
		defer close(out)
		for {
			select {
			case m := <-in:
				out <- m
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

// start runs a relay at address that asks peers and tells what it knows.
func start(t *testing.T, n *network, address string, peers []string, known map[tables.GroupID]freshness.Knowledge) *Relay {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r := New(Options{
		Address: address, Bus: &bus{n, address}, Log: slog.New(slog.DiscardHandler),
		Peers: func(int) []string { return peers },
		Tell: func(g tables.GroupID) (freshness.Knowledge, bool) {
			k, ok := known[g]
			return k, ok
		},
	})
	go func() { _ = r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute)
	})
	return r
}

func TestTheFirstPeerThatKnowsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{subs: make(map[string]chan *message.Message)}
		want := freshness.Knowledge{
			Primary: "p", Record: 3, Position: tables.Position{LogTerm: 2, Index: 9},
			PointAge: time.Second, ProvenAge: 20 * time.Millisecond,
		}
		r := start(t, n, "a", []string{"gone", "b", "c"}, nil)
		start(t, n, "b", nil, nil)
		start(t, n, "c", nil, map[tables.GroupID]freshness.Knowledge{"g": want})
		synctest.Wait()
		k, ok := r.Ask(t.Context(), "g")
		assert.Assert(t, ok)
		assert.DeepEqual(t, k, want)
		at := time.Now()
		_, ok = r.Ask(t.Context(), "other")
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(at), answerTimeout)
	})
}

func TestMessagesThatCantBeReadAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{subs: make(map[string]chan *message.Message)}
		r := start(t, n, "a", []string{"b"}, nil)
		start(t, n, "b", nil, map[tables.GroupID]freshness.Knowledge{"g": {Primary: "p"}})
		synctest.Wait()
		for _, topic := range []string{topicQuestion, topicAnswer} {
			for _, address := range []string{"a", "b"} {
				r.Bus.Send(address, topic, "nonsense")
				r.Bus.Send(address, topic, map[string]int{"i": -1})
			}
		}
		_, ok := r.Ask(t.Context(), "g")
		assert.Assert(t, ok)
	})
}
