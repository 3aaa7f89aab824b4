package quota

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// batchTime is the time whose operations a proxy requests at once.
	batchTime = 200 * time.Millisecond
	// maxDenialTime is how long a denial holds without another request.
	maxDenialTime = 50 * time.Millisecond
	// partialShare is the share of its data centre's shares below which an allocator
	// reports that it has few, and warmTime how long it still reports so afterwards,
	// while its buckets fill.
	partialShare = 0.5
	warmTime     = 3 * time.Second
)

// Node holds the decisions of one proxy: as the user of tokens, and as the allocator
// of its data centre while others use it as such. It is not safe for concurrent use.
// The times that it gets never decrease.
type Node struct {
	vm         tables.VMID
	dataCentre tables.DataCentreID
	process    uint64
	members    membership
	alloc      allocator
	users      map[tables.TeamID]*user
	// lentTo is the process that has this proxy's share until lentUntil, lentAddress its
	// address.
	lentTo      uint64
	lentAddress string
	lentUntil   tables.Time
	// stamps are the newest stamps of allocators by address.
	stamps map[string]received
	peers  map[tables.DataCentreID]*peer
	// partialAt is when this proxy last had few of the shares of its data centre.
	partialAt tables.Time
}

// received is a stamp and when it arrived.
type received struct {
	stamp Stamp
	at    tables.Time
}

// user is the state of a team whose operations this proxy runs.
type user struct {
	plan plan
	// tokens are those granted, oldest first.
	tokens []holding
	demand estimate
	// deniedUntil is the end of the last denial.
	deniedUntil tables.Time
	// reserve is this proxy's part of the reserve, filled up to reserveAt.
	reserve   float64
	reserveAt tables.Time
}

// NewNode returns the state of a process that has just started. process is a random
// number.
func NewNode(vm tables.VMID, dataCentre tables.DataCentreID, process uint64, now tables.Time) *Node {
	return &Node{
		vm: vm, dataCentre: dataCentre, process: process,
		// An earlier process of this VM may have lent the share. An allocator counts the share
		// of a VM once, so it may be lent again, but not used by this proxy itself.
		lentUntil: now.Add(lease),
		alloc:     allocator{shares: make(map[tables.VMID]share)},
		users:     make(map[tables.TeamID]*user),
		stamps:    make(map[string]received),
		peers:     make(map[tables.DataCentreID]*peer),
	}
}

// Configure replaces the limits. Teams without a limit must not be in it.
func (n *Node) Configure(limits map[tables.TeamID]Limit, t Tolerance, now tables.Time) {
	plans := make(map[tables.TeamID]plan, len(limits))
	users := make(map[tables.TeamID]*user, len(limits))
	for id, l := range limits {
		plans[id] = planFor(l, t)
		u := n.users[id]
		if u == nil {
			u = &user{tokens: make([]holding, 0, 2), reserveAt: now}
		}
		u.plan = plans[id]
		users[id] = u
	}
	n.users = users
	n.alloc.configure(plans, now)
}

// Limited reports whether a team has a limit.
func (n *Node) Limited(team tables.TeamID) bool { return n.users[team] != nil }

// SetDirectory takes a reading of the directory of proxies.
func (n *Node) SetDirectory(d Directory, now tables.Time) {
	n.members.setDirectory(d, now)
	n.updateOwn(now)
}

// updateOwn sets the share that this proxy uses itself: its own, unless it is lent.
func (n *Node) updateOwn(now tables.Time) {
	size := n.members.shareSize(now)
	if size == 0 || now < n.lentUntil {
		n.alloc.setOwn(0, now)
		return
	}
	n.alloc.setOwn(1/float64(size), now)
}

// Count counts an operation that a caller requests.
func (n *Node) Count(team tables.TeamID, now tables.Time) {
	if u := n.users[team]; u != nil {
		u.demand.add(1, now)
	}
}

// Take uses a token that is at hand. ok is true also if the team has no limit.
func (n *Node) Take(team tables.TeamID, now tables.Time) (ok bool) {
	u := n.users[team]
	if u == nil {
		return true
	}
	for len(u.tokens) > 0 {
		if h := &u.tokens[0]; now < h.until && h.tokens >= 1 {
			h.tokens--
			return true
		}
		u.tokens = u.tokens[:copy(u.tokens, u.tokens[1:])]
	}
	return false
}

// Denied returns how long the last denial still holds; 0 if it does not.
func (n *Node) Denied(team tables.TeamID, now tables.Time) time.Duration {
	u := n.users[team]
	if u == nil || now >= u.deniedUntil {
		return 0
	}
	return u.deniedUntil.Sub(now)
}

// Asks returns the requests for the given numbers of waiting operations.
func (n *Node) Asks(team tables.TeamID, waiting int, now tables.Time) Ask {
	a := Ask{Team: team, Need: waiting}
	if u := n.users[team]; u != nil {
		a.Extra = max(0, int(u.demand.current(now)*batchTime.Seconds())-waiting)
	}
	return a
}

