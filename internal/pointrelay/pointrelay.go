// Package pointrelay lets proxies exchange their cached state of how fresh
// groups' data is. There are two uses. With many proxies, one proxy of a data
// centre, the designated reader, queries the primaries for all, so that a
// primary's load and connections don't grow with the number of proxies. And
// proxies that get no connection to a primary use the state of others, for
// instance when many restart at once while the server still keeps their old
// connections.
package pointrelay

import (
	"context"
	"log/slog"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/peer/rpc"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// maxPeersQueried is how many peers are queried at once: after all proxies
	// restarted, about one in four has a connection to a given primary.
	maxPeersQueried = 4
	// replyTimeout bounds the wait for peers; a round trip takes some
	// milliseconds.
	replyTimeout = 40 * time.Millisecond
)

// Topics of the messages.
const (
	topicRequest  = "point-question"
	topicResponse = "point-answer"
)

// Options holds the dependencies and settings of a Relay.
type Options struct {
	// Address is this proxy's IP:port for messages between proxies.
	Address string
	Bus     rpc.Bus
	// Peers returns the addresses of up to n other proxies, near ones first.
	Peers func(n int) []string
	// Reader returns the address of the designated reader of this proxy's data
	// centre; ok is false if it is this proxy.
	Reader func() (address string, ok bool)
	// FreshnessReport returns this proxy's cached state of a group; ok is false
	// if there is none.
	FreshnessReport func(tables.GroupID) (report freshness.Report, ok bool)
	Log             *slog.Logger
}

// request names groups, and response holds the cached state of those that the
// peer has.
type (
	request  []tables.GroupID
	response map[tables.GroupID]freshness.Report
)

// Relay queries peers and responds to their queries. It is safe for concurrent
// use.
type Relay struct {
	Options
	exchange *rpc.Endpoint[request, response]
}

// New returns a relay. Run makes it respond to peers.
func New(o Options) *Relay {
	return &Relay{Options: o, exchange: rpc.New[request, response](rpc.Options{
		Address: o.Address, RequestTopic: topicRequest, ResponseTopic: topicResponse, Bus: o.Bus, Log: logging.For(o.Log, "pointrelay"),
	})}
}

// Run responds to peers until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	return r.exchange.Run(ctx, func(q request, reply func(response)) {
		out := make(response, len(q))
		for _, g := range q {
			if report, ok := r.FreshnessReport(g); ok {
				out[g] = report
			}
		}
		if len(out) > 0 {
			reply(out)
		}
	})
}

// Query queries a few peers and returns the cached state of a group from the
// first that responds; ok is false if none does in time. Peers without cached
// state don't respond.
func (r *Relay) Query(ctx context.Context, g tables.GroupID) (report freshness.Report, ok bool) {
	res, err := r.exchange.Call(ctx, replyTimeout, request{g}, r.Peers(maxPeersQueried)...)
	if err != nil {
		return freshness.Report{}, false
	}
	report, ok = res[g]
	return report, ok
}

// QueryReader returns the designated reader's cached state of groups; nil if this
// proxy is the reader, or if the reader doesn't respond in time.
func (r *Relay) QueryReader(ctx context.Context, groups []tables.GroupID) map[tables.GroupID]freshness.Report {
	address, ok := r.Reader()
	if !ok {
		return nil
	}
	res, err := r.exchange.Call(ctx, replyTimeout, groups, address)
	if err != nil {
		return nil
	}
	return res
}
