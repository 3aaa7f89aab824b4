package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/boottime"
	"github.com/cranberrystage/cranberrystage/internal/fleet"
	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/relay"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/wire"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

func newProxy(t *testing.T, store *metadata.Store) *Proxy {
	t.Helper()
	log, m := slog.New(slog.DiscardHandler), metrics.New(prometheus.NewRegistry())
	f := fleet.New(fleet.Options{
		VM: "vm", Store: store, Now: boottime.Now, Log: log, Metrics: m,
		Codec: fleet.Codec{
			ConfigTable: "op", ConfigKey: "config", EntryTable: "servers",
			Config: func(value []byte) (*tables.Routing, error) {
				r := &tables.Routing{}
				return r, json.Unmarshal(value, r)
			},
			Entry: func(string, []byte) (tables.Entry, error) { return tables.Entry{}, errors.New("none") },
		},
		Proxies: func() int { return 1 },
		Open: func(context.Context, tables.Entry, tables.TeamID) (links.Link, statement.Reply, error) {
			return nil, statement.Reply{}, errors.New("no server")
		},
	})
	server := relay.NewServer(f, relay.Unlimited{}, func(nc net.Conn) relay.Caller { return wire.NewCaller(nc) }, m, log)
	p, err := New(settings.Entry{
		VM: "vm", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", Grace: 3 * time.Second, DrainLimit: time.Second,
	}, f, server, log)
	assert.NilError(t, err)
	return p
}

// probe returns the HTTP status of a readiness probe.
func (p *Proxy) probe(t *testing.T) int {
	t.Helper()
	resp, err := http.Get("http://" + p.probes.Addr().String() + "/ready")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// waitForStatus waits until a readiness probe returns status.
func (p *Proxy) waitForStatus(t *testing.T, status int) {
	t.Helper()
	for range 200 {
		if p.probe(t) == status {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("the probe never returned %d", status)
}

func TestProxyLifecycle(t *testing.T) {
	store := metadata.New()
	p := newProxy(t, store)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()

	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, p.probe(t), http.StatusServiceUnavailable, "ready without a configuration")
	value, err := json.Marshal(tables.Routing{Version: 1, Routes: map[string]tables.Route{"db": {Database: "db", Group: "g"}}})
	assert.NilError(t, err)
	store.Put("op", "config", value)
	p.waitForStatus(t, http.StatusOK)

	nc, err := net.Dial("tcp", p.callers.Addr().String())
	assert.NilError(t, err)
	defer nc.Close()
	_, err = nc.Write([]byte("START db me\r\n"))
	assert.NilError(t, err)
	answer := make([]byte, 64)
	n, err := nc.Read(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(answer[:n]), "READY I -\r\n")

	cancel()
	p.waitForStatus(t, http.StatusServiceUnavailable)
	_, err = net.Dial("tcp", p.callers.Addr().String())
	assert.NilError(t, err, "new connections must be accepted until the balancer stops sending them")
	_, err = nc.Read(answer)
	assert.ErrorContains(t, err, "EOF")
	assert.NilError(t, <-ended)
}

func TestReloadKeepsAddresses(t *testing.T) {
	p := newProxy(t, metadata.New())
	next := p.settings
	next.Grace, next.CallerAddress = 9*time.Second, "127.0.0.1:1"
	p.Reload(next)
	assert.Equal(t, p.grace(), 9*time.Second)
	assert.Equal(t, p.settings.CallerAddress, "127.0.0.1:0")
}
