package naive

import (
	"context"
	"log/slog"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

func TestForwardsSimpleAndExtendedProtocol(t *testing.T) {
	ctx := t.Context()
	db, err := dbserver.New(dbserver.Config{ID: "a", Listen: "127.0.0.1:0", Primary: true, Slots: 3, Connections: 20}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	go func() { _ = db.Run(ctx) }()
	p, err := New("127.0.0.1:0", db.Addr())
	assert.NilError(t, err)
	go func() { _ = p.Run(ctx) }()

	conn, err := pgx.Connect(ctx, "postgres://u@"+p.Addr()+"/d?sslmode=disable")
	assert.NilError(t, err)
	defer func() { _ = conn.Close(context.Background()) }()
	_, err = conn.Exec(ctx, "INSERT INTO t (k, v) VALUES ('a', 'b')")
	assert.NilError(t, err)
	var v string
	assert.NilError(t, conn.QueryRow(ctx, "SELECT v FROM t WHERE k = $1", pgx.QueryExecModeExec, "a").Scan(&v))
	assert.Equal(t, v, "b")
	_, err = conn.Exec(ctx, "INSERT INTO t (k, v) VALUES ('a', 'b')")
	assert.ErrorContains(t, err, "23505")
	assert.NilError(t, conn.QueryRow(ctx, "SELECT count(*) FROM t WHERE v = 'b'", pgx.QueryExecModeSimpleProtocol).Scan(new(int)))
}
