package proxy

import (
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func serversAt(addresses ...string) config.Document {
	g := config.Group{ID: "g"}
	for i, address := range addresses {
		g.Upstreams = append(g.Upstreams, config.Upstream{ID: tables.UpstreamID('a' + rune(i)), Address: address, Slots: 3})
	}
	return config.Document{Groups: []config.Group{g}}
}

func TestRemotesAreMadeAtFirstUse(t *testing.T) {
	u := newUpstreams(settings.Upstreams{}, "vm-1", "dc-1")
	u.now = func() tables.Time { return 1 }
	u.apply(serversAt("127.0.0.1:1", "127.0.0.1:2"))
	assert.Equal(t, len(u.by), 0)
	first, ok := u.get("a")
	assert.Assert(t, ok)
	again, _ := u.get("a")
	assert.Assert(t, first == again)
	assert.Equal(t, len(u.by), 1)
	_, ok = u.get("other")
	assert.Assert(t, !ok)

	u.apply(serversAt("127.0.0.1:3", "127.0.0.1:2"))
	moved, _ := u.get("a")
	assert.Assert(t, moved.pool != first.pool)
	assert.Equal(t, len(u.by), 1)

	u.apply(config.Document{})
	assert.Equal(t, len(u.by), 0)
	_, ok = u.get("a")
	assert.Assert(t, !ok)

	u.apply(serversAt("127.0.0.1:1"))
	u.closeAll()
	_, ok = u.get("a")
	assert.Assert(t, !ok)
}
