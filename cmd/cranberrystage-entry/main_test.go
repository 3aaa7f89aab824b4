package main

import (
	"net"
	"testing"

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
