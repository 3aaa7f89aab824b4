package relay

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/wire"
	"gotest.tools/v3/assert"
)

// applyLimit is the time within which a removed key must be out of use.
const applyLimit = 5 * time.Second

// addTeams adds the cluster's teams to a configuration.
func (tc *testCluster) addTeams(r *tables.Routing) {
	if tc.teams == nil {
		return
	}
	r.Teams, r.Keys = make(map[tables.TeamID]*tables.Team), make(map[string]*tables.Team)
	for id, keys := range tc.teams {
		team := &tables.Team{ID: id, Burst: 1}
		r.Teams[id] = team
		for _, key := range keys {
			r.Keys[key] = team
		}
	}
}

// configureTeams writes a configuration with the given teams and their keys.
func (tc *testCluster) configureTeams(version uint64, teams map[tables.TeamID][]string) {
	tc.teams = teams
	tc.configure(version)
}

// twoTeams are two teams with a key each.
func twoTeams() map[tables.TeamID][]string {
	return map[tables.TeamID][]string{"red": {"key-r"}, "blue": {"key-b"}}
}

// newTeamCluster returns a cluster of one proxy with twoTeams, and its listener.
func newTeamCluster(t *testing.T) (*testCluster, *pipeListener) {
	t.Helper()
	tc := newTestCluster(t, 1)
	tc.configureTeams(2, twoTeams())
	time.Sleep(time.Second)
	_, l := serveFirstProxy(t, tc)
	return tc, l
}

// runsByUser counts the statements that servers run, by the user of the connection.
func (tc *testCluster) runsByUser() func() map[string]int {
	var mu sync.Mutex
	runs := make(map[string]int)
	tc.group.Observe(func(r dbgroup.Run) {
		mu.Lock()
		defer mu.Unlock()
		runs[r.User]++
	})
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		out := make(map[string]int)
		for user, n := range runs {
			out[user] = n
		}
		return out
	}
}

// expectClosed expects that the session ends without another message within limit.
func (c *testCaller) expectClosed(limit time.Duration) {
	c.t.Helper()
	if c.nc.SetReadDeadline(time.Now().Add(limit)) != nil {
		return // the proxy has closed the connection
	}
	_, err := c.in.ReadByte()
	assert.ErrorIs(c.t, err, io.EOF)
}

// Callers with an unknown key were served before there were teams.
func TestUnknownKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, l := newTeamCluster(t)
		runs := tc.runsByUser()
		for _, words := range []string{own + " key-x", own, own + " ", own + " key-r key-r", own + " red"} {
			c := l.connectWith(t, words)
			assert.Equal(t, c.readLine(), "ERR NOAUTH 109 unknown key", words)
			assert.Equal(t, c.readLine(), "closed")
		}
		c := l.connectWith(t, own+" key-r")
		assert.Equal(t, c.readLine(), "READY I -")
		c.expect("WRITE jars 1", "DONE s1", "I")
		assert.DeepEqual(t, runs(), map[string]int{"red": 1})
	})
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		tc.open = map[string]bool{newest: true}
		tc.configureTeams(2, twoTeams())
		time.Sleep(time.Second)
		_, l := serveFirstProxy(t, tc)
		runs := tc.runsByUser()
		for _, words := range []string{newest, newest + " key-x", newest + " key-r"} {
			c := l.connectWith(t, words)
			assert.Equal(t, c.readLine(), "READY I -", words)
			c.expect("WRITE jars 1", "DONE s1", "I")
		}
		assert.Equal(t, l.connectWith(t, own).readLine(), "ERR NOAUTH 109 unknown key")
		assert.DeepEqual(t, runs(), map[string]int{"": 2, "red": 1})
	})
}

// A key that was removed, or given to another team, must end open sessions, idle and in
// a transaction, and leave the sessions of other keys alone.
func TestRemovedKeyEndsOpenSessions(t *testing.T) {
	for name, next := range map[string]map[tables.TeamID][]string{
		"removed":       {"red": {"key-r2"}, "blue": {"key-b"}},
		"team removed":  {"blue": {"key-b"}},
		"team changed":  {"red": {"key-r2"}, "blue": {"key-b", "key-r"}},
		"teams swapped": {"red": {"key-b2"}, "blue": {"key-b"}, "green": {"key-r"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc, l := newTeamCluster(t)
				idle, open := l.connectWith(t, own+" key-r"), l.connectWith(t, own+" key-r")
				other, otherOpen := l.connectWith(t, own+" key-b"), l.connectWith(t, own+" key-b")
				for _, c := range []*testCaller{idle, open, other, otherOpen} {
					assert.Equal(t, c.readLine(), "READY I -")
				}
				for i, c := range []*testCaller{open, otherOpen} {
					c.expect("BEGIN", "DONE -", "T")
					c.expect(fmt.Sprintf("WRITE jars%d 1", i), "DONE s1", "T")
				}
				tc.configureTeams(3, next)
				idle.expectClosed(applyLimit)
				open.expectClosed(applyLimit)
				time.Sleep(applyLimit)
				other.expect("WRITE cans 1", "DONE s1", "I")
				otherOpen.expect("COMMIT", "DONE s1", "I")
				assert.DeepEqual(t, tc.group.Written(), map[string]int{"cans 1": 1, "jars1 1": 1})
			})
		})
	}
}

