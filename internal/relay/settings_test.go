package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/standin/sessionlog"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// failKinds makes all servers fail statements of some kinds.
func (tc *testCluster) failKinds(f dbgroup.Failure, kinds ...statement.Kind) {
	tc.group.FailStatements(func(_ tables.UpstreamID, st statement.Statement) dbgroup.Failure {
		for _, k := range kinds {
			if st.Kind == k {
				return f
			}
		}
		return dbgroup.Failure{}
	})
}

// logSettings returns a log of the session state with which statements run.
func (tc *testCluster) logSettings() *sessionlog.Log {
	log := &sessionlog.Log{}
	tc.group.Observe(log.Record)
	return log
}

// do runs a statement that must end with a code.
func (s *session) do(t *testing.T, st statement.Statement, want statement.Code) {
	t.Helper()
	if st.ID == "" {
		st.ID = newID()
	}
	r := s.handle(context.Background(), st)
	assert.Equal(t, r.Code, want, "%s: %s", st.Kind, r.Detail)
}

// Guards against statements that run with another session's values: in a transaction, a
// SET succeeded and the PREPARE sent with it failed, and the proxy recorded neither for the
// connection, which it then reused (review case 8).
func TestFailedPreparationInTransactionLeavesNoValues(t *testing.T) {
	for name, f := range map[string]dbgroup.Failure{
		"failed":                  {Code: statement.RunFailed},
		"ran and failed":          {Code: statement.RunFailed, Ran: true},
		"refused for good":        {Code: statement.Behind},
		"busy beyond all retries": {Code: statement.Busy},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t, 1)
				log := tc.logSettings()
				s := tc.proxies[0].session(newest)
				s.do(t, statement.Statement{Kind: statement.Begin}, statement.OK)
				s.do(t, statement.Statement{Kind: statement.Read, Arguments: "item0"}, statement.OK)
				s.do(t, statement.Statement{Kind: statement.Set, Name: "account", Value: "a"}, statement.OK)
				s.do(t, statement.Statement{Kind: statement.Prepare, Name: "s1", Value: "shape"}, statement.OK)
				tc.failKinds(f, statement.Prepare)
				s.do(t, statement.Statement{Kind: statement.Execute, Name: "s1", Arguments: "item0"}, f.Code)
				s.do(t, statement.Statement{Kind: statement.Rollback}, statement.OK)
				time.Sleep(10 * time.Millisecond) // the rollback at the server
				opened := tc.group.Opened()
				tc.proxies[0].session(newest).do(t, statement.Statement{Kind: statement.Read, Arguments: "item0"}, statement.OK)
				assert.Equal(t, tc.group.Opened(), opened, "the connection is not reused")
				assert.DeepEqual(t, log.Violations(), []string(nil))
			})
		})
	}
}

// Guards against statements that run with another session's values: the proxy's own RESET,
// by which it reads the primary's position, was refused, and the proxy took the connection
// for clean (review case 7).
func TestRefusedResetLeavesNoValues(t *testing.T) {
	for name, f := range map[string]dbgroup.Failure{
		"busy":           {Code: statement.Busy},
		"failed":         {Code: statement.RunFailed},
		"ran and failed": {Code: statement.RunFailed, Ran: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t, 1)
				log := tc.logSettings()
				p := tc.proxies[0]
				s := p.session(newest)
				s.do(t, statement.Statement{Kind: statement.Set, Name: "account", Value: "a"}, statement.OK)
				id := newID()
				log.Expect(id, sessionlog.State{Values: map[string]string{"account": "a"}})
				s.do(t, statement.Statement{ID: id, Kind: statement.Read, Arguments: "item0"}, statement.OK)
				refused := 0
				tc.group.FailStatements(func(_ tables.UpstreamID, st statement.Statement) dbgroup.Failure {
					if st.Kind != statement.Reset {
						return dbgroup.Failure{}
					}
					refused++
					return f
				})
				opened := tc.group.Opened()
				time.Sleep(700 * time.Millisecond) // the proxy reads the position now and then
				tc.group.FailStatements(nil)
				assert.Assert(t, refused > 0, "the proxy sent no RESET of its own")
				assert.Equal(t, tc.group.Opened(), opened, "the connection is not in use any more")
				p.session(newest).do(t, statement.Statement{Kind: statement.Read, Arguments: "item0"}, statement.OK)
				assert.DeepEqual(t, log.Violations(), []string(nil))
			})
		})
	}
}
