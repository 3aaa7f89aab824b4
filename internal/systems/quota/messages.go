package quota

import "github.com/cranberrystage/cranberrystage/internal/tables"

// Stamp is a moment by the clock of one process. Others send it back, so that the
// process knows how old the information is that arrives with it, however long the
// messages were delayed.
type Stamp struct {
	// Process is a random number that identifies the process.
	Process uint64 `msgpack:"p"`
	// At is the time of that process.
	At tables.Time `msgpack:"t"`
}

// Ask is a request for tokens of a team.
type Ask struct {
	Team tables.TeamID `msgpack:"t"`
	// Need is the number of operations that wait.
	Need int `msgpack:"n"`
	// Extra is the number of further operations that are expected soon.
	Extra int `msgpack:"x,omitempty"`
}

// Request is a message from a proxy to an allocator.
type Request struct {
	VM tables.VMID `msgpack:"v"`
	// Proxies is the number of proxies as the sender knows it.
	Proxies int `msgpack:"n"`
	// Share is the reciprocal of the fraction of the limits that the sender lends until a
	// lease after Stamp, a stamp of the receiver; 0 if it lends none.
	Share int   `msgpack:"s,omitempty"`
	Stamp Stamp `msgpack:"m"`
	Asks  []Ask `msgpack:"a,omitempty"`
}

// Grant answers the Ask of the same index.
type Grant struct {
	Tokens int `msgpack:"n"`
	// WaitMillis is the time until there is a token, if there is none.
	WaitMillis int `msgpack:"w,omitempty"`
	// Elsewhere is another data centre that probably has a token, if there is none here.
	Elsewhere tables.DataCentreID `msgpack:"e,omitempty"`
}

// Response is an allocator's answer. Its tokens are valid for the plan's grantLife from
// the moment when the request was sent.
type Response struct {
	Stamp   Stamp   `msgpack:"m"`
	Proxies int     `msgpack:"n"`
	Grants  []Grant `msgpack:"g,omitempty"`
	// Partial means that the allocator has few of the shares of its data centre, as
	// after its start, so that another may have tokens.
	Partial bool `msgpack:"p,omitempty"`
}

// TeamLoad is the state of one team in an Exchange.
type TeamLoad struct {
	Team tables.TeamID `msgpack:"t"`
	// Demand is in operations per second, Tokens the number at hand.
	Demand float32 `msgpack:"d"`
	Tokens float32 `msgpack:"l"`
	// Sent are tokens for the receiver, valid for transferLife after Echo.
	Sent float32 `msgpack:"g,omitempty"`
}

// Exchange is a message between the allocators of two data centres.
type Exchange struct {
	DataCentre tables.DataCentreID `msgpack:"c"`
	Stamp      Stamp               `msgpack:"m"`
	// Echo is the receiver's newest stamp.
	Echo    Stamp      `msgpack:"e"`
	Proxies int        `msgpack:"n"`
	Teams   []TeamLoad `msgpack:"a,omitempty"`
}
