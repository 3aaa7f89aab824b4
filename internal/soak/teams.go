package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/sockopt"
	"github.com/cranberrystage/cranberrystage/internal/standin/teamlog"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/routes"
)

const (
	// applyLimit is the time after a configuration was written within which a key that
	// it lacks must be out of use (configApplyMs). While the store, links or processes
	// fail, it counts from the end of the faults.
	applyLimit = 5 * time.Second
	// removalDelay is the time between the last fault and the configuration that
	// removes a key from sessions that are open. The check of it ends before settleTime.
	removalDelay = 2 * time.Second
	// guestPause is the pause between requests of a caller whose key is removed, and
	// between the statements of its transactions.
	guestPause = 150 * time.Millisecond
	// noReplyWait is how long a message is waited for on a connection that must have
	// been closed.
	noReplyWait = 50 * time.Millisecond
	// keyPrefix begins all keys, so that logs can be searched for them.
	keyPrefix = "secret-"
)

// holder is a set of callers that use the same key.
type holder string

// The holders. regulars are one of each team; the key of earlyLeaver is removed while
// there are faults, that of lateLeaver after them; stranger's key is unknown.
const (
	earlyLeaver holder = "early"
	lateLeaver  holder = "late"
	stranger    holder = "stranger"
)

var regulars = []holder{"ruth", "greta", "bruno"}

// teamOf holds the teams of the holders.
var teamOf = map[holder]tables.TeamID{
	"ruth": "red", "greta": "green", "bruno": "blue", earlyLeaver: "red", lateLeaver: "green",
}

// regular returns the holder of a numbered caller.
func regular(number int) holder { return regulars[number%len(regulars)] }

func (h holder) key() string { return keyPrefix + string(h) }

// addTeams adds the teams and the keys of all holders but those removed.
func (s *Soak) addTeams(r *tables.Routing, removed map[holder]time.Time) {
	r.Teams, r.Keys = make(map[tables.TeamID]*tables.Team), make(map[string]*tables.Team)
	for h, id := range teamOf {
		if r.Teams[id] == nil {
			r.Teams[id] = &tables.Team{ID: id, Rate: s.Rate, Burst: max(s.Rate, 1)}
		}
		if _, gone := removed[h]; !gone {
			r.Keys[h.key()] = r.Teams[id]
		}
	}
}

// writeConfiguration writes the next version of the configuration, without the keys
// that were removed.
func (s *Soak) writeConfiguration() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	config := configuration(s.configVersion)
	s.addTeams(&config, s.removed)
	value, err := routes.Encode(config)
	if err != nil {
		return err
	}
	s.store.Put(routes.Table, routes.Key, value)
	return nil
}

// removeKey writes a configuration without the key of a holder.
func (s *Soak) removeKey(h holder) {
	s.mu.Lock()
	s.removed[h] = time.Now()
	s.mu.Unlock()
	s.recordStep("remove the key of %s", h)
	if err := s.writeConfiguration(); err != nil {
		s.fail("write the configuration: %v", err)
	}
}

// removeEarly removes earlyLeaver's key at a random time among the faults.
func (s *Soak) removeEarly(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 2))
	if sleep.For(ctx, time.Duration(r.Int64N(int64(s.FaultDuration)))) == nil {
		s.removeKey(earlyLeaver)
	}
}

// checkRemoval removes lateLeaver's key once the faults have ended, and checks that open
// sessions end, also idle ones.
func (s *Soak) checkRemoval(ctx context.Context) error {
	if err := sleep.For(ctx, removalDelay); err != nil {
		return err
	}
	var idle []*caller
	for i := range s.proxies {
		c := &caller{soak: s, database: own, proxyIndex: i - 1, holder: lateLeaver} // connect uses proxy i
		if c.connect() {
			idle = append(idle, c)
			defer c.disconnect()
		}
	}
	s.removeKey(lateLeaver)
	if err := sleep.For(ctx, applyLimit); err != nil {
		return err
	}
	for _, c := range idle {
		if err := c.conn.SetDeadline(time.Now().Add(noReplyWait)); err != nil {
			continue // it is closed
		}
		if _, err := c.conn.Receive(); sockopt.TimedOut(err) {
			s.fail("%s: an idle session is open %s after its key was removed", vmName(c.proxyIndex), applyLimit)
		}
	}
	return nil
}

// runGuest runs a caller whose key is unknown or will be removed, until ctx is done:
// single writes, transactions that stay open for a while, and sessions that rest.
func (s *Soak) runGuest(ctx context.Context, h holder, first int) {
	c := &caller{soak: s, database: own, proxyIndex: first, holder: h}
	defer c.disconnect()
	for n := 1; ctx.Err() == nil; n++ {
		pause := time.Duration(0)
		if n%3 == 0 {
			pause = guestPause
		}
		r, ok := c.write(string(h), n, n%3 != 1, pause)
		switch {
		case ok && r.Code == statement.OK:
			s.history.recordAcknowledged(string(h), n)
		case ok && guaranteesNoEffect(r.Code):
			s.history.recordRefused(string(h), n)
		}
		if h == stranger && c.conn != nil {
			s.fail("%s accepted a session with an unknown key", vmName(c.proxyIndex))
			c.disconnect()
		}
		_ = sleep.For(ctx, guestPause*time.Duration(1+n%4)) // the loop checks ctx
	}
}

// checkKeyInUse fails the run if a proxy refuses a key that the configurations have.
func (c *caller) checkKeyInUse(r statement.Reply) {
	c.soak.mu.Lock()
	_, removed := c.soak.removed[c.holder]
	c.soak.mu.Unlock()
	if r.Code == statement.NoAuth && !removed && teamOf[c.holder] != "" {
		c.soak.fail("%s refused the key of %s: %s", vmName(c.proxyIndex), c.holder, r.Detail)
	}
}

// checkTeams checks what the servers ran for whom.
func (s *Soak) checkTeams() {
	holders, limits := make(map[string]teamlog.Holder), make(map[string]teamlog.Limit)
	for h, team := range teamOf {
		holder := teamlog.Holder{Team: string(team)}
		if at, ok := s.removed[h]; ok {
			if at.Before(s.faultsEnded) {
				at = s.faultsEnded
			}
			holder.RevokedAt = at.Add(applyLimit)
		}
		holders[string(h)] = holder
		limits[string(team)] = teamlog.Limit{Rate: s.Rate, Burst: max(s.Rate, 1)}
	}
	for _, violation := range s.ran.Violations(holders, limits) {
		s.fail("%s", violation)
	}
}

// keyIn returns a line of a process's output that contains a key; empty if there is none.
func keyIn(output string) string {
	_, rest, found := strings.Cut(output, keyPrefix)
	if !found {
		return ""
	}
	line, _, _ := strings.Cut(keyPrefix+rest, "\n")
	return line
}