// Request returns the message to the allocator at an address. If lend is true, this is
// the allocator of this proxy's data centre, and gets its share.
func (n *Node) Request(address string, lend bool, asks []Ask, now tables.Time) Request {
	q := Request{VM: n.vm, Proxies: n.members.listed.n, Asks: asks}
	s, ok := n.stamps[address]
	size := n.members.shareSize(now)
	until := s.at.Add(lease)
	if !lend || !ok || size == 0 || until <= now || n.lentElsewhere(address, s.stamp.Process, now) {
		return q
	}
	q.Share, q.Stamp = size, s.stamp
	n.lentTo, n.lentAddress, n.lentUntil = s.stamp.Process, address, max(n.lentUntil, until)
	n.updateOwn(now)
	return q
}

// lentElsewhere reports whether another process than the given one may have this proxy's
// share. An earlier process at the same address has ended, and its tokens with it.
func (n *Node) lentElsewhere(address string, process uint64, now tables.Time) bool {
	return now < n.lentUntil && n.lentTo != 0 && n.lentTo != process && n.lentAddress != address
}

// Respond answers a request as an allocator.
func (n *Node) Respond(q Request, now tables.Time) Response {
	n.members.hear(q.Proxies, now)
	n.updateOwn(now)
	if q.Share > 0 && q.Stamp.Process == n.process && q.VM != n.vm {
		n.alloc.borrow(q.VM, 1/float64(q.Share), q.Stamp.At.Add(lease-leaseMargin), now)
	}
	r := Response{Stamp: Stamp{n.process, now}, Proxies: n.members.listed.n}
	r.Grants, r.Partial = n.Allocate(q.Asks, now)
	return r
}

// partial reports whether this proxy has, or had shortly before, few of the shares of its
// data centre.
func (n *Node) partial(now tables.Time) bool {
	d := n.members.directory
	if d.Proxies == 0 || n.alloc.part.rate < partialShare*float64(d.Near)/float64(d.Proxies) {
		n.partialAt = now
	}
	return now.Sub(n.partialAt) < warmTime
}

// Allocate grants tokens from this proxy's buckets. partial means that it has, or had
// shortly before, few of the shares of its data centre.
func (n *Node) Allocate(asks []Ask, now tables.Time) (grants []Grant, partial bool) {
	n.updateOwn(now)
	n.alloc.settle(now)
	out := make([]Grant, len(asks))
	for i, a := range asks {
		b := n.alloc.buckets[a.Team]
		if b == nil || a.Need < 0 || a.Extra < 0 {
			continue
		}
		out[i].Tokens = b.grant(a.Need, a.Extra, n.alloc.part, now)
		if out[i].Tokens < a.Need {
			out[i].WaitMillis = int(min(b.wait(n.alloc.part, now), maxWaitSeconds)*1000) + 1
			out[i].Elsewhere = n.richest(a.Team, b, now)
		}
	}
	return out, n.partial(now)
}

// maxWaitSeconds bounds the time after which a refused caller is told to try again.
const maxWaitSeconds = 5

// Receive takes the response of the allocator at an address to a request that was sent
// at the given time.
func (n *Node) Receive(address string, sentAt tables.Time, asks []Ask, r Response, now tables.Time) {
	n.members.hear(r.Proxies, now)
	if old, ok := n.stamps[address]; !ok || old.stamp.Process != r.Stamp.Process || r.Stamp.At > old.stamp.At {
		n.stamps[address] = received{r.Stamp, now}
	}
	n.Keep(asks, r.Grants, sentAt, now)
}

// Keep stores granted tokens, which are valid from the time when they were requested.
func (n *Node) Keep(asks []Ask, grants []Grant, sentAt, now tables.Time) {
	for i, g := range grants {
		if i >= len(asks) {
			return
		}
		u := n.users[asks[i].Team]
		if u == nil {
			continue
		}
		if until := sentAt.Add(u.plan.grantLife); g.Tokens > 0 && now < until {
			u.tokens = append(u.tokens, holding{float64(g.Tokens), until})
		}
		switch {
		case g.Tokens >= asks[i].Need:
			u.deniedUntil = 0
		case g.Elsewhere == "":
			u.deniedUntil = now.Add(min(time.Duration(g.WaitMillis)*time.Millisecond, maxDenialTime))
		}
	}
}

// Fallback admits an operation without the allocator: from this proxy's share while it
// is not lent, or from its part of the reserve.
func (n *Node) Fallback(team tables.TeamID, now tables.Time) bool {
	if grants, _ := n.Allocate([]Ask{{Team: team, Need: 1}}, now); grants[0].Tokens > 0 {
		return true
	}
	u := n.users[team]
	if u == nil {
		return true
	}
	return n.takeReserve(u, now)
}

// takeReserve takes an operation of the reserve. In each window a proxy has its share
// of the reserve, half of it saved up. It starts with none, so that a restart gives
// nothing twice.
func (n *Node) takeReserve(u *user, now tables.Time) bool {
	if n.members.shareSize(now) == 0 {
		u.reserveAt = now
		return false
	}
	share := u.plan.reserve / float64(n.members.proxies())
	saved := max(1, share/2)
	if share < 1 {
		return false
	}
	rate := (share - saved) / u.plan.window
	u.reserve = min(saved, u.reserve+rate*now.Sub(u.reserveAt).Seconds())
	u.reserveAt = now
	if u.reserve < 1 {
		return false
	}
	u.reserve--
	return true
}
