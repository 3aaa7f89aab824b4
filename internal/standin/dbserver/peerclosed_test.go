package dbserver

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// openSession opens a connection and sends a startup message.
func openSession(t *testing.T, address string) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, nc.SetDeadline(time.Now().Add(5*time.Second)))
	fe := pgproto3.NewFrontend(nc, nc)
	fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "pool"}})
	assert.NilError(t, fe.Flush())
	return nc, fe
}

func TestClosedConnectionsDoNotCountAgainstLimit(t *testing.T) {
	const limit = 3
	s, err := New(Config{ID: "a", Listen: "127.0.0.1:0", Primary: true, Slots: 1, Connections: limit, SetUpTime: config.Duration(50 * time.Millisecond)}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	// The server is not accepting yet, as if its process were stopped.
	for range 5 * limit {
		nc, _ := openSession(t, s.Addr())
		assert.NilError(t, nc.Close())
	}
	go func() { _ = s.Run(t.Context()) }()
	for i := range limit + 1 {
		nc, fe := openSession(t, s.Addr())
		defer func() { _ = nc.Close() }()
		msg, err := fe.Receive()
		assert.NilError(t, err)
		_, refused := msg.(*pgproto3.ErrorResponse)
		assert.Equal(t, refused, i == limit)
	}
	assert.Equal(t, s.Stats().RefusedConnections, int64(1))
}
