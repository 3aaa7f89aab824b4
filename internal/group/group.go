// Package group is what the proxy asks of a database server's replication
// control, and the client that asks it over the PostgreSQL protocol.
package group

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Server is the replication control of one database server. Every call is
// idempotent and carries a term; a call below the server's fenced term fails
// with ErrFenced.
type Server interface {
	// Status returns the server's account of itself.
	Status(ctx context.Context) (tables.Status, error)
	// Fence promises term and stops the server from acknowledging under a lower one.
	// It returns the status after the promise.
	Fence(ctx context.Context, term tables.Term) (tables.Status, error)
	// Promote makes a server fenced at exactly term the primary and writes one record of the term.
	Promote(ctx context.Context, term tables.Term) (tables.Status, error)
	// Follow makes the server replicate from primary at term, cutting a diverging tail.
	Follow(ctx context.Context, primary tables.UpstreamID, address string, term tables.Term) (tables.Status, error)
}
