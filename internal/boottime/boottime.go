// Package boottime reads a monotonic clock that includes the time for which the
// machine was suspended, so that a lease also expires while its holder is
// suspended.
package boottime

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspended time.
func Now() tables.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock. Leases are not safe without it.
		panic("boottime: " + err.Error())
	}
	return tables.Time(time.Duration(ts.Nano()))
}
