package sockopt

import (
	"net"

	"github.com/pkg/errors"
)

// TimedOut reports whether err says that a connection's time ran out, its
// set-up included.
func TimedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
