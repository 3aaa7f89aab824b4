package quota

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// minDemand is the demand, in operations per second, below which a team is not
	// reported to other data centres.
	minDemand = 0.02
	// maxReportAge is the age up to which a report of another data centre is used: two
	// exchanges.
	maxReportAge = 1100 * time.Millisecond
	// maxEchoAge is the age up to which a stamp is still worth sending tokens for.
	maxEchoAge = 800 * time.Millisecond
	// evenShare is the part of the tokens that is divided evenly between data centres,
	// whatever the demand is: callers move between them.
	evenShare = 0.25
	// needTime is the time, in seconds, for whose demand a data centre needs tokens, and
	// needFloor a further number for operations that come by chance.
	needTime, needFloor = 1.0, 1.0
)

// peer is the allocator of another data centre.
type peer struct {
	stamp      Stamp
	receivedAt tables.Time
	loads      map[tables.TeamID]TeamLoad
	// lastStamp is when the last message was sent to it, lastSent the tokens in it.
	lastStamp tables.Time
	lastSent  map[tables.TeamID]float64
	// echo is the newest of this process's stamps that it has received.
	echo tables.Time
	// seen are the newest stamps by process: for some time, two proxies may act as the
	// allocator of a data centre.
	seen map[uint64]received
}

// isNew reports whether a message is newer than the last one of the same process.
func (p *peer) isNew(s Stamp, now tables.Time) bool {
	for process, last := range p.seen {
		if now.Sub(last.at) > 2*transferLife { // tokens of an older message have ended
			delete(p.seen, process)
		}
	}
	last, ok := p.seen[s.Process]
	if ok && s.At <= last.stamp.At {
		return false
	}
	p.seen[s.Process] = received{s, now}
	return true
}

// peer returns the state of the allocator of another data centre.
func (n *Node) peer(dc tables.DataCentreID) *peer {
	p := n.peers[dc]
	if p == nil {
		p = &peer{seen: make(map[uint64]received)}
		n.peers[dc] = p
	}
	return p
}

// tokens returns the tokens of a team there, with those on the way.
func (p *peer) tokens(team tables.TeamID) float64 {
	t := float64(p.loads[team].Tokens)
	if p.echo < p.lastStamp {
		t += p.lastSent[team]
	}
	return t
}

// Exchange returns the message for the allocator of another data centre, with the
// tokens that it needs more than this one.
func (n *Node) Exchange(to tables.DataCentreID, now tables.Time) Exchange {
	n.updateOwn(now)
	n.alloc.settle(now)
	p := n.peer(to)
	e := Exchange{DataCentre: n.dataCentre, Stamp: Stamp{n.process, now}, Echo: p.stamp, Proxies: n.members.listed.n}
	p.lastStamp, p.lastSent = now, make(map[tables.TeamID]float64)
	for id, b := range n.alloc.buckets {
		demand := b.demand.current(now)
		if demand < minDemand && p.loads[id].Demand < minDemand {
			continue
		}
		var sent float64
		if now.Sub(p.receivedAt) < maxEchoAge {
			sent = b.send(n.surplus(id, b, to, now), n.alloc.part, now)
		}
		if demand < minDemand && sent == 0 {
			continue
		}
		if sent > 0 {
			p.lastSent[id] = sent
		}
		e.Teams = append(e.Teams, TeamLoad{id, float32(demand), float32(b.available(now)), roundDown(sent)})
	}
	return e
}

// roundDown converts without growing.
func roundDown(x float64) float32 { return float32(x * (1 - 1e-6)) }

// surplus returns how many tokens the allocator of another data centre should get. Each
// keeps what it needs until the next exchanges. If there is not enough, the tokens are to
// be where operations come from.
func (n *Node) surplus(team tables.TeamID, b *bucket, to tables.DataCentreID, now tables.Time) float64 {
	b.fill(n.alloc.part, now)
	own := b.available(now)
	total, demand, centres := own, b.demand.current(now), 1.0
	for _, p := range n.peers {
		if now.Sub(p.receivedAt) <= maxReportAge && p.receivedAt != 0 {
			total += p.tokens(team)
			demand += float64(p.loads[team].Demand)
			centres++
		}
	}
	target := func(d float64) float64 {
		return min(needFloor+needTime*d, total*(evenShare/centres+(1-evenShare)*d/max(demand, minDemand)))
	}
	mine := own - target(b.demand.current(now))
	if mine <= 0 {
		return 0
	}
	all := mine
	for _, p := range n.peers {
		if now.Sub(p.receivedAt) <= maxReportAge && p.receivedAt != 0 {
			all += max(0, p.tokens(team)-target(float64(p.loads[team].Demand)))
		}
	}
	missing := target(float64(n.peers[to].loads[team].Demand)) - n.peers[to].tokens(team)
	return max(0, missing) * mine / all
}

// richest returns the data centre that reported most tokens of a team; empty if none has
// one. One that does not report a team has no demand for it, and so a full pool.
func (n *Node) richest(team tables.TeamID, b *bucket, now tables.Time) (best tables.DataCentreID) {
	most := 1.0
	for dc, p := range n.peers {
		if p.receivedAt == 0 || now.Sub(p.receivedAt) > maxReportAge {
			continue
		}
		tokens := b.plan.pool
		if load, ok := p.loads[team]; ok {
			tokens = float64(load.Tokens)
		}
		if tokens >= most {
			best, most = dc, tokens
		}
	}
	return best
}

// Accept takes a message of the allocator of another data centre. A message that is
// older than the last one is ignored.
func (n *Node) Accept(e Exchange, now tables.Time) {
	n.updateOwn(now)
	n.alloc.settle(now)
	n.members.hear(e.Proxies, now)
	p := n.peer(e.DataCentre)
	if !p.isNew(e.Stamp, now) {
		return
	}
	p.stamp, p.receivedAt = e.Stamp, now
	p.echo = 0
	if e.Echo.Process == n.process {
		p.echo = e.Echo.At
	}
	p.loads = make(map[tables.TeamID]TeamLoad, len(e.Teams))
	until := p.echo.Add(transferLife - leaseMargin)
	for _, t := range e.Teams {
		p.loads[t.Team] = t
		if b := n.alloc.buckets[t.Team]; b != nil && t.Sent > 0 && p.echo != 0 && now < until {
			b.receive(float64(t.Sent), until, n.alloc.part, now)
		}
	}
}
