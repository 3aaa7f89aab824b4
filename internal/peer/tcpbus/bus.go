// Package tcpbus carries messages between proxies: a watermill publisher and
// subscriber over TCP, and the peer.Bus built on them. Each message is one
// frame of msgpack behind a length prefix.
//
// Messages are hints. A message is dropped when the queue of its peer is full,
// and may arrive late, twice or out of order. Peers are authenticated only if
// Options.TLS is set; without it the listener must be on a private network.
package tcpbus

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"
)

// AddressKey is the metadata key that holds the receiver of a published
// message, an IP:port.
const AddressKey = "address"

// maxDeliveries is the largest number of concurrent deliveries of one subscription.
const maxDeliveries = 64

// ErrClosed means that the bus is closed.
var ErrClosed = errors.New("tcpbus: closed")

// Options configure a Bus. A zero field takes the default that its comment
// ends with.
type Options struct {
	// MaxFrame is the largest frame without its length prefix, in bytes; 8 MiB.
	MaxFrame int
	// QueueCount bounds the messages queued for one peer; 256.
	QueueCount int
	// QueueBytes bounds the bytes queued for one peer; 16 MiB.
	QueueBytes int
	// MaxInbound bounds the inbound connections; 4096.
	MaxInbound int
	// DialTimeout bounds the TCP connect and the TLS handshake, each; 1 s.
	DialTimeout time.Duration
	// WriteTimeout bounds the write of 64 KiB and how long sent bytes may stay
	// unacknowledged by the peer's kernel; 5 s.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection without traffic stays open; inbound
	// connections stay open twice as long; 1 min.
	IdleTimeout time.Duration
	// MinBackoff is the delay after the first failure to reach a peer; 50 ms.
	MinBackoff time.Duration
	// MaxBackoff is the longest delay after consecutive failures; 2 s.
	MaxBackoff time.Duration
	// TLS, if not nil, is used for inbound and outbound connections; see package peertls.
	TLS *tls.Config
	// Logger receives log records; nil discards them.
	Logger *slog.Logger
}

// withDefaults returns o with zero fields replaced by defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.MaxFrame, 8<<20)
	setDefault(&o.QueueCount, 256)
	setDefault(&o.QueueBytes, 16<<20)
	setDefault(&o.MaxInbound, 4096)
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.WriteTimeout, 5*time.Second)
	setDefault(&o.IdleTimeout, time.Minute)
	setDefault(&o.MinBackoff, 50*time.Millisecond)
	setDefault(&o.MaxBackoff, 2*time.Second)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Bus implements peer.Bus, message.Publisher and message.Subscriber. It is
// safe for concurrent use.
type Bus struct {
	opts     Options
	log      *slog.Logger
	listener net.Listener
	stats    counters
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu            sync.Mutex
	accepting     bool
	outbound      map[string]*outbound
	inbound       map[net.Conn]struct{}
	subscriptions map[string][]*subscription
}

var (
	_ peer.Bus           = (*Bus)(nil)
	_ message.Publisher  = (*Bus)(nil)
	_ message.Subscriber = (*Bus)(nil)
)

// New listens on listenAddress, an IP:port; port 0 selects a free port. Inbound
// connections are accepted after the first call to Subscribe or Run.
func New(listenAddress string, opts Options) (*Bus, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	opts = opts.withDefaults()
	if opts.TLS != nil {
		listener = tls.NewListener(listener, opts.TLS)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Bus{
		opts:          opts,
		log:           opts.Logger,
		listener:      listener,
		ctx:           ctx,
		cancel:        cancel,
		outbound:      make(map[string]*outbound),
		inbound:       make(map[net.Conn]struct{}),
		subscriptions: make(map[string][]*subscription),
	}, nil
}

// Addr returns the IP:port that the bus listens on.
func (b *Bus) Addr() string { return b.listener.Addr().String() }

// Send implements peer.Bus.
func (b *Bus) Send(address, topic string, msg any) {
	payload, err := msgpack.Marshal(msg)
	if err == nil {
		err = b.enqueue(address, frame{topic: topic, id: uuid.New(), payload: payload})
	}
	if err != nil {
		b.stats.dropped.Add(1)
		b.log.Debug("Dropped a message to a peer.", "address", address, "topic", topic, "error", err)
	}
}

// Publish implements message.Publisher. Each message must have a UUID and carry
// its receiver's address in its metadata under AddressKey. It never blocks.
func (b *Bus) Publish(topic string, messages ...*message.Message) error {
	for _, msg := range messages {
		id, err := uuid.Parse(msg.UUID)
		if err != nil {
			return errors.Wrap(err, "message id")
		}
		f := frame{topic: topic, id: id, payload: msg.Payload}
		if err := b.enqueue(msg.Metadata.Get(AddressKey), f); err != nil {
			return err
		}
	}
	return nil
}

// Subscribe implements message.Subscriber.
func (b *Bus) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	out, err := b.subscribe(ctx, topic)
	if err != nil {
		return nil, err
	}
	b.startAccept()
	return out, nil
}

