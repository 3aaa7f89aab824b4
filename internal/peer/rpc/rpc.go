// Package rpc carries requests and responses between proxies over a bus
// that may lose, delay or duplicate messages.
package rpc

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

// Bus carries messages between proxies; it may lose, delay or duplicate them.
type Bus interface {
	// Send sends a message to the proxy at an address, without blocking.
	Send(address, topic string, msg any)
	// Subscribe returns the messages received on a topic.
	Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error)
}

// largeResponseBytes is the size from which a late response is logged: it took
// noticeable time on the link and was of no use.
const largeResponseBytes = 16 << 10

// ErrTimeout means that no response arrived before the timeout.
var ErrTimeout = errors.New("no response from a peer before the timeout")

// Options configure the endpoint of one kind of request.
type Options struct {
	// Address is this proxy's IP:port for messages.
	Address string
	// RequestTopic and ResponseTopic are the topics of requests and of responses.
	RequestTopic, ResponseTopic string
	Bus                         Bus
	Log                         *slog.Logger
}

// Endpoint sends requests of one kind to peers and serves those that peers send. It
// is safe for concurrent use.
type Endpoint[Req, Resp any] struct {
	Options

	mu sync.Mutex
	// lastID starts at a random number, so that a late response to a request from
	// before a restart of this proxy does not match a request of this process.
	lastID  uint64
	pending map[uint64]chan Resp
}

type request[Req any] struct {
	ID   uint64 `msgpack:"i"`
	From string `msgpack:"f"`
	Body Req    `msgpack:"q"`
}

type response[Resp any] struct {
	ID   uint64 `msgpack:"i"`
	Body Resp   `msgpack:"a"`
}

// New returns an endpoint; call Run to start it.
func New[Req, Resp any](o Options) *Endpoint[Req, Resp] {
	return &Endpoint[Req, Resp]{Options: o, lastID: rand.Uint64(), pending: make(map[uint64]chan Resp)}
}

// Run receives responses and passes peers' requests to handle until ctx ends.
// handle must not block; it may reply later, or not at all.
func (e *Endpoint[Req, Resp]) Run(ctx context.Context, handle func(req Req, reply func(Resp))) error {
	requests, err := e.Bus.Subscribe(ctx, e.RequestTopic)
	if err != nil {
		return errors.Wrap(err, "subscribe to requests")
	}
	responses, err := e.Bus.Subscribe(ctx, e.ResponseTopic)
	if err != nil {
		return errors.Wrap(err, "subscribe to responses")
	}
	go e.receiveResponses(responses)
	for m := range requests {
		var req request[Req]
		err := msgpack.Unmarshal(m.Payload, &req)
		m.Ack()
		if err != nil || req.From == "" {
			e.Log.Warn("Ignored a malformed request from a peer.", "error", err)
			continue
		}
		handle(req.Body, func(resp Resp) { e.Bus.Send(req.From, e.ResponseTopic, response[Resp]{ID: req.ID, Body: resp}) })
	}
	return nil
}

// Call sends a request to the proxies at the given addresses and returns the
// first response, ErrTimeout after timeout, or ctx's error.
func (e *Endpoint[Req, Resp]) Call(ctx context.Context, timeout time.Duration, body Req, addresses ...string) (resp Resp, err error) {
	reply := make(chan Resp, 1)
	e.mu.Lock()
	e.lastID++
	id := e.lastID
	e.pending[id] = reply
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.pending, id)
	}()
	for _, address := range addresses {
		e.Bus.Send(address, e.RequestTopic, request[Req]{ID: id, From: e.Address, Body: body})
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case resp = <-reply:
		return resp, nil
	case <-timer.C:
		return resp, ErrTimeout
	case <-ctx.Done():
		return resp, ctx.Err()
	}
}

// receiveResponses passes each response to the request that it belongs to. A
// response to a request that has ended is ignored.
func (e *Endpoint[Req, Resp]) receiveResponses(in <-chan *message.Message) {
	for m := range in {
		var resp response[Resp]
		err := msgpack.Unmarshal(m.Payload, &resp)
		size := len(m.Payload)
		m.Ack()
		if err != nil {
			e.Log.Warn("Ignored a malformed response from a peer.", "error", err)
			continue
		}
		e.mu.Lock()
		reply, ok := e.pending[resp.ID]
		delete(e.pending, resp.ID)
		e.mu.Unlock()
		switch {
		case ok:
			reply <- resp.Body
		case size >= largeResponseBytes:
			e.Log.Info("Ignored a late response from a peer.", "topic", e.ResponseTopic, "bytes", size)
		}
	}
}
