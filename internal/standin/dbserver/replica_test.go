package dbserver

import (
	"log/slog"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestReplicaSwitchesFromSilentPrimaryWithoutTimeout(t *testing.T) {
	start := func(cfg Config) *Server {
		cfg.Listen, cfg.Slots, cfg.Connections = "127.0.0.1:0", 10, 10
		s, err := New(cfg, slog.New(slog.DiscardHandler))
		assert.NilError(t, err)
		go func() { _ = s.Run(t.Context()) }()
		return s
	}
	a := start(Config{ID: "a", Primary: true})
	b := start(Config{ID: "b", PrimaryID: "a", PrimaryAddress: a.Addr()})
	c := start(Config{ID: "c", PrimaryID: "a", PrimaryAddress: a.Addr()})
	has := func(s *Server, pos tables.Position) poll.Check {
		return func(poll.LogT) poll.Result {
			if s.db.status().Last.AtLeast(pos) {
				return poll.Success()
			}
			return poll.Continue("at %v", s.db.status().Last)
		}
	}
	pos, err := a.db.commit(0, nil)
	assert.NilError(t, err)
	poll.WaitOn(t, has(c, pos), poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	poll.WaitOn(t, has(b, pos), poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	a.SetFaults(Faults{IsolatedFrom: []string{"*"}})

	// The pending request of c to a gets no response; following b must cancel it.
	time.Sleep(2 * pullWait)
	for _, s := range []*Server{b, c} {
		_, err = s.db.fence(2)
		assert.NilError(t, err)
	}
	_, err = b.db.promote(2)
	assert.NilError(t, err)
	_, err = c.db.follow("b", b.Addr(), 2)
	assert.NilError(t, err)
	pos, err = b.db.commit(0, nil)
	assert.NilError(t, err)
	poll.WaitOn(t, has(c, pos), poll.WithTimeout(pullTimeout/4), poll.WithDelay(time.Millisecond))
}

func TestReplicationDelayMayExceedPullTimeout(t *testing.T) {
	const delay = pullTimeout + pullTimeout/2
	a, err := New(Config{ID: "a", Listen: "127.0.0.1:0", Primary: true, Slots: 10, Connections: 10}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	go func() { _ = a.Run(t.Context()) }()
	b, err := New(Config{ID: "b", Listen: "127.0.0.1:0", PrimaryID: "a", PrimaryAddress: a.Addr(), Slots: 10, Connections: 10}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	b.SetFaults(Faults{ReplicationDelay: delay})
	pos, err := a.db.commit(0, nil)
	assert.NilError(t, err)
	began := time.Now()
	go func() { _ = b.Run(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.db.status().Last.AtLeast(pos) {
			return poll.Success()
		}
		return poll.Continue("behind")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	assert.Assert(t, time.Since(began) >= delay, time.Since(began))
}
