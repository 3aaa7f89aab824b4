package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/standin/sessionlog"
	"github.com/cranberrystage/cranberrystage/internal/standin/teamlog"
	"github.com/cranberrystage/cranberrystage/internal/statement"
)

const (
	// longPause is the longest pause between two operations of a caller with session
	// values; the proxies themselves use connections that are idle meanwhile.
	longPause = time.Second
	// settingsCallers is the number of callers with session values.
	settingsCallers = 4
	// maxFailing is the longest time for which a server fails a part of its statements.
	maxFailing = 3 * time.Second
)

// runSettings runs a caller that sets session values and prepares statements, until ctx
// is done.
func (s *Soak) runSettings(ctx context.Context, number int) {
	c := &caller{soak: s, database: []string{newest, bounded}[number%2], proxyIndex: number, holder: regular(number)}
	defer c.disconnect()
	r := rand.New(rand.NewPCG(s.Seed, uint64(100+number)))
	user := &sessionlog.Caller{
		Log: &s.settings, Name: fmt.Sprintf("c%d-", number), Rand: r,
		NewID: func() string { return teamlog.ID(string(c.holder), statements.Add(1)) },
		Items: []string{itemName(0), itemName(1)},
		Do: func(st statement.Statement) (statement.Reply, bool) {
			if c.conn == nil {
				return statement.Reply{}, false // the session has ended
			}
			return c.execute(st)
		},
	}
	for ctx.Err() == nil {
		if c.conn == nil && c.connect() {
			user.NewSession()
		}
		if c.conn == nil || !user.Operation() {
			c.disconnect()
		}
		pause := thinkTime
		if r.IntN(5) == 0 {
			pause = time.Duration(r.Int64N(int64(longPause)))
		}
		_ = sleep.For(ctx, pause) // the loop checks ctx
	}
}

// failStatements makes one server after the other fail a part of the statements of
// callers and of those with which proxies prepare and reset their connections.
func (s *Soak) failStatements(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 3))
	if r.IntN(2) == 0 {
		s.group.RollbackUndoesSettings()
	}
	defer s.group.FailStatements(nil)
	for end := time.Now().Add(s.FaultDuration); time.Now().Before(end); {
		if sleep.For(ctx, time.Duration(r.Int64N(int64(maxFailing)))) != nil {
			return
		}
		id := serverName(r.IntN(servers))
		s.group.FailStatements(sessionlog.RandomFailures(r, id))
		duration := time.Duration(r.Int64N(int64(maxFailing)))
		s.recordStep("%s fails a part of its statements for %s", id, duration.Round(time.Millisecond))
		_ = sleep.For(ctx, duration) // the loop ends in any case
		s.group.FailStatements(nil)
	}
}

// observe records a statement that a server ran.
func (s *Soak) observe(r dbgroup.Run) {
	s.ran.Record(r)
	s.settings.Record(r)
}

// checkSettings checks the session state with which statements ran.
func (s *Soak) checkSettings() {
	for _, violation := range s.settings.Violations() {
		s.fail("%s", violation)
	}
}