// A statement that arrives before the session is closed must be refused with the
// reason, and its transaction must not be committed.
func TestStatementAfterRemovalOfKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, l := newTeamCluster(t)
		runs := tc.runsByUser()
		idle, open := l.connectWith(t, own+" key-r"), l.connectWith(t, own+" key-r")
		assert.Equal(t, idle.readLine(), "READY I -")
		assert.Equal(t, open.readLine(), "READY I -")
		open.expect("BEGIN", "DONE -", "T")
		open.expect("WRITE jars 1", "DONE s1", "T")
		tc.configureTeams(3, map[tables.TeamID][]string{"blue": {"key-b"}})
		for tc.proxies[0].fleet.Routing().Version < 3 {
			time.Sleep(time.Millisecond)
		}
		idle.expect("WRITE jars 2", "ERR NOAUTH 110 the key was removed", "I")
		open.expect("COMMIT", "ERR NOAUTH 110 the key was removed", "I")
		assert.Equal(t, idle.readLine(), "closed")
		assert.Equal(t, open.readLine(), "closed")
		time.Sleep(time.Second)
		assert.DeepEqual(t, tc.group.Written(), map[string]int{})
		assert.DeepEqual(t, runs(), map[string]int{"red": 1})
	})
}

// A session that runs a statement while its key is removed gets the answer, and must
// then end although it sends nothing more.
func TestRemovedKeyEndsSessionThatWasBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, l := newTeamCluster(t)
		c, other := l.connectWith(t, own+" key-r"), l.connectWith(t, own+" key-b")
		assert.Equal(t, c.readLine(), "READY I -")
		assert.Equal(t, other.readLine(), "READY I -")
		tc.group.Change("s1", func(s *dbgroup.Server) { s.SetStatementTime(800 * time.Millisecond) })
		go tc.configureTeams(3, map[tables.TeamID][]string{"blue": {"key-b"}})
		c.expect("WRITE jars 1", "DONE s1", "I")
		c.expectClosed(applyLimit)
		other.expect("WRITE jars 2", "DONE s1", "I")
	})
}

// Keys are secret, also wrong ones: a caller may have mixed up two of its keys. A flood
// of wrong keys must neither open connections nor disturb the callers of others.
func TestFloodOfWrongKeysLeavesOthersUndisturbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		var log bytes.Buffer
		tc.log = &log
		tc.configureTeams(2, twoTeams())
		time.Sleep(time.Second)
		_, l := serveFirstProxy(t, tc)
		runs := tc.runsByUser()
		c := l.connectWith(t, own+" key-r")
		assert.Equal(t, c.readLine(), "READY I -")
		var wg sync.WaitGroup
		for i := range 3000 {
			flood := l.connectWith(t, fmt.Sprintf("%s key-x%d", own, i))
			wg.Go(func() { assert.Check(t, flood.readLine() == "ERR NOAUTH 109 unknown key") })
			if i%100 == 0 {
				began := time.Now()
				c.expect(fmt.Sprintf("WRITE jars %d", i), "DONE s1", "I")
				assert.Assert(t, time.Since(began) < 50*time.Millisecond)
			}
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		assert.DeepEqual(t, runs(), map[string]int{"red": 30})
		assert.Assert(t, !strings.Contains(log.String(), "key-"), "a key is in the log")
		lines := strings.Count(log.String(), "Rejected a session")
		assert.Assert(t, lines > 0 && lines <= maxRequestLineBurst+4*maxRequestLinesPerSecond, "%d lines", lines)
	})
}

// A key may be as long as a message: 1 MiB. A longer one ends the session.
func TestLongKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, l := newTeamCluster(t)
		for size, want := range map[int]string{wire.MaxMessage - 100: "ERR NOAUTH 109 unknown key", wire.MaxMessage: "closed"} {
			near := l.connectWith(t, own+" key-r")
			assert.Equal(t, near.readLine(), "READY I -") // others are served at the same time
			c := l.connectRaw(t)
			go func() { _, _ = c.nc.Write([]byte("START " + own + " " + strings.Repeat("k", size) + "\r\n")) }()
			assert.Equal(t, c.readLine(), want)
			near.expect("WRITE jars 1", "DONE s1", "I")
		}
	})
}

// Without teams the word after the database is no key: callers with any word share the
// proxy's connections, as before there were teams.
func TestWithoutTeamsCallersShareConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		_, l := serveFirstProxy(t, tc)
		runs := tc.runsByUser()
		warm := l.connectWith(t, own+" a")
		assert.Equal(t, warm.readLine(), "READY I -")
		warm.expect("WRITE jars 0", "DONE s1", "I")
		opened := tc.group.Opened()
		for i, words := range []string{own + " a", own + " b", own} {
			c := l.connectWith(t, words)
			assert.Equal(t, c.readLine(), "READY I -")
			c.expect(fmt.Sprintf("WRITE jars %d", i), "DONE s1", "I")
		}
		assert.Equal(t, tc.group.Opened(), opened)
		tc.configure(2)
		time.Sleep(applyLimit)
		warm.expect("WRITE jars 4", "DONE s1", "I")
		assert.DeepEqual(t, runs(), map[string]int{"": 5})
	})
}

// deadlineCaller counts the read deadlines that are set.
type deadlineCaller struct {
	Caller
	set int
}

func (c *deadlineCaller) SetReadDeadline(time.Time) error {
	c.set++
	return nil
}

// Waking the sessions for a removed key must not set the deadline of a message that has
// begun to arrive: it would end a session whose key is valid.
func TestWakeLeavesArrivingMessageAlone(t *testing.T) {
	caller := &deadlineCaller{}
	c := &callerConn{caller: caller}
	c.wake()
	assert.Equal(t, caller.set, 0)
	c.setIdle(true)
	c.wake()
	assert.Equal(t, caller.set, 1)
	c.setIdle(false)
	c.wake()
	assert.Equal(t, caller.set, 1)
}
