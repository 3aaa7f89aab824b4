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

// numbered matches the message of a numbered result.
var numbered = regexp.MustCompile(`^code (\d+) \w+ \(([a-z ]+)\)`)

// number returns the number of a numbered result, or 0.
func number(pg *pgconn.PgError) int {
	m := numbered.FindStringSubmatch(pg.Message)
	if m == nil {
		return 0
	}
	code, _ := strconv.Atoi(m[1])
	return code
}

// ending is how an operation ended for its caller.
type ending struct {
	outcome   history.Outcome
	code      int
	duplicate bool
}

// classify tells what a driver's error says about the operation.
func classify(err error) ending {
	if err == nil {
		return ending{outcome: history.Acknowledged}
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		if pgconn.SafeToRetry(err) {
			return ending{outcome: history.NotRun}
		}
		return ending{outcome: history.Unknown}
	}
	var unconnected *connectError
	if errors.As(err, &unconnected) {
		return ending{outcome: history.NotRun, code: number(pg)}
	}
	if m := numbered.FindStringSubmatch(pg.Message); m != nil {
		if m[2] == codes.NotRun.String() {
			return ending{outcome: history.NotRun, code: number(pg)}
		}
		return ending{outcome: history.Unknown, code: number(pg)}
	}
	return ending{outcome: history.Unknown, duplicate: pg.Code == sqlStateDuplicateKey}
}
