package bench

import (
	"regexp"
	"strconv"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
)

const sqlStateDuplicateKey = "23505"

// codeMessage matches the error message of a result code of the proxy.
var codeMessage = regexp.MustCompile(`^code (\d+) \w+ \(([a-z ]+)\)`)

// codeNumber returns the result code in the error's message, or 0.
func codeNumber(pg *pgconn.PgError) int {
	m := codeMessage.FindStringSubmatch(pg.Message)
	if m == nil {
		return 0
	}
	code, _ := strconv.Atoi(m[1])
	return code
}

// opResult is the result of an operation as its caller sees it.
type opResult struct {
	outcome   history.Outcome
	code      int
	duplicate bool
}

// classify derives the result of an operation from the driver's error.
func classify(err error) opResult {
	if err == nil {
		return opResult{outcome: history.Acknowledged}
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		if pgconn.SafeToRetry(err) {
			return opResult{outcome: history.NotRun}
		}
		return opResult{outcome: history.Unknown}
	}
	var connectErr *connectError
	if errors.As(err, &connectErr) {
		return opResult{outcome: history.NotRun, code: codeNumber(pg)}
	}
	if m := codeMessage.FindStringSubmatch(pg.Message); m != nil {
		if m[2] == codes.NotRun.String() {
			return opResult{outcome: history.NotRun, code: codeNumber(pg)}
		}
		return opResult{outcome: history.Unknown, code: codeNumber(pg)}
	}
	return opResult{outcome: history.Unknown, duplicate: pg.Code == sqlStateDuplicateKey}
}
