// Package pointrelay lets proxies tell each other how fresh groups' data is. It
// serves two loads: many proxies, of which one a data centre asks the primaries
// for all, so that a primary's load and connections don't grow with their
// number; and proxies that get no connection to a primary, such as many that
// start again at once while the server still holds their old connections.
package pointrelay

import (
	"context"
	"log/slog"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/peer/inquiry"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// asked is how many peers are asked at once: after a restart of all, about
	// one in four has a connection to a given primary.
	asked = 4
	// answerTimeout bounds the wait for them; a round trip takes some milliseconds.
	answerTimeout = 40 * time.Millisecond
)

// Topics of the messages.
const (
	topicQuestion = "point-question"
	topicAnswer   = "point-answer"
)

// Options are what a Relay is made of.
type Options struct {
	// Address is this proxy's IP:port for messages.
	Address string
	Bus     inquiry.Bus
	// Peers returns the addresses of up to n other proxies, near ones first.
	Peers func(n int) []string
	// Reader returns the address of the proxy that asks primaries for this one's
	// data centre; ok is false if it is this one.
	Reader func() (address string, ok bool)
	// FreshnessReport returns what this proxy knows of a group; ok is false if nothing.
	FreshnessReport func(tables.GroupID) (k freshness.Report, ok bool)
	Log             *slog.Logger
}

// question names groups, and answer what a proxy knows of them.
type (
	question []tables.GroupID
	answer   map[tables.GroupID]freshness.Report
)

// Relay asks peers and answers them. It is safe for concurrent use.
type Relay struct {
	Options
	desk *inquiry.Endpoint[question, answer]
}

// New returns a relay; Run serves it.
func New(o Options) *Relay {
	return &Relay{Options: o, desk: inquiry.New[question, answer](inquiry.Options{
		Address: o.Address, RequestTopic: topicQuestion, ResponseTopic: topicAnswer, Bus: o.Bus, Log: logging.For(o.Log, "pointrelay"),
	})}
}

// Run answers peers until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	return r.desk.Run(ctx, func(q question, reply func(answer)) {
		a := make(answer, len(q))
		for _, g := range q {
			if k, ok := r.FreshnessReport(g); ok {
				a[g] = k
			}
		}
		if len(a) > 0 {
			reply(a)
		}
	})
}

// Ask returns what the first of a few peers to answer knows of a group; ok is
// false if none answers in time. Peers that know nothing stay silent.
func (r *Relay) Ask(ctx context.Context, g tables.GroupID) (k freshness.Report, ok bool) {
	a, err := r.desk.Call(ctx, answerTimeout, question{g}, r.Peers(asked)...)
	if err != nil {
		return freshness.Report{}, false
	}
	k, ok = a[g]
	return k, ok
}

// AskLooker returns what the data centre's looker knows of groups; nil if that
// is this proxy, or if it doesn't answer in time.
func (r *Relay) AskLooker(ctx context.Context, groups []tables.GroupID) map[tables.GroupID]freshness.Report {
	address, ok := r.Reader()
	if !ok {
		return nil
	}
	a, err := r.desk.Call(ctx, answerTimeout, groups, address)
	if err != nil {
		return nil
	}
	return a
}
