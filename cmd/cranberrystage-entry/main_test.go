package main

import (
	"net"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/rowrelay"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/wire"
	"gotest.tools/v3/assert"
)

// Servers must be told the team, and without teams the proxy's name as before: they
// write it to their logs.
func TestServersAreToldTeamOrProxy(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	users := make(chan string)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			s := wire.NewServer(nc)
			group, user, id, err := s.Start()
			if err == nil {
				err = s.Welcome()
			}
			users <- string(group) + " " + user + " " + string(id)
			assert.Check(t, err)
		}
	}()
	open := opener("vm7")
	for team, want := range map[tables.TeamID]string{"red": "g red s1", "": "g vm7 s1"} {
		got := make(chan string)
		go func() { got <- <-users }()
		link, _, err := open(t.Context(), tables.Entry{ID: "s1", Group: "g", Address: l.Addr().String()}, team)
		assert.NilError(t, err)
		assert.Equal(t, <-got, want)
		assert.NilError(t, link.Close())
	}
}

// In a data centre that is cut off from the store, each proxy chose another allocator
// within seconds, and most operations were refused. All must choose the same one.
func TestProxiesChooseOneAllocator(t *testing.T) {
	near := []rowrelay.Peer{{VM: "vm-3", Address: "3"}, {VM: "vm-1", Address: "1"}, {VM: "vm-2", Address: "2"}}
	for _, c := range []struct {
		self         tables.VMID
		unresponsive string
		want         string
	}{{"vm-1", "", ""}, {"vm-2", "", "1"}, {"vm-3", "", "1"}, {"vm-3", "1", "2"}, {"vm-2", "1", ""}} {
		address, ok := allocator(settings.Entry{VM: c.self}, near, func(a string) bool { return a == c.unresponsive })
		assert.Equal(t, address, c.want, "%+v", c)
		assert.Equal(t, ok, c.want != "")
	}
}
