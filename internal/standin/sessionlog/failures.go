package sessionlog

import (
	"math/rand/v2"
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// maxFailShare is the largest share of its statements that a server fails.
const maxFailShare = 0.5

// RandomFailures returns a function for dbgroup.Group.FailStatements by which a server fails
// a random share of the statements of sessions: those of callers and those with which a
// proxy prepares and resets its connections. Some of those that fail have run.
func RandomFailures(r *rand.Rand, server tables.UpstreamID) func(tables.UpstreamID, statement.Statement) dbgroup.Failure {
	share := r.Float64() * maxFailShare
	draw := rand.New(rand.NewPCG(r.Uint64(), 0))
	var mu sync.Mutex
	return func(id tables.UpstreamID, st statement.Statement) dbgroup.Failure {
		mu.Lock()
		defer mu.Unlock()
		if id != server || isControl(st.Kind) || draw.Float64() >= share {
			return dbgroup.Failure{}
		}
		f := dbgroup.Failure{Code: statement.Busy}
		// The outcome of a write that ran and failed is unknown to its caller.
		if writes := st.Kind == statement.Write || st.Kind == statement.Commit; !writes && draw.IntN(2) == 0 {
			f = dbgroup.Failure{Code: statement.RunFailed, Ran: draw.IntN(2) == 0}
		}
		return f
	}
}

// isControl reports whether statements of a kind inspect or change a server's role.
func isControl(k statement.Kind) bool {
	switch k {
	case statement.Status, statement.Hold, statement.Resume, statement.Demote:
		return true
	default:
		return false
	}
}
