//go:build review3

package main

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
)

// joinCalmly starts a new server, which checks in at once.
func (p *play) joinCalmly() {
	p.note("%s starts", joining)
	p.group.Change(joining, (*dbgroup.Server).Restart)
	p.setSilent(joining, false)
	time.Sleep(zoneCut)
}

// joinBehindCut cuts the primary's zone off, in which a new server starts meanwhile. Clients
// and proxies are in other zones. The new server's first check-in does not arrive, so that its
// entry shows one heartbeat after its start. The primary's own entry outlasts the cut.
func (p *play) joinBehindCut() {
	primary, outside := names[0], names[1:3]
	start := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	setCut := func(on bool) {
		p.links[primary].setCut(on)
		p.links[joining].setCut(on)
		for _, id := range outside {
			p.group.Change(id, func(s *dbgroup.Server) { s.SetReceiveStopped(on) })
		}
	}
	p.note("DISRUPTION: the zone of %s is cut off", primary)
	p.setSilent(primary, true)
	setCut(true)
	until(joinAt)
	p.note("%s starts in that zone; its first check-in does not arrive", joining)
	p.group.Change(joining, (*dbgroup.Server).Restart)
	until(zoneCut)
	p.note("the cut ends")
	setCut(false)
	p.setSilent(primary, false)
	until(joinAt + heartbeat)
	p.setSilent(joining, false)
}
