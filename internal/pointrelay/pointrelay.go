// Package pointrelay lets proxies tell each other how fresh a group's data is.
// It serves proxies that get no connection to a primary, such as many that
// start again at once while the server still holds their old connections.
package pointrelay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// asked is how many peers are asked at once: after a restart of all, about
	// one in four has a connection to a given primary.
	asked = 4
	// answerTimeout bounds the wait for them; a round trip takes some milliseconds.
	answerTimeout = 40 * time.Millisecond
)

// Topics of the messages.
const (
	topicQuestion = "point-question"
	topicAnswer   = "point-answer"
)

// Bus carries messages between proxies; they may be lost, late or repeated.
type Bus interface {
	// Send sends a message to the proxy at an address, without blocking.
	Send(address, topic string, msg any)
	// Subscribe returns the messages of a topic that arrive.
	Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error)
}

type question struct {
	ID    uint64         `msgpack:"i"`
	From  string         `msgpack:"f"`
	Group tables.GroupID `msgpack:"g"`
}

type answer struct {
	ID        uint64              `msgpack:"i"`
	Knowledge freshness.Knowledge `msgpack:"k"`
}

// Options are what a Relay is made of.
type Options struct {
	// Address is this proxy's IP:port for messages.
	Address string
	Bus     Bus
	// Peers returns the addresses of up to n other proxies, near ones first.
	Peers func(n int) []string
	// Tell returns what this proxy knows of a group; ok is false if nothing.
	Tell func(tables.GroupID) (k freshness.Knowledge, ok bool)
	Log  *slog.Logger
}

// Relay asks peers and answers them. It is safe for concurrent use.
type Relay struct {
	Options
	log *slog.Logger

	mu sync.Mutex
	// lastID begins at random: answers to an earlier life of this proxy must not
	// be taken for those to this one's questions.
	lastID  uint64
	waiting map[uint64]chan freshness.Knowledge
}

// New returns a relay; Run serves it.
func New(o Options) *Relay {
	return &Relay{Options: o, log: logging.For(o.Log, "pointrelay"), waiting: make(map[uint64]chan freshness.Knowledge), lastID: rand.Uint64()}
}

// Run answers peers until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	questions, err := r.Bus.Subscribe(ctx, topicQuestion)
	if err != nil {
		return errors.Wrap(err, "subscribe to questions")
	}
	answers, err := r.Bus.Subscribe(ctx, topicAnswer)
	if err != nil {
		return errors.Wrap(err, "subscribe to answers")
	}
	go r.takeAnswers(answers)
	for m := range questions {
		var q question
		err := msgpack.Unmarshal(m.Payload, &q)
		m.Ack()
		if err != nil || q.From == "" {
			r.log.Warn("Ignored a question that can't be read.", "error", err)
			continue
		}
		if k, ok := r.Tell(q.Group); ok {
			r.Bus.Send(q.From, topicAnswer, answer{ID: q.ID, Knowledge: k})
		}
	}
	return nil
}

// Ask returns what the first of a few peers to answer knows of a group; ok is
// false if none answers in time. Peers that know nothing stay silent.
func (r *Relay) Ask(ctx context.Context, g tables.GroupID) (k freshness.Knowledge, ok bool) {
	reply := make(chan freshness.Knowledge, 1)
	r.mu.Lock()
	r.lastID++
	id := r.lastID
	r.waiting[id] = reply
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.waiting, id)
	}()
	for _, address := range r.Peers(asked) {
		r.Bus.Send(address, topicQuestion, question{ID: id, From: r.Address, Group: g})
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case k := <-reply:
		return k, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return freshness.Knowledge{}, false
}

func (r *Relay) takeAnswers(in <-chan *message.Message) {
	for m := range in {
		var a answer
		err := msgpack.Unmarshal(m.Payload, &a)
		m.Ack()
		if err != nil {
			r.log.Warn("Ignored an answer that can't be read.", "error", err)
			continue
		}
		r.mu.Lock()
		reply, ok := r.waiting[a.ID]
		delete(r.waiting, a.ID)
		r.mu.Unlock()
		if ok {
			reply <- a.Knowledge
		}
	}
}
