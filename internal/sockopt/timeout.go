package sockopt

import (
	"net"

	"github.com/pkg/errors"
)

// TimedOut reports whether err is a timeout of a connection, including a timeout
// while connecting.
func TimedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