// Run implements peer.Bus. It calls handle for one message at a time and
// returns nil when ctx ends or the bus is closed.
func (b *Bus) Run(ctx context.Context, handle func(msg any)) error {
	var mu sync.Mutex
	var group errgroup.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, topic := range topics {
		in, err := b.subscribe(ctx, topic)
		if err != nil {
			return err
		}
		group.Go(func() error {
			b.handleAll(topic, in, &mu, handle)
			return nil
		})
	}
	b.startAccept()
	return group.Wait()
}

// Close closes the listener and all connections; queued messages are dropped.
func (b *Bus) Close() error {
	b.mu.Lock()
	b.cancel()
	err := b.listener.Close()
	for conn := range b.inbound {
		_ = conn.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close listener")
}

// handleAll decodes the messages of a topic and passes them to handle while
// holding mu.
func (b *Bus) handleAll(topic string, in <-chan *message.Message, mu *sync.Mutex, handle func(msg any)) {
	for msg := range in {
		typed, err := decode(topic, msg.Payload)
		if err != nil {
			b.stats.messageErrors.Add(1)
			b.log.Warn("Could not decode a message from a peer.", "topic", topic, "error", err)
			msg.Ack()
			continue
		}
		mu.Lock()
		handle(typed)
		mu.Unlock()
		msg.Ack()
	}
}

// enqueue encodes f and queues it for the peer at address.
func (b *Bus) enqueue(address string, f frame) error {
	if address == "" {
		return errors.New("message without address")
	}
	wire, err := f.encode(b.opts.MaxFrame)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return ErrClosed
	}
	dropped := b.outboundTo(address).queue.push(wire)
	b.stats.dropped.Add(uint64(dropped))
	return nil
}

// outboundTo returns the sender for address and starts it if needed. The caller
// must hold b.mu.
func (b *Bus) outboundTo(address string) *outbound {
	if o, ok := b.outbound[address]; ok {
		return o
	}
	o := &outbound{bus: b, address: address, queue: newQueue(b.opts.QueueCount, b.opts.QueueBytes)}
	b.outbound[address] = o
	b.wg.Go(func() { o.run(b.ctx) })
	return o
}

// removeIdle removes an idle sender; it returns false if a message was queued
// in the meantime.
func (b *Bus) removeIdle(o *outbound) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !o.queue.empty() {
		return false
	}
	delete(b.outbound, o.address)
	return true
}

func (b *Bus) subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return nil, ErrClosed
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &subscription{
		ctx:     ctx,
		out:     make(chan *message.Message),
		senders: make(chan struct{}, maxDeliveries),
	}
	b.subscriptions[topic] = append(b.subscriptions[topic], s)
	b.wg.Go(func() { b.endSubscription(topic, s, cancel) })
	return s.out, nil
}

// endSubscription closes s once its context ends or the bus is closed.
func (b *Bus) endSubscription(topic string, s *subscription, cancel context.CancelFunc) {
	select {
	case <-s.ctx.Done():
	case <-b.ctx.Done():
	}
	cancel()
	b.mu.Lock()
	others := slices.Clone(b.subscriptions[topic])
	b.subscriptions[topic] = slices.DeleteFunc(others, func(o *subscription) bool { return o == s })
	b.mu.Unlock()
	s.drain()
	close(s.out)
}

// startAccept starts accepting inbound connections; further calls do nothing.
func (b *Bus) startAccept() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.accepting || b.ctx.Err() != nil {
		return
	}
	b.accepting = true
	b.wg.Go(b.accept)
}

// wait blocks for d or until the bus is closed.
func (b *Bus) wait(d time.Duration) { _ = sleep.For(b.ctx, d) }
