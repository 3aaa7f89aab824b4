// Package naive is the simplest proxy that could work: a connection to the
// primary for each request, no pool, no routing, no checks. Measurements
// compare the real proxy with it.
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

// New binds address; requests go to the server at primary.
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
	be := pgproto3.NewBackend(nc, nc)
	start, err := receiveStartup(be, nc)
	if err != nil {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	be.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	be.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for be.Flush() == nil {
		request, err := receiveRequest(be)
		if err != nil || p.forward(ctx, be, start, request) != nil {
			return
		}
	}
}

func receiveStartup(be *pgproto3.Backend, nc net.Conn) (*pgproto3.StartupMessage, error) {
	for {
		msg, err := be.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrap(err, "receive startup")
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			return nil, errors.New("cancel requests are not carried")
		default:
			if _, err := nc.Write([]byte{'N'}); err != nil {
				return nil, errors.Wrap(err, "refuse encryption")
			}
		}
	}
}

// receiveRequest reads up to the message that asks for a ReadyForQuery. The
// messages are encoded at once, because the reader reuses their memory.
func receiveRequest(be *pgproto3.Backend) ([]byte, error) {
	var out []byte
	for {
		msg, err := be.Receive()
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

// forward runs one request on a connection of its own.
func (p *Proxy) forward(ctx context.Context, be *pgproto3.Backend, start *pgproto3.StartupMessage, request []byte) error {
	nc, err := p.dialer.DialContext(ctx, "tcp", p.primary)
	if err != nil {
		return errors.Wrap(err, "connect to the primary")
	}
	defer func() { _ = nc.Close() }()
	fe := pgproto3.NewFrontend(nc, nc)
	fe.Send(start)
	if err := fe.Flush(); err != nil {
		return errors.Wrap(err, "send startup")
	}
	if err := untilReady(fe, func(pgproto3.BackendMessage) {}); err != nil {
		return err
	}
	if _, err := nc.Write(request); err != nil {
		return errors.Wrap(err, "send request")
	}
	return untilReady(fe, be.Send)
}

// untilReady hands every message up to ReadyForQuery to handle.
func untilReady(fe *pgproto3.Frontend, handle func(pgproto3.BackendMessage)) error {
	for {
		msg, err := fe.Receive()
		if err != nil {
			return errors.Wrap(err, "receive answer")
		}
		handle(msg)
		if _, ready := msg.(*pgproto3.ReadyForQuery); ready {
			return nil
		}
	}
}
