// Package tablewire defines the HTTP protocol of the platform's table service and
// VM list, shared by the client and the emulator.
package tablewire

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/pkg/errors"
)

// Paths of the service.
const (
	// RowsPath lists the rows whose keys start with the query parameter "prefix";
	// the path of a single row is RowsPath followed by its key.
	RowsPath = "/tables/rows"
	// TransactionsPath accepts transactions; the path of an outcome is
	// TransactionsPath followed by the transaction's id.
	TransactionsPath = "/tables/transactions"
	// VMsPath returns the VM list, an array of platform.ListedVM.
	VMsPath = "/vms"
)

// IdempotencyKey is the header that carries a transaction's id.
const IdempotencyKey = "Idempotency-Key"

// Values of Outcome.
const (
	OutcomeApplied  = "applied"
	OutcomeConflict = "conflict"
)

// RowList is the response to a list request.
type RowList struct {
	// Rows are in key order.
	Rows []platform.Row `json:"rows"`
}

// Outcome is the response to a transaction.
type Outcome struct {
	// Outcome is OutcomeApplied or OutcomeConflict.
	Outcome string `json:"outcome"`
}

// RowPath returns the path of a row, with each segment of its key escaped.
func RowPath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return RowsPath + "/" + strings.Join(segments, "/")
}

// ETag returns the entity tag of a row version.
func ETag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// ParseETag returns the row version of an entity tag.
func ParseETag(tag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	return version, errors.Wrapf(err, "entity tag %q", tag)
}
