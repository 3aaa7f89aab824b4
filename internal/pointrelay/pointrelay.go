// Package pointrelay lets proxies tell each other how fresh a group's data is.
// It serves proxies that get no connection to a primary, such as many that
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
	// Tell returns what this proxy knows of a group; ok is false if nothing.
	Tell func(tables.GroupID) (k freshness.Knowledge, ok bool)
	Log  *slog.Logger
}

// Relay asks peers and answers them. It is safe for concurrent use.
type Relay struct {
	Options
	desk *inquiry.Desk[tables.GroupID, freshness.Knowledge]
}

// New returns a relay; Run serves it.
func New(o Options) *Relay {
	return &Relay{Options: o, desk: inquiry.New[tables.GroupID, freshness.Knowledge](inquiry.Options{
		Address: o.Address, Question: topicQuestion, Answer: topicAnswer, Bus: o.Bus, Log: logging.For(o.Log, "pointrelay"),
	})}
}

// Run answers peers until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	return r.desk.Run(ctx, func(g tables.GroupID, reply func(freshness.Knowledge)) {
		if k, ok := r.Tell(g); ok {
			reply(k)
		}
	})
}

// Ask returns what the first of a few peers to answer knows of a group; ok is
// false if none answers in time. Peers that know nothing stay silent.
func (r *Relay) Ask(ctx context.Context, g tables.GroupID) (k freshness.Knowledge, ok bool) {
	k, err := r.desk.Ask(ctx, answerTimeout, g, r.Peers(asked)...)
	return k, err == nil
}
