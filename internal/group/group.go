// Package group defines the replication control of a database server and
// implements its client over the PostgreSQL protocol.
package group

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Server is the replication control of one database server. Every call is
// idempotent. A call with a term below the server's fenced term fails with
// ErrFenced.
type Server interface {
	// Status returns the server's replication status.
	Status(ctx context.Context) (tables.Status, error)
	// Fence stores term as the fenced term and stops the server from acknowledging
	// commits at a lower one. It returns the status afterwards.
	Fence(ctx context.Context, term tables.Term) (tables.Status, error)
	// Promote makes a server that is fenced at exactly term the primary. The server
	// writes one log record of the term.
	Promote(ctx context.Context, term tables.Term) (tables.Status, error)
	// Follow makes the server replicate from primary at term. The server truncates
	// the end of its log where it diverges from the primary's.
	Follow(ctx context.Context, primary tables.UpstreamID, address string, term tables.Term) (tables.Status, error)
}
