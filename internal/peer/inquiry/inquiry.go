// Package inquiry matches the questions that proxies ask each other with their
// answers, over a bus on which messages may be lost, late or repeated.
package inquiry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Bus carries messages between proxies; they may be lost, late or repeated.
type Bus interface {
	// Send sends a message to the proxy at an address, without blocking.
	Send(address, topic string, msg any)
	// Subscribe returns the messages of a topic that arrive.
	Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error)
}

// ErrTimeout means that no answer came in time.
var ErrTimeout = errors.New("inquiry: no answer in time")

// Options are what a Desk is made of.
type Options struct {
	// Address is this proxy's IP:port for messages.
	Address string
	// RequestTopic and ResponseTopic are the topics of the messages.
	RequestTopic, ResponseTopic string
	Bus                         Bus
	Log                         *slog.Logger
}

// Endpoint asks questions of one kind and answers those of peers. It is safe for
// concurrent use.
type Endpoint[Q, A any] struct {
	Options

	mu sync.Mutex
	// lastID begins at random: answers to an earlier life of this proxy must not
	// be taken for those to this one's questions.
	lastID  uint64
	waiting map[uint64]chan A
}

type question[Q any] struct {
	ID   uint64 `msgpack:"i"`
	From string `msgpack:"f"`
	Body Q      `msgpack:"q"`
}

type answer[A any] struct {
	ID   uint64 `msgpack:"i"`
	Body A      `msgpack:"a"`
}

// New returns a desk; Run serves it.
func New[Q, A any](o Options) *Endpoint[Q, A] {
	return &Endpoint[Q, A]{Options: o, lastID: rand.Uint64(), waiting: make(map[uint64]chan A)}
}

// Run hands peers' questions to handle until ctx ends. handle must not block;
// it may reply later, or not at all.
func (d *Endpoint[Q, A]) Run(ctx context.Context, handle func(q Q, reply func(A))) error {
	questions, err := d.Bus.Subscribe(ctx, d.RequestTopic)
	if err != nil {
		return errors.Wrap(err, "subscribe to questions")
	}
	answers, err := d.Bus.Subscribe(ctx, d.ResponseTopic)
	if err != nil {
		return errors.Wrap(err, "subscribe to answers")
	}
	go d.takeAnswers(answers)
	for m := range questions {
		var q question[Q]
		err := msgpack.Unmarshal(m.Payload, &q)
		m.Ack()
		if err != nil || q.From == "" {
			d.Log.Warn("Ignored a question that can't be read.", "error", err)
			continue
		}
		handle(q.Body, func(a A) { d.Bus.Send(q.From, d.ResponseTopic, answer[A]{ID: q.ID, Body: a}) })
	}
	return nil
}

// Call asks the proxies at some addresses and returns the first answer, or
// ErrSilent after timeout, or ctx's error.
func (d *Endpoint[Q, A]) Call(ctx context.Context, timeout time.Duration, body Q, addresses ...string) (a A, err error) {
	reply := make(chan A, 1)
	d.mu.Lock()
	d.lastID++
	id := d.lastID
	d.waiting[id] = reply
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiting, id)
	}()
	for _, address := range addresses {
		d.Bus.Send(address, d.RequestTopic, question[Q]{ID: id, From: d.Address, Body: body})
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a = <-reply:
		return a, nil
	case <-timer.C:
		return a, ErrTimeout
	case <-ctx.Done():
		return a, ctx.Err()
	}
}

func (d *Endpoint[Q, A]) takeAnswers(in <-chan *message.Message) {
	for m := range in {
		var a answer[A]
		err := msgpack.Unmarshal(m.Payload, &a)
		m.Ack()
		if err != nil {
			d.Log.Warn("Ignored an answer that can't be read.", "error", err)
			continue
		}
		d.mu.Lock()
		reply, ok := d.waiting[a.ID]
		delete(d.waiting, a.ID)
		d.mu.Unlock()
		if ok {
			reply <- a.Body
		}
	}
}
