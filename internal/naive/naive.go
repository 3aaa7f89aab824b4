// Package naive implements a minimal proxy as the baseline of measurements. It
// opens a connection to the primary for each request and has no pool, no routing
// and no checks.
package naive

import (
	"context"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Proxy forwards every request to one server.
type Proxy struct {
	listener net.Listener
	primary  string
	dialer   net.Dialer
}

// New returns a proxy that listens on address and forwards requests to the
// server at primary.
func New(address, primary string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return &Proxy{listener: l, primary: primary}, nil
}

// Addr returns the bound address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Run serves until ctx ends.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	for {
		nc, err := p.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept caller")
		}
		go p.serve(ctx, nc)
	}
}

func (p *Proxy) serve(ctx context.Context, nc net.Conn) {
	defer func() { _ = nc.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	backend := pgproto3.NewBackend(nc, nc)
	start, err := receiveStartup(backend, nc)
	if err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		request, err := receiveRequest(backend)
		if err != nil || p.forward(ctx, backend, start, request) != nil {
			return
		}
	}
}

func receiveStartup(backend *pgproto3.Backend, nc net.Conn) (*pgproto3.StartupMessage, error) {
	for {
		msg, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrap(err, "receive startup")
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			return nil, errors.New("cancel requests are not supported")
		default:
			if _, err := nc.Write([]byte{'N'}); err != nil {
				return nil, errors.Wrap(err, "refuse encryption")
			}
		}
	}
}

// receiveRequest reads messages up to a Query or Sync, after which the server
// replies with ReadyForQuery. It encodes each message immediately, because
// pgproto3 reuses the memory of a received message.
func receiveRequest(backend *pgproto3.Backend) ([]byte, error) {
	var out []byte
	for {
		msg, err := backend.Receive()
		if err != nil {
			return nil, errors.Wrap(err, "receive request")
		}
		if out, err = msg.Encode(out); err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		switch msg.(type) {
		case *pgproto3.Query, *pgproto3.Sync:
			return out, nil
		case *pgproto3.Terminate:
			return nil, errors.New("terminated")
		}
	}
}

// forward runs one request on a new connection.
func (p *Proxy) forward(ctx context.Context, backend *pgproto3.Backend, start *pgproto3.StartupMessage, request []byte) error {
	nc, err := p.dialer.DialContext(ctx, "tcp", p.primary)
	if err != nil {
		return errors.Wrap(err, "connect to the primary")
	}
	defer func() { _ = nc.Close() }()
	frontend := pgproto3.NewFrontend(nc, nc)
	frontend.Send(start)
	if err := frontend.Flush(); err != nil {
		return errors.Wrap(err, "send startup")
	}
	if err := receiveUntilReady(frontend, func(pgproto3.BackendMessage) {}); err != nil {
		return err
	}
	if _, err := nc.Write(request); err != nil {
		return errors.Wrap(err, "send request")
	}
	return receiveUntilReady(frontend, backend.Send)
}

// receiveUntilReady calls handle for each message up to and including
// ReadyForQuery.
func receiveUntilReady(frontend *pgproto3.Frontend, handle func(pgproto3.BackendMessage)) error {
	for {
		msg, err := frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive response")
		}
		handle(msg)
		if _, ready := msg.(*pgproto3.ReadyForQuery); ready {
			return nil
		}
	}
}
